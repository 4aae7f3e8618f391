//! What the crashes under one request are attributed to.

use crate::digest::SubjectDigest;

/// Most parts of one prompt that crashes are attributed to, so that one request cannot fill the ledger.
const MAX_PARTS: usize = 64;

/// What a request holds that may crash its runner: the request as a whole, and each part of its prompt that other
/// requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subjects {
    request: SubjectDigest,
    parts: Vec<SubjectDigest>,
}

impl Subjects {
    /// The subjects of a request with these shared parts. The last part of a prompt is the request's own and is not
    /// among them.
    pub fn new(request: SubjectDigest, parts: impl IntoIterator<Item = SubjectDigest>) -> Self {
        let mut distinct = Vec::new();
        for part in parts {
            if distinct.len() < MAX_PARTS && !distinct.contains(&part) {
                distinct.push(part);
            }
        }
        Self { request, parts: distinct }
    }

    /// The request and the parts of its prompt.
    pub fn iter(&self) -> impl Iterator<Item = SubjectDigest> + '_ {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }

    /// The parts of the prompt that other requests may share.
    pub fn parts(&self) -> &[SubjectDigest] {
        &self.parts
    }
}

impl From<SubjectDigest> for Subjects {
    /// The subjects of a request without a prompt.
    fn from(request: SubjectDigest) -> Self {
        Self { request, parts: Vec::new() }
    }
}
