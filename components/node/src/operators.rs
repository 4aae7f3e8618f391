//! The status of a daemon for operators, and the pages for metrics scrapers and health checks.

use fleet::{DeploymentStatus, MemberStatus, ModelName, Status};
use http_types::{Response, StatusCode};
use net::json_response;
use reducer::Control;
use telemetry::Metrics;
use wire::MemberState;

/// Builds the status of a daemon.
pub(crate) fn daemon_status(control: &Control) -> Status {
    let configuration = control.configuration();
    Status {
        instance: control.members.me().id.clone(),
        revision: configuration.revision,
        current: control.is_current(),
        deployments: configuration
            .deployments
            .keys()
            .map(|it| deployment_status(control, it))
            .collect(),
        leaving: configuration.leaving.iter().cloned().collect(),
        members: control.members.others().map(|it| member_status(&it.record)).collect(),
    }
}

fn deployment_status(control: &Control, model: &ModelName) -> DeploymentStatus {
    let deployment = &control.configuration().deployments[model];
    let version = deployment.release.version;
    let live = control.members.others().filter(|it| {
        let serves = it.record.serving.iter();
        it.is_up() && serves.into_iter().any(|it| it.is_model(model) && it.is_version(version))
    });
    DeploymentStatus {
        model: model.clone(),
        label: deployment.release.label.clone(),
        version: version.to_string(),
        wanted: deployment.placements.len(),
        live: live.count(),
    }
}

fn member_status(record: &wire::MemberRecord) -> MemberStatus {
    let state = match record.state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    };
    MemberStatus {
        instance: record.id.clone(),
        hall: record.place.hall.clone(),
        process: record.process.clone(),
        state: state.to_owned(),
        serving: record.serving.iter().map(|tag| tag.short_version()).collect(),
    }
}

/// The response for the pages that need no token; `None` for any other path.
pub(crate) fn public_page(path: &str, ready: bool, metrics: &Metrics) -> Option<Response> {
    match path {
        "/healthz" => Some(text_response(StatusCode::Ok, "alive\n")),
        "/readyz" if ready => Some(text_response(StatusCode::Ok, "ready\n")),
        "/readyz" => {
            let reason = "not ready: the configuration may be outdated, or a stop was requested\n";
            Some(text_response(StatusCode::ServiceUnavailable, reason))
        }
        "/metrics" => {
            let mut response = text_response(StatusCode::Ok, &metrics.render());
            response.insert_header("content-type", "text/plain; version=0.0.4");
            Some(response)
        }
        _ => None,
    }
}

/// The response with the status of the daemon.
pub(crate) fn status_page(control: &Control) -> Response {
    json_response(200, &daemon_status(control))
}

fn text_response(status: StatusCode, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}
