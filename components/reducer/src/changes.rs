//! Creates, saves and confirms plans. Every change is a compare-and-set on one row of the table, so that only
//! one of two concurrent operators succeeds. If the answer to a write is lost, the row is read again to
//! determine the outcome.

use std::collections::BTreeMap;

use errors::{Code, Error};
use fleet::{Configuration, Intent, Millis, Plan, Release, Revision};

/// Most reads and writes of the head row for one confirmation before its outcome is reported as unknown.
const MAX_CONFIRM_ATTEMPTS: u32 = 5;

/// The head row: the configuration, and the tag that the next write must name.
pub type ConfigurationRow = Option<(Box<Configuration>, String)>;

/// An event concerning a change.
#[derive(Clone, Debug)]
pub enum ChangeEvent {
    /// An operator declares an intent.
    RequestPlan {
        /// Identifies the operator's call.
        call: u64,
        /// The intent.
        intent: Box<Intent>,
        /// The release that the intent names, if it exists.
        release: Option<Release>,
    },
    /// An operator confirms a plan that was read from the table.
    Confirm {
        /// Identifies the operator's call.
        call: u64,
        /// The plan.
        plan: Box<Plan>,
    },
    /// The table answered the request to save a plan.
    PlanSaved {
        /// The call.
        call: u64,
        /// The result from the table.
        result: Result<(), Error>,
    },
    /// The table answered the read of the head row.
    HeadRead {
        /// The call.
        call: u64,
        /// The result from the table.
        result: Result<ConfigurationRow, Error>,
    },
    /// The table answered the write of the head row.
    HeadWritten {
        /// The call.
        call: u64,
        /// The result from the table.
        result: Result<(), Error>,
    },
}

/// An action to perform for a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeEffect {
    /// Read the head row.
    ReadHead {
        /// The call.
        call: u64,
    },
    /// Create a plan based on this configuration.
    MakePlan {
        /// The call.
        call: u64,
        /// The intent.
        intent: Box<Intent>,
        /// The release that the intent names.
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
        /// The tag that the row must have; `None` if the row must not exist.
        tag: Option<String>,
    },
    /// Apply a configuration that the table has accepted.
    Adopt(Box<Configuration>),
    /// Answer the operator.
    Reply {
        /// The call.
        call: u64,
        /// The answer.
        outcome: Box<Outcome>,
    },
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A plan.
    Planned(Box<Plan>),
    /// The plan is in force as of this revision.
    Accepted(Revision),
    /// The call failed.
    Failed(Error),
}

/// The state of a call that waits for the table.
enum Pending {
    Planning { intent: Box<Intent>, release: Option<Release> },
    Saving { plan: Box<Plan> },
    Confirming { plan: Box<Plan>, written: Option<Box<Configuration>>, attempts: u32 },
}

/// The changes in progress at this entry.
#[derive(Default)]
pub struct Changes {
    pending: BTreeMap<u64, Pending>,
}

impl Changes {
    /// Handles an event.
    pub fn reduce(&mut self, now: Millis, event: ChangeEvent) -> Vec<ChangeEffect> {
        match event {
            ChangeEvent::RequestPlan { call, intent, release } => {
                self.pending.insert(call, Pending::Planning { intent, release });
                vec![ChangeEffect::ReadHead { call }]
            }
            ChangeEvent::Confirm { call, plan } => {
                self.pending.insert(call, Pending::Confirming { plan, written: None, attempts: 0 });
                vec![ChangeEffect::ReadHead { call }]
            }
            ChangeEvent::PlanSaved { call, result } => self.handle_plan_saved(call, result),
            ChangeEvent::HeadRead { call, result } => self.handle_head_read(now, call, result),
            ChangeEvent::HeadWritten { call, result } => self.handle_head_written(call, result),
        }
    }

    /// Handles the plan that was created for a call.
    pub fn handle_plan(&mut self, call: u64, result: Result<Plan, Error>) -> Vec<ChangeEffect> {
        match result {
            Ok(plan) => {
                let plan = Box::new(plan);
                self.pending.insert(call, Pending::Saving { plan: plan.clone() });
                vec![ChangeEffect::SavePlan { call, plan }]
            }
            Err(error) => self.reply(call, Outcome::Failed(error)),
        }
    }

