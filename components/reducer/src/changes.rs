//! How a plan is made, saved, confirmed and settled. Every change is a compare-and-set on one row
//! of the table, so two operators cannot both win, and a lost answer is settled by reading back.

use std::collections::BTreeMap;

use errors::{Code, Error};
use fleet::{Configuration, Intent, Millis, Plan, Release, Revision};

/// How often the head row is written or read again for one confirmation before the operator is told
/// that the outcome is unknown.
const SETTLE_TRIES: u32 = 5;

/// The head row: the configuration and the tag a write must be based on.
pub type Head = Option<(Box<Configuration>, String)>;

/// What happens to a change.
#[derive(Clone, Debug)]
pub enum ChangeEvent {
    /// An operator declares an intent.
    Ask {
        /// Names the operator's call.
        call: u64,
        /// The intent.
        intent: Box<Intent>,
        /// What the intent's version is, if it names one that exists.
        release: Option<Release>,
    },
    /// An operator confirms a plan that was read from the table.
    Confirm {
        /// Names the operator's call.
        call: u64,
        /// The plan.
        plan: Box<Plan>,
    },
    /// The plan was saved, or not.
    PlanSaved {
        /// The call.
        call: u64,
        /// What the table said.
        result: Result<(), Error>,
    },
    /// The head row was read, or not.
    HeadRead {
        /// The call.
        call: u64,
        /// What the table said.
        result: Result<Head, Error>,
    },
    /// The head row was written, or not.
    HeadWritten {
        /// The call.
        call: u64,
        /// What the table said.
        result: Result<(), Error>,
    },
}

/// What is to be done for a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeEffect {
    /// Read the head row.
    ReadHead {
        /// The call.
        call: u64,
    },
    /// Make a plan on this configuration.
    MakePlan {
        /// The call.
        call: u64,
        /// The intent.
        intent: Box<Intent>,
        /// The release it names.
        release: Option<Release>,
        /// The configuration the table holds.
        base: Box<Configuration>,
    },
    /// Save a plan so that any entry can confirm it.
    SavePlan {
        /// The call.
        call: u64,
        /// The plan.
        plan: Box<Plan>,
    },
    /// Write the head row.
    WriteHead {
        /// The call.
        call: u64,
        /// The new configuration.
        configuration: Box<Configuration>,
        /// The tag the row must have; none for a row that must not exist.
        tag: Option<String>,
    },
    /// Put a configuration that the table accepted in force here.
    Adopt(Box<Configuration>),
    /// Answer the operator.
    Reply {
        /// The call.
        call: u64,
        /// The answer.
        outcome: Box<Outcome>,
    },
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A plan.
    Planned(Box<Plan>),
    /// The plan is in force as of this revision.
    Accepted(Revision),
    /// Neither.
    Failed(Error),
}

/// A call that waits for the table.
enum Pending {
    Asked { intent: Box<Intent>, release: Option<Release> },
    Saving { plan: Box<Plan> },
    Confirming { plan: Box<Plan>, written: Option<Box<Configuration>>, tries: u32 },
}

/// The changes that are under way at this entry.
#[derive(Default)]
pub struct Changes {
    pending: BTreeMap<u64, Pending>,
}

impl Changes {
    /// Takes in an event.
    pub fn reduce(&mut self, now: Millis, event: ChangeEvent) -> Vec<ChangeEffect> {
        match event {
            ChangeEvent::Ask { call, intent, release } => {
                self.pending.insert(call, Pending::Asked { intent, release });
                vec![ChangeEffect::ReadHead { call }]
            }
            ChangeEvent::Confirm { call, plan } => {
                self.pending.insert(call, Pending::Confirming { plan, written: None, tries: 0 });
                vec![ChangeEffect::ReadHead { call }]
            }
            ChangeEvent::PlanSaved { call, result } => self.take_saved(call, result),
            ChangeEvent::HeadRead { call, result } => self.take_head(now, call, result),
            ChangeEvent::HeadWritten { call, result } => self.take_written(call, result),
        }
    }

    /// Takes in the plan that was made for a call.
    pub fn take_plan(&mut self, call: u64, result: Result<Plan, Error>) -> Vec<ChangeEffect> {
        match result {
            Ok(plan) => {
                let plan = Box::new(plan);
                self.pending.insert(call, Pending::Saving { plan: plan.clone() });
                vec![ChangeEffect::SavePlan { call, plan }]
            }
            Err(error) => self.reply(call, Outcome::Failed(error)),
        }
    }

