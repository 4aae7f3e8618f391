//! Gateways that follow a part of the sidecars, in fleets of many sizes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::Millis;
use gateway::followed::{choose, most, Candidate};
use gateway::{GatewaysHeard, Members, Sureness};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const HALLS: usize = 5;
const WINDOW: u64 = 10_000;
const ROUND: u64 = 1000;
/// Sidecars that a gateway asks in a round which gateways they hear.
const ASKED: usize = 6;
/// Machines, gateways and sidecars together. A third are gateways.
const SIZES: [usize; 4] = [30, 100, 300, 1000];

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 9000))
}

/// A weight that differs between gateways.
fn weight(gateway: usize, sidecar: usize) -> u64 {
    SmallRng::seed_from_u64((gateway * 100_000 + sidecar) as u64).random()
}

/// The sidecars that each gateway follows. `known` is how many gateways it takes for sure.
fn followed(gateways: usize, sidecars: usize, known: Option<usize>) -> Vec<Vec<usize>> {
    let of = |gateway: usize| {
        let candidates = (0..sidecars).map(|sidecar| Candidate {
            sidecar,
            weight: weight(gateway, sidecar),
            is_near: sidecar % HALLS == gateway % HALLS,
        });
        choose(candidates.collect(), most(sidecars, known))
    };
    (0..gateways).map(of).collect()
}

fn followers(followed: &[Vec<usize>], sidecars: usize) -> Vec<usize> {
    let mut counts = vec![0; sidecars];
    followed.iter().flatten().for_each(|it| counts[*it] += 1);
    counts
}

#[test]
fn no_sidecar_is_left_without_and_none_has_many_followers_at_any_size() {
    for machines in SIZES {
        let (gateways, sidecars) = (machines / 3, machines - machines / 3);
        for known in [None, Some(gateways)] {
            let followed = followed(gateways, sidecars, known);
            let most_followed = followed.iter().map(Vec::len).max().unwrap();
            assert!(most_followed <= 64, "{most_followed} of {machines}");
            let counts = followers(&followed, sidecars);
            let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
            assert!(*least >= 8 && *most <= 64, "{least} to {most} at {machines} machines");
        }
    }
}

#[test]
fn few_gateways_follow_enough_sidecars_that_each_is_seen_by_some() {
    for (gateways, sidecars) in [(3, 12), (5, 600), (20, 600), (60, 600)] {
        let counts = followers(&followed(gateways, sidecars, Some(gateways)), sidecars);
        let least = *counts.iter().min().unwrap();
        assert!(least >= gateways.min(3), "{least} of {gateways} gateways follow one");
    }
}

#[test]
fn sidecars_that_come_and_go_change_little_of_what_a_gateway_follows() {
    let before = &followed(1, 600, None)[0];
    let after = &followed(1, 606, None)[0];
    let kept = after.iter().filter(|it| before.contains(it)).count();
    assert!(kept >= 60, "{kept} of 64 are the same");
}

/// Gateways that learn of each other from the sidecars they follow. A tenth of the datagrams is lost.
struct Fleet {
    now: u64,
    random: SmallRng,
    followed: Vec<Vec<usize>>,
    members: Vec<Members>,
    sidecars: Vec<GatewaysHeard>,
}

impl Fleet {
    fn new(gateways: usize, sidecars: usize) -> Self {
        Self {
            now: 1_000_000,
            random: SmallRng::seed_from_u64(gateways as u64),
            followed: followed(gateways, sidecars, None),
            members: (0..gateways).map(|_| Members::new(WINDOW)).collect(),
            sidecars: vec![GatewaysHeard::new(WINDOW); sidecars],
        }
    }

    fn round(&mut self) {
        self.now += ROUND;
        let now = Millis(self.now);
        for gateway in 0..self.members.len() {
            let followed = &self.followed[gateway];
            let asked: Vec<usize> =
                followed.choose_multiple(&mut self.random, ASKED).copied().collect();
            for sidecar in followed.iter().filter(|_| self.random.random_bool(0.9)) {
                self.sidecars[*sidecar].note(now, address(gateway));
            }
            let members = &mut self.members[gateway];
            members.note_sidecars(self.sidecars.len(), followed.len());
            members.note_coverage(now, Some(1.0));
            for sidecar in asked.into_iter().filter(|_| self.random.random_bool(0.81)) {
                members.take(now, self.sidecars[sidecar].list(now, address(gateway)));
            }
        }
    }

    /// A gateway that has read the configuration and the list of runners, and heard nobody else.
    fn restart(&mut self, gateway: usize) {
        let mut members = Members::new(WINDOW);
        members.note_sidecars(self.sidecars.len(), self.followed[gateway].len());
        self.members[gateway] = members;
    }

    fn parts(&self) -> f64 {
        self.members.iter().map(|it| it.part(Millis(self.now))).sum()
    }
}

#[test]
fn gateways_count_each_other_within_a_tenth_at_any_size() {
    for machines in SIZES {
        let gateways = machines / 3;
        let mut fleet = Fleet::new(gateways, machines - gateways);
        (0..20).for_each(|_| fleet.round());
        let now = Millis(fleet.now);
        let mut counts = BTreeMap::new();
        for members in &fleet.members {
            assert_eq!(members.sureness(now), Sureness::Sure);
            *counts.entry(members.count(now)).or_insert(0) += 1;
        }
        let (least, most) = (counts.keys().min().unwrap(), counts.keys().max().unwrap());
        assert!(*most <= gateways && *least * 10 >= gateways * 9, "{counts:?} of {gateways}");
        let parts = fleet.parts();
        assert!((0.6..=0.8).contains(&parts), "{parts} of the allowance at {machines}");
    }
}

#[test]
fn gateways_use_no_more_than_all_of_what_they_share_while_any_of_them_start_again() {
    for machines in SIZES {
        let gateways = machines / 3;
        let mut fleet = Fleet::new(gateways, machines - gateways);
        for round in 0..60 {
            fleet.round();
            if round % 7 == 3 {
                let share: f64 = fleet.random.random_range(0.0..1.0);
                for gateway in 0..gateways {
                    if fleet.random.random_bool(share) {
                        fleet.restart(gateway);
                    }
                }
            }
            let parts = fleet.parts();
            assert!(parts <= 1.0, "{parts} of the allowance in round {round} at {machines}");
        }
    }
}
