//! A stand-in for a model engine with continuous batching, a prefix cache, streaming, cancellation and fenced orders.

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
    error_response, json_response, read_body, send, stream_body, Caller, Deadline, Handler, Reply,
    Tasks,
};
use serde::Deserialize;
use serde_json::json as json_value;

use crate::engine_batch::{Batch, BatchSlot};
use crate::engine_cache::PrefixCache;
use crate::engine_text::token_text;
use crate::faults::{empty_response, Faults};

/// Timeout for reading weights from the agent.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(600);
/// Maximum size of an error response that is read, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 4096;
/// Maximum number of tokens of a stream that are buffered for a slow reader.
const MAX_BUFFERED_TOKENS: usize = 16;
/// Number of tokens that are generated if the request does not specify `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Capacity and timing of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Maximum number of requests in the batch.
    pub batch: u32,
    /// Time to process one block of a prompt that is not cached.
    pub block_time: Duration,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Maximum number of blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Time from having read the weights to serving them.
    pub load_time: Duration,
    /// Minimum interval between two updates of the reported load.
    pub load_update_interval: Duration,
    /// Delay before a cache event becomes visible.
    pub event_delay: Duration,
    /// Whether orders with an old epoch are rejected.
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
            load_update_interval: Duration::from_millis(500),
            event_delay: Duration::from_millis(500),
            checks_fence: true,
        }
    }
}

/// The weights that an engine has loaded under a model name.
#[derive(Clone, Debug)]
struct LoadedModel {
    /// The digest of all bytes that were read. It is computed from the bytes, not copied from the order.
    digest: String,
}

struct State {
    loaded: HashMap<ModelName, LoadedModel>,
    highest_epoch: Revision,
    cache: PrefixCache,
    cancelled: HashSet<String>,
    reported: (Option<Instant>, EngineLoad),
}

/// The engine stand-in.
pub struct Engine {
    /// Fault injection for this engine.
    pub faults: Arc<Faults>,
    tasks: Tasks,
    options: EngineOptions,
    batch: Arc<Batch>,
    state: Arc<Mutex<State>>,
    completions_started: AtomicU64,
}

/// The fields of a chat completion request that the engine uses.
#[derive(Deserialize)]
struct CompletionRequest {
    model: ModelName,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    /// The index of the first token to generate when an interrupted stream is resumed.
    #[serde(default)]
    resume_from: u32,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: String,
}

/// A request in the batch, while its tokens are generated.
struct Generation {
    id: String,
    model: ModelName,
    digest: String,
    prompt: String,
    first: u32,
    tokens: u32,
    token_time: Duration,
    _slot: BatchSlot,
}

