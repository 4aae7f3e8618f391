//! Ends connections that are idle, or on which a request head does not arrive in time.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use uptime::Instant;

use crate::caller::Caller;
use crate::connection_state::ConnectionState;

/// How long a connection may be idle, and how long a request head may take. It may change while a connection is
/// open.
#[derive(Clone)]
pub struct IdleTimeout(Rc<dyn Fn() -> Duration>);

impl IdleTimeout {
    /// A timeout that is read when it is needed.
    pub fn new(read: impl Fn() -> Duration + 'static) -> Self {
        Self(Rc::new(read))
    }

    /// A timeout that does not change.
    pub fn fixed(timeout: Duration) -> Self {
        Self::new(move || timeout)
    }

    /// The timeout in force.
    pub fn current(&self) -> Duration {
        (self.0)()
    }
}

/// The timer of one connection.
pub struct IdleTimer {
    timeout: IdleTimeout,
    wait: Option<Wait>,
    timer: Option<(Instant, Timer)>,
}

/// A time in which a connection waits for its caller.
struct Wait {
    state: ConnectionState,
    requests: u64,
    since: Instant,
    timeout: Duration,
}

impl IdleTimer {
    /// A timer for a connection that was opened now.
    pub fn new(timeout: IdleTimeout) -> Self {
        Self { timeout, wait: None, timer: None }
    }

    /// Whether the connection has waited for its caller for too long. A timeout that was lowered counts from the
    /// next wait, and one that was raised counts at once, since callers follow the newest one that they know.
    pub fn poll_expired(&mut self, cx: &mut Context<'_>, caller: &Caller) -> bool {
        let state = caller.state();
        if !matches!(state, ConnectionState::Idle | ConnectionState::Head) {
            self.wait = None;
            return false;
        }
        let now = Instant::now();
        let until = self.wait_until(now, state, caller.requests());
        if until <= now {
            return true;
        }
        self.poll_timer(cx, now, until)
    }

    fn wait_until(&mut self, now: Instant, state: ConnectionState, requests: u64) -> Instant {
        let timeout = self.timeout.current();
        let wait = match &mut self.wait {
            Some(wait) if (wait.state, wait.requests) == (state, requests) => wait,
            wait => wait.insert(Wait { state, requests, since: now, timeout }),
        };
        wait.timeout = wait.timeout.max(timeout);
        wait.since + wait.timeout
    }

    /// Wakes the connection at `until` or earlier. A timer that is earlier is kept, because most waits end long
    /// before their timeout.
    fn poll_timer(&mut self, cx: &mut Context<'_>, now: Instant, until: Instant) -> bool {
        if self.timer.as_ref().is_none_or(|(at, _)| *at > until) {
            self.timer = Some((until, Timer::after(until.saturating_duration_since(now))));
        }
        if let Some((_, timer)) = &mut self.timer {
            if Pin::new(timer).poll(cx) == Poll::Pending {
                return false;
            }
            // The timer may belong to an earlier wait.
            self.timer = None;
            cx.waker().wake_by_ref();
        }
        false
    }
}
