//! The rest that an upstream asks for when it turns requests away.

use crate::Millis;

/// What a rest is taken for that can't be read, in milliseconds: a third of what shedding upstreams usually
/// ask for.
pub const UNREADABLE_REST_MS: u64 = 1000;
/// The longest rest, in milliseconds: an hour. Longer ones are a mistake of the upstream.
const MAX_REST_MS: u64 = 3_600_000;

/// Reads the value of `Retry-After` as milliseconds: seconds, fractions too. `None` where it is anything else.
pub fn rest_ms(text: &str) -> Option<u64> {
    let seconds = text.trim().parse::<f64>().ok()?;
    let is_span = seconds.is_finite() && seconds >= 0.0;
    is_span.then(|| ((seconds * 1000.0).ceil() as u64).min(MAX_REST_MS))
}

/// The request by which an upstream is tried after its rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Trial<K> {
    /// It has run a request since it last asked for rest.
    #[default]
    Passed,
    /// Nothing has been sent there since.
    Due,
    /// This one is on its way, and others wait for how it ends.
    UnderWay(K),
}

/// Whether an upstream wants to be left alone, and how it is tried again afterwards. `K` names requests.
///
/// After a rest one request goes first: an upstream that turned everything away is the idlest of all, and every request
/// would go there at once only to be turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest<K> {
    /// A request that the upstream runs meanwhile was there before and does not end this.
    until: Millis,
    trial: Trial<K>,
}

impl<K> Default for Rest<K> {
    fn default() -> Self {
        Self { until: Millis(0), trial: Trial::Passed }
    }
}

impl<K: Copy + PartialEq> Rest<K> {
    /// The upstream asks for so many milliseconds. Gives whether it did not rest already.
    pub fn begin(&mut self, now: Millis, rest_ms: u64) -> bool {
        if rest_ms == 0 {
            return false;
        }
        let is_news = self.left_ms(now) == 0;
        self.until = self.until.max(now.plus(rest_ms));
        self.trial = Trial::Due;
        is_news
    }

    /// How much longer it wants to be left alone, in milliseconds.
    pub fn left_ms(&self, now: Millis) -> u64 {
        self.until.since(now).0
    }

    /// Whether a request may be sent there.
    pub fn admit(&self, now: Millis, request: K) -> bool {
        let is_its_turn = match self.trial {
            Trial::Passed | Trial::Due => true,
            Trial::UnderWay(other) => other == request,
        };
        self.left_ms(now) == 0 && is_its_turn
    }

    /// A request is sent there.
    pub fn note_sent(&mut self, request: K) {
        if matches!(self.trial, Trial::Due) {
            self.trial = Trial::UnderWay(request);
        }
    }

    /// The upstream runs a request.
    pub fn note_run(&mut self, request: K) {
        if self.trial == Trial::UnderWay(request) {
            self.trial = Trial::Passed;
        }
    }

    /// A request is there no more. If it was the trial and was not run, the next one is.
    pub fn note_end(&mut self, request: K) {
        if self.trial == Trial::UnderWay(request) {
            self.trial = Trial::Due;
        }
    }
}
