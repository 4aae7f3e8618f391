//! Which requests the sidecar lets through to its runner.

use fleet::{Evacuations, Mechanism, Millis, ToldLimit};

use super::Rollout;
use crate::cold::ColdStart;
use crate::event::Effect;
use crate::places::{Denial, Places, MIN_AGAIN};
use crate::questions::{Question, Verdict};
use crate::rate::RateGate;
use crate::target::Step;

/// The time after which to ask again where the runner takes nothing, in milliseconds.
const LIMITED_AGAIN: u64 = 1000;
/// How long before its bound nothing is started on an older version any more, in milliseconds.
pub(super) const START_MARGIN: u64 = 900;

impl Rollout {
    /// Answers a question for a place, or lets it wait.
    pub(super) fn take_question(&mut self, now: Millis, question: Question) -> Effect {
        let given = self.admit(now, &question);
        self.note_admission(now, &question, given);
        let verdict = match given {
            Ok(()) => Verdict::Granted,
            Err(denial) if self.may_wait(now, &question, denial) => {
                self.questions.push(now, question.clone());
                Verdict::Queued
            }
            Err(denial) => self.deny(now, denial),
        };
        Effect::Answer(question, verdict)
    }

    /// Whether a question may wait for a place. For one that the rate gives too late it would wait in vain.
    fn may_wait(&self, now: Millis, question: &Question, denial: Denial) -> bool {
        let place_in_ms = self.rate.place_in_ms(now, self.questions.len());
        let is_in_time = place_in_ms.is_some_and(|it| it <= question.wait_ms);
        denial.is_short() && is_in_time && question.wait_ms > 0 && self.questions.has_room()
    }

    fn admit(&mut self, now: Millis, question: &Question) -> Result<(), Denial> {
        if question.is_later() && self.holds_back(now, question.rank) {
            return Err(Denial::Later);
        }
        if self.questions.is_behind(now, question) {
            return Err(Denial::Full);
        }
        self.reserve(now, question.prompt_tokens)
    }

    /// Whether first tries leave no room for a later one.
    fn holds_back(&self, now: Millis, rank: u8) -> bool {
        self.keeps(Mechanism::FirstTries)
            && self.first_tries.go_before(now, rank)
            && !self.places.is_roomy(now)
    }

    fn note_admission(&mut self, now: Millis, question: &Question, given: Result<(), Denial>) {
        match given {
            Ok(()) => self.first_tries.note_given(question.is_later()),
            // A runner that takes few requests by its own word says nothing of how short places are elsewhere.
            Err(Denial::Limited) if !question.is_later() => {
                self.first_tries.note_pressed(now, question.rank);
            }
            Err(denial) if denial.is_short() && !question.is_later() => {
                self.first_tries.note_denied(now, question.rank);
            }
            Err(_) => {}
        }
    }

    /// Answers the questions that need not wait any longer.
    pub(super) fn settle_questions(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(tokens) = self.questions.first().map(|it| it.prompt_tokens) {
            match self.reserve(now, tokens) {
                Ok(()) => {
                    let granted = self.questions.pop();
                    let is_later = granted.as_ref().is_some_and(Question::is_later);
                    self.first_tries.note_given(is_later);
                    effects.extend(granted.map(|it| Effect::Answer(it, Verdict::Granted)));
                }
                Err(denial) if denial.is_short() => {
                    let verdict = self.deny(now, denial);
                    let late = self.questions.take_late(now).into_iter();
                    effects.extend(late.map(|it| Effect::Answer(it, verdict)));
                    break;
                }
                Err(denial) => {
                    let verdict = self.deny(now, denial);
                    let all = self.questions.take_all().into_iter();
                    effects.extend(all.map(|it| Effect::Answer(it, verdict)));
                }
            }
        }
        effects
    }

    /// How many questions wait for a place.
    pub fn waiting(&self) -> usize {
        self.questions.len()
    }

    fn deny(&self, now: Millis, denial: Denial) -> Verdict {
        let again_ms = match denial {
            Denial::Cold => self.cold.place_in_ms(now) + MIN_AGAIN,
            Denial::Limited => self.rate.place_in_ms(now, 0).unwrap_or(LIMITED_AGAIN) + MIN_AGAIN,
            _ => self.places.again_ms(now, denial),
        };
        Verdict::Denied { denial, again_ms, short_ms: self.first_tries.short_ms(now) }
    }

