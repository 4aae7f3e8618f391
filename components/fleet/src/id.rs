//! Identifiers used in the fleet.

use std::fmt;
use std::str::FromStr;

use errors::{Code, Error};
use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

text_id! {
    /// The name of a machine, unique in the fleet.
    InstanceId
}
text_id! {
    /// The name of a data hall (a failure zone).
    Hall
}
text_id! {
    /// The name of a region, which holds one or more halls.
    Region
}
text_id! {
    /// The name of a model or adapter in requests.
    ModelName
}
text_id! {
    /// The name of a plain service.
    ServiceName
}
text_id! {
    /// The name of a customer's workspace.
    WorkspaceId
}
text_id! {
    /// The ID of a plan: a digest of its intent and base revision, in hex.
    PlanId
}
number_id! {
    /// The revision of a configuration. Each accepted change increments it.
    Revision
}
number_id! {
    /// Distinguishes successive runs of a process with the same name. It increases with each start.
    Incarnation
}
number_id! {
    /// A point in time or a duration, in milliseconds.
    Millis
}

impl Millis {
    /// The duration from `earlier` to this time, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// The time `span` milliseconds after this one. Saturates.
    pub fn plus(self, span: u64) -> Millis {
        Millis(self.0.saturating_add(span))
    }

    /// The time `span` milliseconds before this one. Saturates at zero.
    pub fn minus(self, span: u64) -> Millis {
        Millis(self.0.saturating_sub(span))
    }
}

/// The ID of a request: the incarnation of the entry process that accepted it and a serial number. IDs are
/// never reused, so a late response can only reach the request it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The incarnation of the entry process.
    pub entry: Incarnation,
    /// The serial number of the request at that process.
    pub serial: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.entry.0, self.serial)
    }
}

/// The ID of a version of weights: the BLAKE3 digest of its manifest.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionId(pub [u8; 32]);

impl VersionId {
    /// The first eight hex digits, for display.
    pub fn short(&self) -> String {
        self.to_string()[..8].to_owned()
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.short())
    }
}

impl FromStr for VersionId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let hash = blake3::Hash::from_hex(text)
            .map_err(|_| Error::new(Code::UnknownVersion, "a version is 64 hex digits"))?;
        Ok(Self(*hash.as_bytes()))
    }
}

// Human-readable formats contain the hex string, binary formats the 32 bytes.
impl Serialize for VersionId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for VersionId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            <[u8; 32]>::deserialize(deserializer).map(Self)
        }
    }
}

#[cfg(test)]
mod tests;
