//! What messages say beyond the format that every build reads.
//!
//! The format of `message` stands as it is: fields and variants are known by their places, so none may move, go or come.
//! What is new rides behind a message as numbered additions. A build passes over the numbers that it does not know, and
//! the first of them passes over all that follows a message. See `docs/design/builds.md`.

use errors::{Code, Error, Result};
use fleet::ToldLimit;
use gateway::LifeLimit;
use serde::{Deserialize, Serialize};

use crate::message::{Datagram, VersionDates};

/// The era of the store that a datagram's list of evacuations is of. A number is never used for anything else.
const ERA: u16 = 1;
/// How long places have been short at the runner that has none, in milliseconds.
const SHORT_MS: u16 = 2;
/// What the sender knows of the rate limit of the runner beside the sidecar.
const LIMIT: u16 = 3;
/// What gateways heard of the rate limits of runners.
const LIMITS: u16 = 4;
/// When the versions in the datagram were named, by the store's clock.
const VERSION_DATES: u16 = 5;

/// One addition.
#[derive(Serialize, Deserialize)]
struct Addition {
    number: u16,
    bytes: Vec<u8>,
}

impl Addition {
    fn new(number: u16, value: &impl Serialize) -> Self {
        let bytes = postcard::to_stdvec(value).expect("it holds numbers alone");
        Self { number, bytes }
    }
}

/// What rides behind a datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Additions {
    /// The era of the store that its list of evacuations is of.
    era: Option<u64>,
    /// How long places have been short at the runner that has none, in milliseconds.
    short_ms: Option<u32>,
    /// What the sender knows of the rate limit of the runner beside the sidecar.
    limit: Option<ToldLimit>,
    /// What gateways heard of the rate limits of runners.
    limits: Vec<LifeLimit>,
    /// When the versions in it were named, by the store's clock.
    version_dates: Option<VersionDates>,
    /// Additions that this build does not know.
    pub unknown: usize,
}

impl Additions {
    /// Reads what follows a message. Nothing follows those of the first builds.
    fn read(bytes: &[u8]) -> Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let unreadable = |_| Error::new(Code::BadFrame, "unreadable additions");
        let listed: Vec<Addition> = postcard::from_bytes(bytes).map_err(unreadable)?;
        let mut additions = Self::default();
        for Addition { number, bytes } in listed {
            match number {
                ERA => additions.era = Some(postcard::from_bytes(&bytes).map_err(unreadable)?),
                SHORT_MS => {
                    additions.short_ms = Some(postcard::from_bytes(&bytes).map_err(unreadable)?);
                }
                LIMIT => additions.limit = Some(postcard::from_bytes(&bytes).map_err(unreadable)?),
                LIMITS => {
                    additions.limits = postcard::from_bytes(&bytes).map_err(unreadable)?;
                }
                VERSION_DATES => {
                    let dates = postcard::from_bytes(&bytes).map_err(unreadable)?;
                    additions.version_dates = Some(dates);
                }
                _ => additions.unknown += 1,
            }
        }
        Ok(additions)
    }

    /// The bytes behind a message: none where there is nothing to add.
    fn write(&self) -> Vec<u8> {
        let era = self.era.map(|it| Addition::new(ERA, &it));
        let short_ms = self.short_ms.map(|it| Addition::new(SHORT_MS, &it));
        let limit = self.limit.map(|it| Addition::new(LIMIT, &it));
        let limits = (!self.limits.is_empty()).then(|| Addition::new(LIMITS, &self.limits));
        let dates = self.version_dates.as_ref().map(|it| Addition::new(VERSION_DATES, it));
        let listed = era.into_iter().chain(short_ms).chain(limit).chain(limits).chain(dates);
        let listed: Vec<Addition> = listed.collect();
        if listed.is_empty() {
            return Vec::new();
        }
        postcard::to_stdvec(&listed).expect("a list can be encoded")
    }

    /// What a datagram says in additions.
    fn of(datagram: &Datagram) -> Self {
        let era = datagram.evacuations().and_then(|it| it.place.era);
        Self {
            era,
            short_ms: datagram.short_ms(),
            limit: datagram.limit(),
            limits: datagram.limits().to_vec(),
            version_dates: datagram.version_dates(),
            unknown: 0,
        }
    }
}

/// Encodes a datagram with its additions.
pub fn encode_datagram(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = crate::message::encode(datagram);
    bytes.extend(Additions::of(datagram).write());
    bytes
}

/// Decodes a datagram with its additions. Those that cannot be read count as none: the datagram holds without them.
pub fn decode_datagram(bytes: &[u8]) -> Result<(Datagram, Additions)> {
    let unreadable = |_| Error::new(Code::BadFrame, "an unreadable message");
    let (mut datagram, rest) = postcard::take_from_bytes::<Datagram>(bytes).map_err(unreadable)?;
    let additions =
        Additions::read(rest).unwrap_or(Additions { unknown: 1, ..Additions::default() });
    if let Some(evacuations) = datagram.evacuations_mut() {
        evacuations.place.era = additions.era;
    }
    datagram.set_short_ms(additions.short_ms);
    datagram.set_limit(additions.limit);
    datagram.set_limits(additions.limits.clone());
    datagram.set_version_dates(additions.version_dates.clone());
    Ok((datagram, additions))
}

#[cfg(test)]
mod tests;
