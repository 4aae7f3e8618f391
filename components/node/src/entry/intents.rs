//! The HTTP handler for operators: intents, plans, confirmations and status.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Code, Error, Result};
use fleet::{Intent, Manifest, ModelName, PlanId, PlanReply, Release, RolloutStatus, VersionId};
use http_types::{Method, Request, Response};
use net::{error_response, json_response, Caller, Deadline, Handler, Reply};
use reducer::{ChangeEvent, EntryEvent, Outcome};
use wire::Message;

use super::changes::load_plan;
use super::Shared;
use crate::operators::{daemon_status, public_page, status_page};

/// The time limit for a call of an operator.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The time limit for a replica to report its fetch progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest number of replicas that are asked for their fetch progress.
const MAX_PROGRESS_REPLICAS: usize = 8;

/// The HTTP handler for operators of an entry.
pub(super) struct OperatorHandler(pub(super) Arc<Shared>);

#[async_trait]
impl Handler for OperatorHandler {
    async fn handle(&self, mut request: Request, _caller: Caller) -> Reply {
        let shared = &self.0;
        let services = &shared.context.services;
        let path = request.url().path().to_owned();
        let ready = shared.with_entry(|entry| entry.control.is_current());
        let (in_progress, waiting) = shared.with_entry(|entry| entry.load());
        services.metrics.set_gauge("requests_under_way", in_progress as u64);
        services.metrics.set_gauge("requests_waiting", waiting as u64);
        services.metrics.set_gauge("events_dropped", shared.inbox.dropped());
        if let Some(page) = public_page(&path, ready, &services.metrics) {
            return Reply::Answer(page);
        }
        let result = match services.tokens.check(&request) {
            Ok(()) => handle_call(shared, &path, &mut request).await,
            Err(error) => Err(error),
        };
        Reply::Answer(result.unwrap_or_else(|error| {
            services.metrics.count_refusal(error.code);
            let code = error.code.number();
            log::warn!(path = path.as_str(), code; "operator call refused: {error}");
            error_response(&error)
        }))
    }
}

async fn handle_call(shared: &Arc<Shared>, path: &str, request: &mut Request) -> Result<Response> {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), segments.as_slice()) {
        (Method::Get, ["v1", "status"]) => {
            Ok(shared.with_entry(|entry| status_page(&entry.control)))
        }
        (Method::Get, ["v1", "rollouts", model]) => {
            let status = rollout_status(shared, &ModelName::from(*model)).await?;
            Ok(json_response(200, &status))
        }
        (Method::Get, ["v1", "plans", id]) => Ok(json_response(200, &load_plan(shared, id).await?)),
        (Method::Post, ["v1", "plans"]) => {
            let body = request.body_bytes().await;
            let body = body.map_err(|error| Error::new(Code::BadRequest, error.to_string()))?;
            let intent: Intent = serde_json::from_slice(&body)
                .map_err(|error| Error::new(Code::BadIntent, error.to_string()))?;
            outcome_response(request_plan(shared, intent).await?)
        }
        (Method::Post, ["v1", "plans", id, "confirm"]) => {
            outcome_response(confirm(shared, id).await?)
        }
        _ => Err(Error::new(Code::BadRequest, format!("no such operator call: {path}"))),
    }
}

fn outcome_response(outcome: Outcome) -> Result<Response> {
    match outcome {
        Outcome::Planned(plan) => Ok(json_response(200, &PlanReply::Planned(plan))),
        Outcome::Accepted(revision) => Ok(json_response(200, &PlanReply::Accepted(revision))),
        Outcome::Failed(error) => Err(error),
    }
}

async fn request_plan(shared: &Arc<Shared>, intent: Intent) -> Result<Outcome> {
    let release = match &intent {
        Intent::Deploy { version, .. } => Some(find_release(shared, *version).await?),
        _ => None,
    };
    let (call, outcome) = shared.calls.register();
    let event = ChangeEvent::RequestPlan { call, intent: Box::new(intent), release };
    shared.inbox.send(EntryEvent::Change(event)).await;
    wait_for_outcome(outcome).await
}

async fn confirm(shared: &Arc<Shared>, id: &str) -> Result<Outcome> {
    let plan = load_plan(shared, id).await?;
    debug_assert_eq!(plan.id, PlanId::from(id));
    let (call, outcome) = shared.calls.register();
    let event = ChangeEvent::Confirm { call, plan: Box::new(plan) };
    shared.inbox.send(EntryEvent::Change(event)).await;
    let outcome = wait_for_outcome(outcome).await?;
    if let Outcome::Accepted(revision) = &outcome {
        log::info!(plan = id, revision = revision.0; "plan accepted");
    }
    Ok(outcome)
}

async fn wait_for_outcome(outcome: async_channel::Receiver<Outcome>) -> Result<Outcome> {
    let received = async {
        let outcome = outcome.recv().await;
        outcome.map_err(|_| Error::new(Code::Internal, "the call ended without an outcome"))
    };
    Deadline::after(CALL_TIMEOUT).run(Code::OutcomeUnknown, received).await
}

/// Reads the label and the size of a version from its manifest in the object store.
async fn find_release(shared: &Shared, version: VersionId) -> Result<Release> {
    let objects = &shared.context.services.platform.objects;
    let bytes = objects.get(&format!("manifests/{version}")).await.map_err(|error| {
        let code = match error.code {
            Code::NotFound => Code::UnknownVersion,
            _ => Code::TableUnavailable,
        };
        Error::new(code, format!("manifest {}: {}", version.short(), error.detail))
    })?;
    let manifest = Manifest::decode(version, &bytes)?;
    Ok(Release { version, label: manifest.label, bytes: manifest.bytes })
}

/// The progress of a rollout: the number of replicas that serve the version, and the mean fetch progress of some of
/// the others.
async fn rollout_status(shared: &Arc<Shared>, model: &ModelName) -> Result<RolloutStatus> {
    let status = shared.with_entry(|entry| daemon_status(&entry.control));
    let deployment = status.deployments.into_iter().find(|it| &it.model == model);
    let unknown = || Error::new(Code::UnknownTarget, format!("{model} is not deployed"));
    let deployment = deployment.ok_or_else(unknown)?;
    let version: VersionId = deployment.version.parse()?;
    let addresses = shared.with_entry(|entry| {
        let placements = entry.control.configuration().deployments.get(model);
        let placements = placements.map(|it| it.placements.clone()).unwrap_or_default();
        let others = entry.control.members.others().filter(|it| {
            let serves = it.record.serving.iter().any(|tag| tag.is_version(version));
            placements.contains_key(&it.record.id) && !serves
        });
        others.map(|it| it.record.address).take(MAX_PROGRESS_REPLICAS).collect::<Vec<_>>()
    });
    let mut fractions = Vec::new();
    for address in addresses {
        let progress_request = Message::GetProgress { version };
        let deadline = Deadline::after(PROGRESS_TIMEOUT);
        let answer = shared.context.peers.request(address, &progress_request, deadline).await;
        if let Ok(Message::Progress { held, chunks }) = answer.map(|frame| frame.message) {
            fractions.push(f64::from(held) / f64::from(chunks.max(1)));
        }
    }
    let staged = if fractions.is_empty() {
        0.0
    } else {
        fractions.iter().sum::<f64>() / fractions.len() as f64
    };
    Ok(RolloutStatus {
        model: deployment.model,
        label: deployment.label,
        wanted: deployment.wanted,
        live: deployment.live,
        staged,
    })
}
