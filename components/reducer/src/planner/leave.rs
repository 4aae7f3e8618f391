//! Plans for instances that leave and come back.

use errors::{Code, Error, Result};
use fleet::{Change, Deployment, InstanceId, Step};

use super::draft::Draft;
use super::Fleet;

/// Takes an instance out of service, unless it has the last replica of something.
pub(super) fn leave(instance: &InstanceId, fleet: &Fleet<'_>) -> Result<Draft> {
    let service_peers = fleet.services.get(instance).copied();
    let is_engine = fleet.candidates.iter().any(|it| &it.id == instance);
    if !is_engine && service_peers.is_none() {
        return Err(unknown_instance(instance));
    }
    if service_peers == Some(0) {
        let detail = format!("{instance} is the last live replica of its service");
        return Err(Error::new(Code::LastReplica, detail));
    }
    for deployment in fleet.configuration.wanted_on(instance) {
        if !has_other_replica(deployment, instance, fleet) {
            let detail = format!("{instance} has the last live replica of {}", deployment.model);
            return Err(Error::new(Code::LastReplica, detail));
        }
    }
    Ok(Draft {
        change: Change::Leave(instance.clone()),
        steps: vec![Step::Drain { instance: instance.clone() }],
        overrides: Vec::new(),
        bytes: 0,
        receivers: 0,
        held: true,
    })
}

fn has_other_replica(deployment: &Deployment, leaver: &InstanceId, fleet: &Fleet<'_>) -> bool {
    fleet.candidates.iter().any(|it| {
        let serves = it.serving.iter().any(|(model, _)| model == &deployment.model);
        &it.id != leaver && it.up && !it.leaving && serves
    })
}

/// Takes back that an instance was told to leave.
pub(super) fn give_back(instance: &InstanceId, fleet: &Fleet<'_>) -> Result<Draft> {
    if !fleet.configuration.leaving.contains(instance) {
        let detail = format!("{instance} was not told to leave");
        return Err(Error::new(Code::BadIntent, detail));
    }
    Ok(Draft {
        change: Change::Return(instance.clone()),
        steps: vec![Step::Resume { instance: instance.clone() }],
        overrides: vec![format!("the leave of {instance}")],
        bytes: 0,
        receivers: 0,
        held: true,
    })
}

fn unknown_instance(instance: &InstanceId) -> Error {
    Error::new(Code::UnknownInstance, format!("{instance} is no upstream on the list"))
}
