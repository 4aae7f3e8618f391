//! Decides which subjects are to blame for crashes that several subjects have in common.
//!
//! Everything that runs on a runner when it crashes shares the crash. The cause has every crash that it caused, and
//! what accompanies it has only some of these. Subjects are therefore considered from the most crashes down, and a crash
//! of a quarantined subject is not held against those with fewer.

use std::collections::{BTreeMap, BTreeSet};

use super::entry::{Entry, QUARANTINE_THRESHOLD};
use crate::digest::SubjectDigest;
use crate::incarnation::IncarnationDigest;

/// The subjects in quarantine and the crashes that they explain.
#[derive(Clone, Debug, Default)]
pub(super) struct Blame {
    pub(super) quarantined: BTreeSet<SubjectDigest>,
    explained: BTreeSet<IncarnationDigest>,
}

/// The order in which subjects are blamed. Of a request and a part of its prompt with equally many crashes, the
/// request is blamed: no other request with the part has crashed a runner.
fn rank(digest: SubjectDigest, entry: &Entry) -> (usize, bool) {
    (entry.crashes.len(), !digest.is_part())
}

impl Blame {
    pub(super) fn new(entries: &BTreeMap<SubjectDigest, Entry>) -> Self {
        let has_enough = |it: &(&SubjectDigest, &Entry)| it.1.crashes.len() >= QUARANTINE_THRESHOLD;
        let mut candidates: Vec<_> = entries.iter().filter(has_enough).collect();
        candidates.sort_by_key(|(digest, entry)| std::cmp::Reverse(rank(**digest, entry)));
        let mut blame = Self::default();
        // Subjects of equal rank do not explain each other's crashes: any of them may be the cause.
        for equals in candidates.chunk_by(|a, b| rank(*a.0, a.1) == rank(*b.0, b.1)) {
            let is_cause =
                |it: &&(&SubjectDigest, &Entry)| blame.unexplained(it.1) >= QUARANTINE_THRESHOLD;
            let causes: Vec<_> = equals.iter().filter(is_cause).collect();
            for (digest, entry) in causes {
                blame.quarantined.insert(**digest);
                blame.explained.extend(entry.crashes.keys());
            }
        }
        blame
    }

    /// The number of crashes of a subject that no quarantined one explains.
    pub(super) fn unexplained(&self, entry: &Entry) -> usize {
        entry.crashes.keys().filter(|it| !self.explains(it)).count()
    }

    /// Whether a quarantined subject is to blame for the crash of a runner.
    pub(super) fn explains(&self, crashed: &IncarnationDigest) -> bool {
        self.explained.contains(crashed)
    }
}
