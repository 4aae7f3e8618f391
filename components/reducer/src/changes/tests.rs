//! Runs changes against a table that loses answers and applies writes late, with concurrent operators. The
//! table is the oracle: it holds a single sequence of revisions.

use super::*;
use fleet::{Change, InstanceId, PlanId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The outcome of a call to the table.
#[derive(Clone, Copy, Debug)]
enum CallResult {
    /// The call takes effect and is answered.
    Answered,
    /// The call takes effect and the answer is lost.
    AnswerLost,
    /// The call does not reach the table.
    RequestLost,
    /// The call takes effect after the confirmation has ended.
    Delayed,
    /// The table rejects the call because of its rate limit.
    Busy,
}

fn call_result() -> impl Strategy<Value = CallResult> {
    prop_oneof![
        4 => Just(CallResult::Answered),
        2 => Just(CallResult::AnswerLost),
        1 => Just(CallResult::RequestLost),
        1 => Just(CallResult::Delayed),
        1 => Just(CallResult::Busy),
    ]
}

/// A table with only the head row, and every configuration that it has held.
#[derive(Default)]
struct Table {
    row: Option<(Configuration, u64)>,
    history: Vec<Configuration>,
    delayed: Vec<(Configuration, Option<String>)>,
}

impl Table {
    fn read(&self) -> ConfigurationRow {
        let (configuration, tag) = self.row.clone()?;
        Some((Box::new(configuration), tag.to_string()))
    }

    fn write(&mut self, configuration: Configuration, tag: Option<String>) -> Result<(), Error> {
        let current = self.row.as_ref().map(|(_, tag)| tag.to_string());
        if current != tag {
            return Err(Error::new(Code::RowChanged, ""));
        }
        let next = self.row.as_ref().map_or(1, |(_, tag)| tag + 1);
        self.row = Some((configuration.clone(), next));
        self.history.push(configuration);
        Ok(())
    }

    fn holds(&self, plan: &PlanId) -> bool {
        self.history.iter().any(|it| it.recent.last().is_some_and(|it| &it.plan == plan))
    }
}

fn answer_lost() -> Error {
    Error::new(Code::PlatformUnavailable, "lost")
}

/// Runs a confirmation to its outcome, with one element of `call_results` for each call.
fn confirm(
    table: &mut Table,
    changes: &mut Changes,
    plan: &Plan,
    call_results: &mut impl Iterator<Item = CallResult>,
) -> Outcome {
    let event = ChangeEvent::Confirm { call: 1, plan: Box::new(plan.clone()) };
    let mut effects = changes.reduce(Millis(0), event);
    loop {
        let effect = effects.pop().expect("every call ends with a reply");
        let call_result = call_results.next().unwrap_or(CallResult::Answered);
        let event = match effect {
            ChangeEffect::Reply { outcome, .. } => return *outcome,
            ChangeEffect::ReadHead { call } => {
                let answered = matches!(call_result, CallResult::Answered | CallResult::Delayed);
                let result = if answered { Ok(table.read()) } else { Err(answer_lost()) };
                ChangeEvent::HeadRead { call, result }
            }
            ChangeEffect::WriteHead { call, configuration, tag } => {
                let result = write(table, *configuration, tag, call_result);
                ChangeEvent::HeadWritten { call, result }
            }
            _ => continue,
        };
        effects = changes.reduce(Millis(0), event);
        // The reply is the last effect in the list.
    }
}

fn write(
    table: &mut Table,
    configuration: Configuration,
    tag: Option<String>,
    call_result: CallResult,
) -> Result<(), Error> {
    match call_result {
        CallResult::Answered => table.write(configuration, tag),
        CallResult::AnswerLost => {
            let _ = table.write(configuration, tag);
            Err(answer_lost())
        }
        CallResult::RequestLost => Err(answer_lost()),
        CallResult::Delayed => {
            table.delayed.push((configuration, tag));
            Err(answer_lost())
        }
        CallResult::Busy => Err(Error::new(Code::PlatformBusy, "busy")),
    }
}

fn make_plan(id: usize, base: Revision) -> Plan {
    let instance = InstanceId(format!("i{id}"));
    Plan {
        id: PlanId(format!("p{id}")),
        base,
        intent: Intent::Leave { instance: instance.clone() },
        change: Change::Leave(instance),
        steps: Vec::new(),
        overrides: Vec::new(),
        live_seconds: 0.0,
        origin_bytes: 0,
        expires: Millis(1000),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn replies_to_operators_agree_with_the_table(
        rounds in proptest::collection::vec((0u64..4, proptest::collection::vec(call_result(), 0..8)), 1..12),
    ) {
        let mut table = Table::default();
        let mut replies = Vec::new();
        for (number, (behind, call_results)) in rounds.iter().enumerate() {
            let head = table.row.as_ref().map_or(0, |(it, _)| it.revision.0);
            let plan = make_plan(number, Revision(head.saturating_sub(*behind)));
            let mut call_results = call_results.iter().copied();
            let outcome = confirm(&mut table, &mut Changes::default(), &plan, &mut call_results);
            // Delayed writes reach the table between two confirmations.
            for (configuration, tag) in std::mem::take(&mut table.delayed) {
                let _ = table.write(configuration, tag);
            }
            replies.push((plan, outcome));
        }
        for (index, configuration) in table.history.iter().enumerate() {
            prop_assert_eq!(configuration.revision, Revision(index as u64 + 1));
        }
        for (plan, outcome) in replies {
            match outcome {
                Outcome::Accepted(_) => prop_assert!(table.holds(&plan.id)),
                Outcome::Failed(error) if error.code != Code::OutcomeUnknown => {
                    prop_assert!(!table.holds(&plan.id), "{} was refused with {}", plan.id, error);
                }
                _ => {}
            }
        }
    }
}

#[test]
fn rejects_an_expired_plan() {
    let mut changes = Changes::default();
    let plan = Box::new(make_plan(1, Revision(0)));
    changes.reduce(Millis(5000), ChangeEvent::Confirm { call: 1, plan });
    let read = ChangeEvent::HeadRead { call: 1, result: Ok(None) };
    let effects = changes.reduce(Millis(5000), read);
    let ChangeEffect::Reply { outcome, .. } = &effects[0] else { panic!("no reply") };
    assert!(matches!(&**outcome, Outcome::Failed(error) if error.code == Code::PlanExpired));
}