impl Engine {
    /// Creates an engine without a loaded model.
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
            completions_started: AtomicU64::new(0),
        }
    }

    /// Returns the number of completions that the engine has started.
    pub fn completions_started(&self) -> u64 {
        self.completions_started.load(Ordering::Relaxed)
    }

    async fn apply_order(&self, order: EngineOrder) -> Result<()> {
        self.check_fence(order.epoch)?;
        let Some(version) = order.version else {
            self.lock().loaded.remove(&order.model);
            return Ok(());
        };
        let url = Url::parse(&format!("http://{}/weights/{version}", order.weights));
        let url = url.map_err(|error| Error::new(Code::BadRequest, error.to_string()))?;
        let digest = read_weights_digest(&order, Request::new(Method::Get, url)).await?;
        Timer::after(self.options.load_time).await;
        // An order with a higher epoch may have arrived while the weights were read.
        self.check_fence(order.epoch)?;
        self.lock().loaded.insert(order.model, LoadedModel { digest });
        Ok(())
    }

    fn check_fence(&self, epoch: Revision) -> Result<()> {
        let mut state = self.lock();
        if self.options.checks_fence && epoch < state.highest_epoch {
            return Err(Error::new(Code::OldEpoch, "the engine has seen a higher epoch"));
        }
        state.highest_epoch = state.highest_epoch.max(epoch);
        Ok(())
    }

    async fn complete(&self, request: &Request, body: &[u8]) -> Result<Response> {
        let completion: CompletionRequest = serde_json::from_slice(body)
            .map_err(|error| Error::new(Code::BadRequest, error.to_string()))?;
        let priority = header(request, "x-priority").parse().unwrap_or(0);
        let slot = self.batch.acquire(priority).await;
        let slot = slot.ok_or_else(|| Error::new(Code::Stopping, "the engine is stopping"))?;
        let loaded = self.lock().loaded.get(&completion.model).cloned();
        let loaded = loaded
            .ok_or_else(|| Error::new(Code::NotServing, "the engine has not loaded the model"))?;
        self.completions_started.fetch_add(1, Ordering::Relaxed);
        let prompt: String = completion.messages.into_iter().map(|it| it.content).collect();
        Timer::after(self.options.block_time * self.cache_prompt(&prompt)).await;
        let generation = Generation {
            id: header(request, "x-request-id"),
            model: completion.model,
            digest: loaded.digest,
            prompt,
            first: completion.resume_from,
            tokens: completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            token_time: self.options.token_time,
            _slot: slot,
        };
        if completion.stream {
            return Ok(self.stream(generation));
        }
        Ok(full_response(generation).await)
    }

    /// Adds the prompt to the cache and returns the number of its blocks that were not cached.
    fn cache_prompt(&self, prompt: &str) -> u32 {
        self.lock().cache.add_prompt(prompt)
    }

    /// Drops this percentage of the cache events.
    pub fn set_event_loss_percent(&self, percent: u64) {
        self.lock().cache.event_loss.set_percent(percent);
    }

    fn stream(&self, generation: Generation) -> Response {
        let (sender, body) = stream_body(MAX_BUFFERED_TOKENS);
        let state = self.state.clone();
        let send_tokens = async move {
            for index in generation.first..generation.tokens {
                Timer::after(generation.token_time).await;
                let cancelled = is_cancelled(&state, &generation.id);
                let part = format!("data: {}\n\n", generation.stream_chunk(index));
                if cancelled || !sender.send(part.into_bytes()).await {
                    return;
                }
            }
            if sender.send(b"data: [DONE]\n\n".to_vec()).await {
                sender.finish();
            }
        };
        self.tasks.spawn(send_tokens);
        let mut response = empty_response(StatusCode::Ok);
        response.set_body(body);
        response.insert_header("content-type", "text/event-stream");
        response
    }

    /// Returns the load as of the last update.
    fn reported_load(&self) -> EngineLoad {
        let (running, waiting) = self.batch.load();
        let mut state = self.lock();
        let is_due =
            state.reported.0.is_none_or(|at| at.elapsed() >= self.options.load_update_interval);
        if is_due {
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
    fn stream_chunk(&self, index: u32) -> serde_json::Value {
        json_value!({
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

async fn full_response(generation: Generation) -> Response {
    let mut content = String::new();
    for index in generation.first..generation.tokens {
        Timer::after(generation.token_time).await;
        content.push_str(&token_text(&generation.digest, &generation.prompt, index));
    }
    let body = json_value!({
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
    json_response(200, &body)
}

/// Reads the weights from the agent and returns the digest of the bytes that were read.
async fn read_weights_digest(order: &EngineOrder, request: Request) -> Result<String> {
    let deadline = Deadline::after(WEIGHTS_TIMEOUT);
    let response = send(order.weights, request, deadline).await?;
    if !(200..300).contains(&response.status()) {
        let answer = read_body(response, MAX_ERROR_BODY_BYTES, deadline).await?;
        return Err(Error::new(
            Code::UpstreamFailed,
            format!("the agent responded to the read of weights with status {}", answer.status),
        ));
    }
    let mut body = response.body;
    let mut hasher = blake3::Hasher::new();
    let mut bytes = 0;
    while let Some(part) = body.next().await? {
        hasher.update(&part);
        bytes += part.len() as u64;
    }
    if bytes != order.bytes {
        return Err(Error::new(
            Code::CutShort,
            format!("read {bytes} of {} bytes of weights", order.bytes),
        ));
    }
    Ok(hasher.finalize().to_hex().to_string())
}

fn header(request: &Request, name: &str) -> String {
    request.header(name).map(|values| values.last().to_string()).unwrap_or_default()
}

#[async_trait]
impl Handler for Engine {
    async fn handle(&self, mut request: Request, _caller: Caller) -> Reply {
        self.faults.apply_delay().await;
        if self.faults.is_down() {
            return Reply::CloseConnection;
        }
        let Ok(body) = request.body_bytes().await else {
            return Reply::CloseConnection;
        };
        let path = request.url().path().to_owned();
        let result = match (request.method(), path.as_str()) {
            (Method::Post, "/orders") => match serde_json::from_slice(&body) {
                Ok(order) => self.apply_order(order).await.map(|()| empty_response(StatusCode::Ok)),
                Err(error) => Err(Error::new(Code::BadRequest, error.to_string())),
            },
            (Method::Post, "/v1/chat/completions") => self.complete(&request, &body).await,
            (Method::Get, "/load") => Ok(json_response(200, &self.reported_load())),
            (Method::Get, "/cache/events") => {
                let query = request.url().query().unwrap_or_default();
                let after = query.trim_start_matches("after=").parse().unwrap_or(0);
                let delay = self.options.event_delay;
                Ok(json_response(200, &self.lock().cache.events_after(after, delay)))
            }
            (Method::Post, "/kv/export") => {
                let prompt = String::from_utf8_lossy(&body).into_owned();
                Ok(json_response(200, &self.lock().cache.export(&prompt)))
            }
            (Method::Post, "/kv/import") => match serde_json::from_slice::<Vec<String>>(&body) {
                Ok(blocks) => Ok(json_response(200, &self.lock().cache.import(&blocks))),
                Err(error) => Err(Error::new(Code::BadRequest, error.to_string())),
            },
            (Method::Delete, path) => {
                let id = path.trim_start_matches("/requests/").to_owned();
                self.lock().cancelled.insert(id);
                Ok(empty_response(StatusCode::Ok))
            }
            _ => Ok(empty_response(StatusCode::NotFound)),
        };
        Reply::Answer(result.unwrap_or_else(|error| error_response(&error)))
    }
}
