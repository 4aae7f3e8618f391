//! Finds home regions in which nothing can be served, whatever the state of the runners, so that
//! they can be reported to the operator.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{Hall, HomeRegions, Region};

use crate::catalog::Catalog;

/// A fault in configured home regions. Routes and workspaces with the same regions are grouped into
/// one fault, which is reported with one example name and a count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeFault {
    /// Home regions include a region that the deployment does not have.
    Unknown {
        /// The region.
        region: Region,
        /// A route or a workspace that names the region.
        example: String,
        /// Number of routes and workspaces that name the region.
        count: usize,
    },
    /// Home regions of routes and of workspaces have no region in common.
    Disjoint {
        /// A route.
        route: String,
        /// Regions where the route's requests may be served.
        route_homes: HomeRegions,
        /// A workspace.
        workspace: String,
        /// Regions where the workspace's requests may be served.
        workspace_homes: HomeRegions,
        /// Number of pairs of a route and a workspace with this fault.
        count: usize,
    },
}

/// Names of routes or workspaces, grouped by a common key.
type Groups<'a, K> = BTreeMap<K, BTreeSet<&'a str>>;

/// Finds the faults of a configuration in a deployment with these data halls.
pub(crate) fn find(catalog: &Catalog, halls: &BTreeMap<Hall, Region>) -> Vec<HomeFault> {
    let known: BTreeSet<&Region> = halls.values().collect();
    let mut faults = unknown(catalog, &known);
    faults.extend(apart(catalog));
    faults
}

fn unknown(catalog: &Catalog, known: &BTreeSet<&Region>) -> Vec<HomeFault> {
    let mut named: Groups<&Region> = Groups::new();
    for (name, homes) in catalog.route_homes().chain(catalog.workspace_homes()) {
        for region in homes.regions().filter(|it| !known.contains(it)) {
            named.entry(region).or_default().insert(name);
        }
    }
    let fault = |(region, names): (&Region, BTreeSet<&str>)| HomeFault::Unknown {
        region: region.clone(),
        example: example(&names),
        count: names.len(),
    };
    named.into_iter().map(fault).collect()
}

fn apart(catalog: &Catalog) -> Vec<HomeFault> {
    let routes = by_homes(catalog.route_homes());
    let workspaces = by_homes(catalog.workspace_homes());
    let mut faults = Vec::new();
    for (route_homes, routes) in &routes {
        for (workspace_homes, workspaces) in &workspaces {
            if route_homes.and(workspace_homes).regions().next().is_some() {
                continue;
            }
            faults.push(HomeFault::Disjoint {
                route: example(routes),
                route_homes: (*route_homes).clone(),
                workspace: example(workspaces),
                workspace_homes: (*workspace_homes).clone(),
                count: routes.len() * workspaces.len(),
            });
        }
    }
    faults
}

/// Groups the names of routes or workspaces that have home regions by these regions.
fn by_homes<'a>(
    named: impl Iterator<Item = (&'a str, &'a HomeRegions)>,
) -> Groups<'a, &'a HomeRegions> {
    let mut groups = Groups::new();
    for (name, homes) in named.filter(|(_, homes)| homes.is_bound()) {
        groups.entry(homes).or_default().insert(name);
    }
    groups
}

fn example(names: &BTreeSet<&str>) -> String {
    names.first().map_or(String::new(), |it| (*it).to_owned())
}
