//! Gossip about other members.

use fleet::{Incarnation, InstanceId, Millis, Revision};
use wire::{MemberNews, MemberRecord};

use super::{Member, Members, Outgoing};
use crate::Seed;

/// Number of members that each gossip round is sent to.
const GOSSIP_FANOUT: usize = 2;
/// Size of the records in one datagram after which no further one is added, in bytes as estimated below.
const MAX_NEWS_BYTES: usize = 1000;
/// Estimated sizes of a short record, a full record, and each served version.
const SHORT_RECORD_BYTES: usize = 22;
const FULL_RECORD_BYTES: usize = 90;
const SERVING_BYTES: usize = 13;
/// Number of random records that are sent again with each probe, for members that missed them.
const ANTI_ENTROPY_RECORDS: usize = 3;
/// How often a record is sent in addition to the logarithm of the number of daemons.
const EXTRA_SENDS: u32 = 1;

impl Members {
    pub(super) fn sends_per_record(&self) -> u32 {
        // A record that every daemon forwards ln(n) times reaches nearly all; probes carry it to the rest.
        (self.count() as f64).ln().ceil() as u32 + EXTRA_SENDS
    }

    pub(super) fn has_unsent_records(&self) -> bool {
        self.my_sends_left > 0 || self.members.values().any(|it| it.sends_left > 0)
    }

    pub(super) fn gossip(&mut self, revision: Revision, seed: &mut Seed) -> Vec<Outgoing> {
        if self.budget_bytes <= 0.0 {
            return Vec::new();
        }
        self.send_to_random_members(revision, GOSSIP_FANOUT, seed)
    }

    /// The records to send, this daemon's own first, then those that were sent least often.
    pub(super) fn collect_news(&mut self) -> Vec<MemberNews> {
        let mut news = Vec::new();
        let mut size_bytes = 0;
        if self.my_sends_left > 0 {
            self.my_sends_left -= 1;
            let listed = self.instances.contains_key(&self.me.id);
            size_bytes += add_record(&self.me, listed, &mut news);
        }
        let mut unsent: Vec<&mut Member> =
            self.members.values_mut().filter(|it| it.sends_left > 0).collect();
        unsent.sort_by_key(|it| std::cmp::Reverse(it.sends_left));
        for member in unsent {
            if size_bytes >= MAX_NEWS_BYTES {
                break;
            }
            member.sends_left -= 1;
            size_bytes += add_record(&member.record, member.listed, &mut news);
        }
        news
    }

    /// Schedules this daemon's record and a few random ones to be sent again, for members that missed them.
    pub(super) fn schedule_resends(&mut self, seed: &mut Seed) {
        self.my_sends_left = self.my_sends_left.max(1);
        let contacted =
            self.members.iter().filter(|(_, it)| it.record.incarnation > Incarnation(0));
        let ids: Vec<InstanceId> = contacted.map(|(id, _)| id.clone()).collect();
        for id in seed.sample(&ids, ANTI_ENTROPY_RECORDS) {
            if let Some(member) = self.members.get_mut(id) {
                member.sends_left = member.sends_left.max(1);
            }
        }
    }

    /// The full record of a short one; `None` if the id of its tag is not known yet.
    pub(super) fn expand(&self, news: &MemberNews) -> Option<MemberRecord> {
        let (tag, incarnation, serial, state, serving) = match news {
            MemberNews::Whole(record) => return Some((**record).clone()),
            MemberNews::Listed { tag, incarnation, serial, state, serving } => {
                (tag, *incarnation, *serial, *state, serving.clone())
            }
        };
        let known = if *tag == MemberNews::tag_of(&self.me.id) {
            &self.me
        } else {
            &self.members.get(self.ids_by_tag.get(tag)?)?.record
        };
        Some(MemberRecord { incarnation, serial, state, serving, ..known.clone() })
    }

    /// Merges a record that another daemon sent, which may concern this daemon.
    pub(super) fn merge(&mut self, now: Millis, record: &MemberRecord) {
        if record.id == self.me.id {
            self.refute(record);
            return;
        }
        let sends = self.sends_per_record();
        match self.members.get_mut(&record.id) {
            Some(member) if is_newer(record, &member.record) => {
                self.changes += 1;
                if member.record.state != record.state {
                    member.since = now;
                }
                member.record = record.clone();
                member.sends_left = sends;
            }
            // Other daemons have the record already, so fewer sends are needed.
            Some(member) if member.record == *record => {
                member.sends_left = member.sends_left.saturating_sub(1);
            }
            Some(_) => {}
            None => {
                self.changes += 1;
                self.ids_by_tag.insert(MemberNews::tag_of(&record.id), record.id.clone());
                let member = Member {
                    record: record.clone(),
                    since: now,
                    listed: self.instances.contains_key(&record.id),
                    sends_left: sends,
                };
                self.members.insert(record.id.clone(), member);
            }
        }
    }

    /// Contradicts a record that marks this daemon as suspect or dead.
    fn refute(&mut self, record: &MemberRecord) {
        if record.state == self.me.state || record.incarnation > self.me.incarnation {
            return;
        }
        if record.incarnation == self.me.incarnation && record.serial >= self.me.serial {
            self.me.serial = record.serial;
            self.bump_serial();
        } else {
            // The sender has missed a later record.
            self.my_sends_left = self.sends_per_record();
        }
    }
}

/// Adds the shortest form of a record that its receivers can expand; returns its estimated size in bytes.
fn add_record(record: &MemberRecord, listed: bool, news: &mut Vec<MemberNews>) -> usize {
    let serving = record.serving.len() * SERVING_BYTES;
    if listed {
        news.push(MemberNews::listed(record));
        SHORT_RECORD_BYTES + serving
    } else {
        news.push(MemberNews::Whole(Box::new(record.clone())));
        FULL_RECORD_BYTES + serving
    }
}

/// Whether a record replaces another: it is of a later incarnation, has a higher serial, or has a worse state
/// at the same serial.
fn is_newer(new: &MemberRecord, old: &MemberRecord) -> bool {
    let key = |it: &MemberRecord| (it.incarnation, it.serial, it.state);
    key(new) > key(old)
}
