//! Which requests may be sent to the runner: a gateway asks right before it sends one.
//!
//! The sidecar knows what all gateways send, so a place is given once. And only a machine that is
//! awake answers: what is sent to one that stands still would lie there and start much later.

use std::collections::VecDeque;

use fleet::Millis;

/// How long a request is on its way to the runner, in milliseconds. A report that is younger than
/// its reservation may not count it yet.
const TRANSIT: u64 = 12;
/// The part of the runner's time that it may read prompts.
const READING_SHARE: f64 = 0.9;
/// The most prompt tokens that are saved up. A runner that rested takes one prompt and then the next one
/// after it: two at once would make each other late.
const MAX_CREDIT: f64 = 400.0;
/// The least rate of reading that is reckoned with, in tokens a millisecond.
const MIN_RATE: f64 = 0.1;
/// The shortest time after which to ask again, in milliseconds.
pub(crate) const MIN_AGAIN: u64 = 5;
/// The time after which to ask again where every place is taken, in milliseconds: within the time between
/// two reports, in which some request usually ends.
const FULL_AGAIN: u64 = 60;
/// The time after which to ask again where the runner is being moved or its hall is evacuated, in milliseconds.
const MOVE_AGAIN: u64 = 250;
/// How long a report counts, in milliseconds.
const REPORT_LIFE: u64 = 600;

/// Why a place is not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Its data hall is evacuated.
    Evacuated,
    /// The runner says that it is leaving.
    RunnerLeaves,
    /// The runner is about to be ordered.
    Leaving,
    /// The version that it holds may hardly be used any more.
    TooOld,
    /// This machine gave the last order of all, and the version that its runner holds is not the
    /// newest: what waits at the runner must not start there much later.
    LastOrder,
    /// It is cold, and has got as much as it bears.
    Cold,
    /// It names a rate of requests that it takes, and has got as many.
    Limited,
    /// Every place is taken.
    Full,
    /// It still reads the prompts that came before.
    Reading,
    /// First tries of other callers go before this later one.
    Later,
    /// It was not heard lately.
    Unheard,
    /// It holds no whole version, or is taking one.
    NotServing,
}

impl Denial {
    /// Whether a place may come free within a fraction of a second.
    pub(crate) fn is_short(self) -> bool {
        matches!(self, Self::Cold | Self::Limited | Self::Full | Self::Reading)
    }

    /// The word in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::RunnerLeaves => "runner_leaves",
            Self::Leaving => "leaving",
            Self::TooOld => "too_old",
            Self::LastOrder => "last_order",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Full => "full",
            Self::Reading => "reading",
            Self::Later => "later",
            Self::Unheard => "unheard",
            Self::NotServing => "not_serving",
        }
    }
}

/// The places of a runner.
#[derive(Clone, Debug, Default)]
pub struct Places {
    slots: u32,
    tokens_per_ms: f64,
    /// Requests at the runner by its last report, and when that was.
    reported: Option<(u32, Millis)>,
    /// When places were given that the last report may not count.
    given: VecDeque<Millis>,
    /// Prompt tokens that may still come, and when that was counted.
    credit: (f64, Millis),
    /// Whether prompts may come faster than the runner reads them.
    unpaced: bool,
}

impl Places {
    /// Lets prompts come faster than the runner reads them.
    pub fn stop_pacing(&mut self) {
        self.unpaced = true;
    }

    /// Takes in how many requests the runner works on at once, and how fast it reads prompts.
    pub fn set_profile(&mut self, slots: u32, tokens_per_ms: f64) {
        self.slots = slots;
        self.tokens_per_ms = tokens_per_ms;
    }

    /// Forgets what is at the runner and on its way there: it has started anew.
    pub fn forget(&mut self) {
        self.reported = None;
        self.given.clear();
    }

    /// Takes in how many requests are at the runner.
    pub fn take_report(&mut self, now: Millis, requests: u32) {
        self.reported = Some((requests, now));
        while self.given.front().is_some_and(|at| now.since(*at).0 > TRANSIT) {
            self.given.pop_front();
        }
    }

    /// After how many milliseconds it is worth asking again.
    pub fn again_ms(&self, now: Millis, denial: Denial) -> u64 {
        match denial {
            Denial::Reading => self.reading_ms(now) + MIN_AGAIN,
            Denial::Full | Denial::Cold | Denial::Limited => FULL_AGAIN,
            Denial::Later => MIN_AGAIN,
            Denial::Leaving | Denial::TooOld | Denial::LastOrder => MOVE_AGAIN,
            Denial::Evacuated | Denial::RunnerLeaves => MOVE_AGAIN,
            Denial::Unheard | Denial::NotServing => MOVE_AGAIN,
        }
    }

    /// How long the runner still reads the prompts that it was given, in milliseconds.
    pub fn reading_ms(&self, now: Millis) -> u64 {
        let missing = -self.credit(now);
        let rate = (self.tokens_per_ms * READING_SHARE).max(MIN_RATE);
        (missing / rate).max(0.0) as u64
    }

    /// Requests that the runner works on at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Requests that are at the runner or on their way to it.
    pub fn taken(&self) -> u32 {
        self.reported.map_or(0, |(requests, _)| requests) + self.given.len() as u32
    }

    /// Whether it has rested and another place stays free when one is given.
    pub fn is_roomy(&self, now: Millis) -> bool {
        self.taken() + 1 < self.slots && self.credit(now) >= MAX_CREDIT
    }

    /// Whether a request is still on its way.
    pub fn awaits_arrival(&self, now: Millis) -> bool {
        self.given.back().is_some_and(|at| now.since(*at).0 <= 2 * TRANSIT)
    }

    /// Gives a place to a request with a prompt of so many tokens, if there is one. Prompts that come
    /// faster than the runner reads would only wait for each other.
    pub fn give(&mut self, now: Millis, prompt_tokens: u32) -> Result<(), Denial> {
        let fresh = self.reported.is_some_and(|(_, at)| now.since(at).0 <= REPORT_LIFE);
        if !fresh {
            return Err(Denial::Unheard);
        }
        if self.taken() >= self.slots {
            return Err(Denial::Full);
        }
        let credit = self.credit(now);
        if credit <= 0.0 && !self.unpaced {
            return Err(Denial::Reading);
        }
        self.credit = (credit - f64::from(prompt_tokens), now);
        self.given.push_back(now);
        Ok(())
    }

    fn credit(&self, now: Millis) -> f64 {
        let (credit, at) = self.credit;
        let gained = now.since(at).0 as f64 * self.tokens_per_ms * READING_SHARE;
        (credit + gained).min(MAX_CREDIT)
    }
}
