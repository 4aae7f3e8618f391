//! What operators read, and the pages that scrapers and health checks ask for.

use fleet::{DeploymentStatus, MemberStatus, ModelName, Status};
use http_types::{Response, StatusCode};
use net::json;
use reducer::Control;
use telemetry::Metrics;
use wire::MemberState;

/// Describes what a daemon knows.
pub(crate) fn describe(control: &Control) -> Status {
    let configuration = control.configuration();
    Status {
        instance: control.members.me().id.clone(),
        revision: configuration.revision,
        current: control.is_current(),
        deployments: configuration.deployments.keys().map(|it| deployment(control, it)).collect(),
        leaving: configuration.leaving.iter().cloned().collect(),
        members: control.members.others().map(|it| member(&it.record)).collect(),
    }
}

fn deployment(control: &Control, model: &ModelName) -> DeploymentStatus {
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

fn member(record: &wire::MemberRecord) -> MemberStatus {
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

/// Answers the pages that need no token; `None` for any other path.
pub(crate) fn open_page(path: &str, ready: bool, metrics: &Metrics) -> Option<Response> {
    match path {
        "/healthz" => Some(text(StatusCode::Ok, "alive\n")),
        "/readyz" if ready => Some(text(StatusCode::Ok, "ready\n")),
        "/readyz" => {
            let reason = "not ready: the configuration may be behind, or a stop was asked for\n";
            Some(text(StatusCode::ServiceUnavailable, reason))
        }
        "/metrics" => {
            let mut response = text(StatusCode::Ok, &metrics.render());
            response.insert_header("content-type", "text/plain; version=0.0.4");
            Some(response)
        }
        _ => None,
    }
}

/// The answer with the whole status.
pub(crate) fn status_page(control: &Control) -> Response {
    json(200, &describe(control))
}

fn text(status: StatusCode, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}