    fn handle_plan_saved(&mut self, call: u64, result: Result<(), Error>) -> Vec<ChangeEffect> {
        let Some(Pending::Saving { plan }) = self.pending.remove(&call) else {
            return Vec::new();
        };
        let outcome = match result {
            Ok(()) => Outcome::Planned(plan),
            Err(error) => Outcome::Failed(Error::new(Code::TableUnavailable, error.detail)),
        };
        self.reply(call, outcome)
    }

    fn handle_head_read(
        &mut self,
        now: Millis,
        call: u64,
        result: Result<ConfigurationRow, Error>,
    ) -> Vec<ChangeEffect> {
        match (self.pending.remove(&call), result) {
            (Some(Pending::Planning { intent, release }), Ok(head)) => {
                let base = head.map(|(configuration, _)| configuration).unwrap_or_default();
                vec![ChangeEffect::MakePlan { call, intent, release, base }]
            }
            (Some(Pending::Confirming { plan, written, attempts }), Ok(head)) => {
                self.resolve_confirmation(now, call, plan, written, attempts, head)
            }
            (Some(Pending::Confirming { plan, written: Some(written), attempts }), Err(_)) => {
                // The write may have taken effect, so the reply must not say that nothing was written.
                self.retry(call, plan, written, attempts, ChangeEffect::ReadHead { call })
            }
            (Some(_), Err(error)) => {
                let error = Error::new(Code::TableUnavailable, error.detail);
                self.reply(call, Outcome::Failed(error))
            }
            // A plan that is being saved does not wait for the head row.
            (Some(saving), Ok(_)) => {
                self.pending.insert(call, saving);
                Vec::new()
            }
            (None, _) => Vec::new(),
        }
    }

    /// Compares the head row with the plan, which may be in force already, still to be written, or based on
    /// an outdated revision.
    fn resolve_confirmation(
        &mut self,
        now: Millis,
        call: u64,
        plan: Box<Plan>,
        written: Option<Box<Configuration>>,
        attempts: u32,
        head: ConfigurationRow,
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
            let error = Error::new(Code::PlanExpired, "create a new plan");
            return self.reply(call, Outcome::Failed(error));
        }
        let next = Box::new(current.apply(&plan.id, &plan.change));
        let write = ChangeEffect::WriteHead { call, configuration: next.clone(), tag };
        self.retry(call, plan, next, attempts, write)
    }

    fn handle_head_written(&mut self, call: u64, result: Result<(), Error>) -> Vec<ChangeEffect> {
        let Some(Pending::Confirming { plan, written: Some(written), attempts }) =
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
            // Only if the first write was certainly rejected can the reply say that nothing was written.
            Err(Code::PlatformBusy | Code::Unreachable) if attempts <= 1 => {
                let error = Error::new(Code::TableUnavailable, "the table rejected the write");
                self.reply(call, Outcome::Failed(error))
            }
            Err(_) => self.retry(call, plan, written, attempts, ChangeEffect::ReadHead { call }),
        }
    }

    /// Continues a confirmation, unless it has reached `MAX_CONFIRM_ATTEMPTS`.
    fn retry(
        &mut self,
        call: u64,
        plan: Box<Plan>,
        written: Box<Configuration>,
        attempts: u32,
        effect: ChangeEffect,
    ) -> Vec<ChangeEffect> {
        if attempts >= MAX_CONFIRM_ATTEMPTS {
            let error = Error::new(Code::OutcomeUnknown, "the table's answers were lost");
            return self.reply(call, Outcome::Failed(error));
        }
        let written = Some(written);
        self.pending.insert(call, Pending::Confirming { plan, written, attempts: attempts + 1 });
        vec![effect]
    }

    fn reply(&mut self, call: u64, outcome: Outcome) -> Vec<ChangeEffect> {
        self.pending.remove(&call);
        vec![ChangeEffect::Reply { call, outcome: Box::new(outcome) }]
    }
}

#[cfg(test)]
mod tests;
