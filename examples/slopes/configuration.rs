//! Size of the configuration and the time to encode, decode and apply it, by the number of placements and
//! revisions.

use std::collections::BTreeMap;

use fleet::{
    Change, Configuration, Deployment, Hall, InstanceId, ModelName, Placement, PlanId, Release,
    Revision, Role, VersionId,
};

use crate::table::{micros, print_header, print_row};

/// Numbers of placements over all deployments.
const PLACEMENT_COUNTS: [usize; 4] = [60, 200, 600, 1800];
/// Number of placements of one deployment.
const REPLICAS_PER_DEPLOYMENT: usize = 30;
/// Numbers of revisions.
const REVISION_COUNTS: [usize; 3] = [100, 1000, 10_000];

fn deployment(number: usize) -> Deployment {
    let placement = |n: usize| {
        let hall = Hall(format!("hall-{}", n % 4));
        (InstanceId(format!("instance-{n:04}")), Placement { role: Role::Serve, hall })
    };
    let placements: BTreeMap<_, _> = (0..REPLICAS_PER_DEPLOYMENT).map(placement).collect();
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
    let deployments = (0..placements / REPLICAS_PER_DEPLOYMENT).map(deployment);
    Configuration {
        deployments: deployments.map(|it| (it.model.clone(), it)).collect(),
        ..Configuration::default()
    }
}

/// Measures and prints the tables.
pub fn measure() {
    print_header("configuration", &["placements", "bytes", "encode us", "decode us"]);
    for size in PLACEMENT_COUNTS {
        let current = configuration(size);
        let bytes = serde_json::to_vec(&current).expect("it can be encoded");
        let encode = micros(200, |_| drop(serde_json::to_vec(&current)));
        let decode = micros(200, |_| drop(serde_json::from_slice::<Configuration>(&bytes)));
        print_row(&[size as f64, bytes.len() as f64, encode, decode]);
    }
    print_header("revisions", &["revisions", "bytes", "apply us"]);
    for count in REVISION_COUNTS {
        let mut current = configuration(600);
        let apply = micros(count as u32, |n| {
            let change = Change::Leave(InstanceId(format!("instance-{}", n % 50)));
            current = current.apply(&PlanId(format!("{n:016x}")), &change);
        });
        let bytes = serde_json::to_vec(&current).expect("it can be encoded").len();
        print_row(&[count as f64, bytes as f64, apply]);
    }
}
