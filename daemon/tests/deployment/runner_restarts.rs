//! Test of runners that restart under the same id, with gateways and sidecars as processes.

use crate::support::{is_whole_stream, stream, wait_until, Deployment};

#[test]
fn a_runner_restarted_under_its_id_gets_its_weights_again_and_serves() {
    let mut deployment = Deployment::start();
    let first = deployment.add_model_runner("e1", Some(1));
    let second = deployment.add_model_runner("e2", Some(1));
    for runner in [first, second] {
        deployment.standin.change_runner(runner, |it| it.started_at_ms = Some(1_764_720_000_000));
    }
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || is_whole_stream(&stream(gateway, "w"), "w"));
    // The sequence of taken orders is the same as before the restart: zero.
    deployment.standin.change_runner(first, |it| it.restart("e1"));
    deployment.wait_for_version(first, 1);
    let metrics = || deployment.metrics(first.ip());
    wait_until("the sidecar has reported the restart", || metrics().contains("change=\"began\""));
    deployment.standin.change_runner(second, |it| it.is_leaving = true);
    wait_until("the restarted runner serves", || {
        is_whole_stream(&stream(gateway, "n"), "n")
            && deployment.standin.runs("n").last().is_some_and(|it| it.runner == "e1")
    });
}
