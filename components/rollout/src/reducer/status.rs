//! What the runner says of itself.

use fleet::{LifeChange, LifeWord, Millis};

use super::{Rollout, ORDER_PATIENCE};
use crate::event::{Effect, RunnerStatus};
use crate::rate::RateGate;
use crate::target::Step;

impl Rollout {
    pub(super) fn take_status(&mut self, now: Millis, status: RunnerStatus) -> Vec<Effect> {
        let told = LifeWord { born: status.born, sequence: status.sequence };
        let change = self.life.map_or(LifeChange::Same, |known| known.compare(told));
        let effects = match change {
            LifeChange::Same => Vec::new(),
            change => vec![Effect::Life(change, told)],
        };
        if matches!(change, LifeChange::Earlier | LifeChange::Untold) {
            return effects;
        }
        self.life = Some(told);
        let has_begun = change == LifeChange::Began;
        if has_begun {
            self.places.forget();
            self.rate = RateGate::default();
            self.waiting_since = None;
        }
        self.places.take_report(now, status.running);
        self.status_at = now;
        self.waiting_since = match status.waiting {
            0 => None,
            _ => self.waiting_since.or(Some(now)),
        };
        let was_heard = self.status.replace(status.clone()).is_some();
        if has_begun || !was_heard {
            self.cold.assume(now);
        }
        let Some(target) = &mut self.current else {
            return effects;
        };
        let holds = status.version.is_some_and(|it| it >= target.version);
        match target.step {
            // What was put there is put again: an order to this life is given by what is known of it.
            Step::Staging if has_begun => target.step = Step::Waiting(now),
            Step::Served if !holds && !status.busy => {
                target.step = if target.is_whole() {
                    Step::Waiting(now)
                } else {
                    Step::Describing { not_before: now, asked: false }
                };
            }
            Step::Served => {}
            _ if holds && !status.busy => target.step = Step::Served,
            Step::Ordered(at, sequence) => {
                let late = now.since(at).0 > ORDER_PATIENCE && !status.busy;
                let settled = status.sequence > sequence && !status.busy;
                if late || settled || has_begun {
                    target.step = Step::Waiting(now);
                }
            }
            _ => {}
        }
        effects
    }
}
