//! What a gateway tells sidecars of each other.

use std::collections::BTreeMap;

use fleet::{Hall, ServiceName};
use gateway::Gateway;

use crate::message::{Datagram, ListedSidecar, SidecarsPart};

/// Sidecars in one datagram: each takes at most 28 bytes, and a datagram holds 1,400.
const SIDECARS_IN_A_PART: usize = 45;

/// The answer to a sidecar's question for the others of a service, a data hall or a part of one in each
/// datagram. `fresh` tells whether the gateway hears the store.
pub fn answer(
    gateway: &Gateway,
    service: &ServiceName,
    question: u64,
    fresh: bool,
) -> Vec<Datagram> {
    let mut halls: BTreeMap<Hall, Vec<ListedSidecar>> = BTreeMap::new();
    // The machine of a runner that leaves goes with it, and whatever chunks it was to draw.
    let staying = gateway.pool().of_service(service).filter(|it| it.is_open());
    for runner in staying {
        let machine = runner.record.address.ip();
        let sidecar = ListedSidecar { machine, version: runner.record.whole_version() };
        halls.entry(runner.record.hall.clone()).or_default().push(sidecar);
    }
    let parts: Vec<(&Hall, &[ListedSidecar])> = halls
        .iter()
        .flat_map(|(hall, all)| all.chunks(SIDECARS_IN_A_PART).map(move |it| (hall, it)))
        .collect();
    let count = parts.len() as u32;
    let datagram = |(part, (hall, sidecars)): (usize, &(&Hall, &[ListedSidecar]))| {
        Datagram::Sidecars(SidecarsPart {
            question,
            part: part as u32,
            parts: count,
            fresh,
            hall: (*hall).clone(),
            sidecars: sidecars.to_vec(),
        })
    };
    parts.iter().enumerate().map(datagram).collect()
}
