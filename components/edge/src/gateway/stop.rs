//! The planned stop of a gateway.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use uptime::Instant;

use crate::caller::{Callers, ServerName};
use crate::clock::Clock;
use crate::connection_state::ConnectionState;
use crate::stop_state::{StopPlan, StopState};

/// How long a stopping gateway keeps idle connections: the platform needs this long to detect the stop.
const DETECTION_TIME: Duration = Duration::from_millis(2600);
/// How long a connection that is opened during a stop, or on which an answer ended, may be idle.
const IDLE_TIME: Duration = Duration::from_millis(500);
/// How often a stopping gateway checks its connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A gateway stops this long before the end of its grace period.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// The last requests end this long before the gateway, so that their answers are sent.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Connections whose callers do not read are closed this long before the gateway ends, so that their requests are
/// logged.
const CLOSE_TIME: Duration = Duration::from_millis(60);

/// The task that accepts the connections of callers.
pub struct Accepting {
    /// Closed when the listener is to be closed.
    pub closing: Sender<()>,
    /// Ends when the listener is closed, after the connections in its queue were accepted.
    pub task: Task<()>,
}

impl Accepting {
    async fn end(self) {
        self.closing.close();
        self.task.await;
    }
}

/// A planned stop.
pub struct Stop {
    /// What requests see of it.
    pub state: Rc<StopState>,
    /// The process's clock.
    pub clock: Clock,
    /// The callers.
    pub callers: Callers,
    /// The number of connections of callers.
    pub open_connections: Rc<Cell<usize>>,
}

impl Stop {
    /// Serves callers until none is left or the time is over. Connections are accepted until then, since the
    /// platform may have no other gateway for them. Requests that are left at the end are refused, or end with an
    /// answer that says that they were sent.
    pub async fn run(self, grace: Duration, accepting: Option<Accepting>) {
        let (now, began) = (self.clock.now(), Instant::now());
        let process_time = grace.saturating_sub(GRACE_MARGIN);
        let request_time = process_time.saturating_sub(ANSWER_TIME);
        let detection_time = DETECTION_TIME.min(request_time);
        let after = |time: Duration| now.plus(time.as_millis() as u64);
        let plan =
            StopPlan { detected_at: after(detection_time), requests_end: after(request_time) };
        self.state.begin(plan);
        self.callers.note_idle(began);
        uptime::sleep_until(began + detection_time).await;
        self.wait_for_callers(began + request_time, IDLE_TIME).await;
        if let Some(accepting) = accepting {
            accepting.end().await;
        }
        // The listener's queue may have held connections.
        self.wait_for_callers(began + request_time, IDLE_TIME).await;
        self.state.end_requests();
        self.callers.wake();
        self.wait_for_callers(began + process_time - CLOSE_TIME, Duration::ZERO).await;
        self.callers.close_blocked();
        self.wait_for_callers(began + process_time, Duration::ZERO).await;
        log_open_connections(&self.callers);
    }

    async fn wait_for_callers(&self, until: Instant, idle_time: Duration) {
        while self.open_connections.get() > 0 && Instant::now() < until {
            self.callers.end_idle(idle_time);
            let left = until.saturating_duration_since(Instant::now());
            Timer::after(POLL_INTERVAL.min(left)).await;
        }
    }
}

/// Logs what ends with the process.
fn log_open_connections(callers: &Callers) {
    let open = callers.count_open(ServerName::Callers);
    let count = |state| open.get(&state).copied().unwrap_or(0);
    let [idle, head, body, waiting, answer] = ConnectionState::ALL.map(count);
    let connections: usize = open.values().sum();
    let requests = connections - idle;
    let level = if requests > 0 { log::Level::Warn } else { log::Level::Info };
    log::log!(level, connections = connections, requests = requests, head = head, body = body, waiting = waiting, answer = answer; "open at the end of the stop");
    callers.log_process_end(ServerName::Callers);
}
