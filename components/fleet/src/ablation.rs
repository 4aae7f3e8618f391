//! Mechanisms that can be switched off one by one, to measure what each is worth.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// A mechanism that decides about requests or weights. What is measured without it stands in
/// `docs/POLICY.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// A gateway asks a sidecar for a place before it sends a request to the runner.
    Reservations,
    /// Such a question waits at the sidecar for a place.
    QueuedReservations,
    /// A request waits at its gateway for a place for a part of its aim.
    Waiting,
    /// A request that may have run waits longer for another runner than one that has not.
    ResumeWait,
    /// A part of the retry budget is left unused.
    BudgetReserve,
    /// A runner that failed is left alone for a while.
    Suspicion,
    /// Runners of other data halls count as fuller.
    HallPenalty,
    /// A runner gets no more prompts than it reads.
    ReadingCredit,
    /// The machine of the last order sends nothing to a runner with an older version.
    LastOrder,
    /// Sidecars whose runners serve a version keep a share of its chunks for others.
    KeptShares,
    /// A version that has come far is finished although a newer one was named.
    FinishedVersions,
    /// Runners are moved to a version one after the other.
    Turns,
    /// Questions and queued requests are ordered by rank.
    Ranks,
    /// Callers are told when to come back by what is known of the shortage.
    ReturnEstimate,
    /// Few receivers of a data hall draw a chunk from another one.
    HallGates,
    /// Processes tell each other how long ago a version was named.
    VersionAges,
    /// Runners whose answers began late are chosen less.
    SlowStarts,
    /// Requests that may go anywhere leave tight homes to those that may not.
    HomeRoom,
    /// A data hall that is evacuated is left over a part of the time that this may take.
    EvenLeaving,
    /// Where places are short, first tries of callers go before later ones.
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

    /// The name in settings.
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

/// The mechanisms that are switched off. None are unless a measurement asks for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ablation(BTreeSet<Mechanism>);

impl Ablation {
    /// Without these mechanisms.
    pub fn without(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self(mechanisms.into_iter().collect())
    }

    /// Whether a mechanism is at work.
    pub fn keeps(&self, mechanism: Mechanism) -> bool {
        !self.0.contains(&mechanism)
    }

    /// Whether every mechanism is at work.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A name that is no mechanism's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownMechanism(String);

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "no mechanism is named {:?}", self.0)
    }
}

impl FromStr for Ablation {
    type Err = UnknownMechanism;

    /// Reads names split by commas; an empty text switches nothing off.
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
