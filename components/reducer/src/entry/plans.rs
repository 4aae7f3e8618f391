//! The steps of a configuration change that need the state of the entry.

use std::collections::BTreeMap;

use errors::Error;
use fleet::{
    Configuration, Deployment, InstanceId, Intent, Millis, ModelName, Process, Release, VersionId,
};
use wire::MemberRecord;

use super::{Entry, EntryEffect};
use crate::changes::{ChangeEffect, ChangeEvent};
use crate::planner::{plan, Candidate, Fleet};
use crate::Seed;

impl Entry {
    pub(super) fn handle_change(
        &mut self,
        now: Millis,
        seed: &mut Seed,
        event: ChangeEvent,
    ) -> Vec<EntryEffect> {
        let effects = self.changes.reduce(now, event);
        effects.into_iter().flat_map(|effect| self.perform(now, seed, effect)).collect()
    }

    /// Performs an effect that needs the state of the entry and passes on all others.
    fn perform(&mut self, now: Millis, seed: &mut Seed, effect: ChangeEffect) -> Vec<EntryEffect> {
        match effect {
            ChangeEffect::MakePlan { call, intent, release, base } => {
                let result = self.make_plan(now, &intent, release, &base);
                let effects = self.changes.handle_plan(call, result);
                effects.into_iter().map(EntryEffect::Change).collect()
            }
            ChangeEffect::Adopt(configuration) => {
                let effects = self.control.apply(*configuration, seed);
                effects.into_iter().map(EntryEffect::Control).collect()
            }
            other => vec![EntryEffect::Change(other)],
        }
    }

    fn make_plan(
        &self,
        now: Millis,
        intent: &Intent,
        release: Option<Release>,
        base: &Configuration,
    ) -> Result<fleet::Plan, Error> {
        let candidates = self.candidates(base);
        let services = self.services(base);
        let fleet = Fleet {
            configuration: base,
            candidates: &candidates,
            estimate: self.options.estimate,
            services: &services,
        };
        plan(now, intent, release, &fleet)
    }

    fn candidates(&self, base: &Configuration) -> Vec<Candidate> {
        let members = self.control.members.others();
        let engines = members.filter(|it| it.record.process == Process::Engine);
        let describe = |it: &crate::Member| {
            let id = it.record.id.clone();
            let known = base.deployments.values();
            let serving = known.flat_map(|deployment| reported_versions(deployment, &it.record));

            Candidate {
                place: it.record.place.clone(),
                up: it.is_up(),
                leaving: base.leaving.contains(&id) || self.control.is_leaving(&id),
                memory_bytes: self.control.members.listed(&id).map_or(0, |it| it.memory_bytes),
                serving: serving.collect(),
                id,
            }
        };
        engines.map(describe).collect()
    }

    /// For each instance of a plain service, the number of other instances of that service that take work.
    fn services(&self, base: &Configuration) -> BTreeMap<InstanceId, usize> {
        let takes_work = |it: &&crate::Member| {
            let id = &it.record.id;
            it.is_up() && !base.leaving.contains(id) && !self.control.is_leaving(id)
        };
        let is_service = |it: &&crate::Member| matches!(it.record.process, Process::Service(_));
        let all: Vec<&crate::Member> = self.control.members.others().filter(is_service).collect();
        let others = |member: &crate::Member| {
            let same = all.iter().filter(|it| it.record.process == member.record.process);
            same.filter(|it| it.record.id != member.record.id && takes_work(it)).count()
        };
        all.iter().map(|it| (it.record.id.clone(), others(it))).collect()
    }
}

/// The versions of a deployment that a daemon reports its engine to serve.
fn reported_versions<'a>(
    deployment: &'a Deployment,
    record: &'a MemberRecord,
) -> impl Iterator<Item = (ModelName, VersionId)> + 'a {
    let releases = [Some(&deployment.release), deployment.previous.as_ref()];
    let versions = releases.into_iter().flatten().map(|it| it.version);
    let serves = |version: &VersionId| {
        let mut tags = record.serving.iter();
        tags.any(|tag| tag.is_model(&deployment.model) && tag.is_version(*version))
    };
    versions.filter(serves).map(|version| (deployment.model.clone(), version))
}
