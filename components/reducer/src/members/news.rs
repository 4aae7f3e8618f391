//! What daemons tell each other of third ones.

use fleet::{Incarnation, InstanceId, Millis, Revision};
use wire::{MemberNews, MemberRecord};

use super::{Member, Members, Outgoing};
use crate::Seed;

/// How many members news goes to in a round.
const NEWS_FANOUT: usize = 2;
/// News in one datagram stops at this size, in bytes as estimated below.
const NEWS_LIMIT: usize = 1000;
/// The size of a short record, of a whole one, and of each thing served, in bytes.
const LISTED_BYTES: usize = 22;
const WHOLE_BYTES: usize = 90;
const SERVING_BYTES: usize = 13;
/// Records of members picked at random in each probe, for those that missed the news.
const ANTI_ENTROPY_RECORDS: usize = 3;
/// Sends of a piece of news beyond the logarithm of the fleet.
const EXTRA_SENDS: u32 = 1;

impl Members {
    pub(super) fn news_sends(&self) -> u32 {
        // A rumour that everyone passes on ln(n) times reaches nearly all; probes carry the rest.
        (self.count() as f64).ln().ceil() as u32 + EXTRA_SENDS
    }

    pub(super) fn has_news(&self) -> bool {
        self.my_sends_left > 0 || self.members.values().any(|it| it.sends_left > 0)
    }

    pub(super) fn spread_news(&mut self, revision: Revision, seed: &mut Seed) -> Vec<Outgoing> {
        if self.budget <= 0.0 {
            return Vec::new();
        }
        self.push(revision, NEWS_FANOUT, seed)
    }

    /// The news that was passed on least, this daemon's own first.
    pub(super) fn take_news(&mut self) -> Vec<MemberNews> {
        let mut news = Vec::new();
        let mut weight = 0;
        if self.my_sends_left > 0 {
            self.my_sends_left -= 1;
            let listed = self.instances.contains_key(&self.me.id);
            weight += shorten(&self.me, listed, &mut news);
        }
        let mut fresh: Vec<&mut Member> =
            self.members.values_mut().filter(|it| it.sends_left > 0).collect();
        fresh.sort_by_key(|it| std::cmp::Reverse(it.sends_left));
        for member in fresh {
            if weight >= NEWS_LIMIT {
                break;
            }
            member.sends_left -= 1;
            weight += shorten(&member.record, member.listed, &mut news);
        }
        news
    }

    /// Sends a few records again that someone may have missed.
    pub(super) fn remind(&mut self, seed: &mut Seed) {
        self.my_sends_left = self.my_sends_left.max(1);
        let heard = self.members.iter().filter(|(_, it)| it.record.incarnation > Incarnation(0));
        let ids: Vec<InstanceId> = heard.map(|(id, _)| id.clone()).collect();
        for id in seed.sample(&ids, ANTI_ENTROPY_RECORDS) {
            if let Some(member) = self.members.get_mut(id) {
                member.sends_left = member.sends_left.max(1);
            }
        }
    }

    /// The whole record behind a piece of news; none if the name behind a tag is not known yet.
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
            &self.members.get(self.names.get(tag)?)?.record
        };
        Some(MemberRecord { incarnation, serial, state, serving, ..known.clone() })
    }

    /// Takes in what another daemon says of a third, or of this one.
    pub(super) fn merge(&mut self, now: Millis, record: &MemberRecord) {
        if record.id == self.me.id {
            self.refute(record);
            return;
        }
        let sends = self.news_sends();
        match self.members.get_mut(&record.id) {
            Some(member) if is_newer(record, &member.record) => {
                self.changes += 1;
                if member.record.state != record.state {
                    member.since = now;
                }
                member.record = record.clone();
                member.sends_left = sends;
            }
            // Others know it already, so it needs fewer sends.
            Some(member) if member.record == *record => {
                member.sends_left = member.sends_left.saturating_sub(1);
            }
            Some(_) => {}
            None => {
                self.changes += 1;
                self.names.insert(MemberNews::tag_of(&record.id), record.id.clone());
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

    /// Contradicts a record that takes this daemon for suspect or dead.
    fn refute(&mut self, record: &MemberRecord) {
        if record.state == self.me.state || record.incarnation > self.me.incarnation {
            return;
        }
        if record.incarnation == self.me.incarnation && record.serial >= self.me.serial {
            self.me.serial = record.serial;
            self.renew();
        } else {
            // Whoever holds this has missed a later record.
            self.my_sends_left = self.news_sends();
        }
    }
}

/// Adds the shortest form of a record that its readers understand; returns its size in bytes, about.
fn shorten(record: &MemberRecord, listed: bool, news: &mut Vec<MemberNews>) -> usize {
    let serving = record.serving.len() * SERVING_BYTES;
    if listed {
        news.push(MemberNews::listed(record));
        LISTED_BYTES + serving
    } else {
        news.push(MemberNews::Whole(Box::new(record.clone())));
        WHOLE_BYTES + serving
    }
}

/// Whether a record replaces another: a later run, a later change, or a worse state of the same.
fn is_newer(new: &MemberRecord, old: &MemberRecord) -> bool {
    let key = |it: &MemberRecord| (it.incarnation, it.serial, it.state);
    key(new) > key(old)
}
