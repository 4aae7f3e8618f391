//! Mechanisms that can be disabled one by one to measure the effect of each.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// A mechanism that decides about requests or weights. `docs/POLICY.md` has the results measured with each
/// one disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// A gateway reserves a slot at the sidecar before it sends a request to the runner.
    Reservations,
    /// A reservation request may wait in the sidecar's queue until a slot is free.
    QueuedReservations,
    /// A request waits in its gateway's queue for a slot for a fraction of its latency target.
    Waiting,
    /// A request that may have run already waits longer for another runner than one that has not run.
    ResumeWait,
    /// A part of the retry budget is kept in reserve.
    BudgetReserve,
    /// A runner that failed receives no requests for a while.
    Suspicion,
    /// Runners in other data halls are rated as more loaded.
    HallPenalty,
    /// A runner receives prompts no faster than it can process them.
    ReadingCredit,
    /// The machine that sent the latest load order sends no requests to a runner with an older version.
    LastOrder,
    /// Sidecars whose runners serve a version keep a share of its chunks for other sidecars.
    KeptShares,
    /// A version whose distribution is far advanced is completed although a newer one was announced.
    FinishedVersions,
    /// Runners switch to a version one after the other.
    Turns,
    /// Reservation requests and queued requests are ordered by rank.
    Ranks,
    /// The retry delay sent to callers is derived from what is known of the shortage.
    ReturnEstimate,
    /// Only a few receivers in a data hall fetch a chunk from another hall.
    HallGates,
    /// Processes report to each other how long ago a version was announced.
    VersionAges,
    /// Runners with slow first responses are selected less often.
    SlowStarts,
    /// Requests without home regions avoid short-staffed home regions, for requests that can be served only
    /// there.
    HomeRoom,
    /// Traffic moves out of an evacuated data hall gradually, over a part of the time allowed for the
    /// evacuation.
    EvenLeaving,
    /// While slots are scarce, first attempts of callers take precedence over repeated attempts.
    FirstTries,
}

impl Mechanism {
    /// Every mechanism.
    pub const ALL: [Self; 20] = [
        Self::Reservations,
        Self::QueuedReservations,
        Self::Waiting,
        Self::ResumeWait,
        Self::BudgetReserve,
        Self::Suspicion,
        Self::HallPenalty,
        Self::ReadingCredit,
        Self::LastOrder,
        Self::KeptShares,
        Self::FinishedVersions,
        Self::Turns,
        Self::Ranks,
        Self::ReturnEstimate,
        Self::HallGates,
        Self::VersionAges,
        Self::SlowStarts,
        Self::HomeRoom,
        Self::EvenLeaving,
        Self::FirstTries,
    ];

    /// The name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Reservations => "reservations",
            Self::QueuedReservations => "queued_reservations",
            Self::Waiting => "waiting",
            Self::ResumeWait => "resume_wait",
            Self::BudgetReserve => "budget_reserve",
            Self::Suspicion => "suspicion",
            Self::HallPenalty => "hall_penalty",
            Self::ReadingCredit => "reading_credit",
            Self::LastOrder => "last_order",
            Self::KeptShares => "kept_shares",
            Self::FinishedVersions => "finished_versions",
            Self::Turns => "turns",
            Self::Ranks => "ranks",
            Self::ReturnEstimate => "return_estimate",
            Self::HallGates => "hall_gates",
            Self::VersionAges => "version_ages",
            Self::SlowStarts => "slow_starts",
            Self::HomeRoom => "home_room",
            Self::EvenLeaving => "even_leaving",
            Self::FirstTries => "first_tries",
        }
    }
}

/// The set of disabled mechanisms; empty except during a measurement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ablation(BTreeSet<Mechanism>);

impl Ablation {
    /// Disables the given mechanisms.
    pub fn without(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self(mechanisms.into_iter().collect())
    }

    /// Returns whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.0.contains(&mechanism)
    }

    /// Returns whether every mechanism is enabled.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The error for a name that matches no mechanism.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownMechanism(String);

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "no mechanism is named {:?}", self.0)
    }
}

impl FromStr for Ablation {
    type Err = UnknownMechanism;

    /// Parses a comma-separated list of names; an empty string disables nothing.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let names = text.split(',').map(str::trim).filter(|it| !it.is_empty());
        let mechanism = |name: &str| {
            let known = Mechanism::ALL.into_iter().find(|it| it.name() == name);
            known.ok_or_else(|| UnknownMechanism(name.to_owned()))
        };
        names.map(mechanism).collect::<Result<_, _>>().map(Self)
    }
}

impl fmt::Display for Ablation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.0.iter().map(|it| it.name()).collect();
        formatter.write_str(&names.join(","))
    }
}
