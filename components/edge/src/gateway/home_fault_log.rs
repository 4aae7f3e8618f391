//! Logs home regions where no request can be served.

use fleet::HomeRegions;
use gateway::HomeFault;

/// The most lines for one configuration; the gauge `home_faults` counts all cases.
const MAX_LINES: usize = 8;

/// Logs the faults of a configuration that has just come into force.
pub fn log_home_faults(faults: &[HomeFault]) {
    for fault in faults.iter().take(MAX_LINES) {
        log_home_fault(fault);
    }
    let rest = faults.len().saturating_sub(MAX_LINES);
    if rest > 0 {
        log::warn!(more = rest; "more home regions where no request can be served");
    }
}

fn log_home_fault(fault: &HomeFault) {
    match fault {
        HomeFault::Unknown { region, example, count } => log::warn!(
            region = region.0.as_str(), of = example.as_str(), count = *count;
            "a home names no region of the deployment"
        ),
        HomeFault::Disjoint { route, route_homes, workspace, workspace_homes, count } => {
            log::warn!(
                route = route.as_str(), route_homes = region_names(route_homes).as_str(),
                workspace = workspace.as_str(), workspace_homes = region_names(workspace_homes).as_str(),
                count = *count;
                "homes of a route and of a workspace have no region in common"
            )
        }
    }
}

fn region_names(homes: &HomeRegions) -> String {
    let names: Vec<&str> = homes.regions().map(|it| it.0.as_str()).collect();
    names.join(" ")
}
