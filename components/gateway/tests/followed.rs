//! Gateways that follow a subset of the sidecars, in fleets of different sizes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::Millis;
use gateway::followed::{choose, most, Candidate};
use gateway::{Certainty, GatewayMembers, KnownGateways};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const HALLS: usize = 5;
const WINDOW_MS: u64 = 10_000;
const ROUND_MS: u64 = 1000;
/// Number of sidecars that a gateway asks for their gateway lists in each round.
const LISTS_PER_ROUND: usize = 6;
/// Numbers of machines, that is gateways and sidecars together. A third are gateways.
const FLEET_SIZES: [usize; 4] = [30, 100, 300, 1000];

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 9000))
}

/// A weight that differs between gateways.
fn weight(gateway: usize, sidecar: usize) -> u64 {
    SmallRng::seed_from_u64((gateway * 100_000 + sidecar) as u64).random()
}

/// The sidecars that each gateway follows. `known` is the number of gateways if it is certain.
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
fn every_sidecar_has_a_follower_and_none_has_many_at_any_fleet_size() {
    for machines in FLEET_SIZES {
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
fn every_sidecar_has_a_follower_with_few_gateways() {
    for (gateways, sidecars) in [(3, 12), (5, 600), (20, 600), (60, 600)] {
        let counts = followers(&followed(gateways, sidecars, Some(gateways)), sidecars);
        let least = *counts.iter().min().unwrap();
        assert!(least >= gateways.min(3), "{least} of {gateways} gateways follow one");
    }
}

#[test]
fn added_and_removed_sidecars_change_few_of_the_followed_ones() {
    let before = &followed(1, 600, None)[0];
    let after = &followed(1, 606, None)[0];
    let kept = after.iter().filter(|it| before.contains(it)).count();
    assert!(kept >= 60, "{kept} of 64 are the same");
}

/// Gateways that learn of each other from the sidecars they follow. A tenth of the datagrams is
/// lost.
struct Fleet {
    now: u64,
    random: SmallRng,
    followed: Vec<Vec<usize>>,
    members: Vec<GatewayMembers>,
    sidecars: Vec<KnownGateways>,
}

impl Fleet {
    fn new(gateways: usize, sidecars: usize) -> Self {
        Self {
            now: 1_000_000,
            random: SmallRng::seed_from_u64(gateways as u64),
            followed: followed(gateways, sidecars, None),
            members: (0..gateways).map(|_| GatewayMembers::new(WINDOW_MS)).collect(),
            sidecars: vec![KnownGateways::new(WINDOW_MS); sidecars],
        }
    }

    fn round(&mut self) {
        self.now += ROUND_MS;
        let now = Millis(self.now);
        for gateway in 0..self.members.len() {
            let followed = &self.followed[gateway];
            let asked: Vec<usize> =
                followed.choose_multiple(&mut self.random, LISTS_PER_ROUND).copied().collect();
            for sidecar in followed.iter().filter(|_| self.random.random_bool(0.9)) {
                self.sidecars[*sidecar].note(now, address(gateway));
            }
            let members = &mut self.members[gateway];
            members.note_sidecars(self.sidecars.len(), followed.len());
            members.note_coverage(now, Some(1.0));
            for sidecar in asked.into_iter().filter(|_| self.random.random_bool(0.81)) {
                members.merge(now, self.sidecars[sidecar].list(now, address(gateway)));
            }
        }
    }

    /// Restarts a gateway: it has read the configuration and the list of runners, but has received
    /// no other reports.
    fn restart(&mut self, gateway: usize) {
        let mut members = GatewayMembers::new(WINDOW_MS);
        members.note_sidecars(self.sidecars.len(), self.followed[gateway].len());
        self.members[gateway] = members;
    }

    fn sum_of_shares(&self) -> f64 {
        self.members.iter().map(|it| it.share(Millis(self.now))).sum()
    }
}

#[test]
fn gateways_count_each_other_within_a_tenth_at_any_fleet_size() {
    for machines in FLEET_SIZES {
        let gateways = machines / 3;
        let mut fleet = Fleet::new(gateways, machines - gateways);
        (0..20).for_each(|_| fleet.round());
        let now = Millis(fleet.now);
        let mut counts = BTreeMap::new();
        for members in &fleet.members {
            assert_eq!(members.certainty(now), Certainty::Sure);
            *counts.entry(members.count(now)).or_insert(0) += 1;
        }
        let (least, most) = (counts.keys().min().unwrap(), counts.keys().max().unwrap());
        assert!(*most <= gateways && *least * 10 >= gateways * 9, "{counts:?} of {gateways}");
        let sum_of_shares = fleet.sum_of_shares();
        assert!(
            (0.6..=0.8).contains(&sum_of_shares),
            "{sum_of_shares} of the allowance at {machines}"
        );
    }
}

#[test]
fn gateways_use_at_most_the_whole_shared_allowance_while_any_of_them_restart() {
    for machines in FLEET_SIZES {
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
            let sum_of_shares = fleet.sum_of_shares();
            assert!(
                sum_of_shares <= 1.0,
                "{sum_of_shares} of the allowance in round {round} at {machines}"
            );
        }
    }
}
