//! A model engine: continuous batching, a prefix cache, streams, cancels and fenced orders.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use async_trait::async_trait;
use errors::{Code, Error, Result};
use externals::{EngineLoad, EngineOrder};
use fleet::{ModelName, Revision};
use http_types::{Method, Request, Response, StatusCode, Url};
use net::{
    json, read_body, refuse, send, stream_body, Caller, Deadline, Handler, HttpBody, Reply, Tasks,
};
use serde::Deserialize;
use serde_json::json as value;

use crate::engine_batch::{Batch, Seat};
use crate::engine_cache::PrefixCache;
use crate::engine_text::token_text;
use crate::faults::{empty, Faults};

/// How long reading weights from the agent may take.
const WEIGHTS_TIME: Duration = Duration::from_secs(600);
/// How much of a refusal is read, in bytes.
const REFUSAL_BYTES: usize = 4096;
/// Tokens of a stream that wait for a slow reader.
const TOKENS_AHEAD: usize = 16;
/// Tokens generated when the request names no number.
const USUAL_TOKENS: u32 = 16;

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Requests it batches at once.
    pub batch: u32,
    /// Time for one block of a prompt that is not cached.
    pub block_time: Duration,
    /// Time between two tokens.
    pub token_time: Duration,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Time to start serving once the weights are read.
    pub load_time: Duration,
    /// How long the reported load lags.
    pub load_lag: Duration,
    /// How late cache events are published.
    pub event_lag: Duration,
    /// Whether orders of an old epoch are refused.
    pub checks_fence: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            batch: 16,
            block_time: Duration::from_millis(4),
            token_time: Duration::from_millis(10),
            cache_blocks: 256,
            load_time: Duration::from_millis(20),
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            checks_fence: true,
        }
    }
}

/// What an engine has loaded under a name.
#[derive(Clone, Debug)]
struct Loaded {
    /// The digest of every byte that was read, computed here and not taken from the order.
    digest: String,
}

struct State {
    loaded: HashMap<ModelName, Loaded>,
    highest_epoch: Revision,
    cache: PrefixCache,
    cancelled: HashSet<String>,
    reported: (Option<Instant>, EngineLoad),
}

/// The engine.
pub struct Engine {
    /// Its switches.
    pub faults: Arc<Faults>,
    tasks: Tasks,
    options: EngineOptions,
    batch: Arc<Batch>,
    state: Arc<Mutex<State>>,
    answered: AtomicU64,
}

/// The part of a chat completion request that matters here.
#[derive(Deserialize)]
struct Completion {
    model: ModelName,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    /// The first token to generate, when a stream is taken up again.
    #[serde(default)]
    resume_from: u32,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: String,
}

/// A request in the batch.
struct Generation {
    id: String,
    model: ModelName,
    digest: String,
    prompt: String,
    first: u32,
    tokens: u32,
    token_time: Duration,
    _seat: Seat,
}

impl Engine {
    /// An engine that has nothing loaded.
    pub fn new(tasks: &Tasks, options: EngineOptions) -> Self {
        Self {
            faults: Arc::default(),
            tasks: tasks.clone(),
            options,
            batch: Batch::new(options.batch),
            state: Arc::new(Mutex::new(State {
                loaded: HashMap::new(),
                highest_epoch: Revision(0),
                cache: PrefixCache::new(options.cache_blocks),
                cancelled: HashSet::new(),
                reported: (None, EngineLoad::default()),
            })),
            answered: AtomicU64::new(0),
        }
    }

    /// How many completions it began to answer.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    async fn obey(&self, order: EngineOrder) -> Result<()> {
        self.check_fence(order.epoch)?;
        let Some(version) = order.version else {
            self.lock().loaded.remove(&order.model);
            return Ok(());
        };
        let url = Url::parse(&format!("http://{}/weights/{version}", order.weights));
        let url = url.map_err(|error| Error::new(Code::BadRequest, error.to_string()))?;
        let digest = read_digest(&order, Request::new(Method::Get, url)).await?;
        Timer::after(self.options.load_time).await;
        // A higher order may have come while this one was read.
        self.check_fence(order.epoch)?;
        self.lock().loaded.insert(order.model, Loaded { digest });
        Ok(())
    }

    fn check_fence(&self, epoch: Revision) -> Result<()> {
        let mut state = self.lock();
        if self.options.checks_fence && epoch < state.highest_epoch {
            return Err(Error::new(Code::OldEpoch, "a higher epoch was seen"));
        }
        state.highest_epoch = state.highest_epoch.max(epoch);
        Ok(())
    }

    async fn complete(&self, request: &Request, body: &[u8]) -> Result<Response> {
        let completion: Completion = serde_json::from_slice(body)
            .map_err(|error| Error::new(Code::BadRequest, error.to_string()))?;
        let priority = header(request, "x-priority").parse().unwrap_or(0);
        let seat = self.batch.join(priority).await;
        let seat = seat.ok_or_else(|| Error::new(Code::Stopping, "the engine is stopping"))?;
        let loaded = self.lock().loaded.get(&completion.model).cloned();
        let loaded = loaded.ok_or_else(|| Error::new(Code::NotServing, "nothing is loaded"))?;
        self.answered.fetch_add(1, Ordering::Relaxed);
        let prompt: String = completion.messages.into_iter().map(|it| it.content).collect();
        Timer::after(self.options.block_time * self.cache_prompt(&prompt)).await;
        let generation = Generation {
            id: header(request, "x-request-id"),
            model: completion.model,
            digest: loaded.digest,
            prompt,
            first: completion.resume_from,
            tokens: completion.max_tokens.unwrap_or(USUAL_TOKENS),
            token_time: self.options.token_time,
            _seat: seat,
        };
        if completion.stream {
            return Ok(self.stream(generation));
        }
        Ok(whole(generation).await)
    }

    /// Adds the prompt to the cache; returns how many of its blocks had to be computed.
    fn cache_prompt(&self, prompt: &str) -> u32 {
        self.lock().cache.add_prompt(prompt)
    }

    /// Loses this share of the cache events.
    pub fn set_event_gaps(&self, percent: u64) {
        self.lock().cache.gaps.set_percent(percent);
    }

    fn stream(&self, generation: Generation) -> Response {
        let (sender, body) = stream_body(TOKENS_AHEAD);
        let state = self.state.clone();
        let writing = async move {
            for index in generation.first..generation.tokens {
                Timer::after(generation.token_time).await;
                let cancelled = is_cancelled(&state, &generation.id);
                let part = format!("data: {}\n\n", generation.chunk(index));
                if cancelled || !sender.send(part.into_bytes()).await {
                    return;
                }
            }
            if sender.send(b"data: [DONE]\n\n".to_vec()).await {
                sender.finish();
            }
        };
        self.tasks.spawn(writing);
        let mut response = empty(StatusCode::Ok);
        response.set_body(body);
        response.insert_header("content-type", "text/event-stream");
        response
    }

    /// The load as it was some time ago.
    fn report(&self) -> EngineLoad {
        let (running, waiting) = self.batch.load();
        let mut state = self.lock();
        let due = state.reported.0.is_none_or(|at| at.elapsed() >= self.options.load_lag);
        if due {
            state.reported = (Some(Instant::now()), EngineLoad { running, waiting });
        }
        state.reported.1
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("the lock is never poisoned")
    }
}

