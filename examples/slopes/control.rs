//! Membership: size of the state and the time of a tick and of a datagram, by the number of daemons.

use std::net::SocketAddr;

use fleet::{
    Hall, Incarnation, Instance, InstanceId, ListedState, Location, Millis, Process, Region,
    Revision,
};
use reducer::{Control, ControlEvent, Seed};
use wire::{Datagram, DatagramBody, MemberNews, MemberRecord, MemberState};

use crate::table::{heap_bytes, micros, print_header, print_row};

/// Numbers of daemons.
const FLEET_SIZES: [usize; 4] = [100, 300, 1000, 3000];
/// Number of member updates in the measured datagram.
const NEWS_PER_DATAGRAM: usize = 30;

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7400))
}

pub fn instance(number: usize, process: Process) -> Instance {
    Instance {
        id: InstanceId(format!("instance-{number:04}")),
        place: Location {
            region: Region("region".into()),
            hall: Hall(format!("hall-{}", number % 4)),
        },
        process,
        address: address(number),
        memory_bytes: 1 << 40,
        state: ListedState::Live,
    }
}

pub fn record(it: &Instance) -> MemberRecord {
    MemberRecord {
        id: it.id.clone(),
        incarnation: Incarnation(1),
        serial: 1,
        state: MemberState::Alive,
        place: it.place.clone(),
        process: it.process.clone(),
        address: it.address,
        serving: Vec::new(),
    }
}

/// The membership state of a daemon that knows `size` others.
pub fn control(size: usize, process: &Process) -> Control {
    let own_instance = instance(0, Process::Entry);
    let list: Vec<Instance> = (1..=size).map(|n| instance(n, process.clone())).collect();
    let mut control = Control::new(record(&own_instance), 3000);
    let mut seed = Seed::new(1);
    control.reduce(Millis(0), &mut seed, ControlEvent::TableRead(None));
    control.reduce(Millis(0), &mut seed, ControlEvent::Listed(list));
    control
}

/// Measures and prints the table.
pub fn measure() {
    print_header("members", &["daemons", "state bytes", "tick us", "datagram us"]);
    for size in FLEET_SIZES {
        let state = heap_bytes(|| control(size, &Process::Engine));
        let mut daemon = control(size, &Process::Engine);
        let mut seed = Seed::new(2);
        let tick = micros(2000, |n| {
            daemon.reduce(Millis(u64::from(n) * 50), &mut seed, ControlEvent::Tick);
        });
        let news = (1..=NEWS_PER_DATAGRAM)
            .map(|n| MemberNews::listed(&record(&instance(n, Process::Engine))));
        let datagram = Datagram {
            from: instance(1, Process::Engine).id,
            incarnation: Incarnation(1),
            revision: Revision(0),
            body: DatagramBody::News,
            news: news.collect(),
        };
        let receive = micros(2000, |n| {
            let datagram = Box::new(datagram.clone());
            let event = ControlEvent::Datagram { from: address(1), datagram };
            daemon.reduce(Millis(200_000 + u64::from(n)), &mut seed, event);
        });
        print_row(&[size as f64, state, tick, receive]);
    }
}
