//! Runners that start again under the name that they had, before gateways and sidecars as processes.

use crate::support::{is_whole_stream, stream, wait_until, Deployment};

#[test]
fn a_runner_that_starts_again_under_its_name_gets_its_weights_anew_and_serves() {
    let mut deployment = Deployment::start();
    let first = deployment.add_model_runner("e1", Some(1));
    let second = deployment.add_model_runner("e2", Some(1));
    for runner in [first, second] {
        deployment.standin.change_runner(runner, |it| it.born = Some(1_764_720_000_000));
    }
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || is_whole_stream(&stream(gateway, "w"), "w"));
    // As many orders taken as before: none.
    deployment.standin.change_runner(first, |it| it.restart("e1"));
    deployment.wait_for_version(first, 1);
    let page = || deployment.metrics(first.ip());
    wait_until("the sidecar has told of it", || page().contains("change=\"began\""));
    deployment.standin.change_runner(second, |it| it.draining = true);
    wait_until("the new life serves", || {
        is_whole_stream(&stream(gateway, "n"), "n")
            && deployment.standin.runs("n").last().is_some_and(|it| it.runner == "e1")
    });
}