fn is_cancelled(state: &Mutex<State>, id: &str) -> bool {
    state.lock().expect("the lock is never poisoned").cancelled.contains(id)
}

impl Generation {
    fn chunk(&self, index: u32) -> serde_json::Value {
        value!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "system_fingerprint": self.digest,
            "choices": [{
                "index": 0,
                "delta": { "content": token_text(&self.digest, &self.prompt, index) },
            }],
        })
    }
}

async fn whole(generation: Generation) -> Response {
    let mut content = String::new();
    for index in generation.first..generation.tokens {
        Timer::after(generation.token_time).await;
        content.push_str(&token_text(&generation.digest, &generation.prompt, index));
    }
    let body = value!({
        "id": generation.id,
        "object": "chat.completion",
        "model": generation.model,
        "system_fingerprint": generation.digest,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": "stop",
        }],
        "usage": { "completion_tokens": generation.tokens },
    });
    json(200, &body)
}

/// Reads the weights from the agent and names what was read.
async fn read_digest(order: &EngineOrder, request: Request) -> Result<String> {
    let deadline = Deadline::after(WEIGHTS_TIME);
    let response = send(order.weights, request, deadline).await?;
    if !response.status().is_success() {
        let answer = read_body(response, REFUSAL_BYTES, deadline).await?;
        return Err(Error::new(Code::UpstreamFailed, format!("weights: {}", answer.status)));
    }
    let mut body = HttpBody::new(response);
    let mut hasher = blake3::Hasher::new();
    let mut bytes = 0;
    while let Some(part) = body.next().await? {
        hasher.update(&part);
        bytes += part.len() as u64;
    }
    if bytes != order.bytes {
        return Err(Error::new(Code::CutShort, format!("read {bytes} of {}", order.bytes)));
    }
    Ok(hasher.finalize().to_hex().to_string())
}

fn header(request: &Request, name: &str) -> String {
    request.header(name).map(|values| values.last().to_string()).unwrap_or_default()
}

#[async_trait]
impl Handler for Engine {
    async fn handle(&self, mut request: Request, _caller: Caller) -> Reply {
        self.faults.wait().await;
        if self.faults.is_down() {
            return Reply::HangUp;
        }
        let Ok(body) = request.body_bytes().await else {
            return Reply::HangUp;
        };
        let path = request.url().path().to_owned();
        let result = match (request.method(), path.as_str()) {
            (Method::Post, "/orders") => match serde_json::from_slice(&body) {
                Ok(order) => self.obey(order).await.map(|()| empty(StatusCode::Ok)),
                Err(error) => Err(Error::new(Code::BadRequest, error.to_string())),
            },
            (Method::Post, "/v1/chat/completions") => self.complete(&request, &body).await,
            (Method::Get, "/load") => Ok(json(200, &self.report())),
            (Method::Get, "/cache/events") => {
                let query = request.url().query().unwrap_or_default();
                let after = query.trim_start_matches("after=").parse().unwrap_or(0);
                let lag = self.options.event_lag;
                Ok(json(200, &self.lock().cache.events_after(after, lag)))
            }
            (Method::Post, "/kv/export") => {
                let prompt = String::from_utf8_lossy(&body).into_owned();
                Ok(json(200, &self.lock().cache.export(&prompt)))
            }
            (Method::Post, "/kv/import") => match serde_json::from_slice::<Vec<String>>(&body) {
                Ok(blocks) => Ok(json(200, &self.lock().cache.import(&blocks))),
                Err(error) => Err(Error::new(Code::BadRequest, error.to_string())),
            },
            (Method::Delete, path) => {
                let id = path.trim_start_matches("/requests/").to_owned();
                self.lock().cancelled.insert(id);
                Ok(empty(StatusCode::Ok))
            }
            _ => Ok(empty(StatusCode::NotFound)),
        };
        Reply::Answer(result.unwrap_or_else(|error| refuse(&error)))
    }
}