    /// Gives a place at the runner to a request with a prompt of so many tokens, or says why not.
    pub fn reserve(&mut self, now: Millis, prompt_tokens: u32) -> Result<(), Denial> {
        if self.is_evacuated(now) {
            return Err(Denial::Evacuated);
        }
        if self.woke_at.is_some() {
            // Whether the hall is evacuated, or another version is due, is not known yet.
            return Err(Denial::Unheard);
        }
        if self.runner_leaves {
            return Err(Denial::RunnerLeaves);
        }
        if !self.status.as_ref().is_some_and(|it| !it.busy && it.version.is_some()) {
            return Err(Denial::NotServing);
        }
        if self.is_exposed() {
            return Err(Denial::LastOrder);
        }
        if self.is_leaving(now) {
            return Err(Denial::Leaving);
        }
        if self.is_too_old(now) {
            return Err(Denial::TooOld);
        }
        if !self.cold.has_place(now) {
            return Err(Denial::Cold);
        }
        if !self.rate.has_place(now) {
            return Err(Denial::Limited);
        }
        self.places.give(now, prompt_tokens)?;
        self.cold.take_place(now);
        self.rate.take_place(now);
        Ok(())
    }

    /// The rate of requests that the runner takes.
    pub fn rate(&self) -> &RateGate {
        &self.rate
    }

    /// What gateways are told of the runner's rate limit. `None` where it named none lately.
    pub fn told_limit(&self, now: Millis) -> Option<ToldLimit> {
        self.rate.told(now, self.born())
    }

    /// When the life of the runner began, where it tells that.
    pub(super) fn born(&self) -> Option<u64> {
        self.life.and_then(|it| it.born)
    }

    /// Goes on with a limit that may have changed.
    pub(super) fn note_limit(&mut self, now: Millis, is_news: bool) -> Vec<Effect> {
        if !is_news {
            return Vec::new();
        }
        let mut effects = vec![Effect::Limit(self.rate.rate())];
        effects.extend(self.settle_questions(now));
        effects
    }

    /// In how many milliseconds there is a place, as far as a cold start and the rate of the runner go.
    pub fn place_in_ms(&self, now: Millis) -> u32 {
        let limited = self.rate.place_in_ms(now, 0).unwrap_or(LIMITED_AGAIN);
        u32::try_from(limited.max(self.cold.place_in_ms(now))).unwrap_or(u32::MAX)
    }

    /// How cold the runner is.
    pub fn cold(&self) -> &ColdStart {
        &self.cold
    }

    /// Whether the data hall of the runner is evacuated, and nothing is sent there any more.
    pub fn is_evacuated(&self, now: Millis) -> bool {
        !self.evacuations.admit(now, &self.options.place.hall)
    }

    /// Whether the runner says that it is leaving. It gets nothing new.
    pub fn runner_leaves(&self) -> bool {
        self.runner_leaves
    }

    /// The data halls that are evacuated.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Whether this machine gave the last order of all while its runner holds an older version than
    /// the newest. A request that waits at the runner when the machine stands still would start on a
    /// version that is too old by then.
    pub(super) fn is_exposed(&self) -> bool {
        let held = self.status.as_ref().and_then(|it| it.version).unwrap_or(0);
        self.keeps(Mechanism::LastOrder) && self.ordered_at.is_some() && held < self.newest_named()
    }

    /// Whether the runner's order is due. Nothing new is sent to it until the order has been taken, so that
    /// nothing waits there when it stops beginning requests.
    pub fn is_leaving(&self, now: Millis) -> bool {
        if self.is_exposed() {
            return true;
        }
        let Some(target) = &self.current else {
            return false;
        };
        match target.step {
            Step::Waiting(at) => now >= at,
            Step::Staging | Step::Ordered(..) => true,
            _ => false,
        }
    }

    /// The places at the runner.
    pub fn places(&self) -> &Places {
        &self.places
    }

    /// How long a request that gets a place now waits at the runner before it starts, by what the runner
    /// still reads and by how long others have waited there, in milliseconds.
    fn start_delay_ms(&self, now: Millis) -> u64 {
        let waited = self.waiting_since.map_or(0, |since| now.since(since).0);
        waited.max(self.places.reading_ms(now))
    }

    /// Whether the runner's version may hardly be used any more.
    pub(super) fn is_too_old(&self, now: Millis) -> bool {
        let start = now.plus(START_MARGIN + self.start_delay_ms(now));
        self.held_bound().is_some_and(|bound| start >= bound)
    }

    /// From when on no request may start on the version that the runner holds. It does not go with the chunks of the
    /// version that set it: where a newer one is taken in its place, both bind.
    pub(super) fn held_bound(&self) -> Option<Millis> {
        let held = self.status.as_ref().and_then(|it| it.version).unwrap_or(0);
        self.names.bound_of(held, self.options.version_ms)
    }
}
