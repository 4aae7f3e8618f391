//! The list of sidecars that a gateway sends to sidecars.

use std::collections::BTreeMap;

use fleet::{Hall, ServiceName};
use gateway::Gateway;

use crate::message::{Datagram, ListedSidecar, SidecarsPart};

/// Sidecars in one datagram: each takes at most 28 bytes, and a datagram holds 1,400.
const SIDECARS_PER_PART: usize = 45;

/// The answer to a sidecar that asks for the sidecars of a service, with one data hall or a part of it per
/// datagram. `fresh` says whether the gateway is connected to the store.
pub fn sidecar_list(
    gateway: &Gateway,
    service: &ServiceName,
    request_number: u64,
    fresh: bool,
) -> Vec<Datagram> {
    let mut halls: BTreeMap<Hall, Vec<ListedSidecar>> = BTreeMap::new();
    // The machine of a leaving runner is removed with it, and so are the chunks that it was to fetch.
    let staying = gateway.pool().of_service(service).filter(|it| it.is_open());
    for runner in staying {
        let machine = runner.record.address.ip();
        let sidecar = ListedSidecar { machine, version: runner.record.whole_version() };
        halls.entry(runner.record.hall.clone()).or_default().push(sidecar);
    }
    let parts: Vec<(&Hall, &[ListedSidecar])> = halls
        .iter()
        .flat_map(|(hall, all)| all.chunks(SIDECARS_PER_PART).map(move |it| (hall, it)))
        .collect();
    let count = parts.len() as u32;
    let datagram = |(part, (hall, sidecars)): (usize, &(&Hall, &[ListedSidecar]))| {
        Datagram::Sidecars(SidecarsPart {
            question: request_number,
            part: part as u32,
            parts: count,
            fresh,
            hall: (*hall).clone(),
            sidecars: sidecars.to_vec(),
        })
    };
    parts.iter().enumerate().map(datagram).collect()
}
