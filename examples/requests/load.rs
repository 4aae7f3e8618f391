//! The requests that callers send.

use std::net::SocketAddr;
use std::time::Duration;

use errors::Code;
use lab::{ChatAnswer, ChatCaller, Outcome};
use rand::rngs::StdRng;
use rand::Rng;

/// Name of the deployed model.
pub const MODEL: &str = "assistant";
/// Number of tokens requested for an answer.
pub const ANSWER_TOKENS: u32 = 16;
/// Number of distinct prompt prefixes, and the length of a prefix in bytes.
const PREFIXES: u64 = 40;
const PREFIX_BYTES: usize = 512;
/// Percentage of completions and of till requests among all requests. The rest are payslip queries.
const CHAT_PERCENT: u32 = 70;
const POST_PERCENT: u32 = 20;
/// Percentage of till requests that carry an idempotency key and are sent twice.
const KEYED_PERCENT: u32 = 20;
/// How long a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The outcome that a caller records if it cannot connect to an entry.
const ENTRY_UNREACHABLE: Outcome = Outcome::NotRun(Code::Unreachable);

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A streamed completion.
    Chat,
    /// A till request that may run only once.
    Post,
    /// A payslip query, which may be repeated.
    Payslip,
}

impl Kind {
    /// The weight of an answer on time.
    pub fn weight(self) -> f64 {
        match self {
            Self::Chat => 5.0,
            Self::Post => 8.0,
            Self::Payslip => 3.0,
        }
    }

    /// Limit of the time to the first token or, without tokens, to the complete answer.
    fn limit(self) -> Duration {
        match self {
            Self::Chat => Duration::from_millis(360),
            Self::Post | Self::Payslip => Duration::from_millis(500),
        }
    }
}

/// A request before it is sent.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// The kind.
    pub kind: Kind,
    /// The prompt or the body, unique to the request.
    pub text: String,
    /// The idempotency key, if the request is sent twice.
    pub key: Option<String>,
}

impl PlannedRequest {
    /// Generates the next request at random.
    pub fn generate(random: &mut StdRng, number: usize) -> Self {
        let percentile = random.random_range(0..100);
        if percentile < CHAT_PERCENT {
            let prefix = format!("log {} ", random.random_range(0..PREFIXES));
            let text = prefix.repeat(PREFIX_BYTES / prefix.len()) + &format!("entry {number}");
            return Self { kind: Kind::Chat, text, key: None };
        }
        let text = format!("{{\"number\":{number}}}");
        if percentile >= CHAT_PERCENT + POST_PERCENT {
            return Self { kind: Kind::Payslip, text, key: None };
        }
        let keyed = random.random_range(0..100) < KEYED_PERCENT;
        let key = keyed.then(|| format!("key-{number}"));
        Self { kind: Kind::Post, text, key }
    }
}

/// The result of a request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// The request.
    pub planned: PlannedRequest,
    /// The outcome of each attempt.
    pub outcomes: Vec<Outcome>,
    /// Whether the first attempt was answered completely and in time.
    pub on_time: bool,
    /// Time to the first token, for completions.
    pub first_token: Option<Duration>,
    /// The longest time between two tokens.
    pub longest_gap: Duration,
}

/// Sends a request. `late` is the delay between its intended and its real send time; it counts as waiting time.
pub async fn send(
    planned: PlannedRequest,
    entries: &[SocketAddr],
    number: usize,
    late: Duration,
) -> RequestResult {
    let entry = entries[number % entries.len()];
    if planned.kind == Kind::Chat {
        let result = chat(planned.clone(), entry, late).await;
        if result.outcomes[0] == ENTRY_UNREACHABLE {
            // A load balancer would retry at the next entry.
            return chat(planned, entries[(number + 1) % entries.len()], late).await;
        }
        return result;
    }
    let start = std::time::Instant::now();
    let path = if planned.kind == Kind::Post { "/till/shift" } else { "/till/payslip/1" };
    let body = planned.text.clone().into_bytes();
    let headers: Vec<(&str, &str)> =
        planned.key.iter().map(|key| ("idempotency-key", key.as_str())).collect();
    let mut outcome = lab::post(entry, path, &headers, body.clone(), ANSWER_TIMEOUT).await;
    if outcome == ENTRY_UNREACHABLE {
        let other = entries[(number + 1) % entries.len()];
        outcome = lab::post(other, path, &headers, body.clone(), ANSWER_TIMEOUT).await;
    }
    let on_time = outcome == Outcome::Complete && start.elapsed() + late <= planned.kind.limit();
    let mut outcomes = vec![outcome];
    if planned.key.is_some() {
        // The caller repeats the request through another entry, as a load balancer may choose one.
        let other = entries[(number + 1) % entries.len()];
        outcomes.push(lab::post(other, path, &headers, body, ANSWER_TIMEOUT).await);
    }
    RequestResult { planned, outcomes, on_time, first_token: None, longest_gap: Duration::ZERO }
}

async fn chat(planned: PlannedRequest, entry: SocketAddr, late: Duration) -> RequestResult {
    let caller = ChatCaller {
        address: entry,
        model: MODEL.to_owned(),
        tokens: ANSWER_TOKENS,
        stream: true,
        timeout: ANSWER_TIMEOUT,
    };
    let ChatAnswer { outcome, first_token, longest_gap, .. } = caller.chat(&planned.text).await;
    let first_token = first_token.map(|span| span + late);
    let in_time = first_token.is_some_and(|span| span <= planned.kind.limit());
    let on_time = outcome == Outcome::Complete && in_time;
    RequestResult { planned, outcomes: vec![outcome], on_time, first_token, longest_gap }
}

impl Kind {
    /// Share of this kind among all requests.
    pub fn share(self) -> f64 {
        let percent = match self {
            Self::Chat => CHAT_PERCENT,
            Self::Post => POST_PERCENT,
            Self::Payslip => 100 - CHAT_PERCENT - POST_PERCENT,
        };
        f64::from(percent) / 100.0
    }
}
