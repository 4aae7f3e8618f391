//! The configuration: bytes and time to read it, by the number of placements, and by revisions.

use std::collections::BTreeMap;

use fleet::{
    Change, Configuration, Deployment, Hall, InstanceId, ModelName, Placement, PlanId, Release,
    Revision, Role, VersionId,
};

use crate::table::{head, micros, row};

/// Placements over all deployments.
const SIZES: [usize; 4] = [60, 200, 600, 1800];
/// Placements of one deployment.
const REPLICAS: usize = 30;
/// Revisions.
const REVISIONS: [usize; 3] = [100, 1000, 10_000];

fn deployment(number: usize) -> Deployment {
    let placement = |n: usize| {
        let hall = Hall(format!("hall-{}", n % 4));
        (InstanceId(format!("instance-{n:04}")), Placement { role: Role::Serve, hall })
    };
    let placements: BTreeMap<_, _> = (0..REPLICAS).map(placement).collect();
    Deployment {
        model: ModelName(format!("model-{number}")),
        release: Release { version: VersionId([1; 32]), label: "v1".into(), bytes: 1 },
        previous: None,
        epoch: Revision(1),
        adapter_of: None,
        priority: 1,
        placements,
    }
}

fn configuration(placements: usize) -> Configuration {
    let deployments = (0..placements / REPLICAS).map(deployment);
    Configuration {
        deployments: deployments.map(|it| (it.model.clone(), it)).collect(),
        ..Configuration::default()
    }
}

/// Prints the tables.
pub fn measure() {
    head("configuration", &["placements", "bytes", "encode us", "decode us"]);
    for size in SIZES {
        let held = configuration(size);
        let bytes = serde_json::to_vec(&held).expect("it can be encoded");
        let encode = micros(200, |_| drop(serde_json::to_vec(&held)));
        let decode = micros(200, |_| drop(serde_json::from_slice::<Configuration>(&bytes)));
        row(&[size as f64, bytes.len() as f64, encode, decode]);
    }
    head("revisions", &["revisions", "bytes", "apply us"]);
    for count in REVISIONS {
        let mut held = configuration(600);
        let apply = micros(count as u32, |n| {
            let change = Change::Leave(InstanceId(format!("instance-{}", n % 50)));
            held = held.apply(&PlanId(format!("{n:016x}")), &change);
        });
        let bytes = serde_json::to_vec(&held).expect("it can be encoded").len();
        row(&[count as f64, bytes as f64, apply]);
    }
}
