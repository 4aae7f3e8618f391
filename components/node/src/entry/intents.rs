//! The operators' door: intents, plans, confirmations and status.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Code, Error, Result};
use fleet::{Intent, Manifest, ModelName, PlanId, PlanReply, Release, RolloutStatus, VersionId};
use http_types::{Method, Request, Response};
use net::{json, refuse, Caller, Deadline, Handler, Reply};
use reducer::{ChangeEvent, EntryEvent, Outcome};
use wire::Message;

use super::changes::load_plan;
use super::Shared;
use crate::operators::{describe, open_page, status_page};

/// How long an operator's call may take.
const CALL_TIME: Duration = Duration::from_secs(30);
/// How long a replica may take to say how far it has come.
const PROGRESS_TIME: Duration = Duration::from_millis(500);
/// How many replicas are asked how far they have come.
const PROGRESS_SAMPLE: usize = 8;

/// The operators' port of an entry.
pub(super) struct OperatorPage(pub(super) Arc<Shared>);

#[async_trait]
impl Handler for OperatorPage {
    async fn handle(&self, mut request: Request, _caller: Caller) -> Reply {
        let shared = &self.0;
        let host = &shared.surroundings.host;
        let path = request.url().path().to_owned();
        let ready = shared.look(|entry| entry.control.is_current());
        let (under_way, waiting) = shared.look(|entry| entry.load());
        host.metrics.set("requests_under_way", under_way as u64);
        host.metrics.set("requests_waiting", waiting as u64);
        host.metrics.set("events_dropped", shared.inbox.dropped());
        if let Some(page) = open_page(&path, ready, &host.metrics) {
            return Reply::Answer(page);
        }
        let result = match host.tokens.check(&request) {
            Ok(()) => answer(shared, &path, &mut request).await,
            Err(error) => Err(error),
        };
        Reply::Answer(result.unwrap_or_else(|error| {
            host.metrics.count_refusal(error.code);
            let code = error.code.number();
            log::warn!(path = path.as_str(), code; "operator call refused: {error}");
            refuse(&error)
        }))
    }
}

async fn answer(shared: &Arc<Shared>, path: &str, request: &mut Request) -> Result<Response> {
    let steps: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), steps.as_slice()) {
        (Method::Get, ["v1", "status"]) => Ok(shared.look(|entry| status_page(&entry.control))),
        (Method::Get, ["v1", "rollouts", model]) => {
            let status = rollout(shared, &ModelName::from(*model)).await?;
            Ok(json(200, &status))
        }
        (Method::Get, ["v1", "plans", id]) => Ok(json(200, &load_plan(shared, id).await?)),
        (Method::Post, ["v1", "plans"]) => {
            let body = request.body_bytes().await;
            let body = body.map_err(|error| Error::new(Code::BadRequest, error.to_string()))?;
            let intent: Intent = serde_json::from_slice(&body)
                .map_err(|error| Error::new(Code::BadIntent, error.to_string()))?;
            finish(ask(shared, intent).await?)
        }
        (Method::Post, ["v1", "plans", id, "confirm"]) => finish(confirm(shared, id).await?),
        _ => Err(Error::new(Code::BadRequest, format!("no such operator call: {path}"))),
    }
}

fn finish(outcome: Outcome) -> Result<Response> {
    match outcome {
        Outcome::Planned(plan) => Ok(json(200, &PlanReply::Planned(plan))),
        Outcome::Accepted(revision) => Ok(json(200, &PlanReply::Accepted(revision))),
        Outcome::Failed(error) => Err(error),
    }
}

async fn ask(shared: &Arc<Shared>, intent: Intent) -> Result<Outcome> {
    let release = match &intent {
        Intent::Deploy { version, .. } => Some(find_release(shared, *version).await?),
        _ => None,
    };
    let (call, outcome) = shared.calls.begin();
    let event = ChangeEvent::Ask { call, intent: Box::new(intent), release };
    shared.inbox.send(EntryEvent::Change(event)).await;
    wait(outcome).await
}

async fn confirm(shared: &Arc<Shared>, id: &str) -> Result<Outcome> {
    let plan = load_plan(shared, id).await?;
    debug_assert_eq!(plan.id, PlanId::from(id));
    let (call, outcome) = shared.calls.begin();
    let event = ChangeEvent::Confirm { call, plan: Box::new(plan) };
    shared.inbox.send(EntryEvent::Change(event)).await;
    let outcome = wait(outcome).await?;
    if let Outcome::Accepted(revision) = &outcome {
        log::info!(plan = id, revision = revision.0; "plan accepted");
    }
    Ok(outcome)
}

async fn wait(outcome: async_channel::Receiver<Outcome>) -> Result<Outcome> {
    let received = async {
        let outcome = outcome.recv().await;
        outcome.map_err(|_| Error::new(Code::Internal, "the call was lost"))
    };
    Deadline::after(CALL_TIME).limit(Code::OutcomeUnknown, received).await
}

/// What a version is, from its manifest in the object store.
async fn find_release(shared: &Shared, version: VersionId) -> Result<Release> {
    let objects = &shared.surroundings.host.platform.objects;
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

/// How far a rollout has come: who serves the version, and what a few of the others hold.
async fn rollout(shared: &Arc<Shared>, model: &ModelName) -> Result<RolloutStatus> {
    let status = shared.look(|entry| describe(&entry.control));
    let deployment = status.deployments.into_iter().find(|it| &it.model == model);
    let unknown = || Error::new(Code::UnknownTarget, format!("{model} is not deployed"));
    let deployment = deployment.ok_or_else(unknown)?;
    let version: VersionId = deployment.version.parse()?;
    let addresses = shared.look(|entry| {
        let placements = entry.control.configuration().deployments.get(model);
        let placements = placements.map(|it| it.placements.clone()).unwrap_or_default();
        let others = entry.control.members.others().filter(|it| {
            let serves = it.record.serving.iter().any(|tag| tag.is_version(version));
            placements.contains_key(&it.record.id) && !serves
        });
        others.map(|it| it.record.address).take(PROGRESS_SAMPLE).collect::<Vec<_>>()
    });
    let mut shares = Vec::new();
    for address in addresses {
        let ask = Message::GetProgress { version };
        let deadline = Deadline::after(PROGRESS_TIME);
        let answer = shared.surroundings.peers.ask(address, &ask, deadline).await;
        if let Ok(Message::Progress { held, chunks }) = answer.map(|frame| frame.message) {
            shares.push(f64::from(held) / f64::from(chunks.max(1)));
        }
    }
    let staged =
        if shares.is_empty() { 0.0 } else { shares.iter().sum::<f64>() / shares.len() as f64 };
    Ok(RolloutStatus {
        model: deployment.model,
        label: deployment.label,
        wanted: deployment.wanted,
        live: deployment.live,
        staged,
    })
}
