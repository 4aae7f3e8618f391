//! Pauses of a runner after failures.

use fleet::Millis;

/// The shortest pause after a failure, in milliseconds.
const MIN_PAUSE_MS: u64 = 300;
/// The longest pause after a failure, in milliseconds.
const MAX_PAUSE_MS: u64 = 4000;
/// Maximum number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 4;

/// A pause that doubles with each failure in a row.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailurePause {
    until: Millis,
    failures: u32,
}

impl FailurePause {
    /// Begins a pause after a failure.
    pub(crate) fn note_failure(&mut self, now: Millis) {
        let pause_ms = MIN_PAUSE_MS << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.until = now.plus(pause_ms.min(MAX_PAUSE_MS));
    }

    /// The remaining pause, in milliseconds.
    pub(crate) fn left_ms(&self, now: Millis) -> u64 {
        self.until.since(now).0
    }
}

/// The pause of a runner whose sidecar does not answer reservation queries.
///
/// The first message after a silence ends its pause: the sidecar may have been short of processor
/// time for a moment. If it is silent again, its messages no longer show that it answers queries.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SilencePause {
    pause: FailurePause,
    /// When the pause last began or ended.
    changed_at: Millis,
    /// Whether the next message ends the pause.
    ends_with_message: bool,
}

impl SilencePause {
    /// Records that the sidecar did not answer a query that was sent at `asked_at`.
    pub(crate) fn note_silence(&mut self, now: Millis, asked_at: Millis) {
        if asked_at < self.changed_at {
            // The query belongs to a silence that is known or over.
            return;
        }
        if self.pause.failures == 0 {
            self.ends_with_message = true;
        }
        self.changed_at = now;
        self.pause.note_failure(now);
    }

    /// Records that the sidecar answered a query in time.
    pub(crate) fn note_answer(&mut self, now: Millis) {
        self.pause = FailurePause::default();
        self.changed_at = now;
        self.ends_with_message = false;
    }

    /// Records a message from the sidecar.
    pub(crate) fn note_message(&mut self, now: Millis) {
        if self.ends_with_message {
            self.pause = FailurePause { until: now, failures: 1 };
            self.changed_at = now;
            self.ends_with_message = false;
        }
    }

    /// The remaining pause, in milliseconds.
    pub(crate) fn left_ms(&self, now: Millis) -> u64 {
        self.pause.left_ms(now)
    }
}
