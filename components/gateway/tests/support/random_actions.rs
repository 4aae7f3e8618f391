//! Random events for a gateway.

use proptest::prelude::*;

/// The next event. Numbers are taken modulo the number of existing items.
#[derive(Clone, Debug)]
pub enum Action {
    List(u8),
    /// A runner restarts under the same name.
    Restart(u8),
    Drain(u8),
    Unlist(u8),
    Load {
        runner: u8,
        running: u8,
        version: u8,
        busy: bool,
    },
    Name(u8),
    /// The home regions of all requests change.
    Rehome(u8),
    /// The two low bits select the data halls that are evacuated from now on.
    Evacuate(u8),
    Arrive(u8),
    Outcome {
        request: u8,
        outcome: u8,
    },
    /// The runner of a current attempt falls silent.
    Stall(u8),
    /// A silent runner goes on.
    Continue(u8),
    /// A stalled attempt ends.
    EndStalled {
        request: u8,
        outcome: u8,
    },
    Leave(u8),
    Wait(u16),
}

/// A sequence of events.
pub fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        3 => any::<u8>().prop_map(Action::List),
        1 => any::<u8>().prop_map(Action::Restart),
        1 => any::<u8>().prop_map(Action::Drain),
        1 => any::<u8>().prop_map(Action::Unlist),
        4 => (any::<u8>(), 0..6u8, 1..4u8, any::<bool>()).prop_map(
            |(runner, running, version, busy)| Action::Load { runner, running, version, busy }),
        1 => (1..5u8).prop_map(Action::Name),
        1 => any::<u8>().prop_map(Action::Rehome),
        1 => any::<u8>().prop_map(Action::Evacuate),
        8 => any::<u8>().prop_map(Action::Arrive),
        12 => (any::<u8>(), any::<u8>())
            .prop_map(|(request, outcome)| Action::Outcome { request, outcome }),
        4 => any::<u8>().prop_map(Action::Stall),
        2 => any::<u8>().prop_map(Action::Continue),
        2 => (any::<u8>(), any::<u8>())
            .prop_map(|(request, outcome)| Action::EndStalled { request, outcome }),
        1 => any::<u8>().prop_map(Action::Leave),
        4 => (1..400u16).prop_map(Action::Wait),
    ];
    proptest::collection::vec(action, 1..150)
}
