//! The planned stop of a gateway.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use uptime::Instant;

use crate::caller::{Callers, ServerName};
use crate::connection_state::ConnectionState;

/// How long a stopping gateway keeps idle connections: the platform needs this long to detect the stop.
const DETECTION_TIME: Duration = Duration::from_millis(2600);
/// How long a connection that is opened during a stop, or on which an answer ended, may be idle.
const IDLE_TIME: Duration = Duration::from_millis(500);
/// How often a stopping gateway checks its connections.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A gateway stops this long before the end of its grace period.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

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
    /// The callers.
    pub callers: Callers,
    /// The number of connections of callers.
    pub open_connections: Rc<Cell<usize>>,
    /// When the process ends at the latest.
    pub end: Instant,
}

impl Stop {
    /// Plans a stop that begins now.
    pub fn begin(callers: Callers, open_connections: Rc<Cell<usize>>, grace: Duration) -> Self {
        callers.begin_stop();
        Self { callers, open_connections, end: Instant::now() + grace.saturating_sub(GRACE_MARGIN) }
    }

    /// Serves callers until none is left or the time is over. Connections are accepted until then, since the
    /// platform may have no other gateway for them.
    pub async fn run(self, accepting: Option<Accepting>) {
        let idle_until = Instant::now() + DETECTION_TIME;
        self.callers.note_idle(Instant::now());
        uptime::sleep_until(idle_until.min(self.end)).await;
        self.wait_for_callers().await;
        if let Some(accepting) = accepting {
            accepting.end().await;
        }
        // The listener's queue may have held connections.
        self.wait_for_callers().await;
        log_open_connections(&self.callers);
    }

    async fn wait_for_callers(&self) {
        while self.open_connections.get() > 0 && Instant::now() < self.end {
            self.callers.end_idle(IDLE_TIME);
            Timer::after(POLL_INTERVAL).await;
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
