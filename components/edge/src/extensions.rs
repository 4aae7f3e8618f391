//! Optional extension fields appended to a message after the format that every build can read.
//!
//! The format in `message` is fixed: fields and variants are identified by position, so none may be moved,
//! added or removed. New data is appended to the message as numbered extensions. A build skips the extension
//! numbers that it does not know, and the first builds ignore everything after the message. See
//! `docs/design/builds.md`.

use errors::{Code, Error, Result};
use fleet::ReportedLimit;
use gateway::IncarnationLimit;
use serde::{Deserialize, Serialize};

use crate::message::{Datagram, VersionDates};

/// Store era of the datagram's evacuation list. An extension number is never reused for another purpose.
const ERA: u16 = 1;
/// How long slots have been scarce at a runner that has none free, in milliseconds.
const SHORT_MS: u16 = 2;
/// The rate limit of the sidecar's runner, as far as the sender knows it.
const LIMIT: u16 = 3;
/// Rate limits of runners that gateways have received.
const LIMITS: u16 = 4;
/// The times at which the versions in the datagram were announced, by the store's clock.
const VERSION_DATES: u16 = 5;
/// How much longer a request may take that is pinned to its runner, in milliseconds.
const PINNED_MS: u16 = 6;

/// A numbered extension with its encoded value.
#[derive(Serialize, Deserialize)]
struct Extension {
    number: u16,
    bytes: Vec<u8>,
}

impl Extension {
    fn new(number: u16, value: &impl Serialize) -> Self {
        let bytes = postcard::to_stdvec(value).expect("extension values can be encoded");
        Self { number, bytes }
    }
}

/// The extensions of a datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Extensions {
    /// The store era of its evacuation list.
    era: Option<u64>,
    /// How long slots have been scarce at a runner that has none free, in milliseconds.
    short_ms: Option<u32>,
    /// The rate limit of the sidecar's runner, as far as the sender knows it.
    limit: Option<ReportedLimit>,
    /// Rate limits of runners that gateways have received.
    limits: Vec<IncarnationLimit>,
    /// The times at which its versions were announced, by the store's clock.
    version_dates: Option<VersionDates>,
    /// How much longer its request may take if it is pinned to the runner, in milliseconds.
    pinned_ms: Option<u32>,
    /// The number of extensions that this build does not know.
    pub unknown: usize,
}

impl Extensions {
    /// Decodes the bytes after a message. Messages of the first builds have none.
    fn read(bytes: &[u8]) -> Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let unreadable = |_| Error::new(Code::BadFrame, "unreadable extensions");
        let encoded: Vec<Extension> = postcard::from_bytes(bytes).map_err(unreadable)?;
        let mut extensions = Self::default();
        for Extension { number, bytes } in encoded {
            match number {
                ERA => extensions.era = Some(postcard::from_bytes(&bytes).map_err(unreadable)?),
                SHORT_MS => {
                    extensions.short_ms = Some(postcard::from_bytes(&bytes).map_err(unreadable)?);
                }
                LIMIT => extensions.limit = Some(postcard::from_bytes(&bytes).map_err(unreadable)?),
                LIMITS => {
                    extensions.limits = postcard::from_bytes(&bytes).map_err(unreadable)?;
                }
                VERSION_DATES => {
                    let dates = postcard::from_bytes(&bytes).map_err(unreadable)?;
                    extensions.version_dates = Some(dates);
                }
                PINNED_MS => {
                    extensions.pinned_ms = Some(postcard::from_bytes(&bytes).map_err(unreadable)?);
                }
                _ => extensions.unknown += 1,
            }
        }
        Ok(extensions)
    }

    /// Encodes the extensions. The result is empty if there are none.
    fn write(&self) -> Vec<u8> {
        let era = self.era.map(|it| Extension::new(ERA, &it));
        let short_ms = self.short_ms.map(|it| Extension::new(SHORT_MS, &it));
        let limit = self.limit.map(|it| Extension::new(LIMIT, &it));
        let limits = (!self.limits.is_empty()).then(|| Extension::new(LIMITS, &self.limits));
        let dates = self.version_dates.as_ref().map(|it| Extension::new(VERSION_DATES, it));
        let pinned_ms = self.pinned_ms.map(|it| Extension::new(PINNED_MS, &it));
        let encoded = [era, short_ms, limit, limits, dates, pinned_ms];
        let encoded: Vec<Extension> = encoded.into_iter().flatten().collect();
        if encoded.is_empty() {
            return Vec::new();
        }
        postcard::to_stdvec(&encoded).expect("a list can be encoded")
    }

    /// Collects the extensions of a datagram from its fields.
    fn of(datagram: &Datagram) -> Self {
        let era = datagram.evacuations().and_then(|it| it.place.era);
        Self {
            era,
            short_ms: datagram.short_ms(),
            limit: datagram.limit(),
            limits: datagram.limits().to_vec(),
            version_dates: datagram.version_dates(),
            pinned_ms: datagram.pinned_ms(),
            unknown: 0,
        }
    }
}

/// Encodes a datagram with its extensions.
pub fn encode_datagram(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = crate::message::encode(datagram);
    bytes.extend(Extensions::of(datagram).write());
    bytes
}

/// Decodes a datagram with its extensions. Unreadable extensions are ignored, since the datagram is valid
/// without them.
pub fn decode_datagram(bytes: &[u8]) -> Result<(Datagram, Extensions)> {
    let unreadable = |_| Error::new(Code::BadFrame, "unreadable message");
    let (mut datagram, rest) = postcard::take_from_bytes::<Datagram>(bytes).map_err(unreadable)?;
    let extensions =
        Extensions::read(rest).unwrap_or(Extensions { unknown: 1, ..Extensions::default() });
    if let Some(evacuations) = datagram.evacuations_mut() {
        evacuations.place.era = extensions.era;
    }
    datagram.set_short_ms(extensions.short_ms);
    datagram.set_limit(extensions.limit);
    datagram.set_limits(extensions.limits.clone());
    datagram.set_version_dates(extensions.version_dates.clone());
    datagram.set_pinned_ms(extensions.pinned_ms);
    Ok((datagram, extensions))
}

#[cfg(test)]
mod tests;
