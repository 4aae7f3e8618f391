//! Changes against a table that loses answers and applies writes late, with operators that race.
//! The oracle is the table itself: one line of revisions.

use super::*;
use fleet::{Change, InstanceId, PlanId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// How a call to the table ends.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and the answer is lost.
    LostAfter,
    /// It never reaches the table.
    LostBefore,
    /// It takes effect only at the end of the test.
    Late,
    /// The table refuses it by its rate limit.
    Busy,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        2 => Just(Fate::LostAfter),
        1 => Just(Fate::LostBefore),
        1 => Just(Fate::Late),
        1 => Just(Fate::Busy),
    ]
}

/// A table with the one row that matters, and every configuration it ever held.
#[derive(Default)]
struct Table {
    row: Option<(Configuration, u64)>,
    history: Vec<Configuration>,
    late: Vec<(Configuration, Option<String>)>,
}

impl Table {
    fn read(&self) -> Head {
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

fn lost() -> Error {
    Error::new(Code::PlatformUnavailable, "lost")
}

/// Carries a confirmation to its outcome; `fates` are used up call by call.
fn confirm(
    table: &mut Table,
    changes: &mut Changes,
    plan: &Plan,
    fates: &mut impl Iterator<Item = Fate>,
) -> Outcome {
    let event = ChangeEvent::Confirm { call: 1, plan: Box::new(plan.clone()) };
    let mut effects = changes.reduce(Millis(0), event);
    loop {
        let effect = effects.pop().expect("every call ends with a reply");
        let fate = fates.next().unwrap_or(Fate::Answered);
        let event = match effect {
            ChangeEffect::Reply { outcome, .. } => return *outcome,
            ChangeEffect::ReadHead { call } => {
                let answered = matches!(fate, Fate::Answered | Fate::Late);
                let result = if answered { Ok(table.read()) } else { Err(lost()) };
                ChangeEvent::HeadRead { call, result }
            }
            ChangeEffect::WriteHead { call, configuration, tag } => {
                let result = write(table, *configuration, tag, fate);
                ChangeEvent::HeadWritten { call, result }
            }
            _ => continue,
        };
        effects = changes.reduce(Millis(0), event);
        // The reply stands last in the list of effects.
    }
}

fn write(
    table: &mut Table,
    configuration: Configuration,
    tag: Option<String>,
    fate: Fate,
) -> Result<(), Error> {
    match fate {
        Fate::Answered => table.write(configuration, tag),
        Fate::LostAfter => {
            let _ = table.write(configuration, tag);
            Err(lost())
        }
        Fate::LostBefore => Err(lost()),
        Fate::Late => {
            table.late.push((configuration, tag));
            Err(lost())
        }
        Fate::Busy => Err(Error::new(Code::PlatformBusy, "busy")),
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
    fn tells_operators_only_what_is_true(
        rounds in proptest::collection::vec((0u64..4, proptest::collection::vec(fate(), 0..8)), 1..12),
    ) {
        let mut table = Table::default();
        let mut told = Vec::new();
        for (number, (behind, fates)) in rounds.iter().enumerate() {
            let head = table.row.as_ref().map_or(0, |(it, _)| it.revision.0);
            let plan = make_plan(number, Revision(head.saturating_sub(*behind)));
            let mut fates = fates.iter().copied();
            let outcome = confirm(&mut table, &mut Changes::default(), &plan, &mut fates);
            // Writes that were held up reach the table between two confirmations.
            for (configuration, tag) in std::mem::take(&mut table.late) {
                let _ = table.write(configuration, tag);
            }
            told.push((plan, outcome));
        }
        for (index, configuration) in table.history.iter().enumerate() {
            prop_assert_eq!(configuration.revision, Revision(index as u64 + 1));
        }
        for (plan, outcome) in told {
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
fn refuses_an_expired_plan() {
    let mut changes = Changes::default();
    let plan = Box::new(make_plan(1, Revision(0)));
    changes.reduce(Millis(5000), ChangeEvent::Confirm { call: 1, plan });
    let read = ChangeEvent::HeadRead { call: 1, result: Ok(None) };
    let effects = changes.reduce(Millis(5000), read);
    let ChangeEffect::Reply { outcome, .. } = &effects[0] else { panic!("no reply") };
    assert!(matches!(&**outcome, Outcome::Failed(error) if error.code == Code::PlanExpired));
}
