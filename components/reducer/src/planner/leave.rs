//! Plans for instances that leave or return.

use errors::{Code, Error, Result};
use fleet::{Change, Deployment, InstanceId, Step};

use super::draft::Draft;
use super::Fleet;

/// Takes an instance out of service, unless it has the last live replica of a model or service.
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
        held_by_peers: true,
    })
}

fn has_other_replica(deployment: &Deployment, instance: &InstanceId, fleet: &Fleet<'_>) -> bool {
    fleet.candidates.iter().any(|it| {
        let serves = it.serving.iter().any(|(model, _)| model == &deployment.model);
        &it.id != instance && it.up && !it.leaving && serves
    })
}

/// Returns a leaving instance to service.
pub(super) fn return_to_service(instance: &InstanceId, fleet: &Fleet<'_>) -> Result<Draft> {
    if !fleet.configuration.leaving.contains(instance) {
        let detail = format!("{instance} is not marked as leaving");
        return Err(Error::new(Code::BadIntent, detail));
    }
    Ok(Draft {
        change: Change::Return(instance.clone()),
        steps: vec![Step::Resume { instance: instance.clone() }],
        overrides: vec![format!("the earlier plan for {instance} to leave")],
        bytes: 0,
        receivers: 0,
        held_by_peers: true,
    })
}

fn unknown_instance(instance: &InstanceId) -> Error {
    Error::new(Code::UnknownInstance, format!("{instance} is not a listed upstream"))
}