    fn take_saved(&mut self, call: u64, result: Result<(), Error>) -> Vec<ChangeEffect> {
        let Some(Pending::Saving { plan }) = self.pending.remove(&call) else {
            return Vec::new();
        };
        let outcome = match result {
            Ok(()) => Outcome::Planned(plan),
            Err(error) => Outcome::Failed(Error::new(Code::TableUnavailable, error.detail)),
        };
        self.reply(call, outcome)
    }

    fn take_head(
        &mut self,
        now: Millis,
        call: u64,
        result: Result<Head, Error>,
    ) -> Vec<ChangeEffect> {
        match (self.pending.remove(&call), result) {
            (Some(Pending::Asked { intent, release }), Ok(head)) => {
                let base = head.map(|(configuration, _)| configuration).unwrap_or_default();
                vec![ChangeEffect::MakePlan { call, intent, release, base }]
            }
            (Some(Pending::Confirming { plan, written, tries }), Ok(head)) => {
                self.settle(now, call, plan, written, tries, head)
            }
            (Some(Pending::Confirming { plan, written: Some(written), tries }), Err(_)) => {
                // The write may have taken effect, so "nothing was written" would be a guess.
                self.try_again(call, plan, written, tries, ChangeEffect::ReadHead { call })
            }
            (Some(_), Err(error)) => {
                let error = Error::new(Code::TableUnavailable, error.detail);
                self.reply(call, Outcome::Failed(error))
            }
            // A plan that is being saved waits for no head.
            (Some(saving), Ok(_)) => {
                self.pending.insert(call, saving);
                Vec::new()
            }
            (None, _) => Vec::new(),
        }
    }

    /// Compares the head row with the plan: done, still to be written, or overtaken.
    fn settle(
        &mut self,
        now: Millis,
        call: u64,
        plan: Box<Plan>,
        written: Option<Box<Configuration>>,
        tries: u32,
        head: Head,
    ) -> Vec<ChangeEffect> {
        let (current, tag) = match head {
            Some((configuration, tag)) => (configuration, Some(tag)),
            None => (Box::default(), None),
        };
        if let Some(revision) = current.revision_of(&plan.id) {
            let mut effects = vec![ChangeEffect::Adopt(current)];
            effects.extend(self.reply(call, Outcome::Accepted(revision)));
            return effects;
        }
        if current.revision != plan.base {
            let detail = format!(
                "the plan is based on revision {}, revision {} is in force",
                plan.base, current.revision
            );
            let error = Error::new(Code::RevisionConflict, detail);
            return self.reply(call, Outcome::Failed(error));
        }
        if written.is_none() && now >= plan.expires {
            let error = Error::new(Code::PlanExpired, "make a new plan");
            return self.reply(call, Outcome::Failed(error));
        }
        let next = Box::new(current.apply(&plan.id, &plan.change));
        let write = ChangeEffect::WriteHead { call, configuration: next.clone(), tag };
        self.try_again(call, plan, next, tries, write)
    }

    fn take_written(&mut self, call: u64, result: Result<(), Error>) -> Vec<ChangeEffect> {
        let Some(Pending::Confirming { plan, written: Some(written), tries }) =
            self.pending.remove(&call)
        else {
            return Vec::new();
        };
        match result.map_err(|error| error.code) {
            Ok(()) => {
                let revision = written.revision;
                let mut effects = vec![ChangeEffect::Adopt(written)];
                effects.extend(self.reply(call, Outcome::Accepted(revision)));
                effects
            }
            // Only a first write that was surely refused lets us say that nothing was written.
            Err(Code::PlatformBusy | Code::Unreachable) if tries <= 1 => {
                let error = Error::new(Code::TableUnavailable, "the table took no write");
                self.reply(call, Outcome::Failed(error))
            }
            Err(_) => self.try_again(call, plan, written, tries, ChangeEffect::ReadHead { call }),
        }
    }

    /// Goes on with a confirmation, unless it has been tried too often.
    fn try_again(
        &mut self,
        call: u64,
        plan: Box<Plan>,
        written: Box<Configuration>,
        tries: u32,
        effect: ChangeEffect,
    ) -> Vec<ChangeEffect> {
        if tries >= SETTLE_TRIES {
            let error = Error::new(Code::OutcomeUnknown, "the table's answers were lost");
            return self.reply(call, Outcome::Failed(error));
        }
        let written = Some(written);
        self.pending.insert(call, Pending::Confirming { plan, written, tries: tries + 1 });
        vec![effect]
    }

    fn reply(&mut self, call: u64, outcome: Outcome) -> Vec<ChangeEffect> {
        self.pending.remove(&call);
        vec![ChangeEffect::Reply { call, outcome: Box::new(outcome) }]
    }
}

#[cfg(test)]
mod tests;
