//! What callers send.

use std::net::SocketAddr;
use std::time::Duration;

use errors::Code;
use lab::{ChatAnswer, ChatCaller, Ending};
use rand::rngs::StdRng;
use rand::Rng;

/// The model's name.
pub const MODEL: &str = "assistant";
/// Tokens of an answer.
pub const TOKENS: u32 = 16;
/// Prompts that start alike: so many different beginnings, each of so many bytes.
const PREFIXES: u64 = 40;
const PREFIX_BYTES: usize = 512;
/// In a hundred requests, so many are completions, then postings to the till; the rest ask for
/// payslips.
const CHAT_PERCENT: u32 = 70;
const POST_PERCENT: u32 = 20;
/// In a hundred postings, so many carry an idempotency key and are sent twice.
const KEYED_PERCENT: u32 = 20;
/// How long a caller waits.
const PATIENCE: Duration = Duration::from_secs(10);

/// What a caller sees of an entry that is gone.
const UNREACHABLE: Ending = Ending::NotRun(Code::Unreachable);

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A streamed completion.
    Chat,
    /// A posting that may run once only.
    Post,
    /// A question that may be repeated.
    Payslip,
}

impl Kind {
    /// What an answer on time counts.
    pub fn weight(self) -> f64 {
        match self {
            Self::Chat => 5.0,
            Self::Post => 8.0,
            Self::Payslip => 3.0,
        }
    }

    /// The time to the first token, or to the whole answer where there are no tokens.
    fn limit(self) -> Duration {
        match self {
            Self::Chat => Duration::from_millis(360),
            Self::Post | Self::Payslip => Duration::from_millis(500),
        }
    }
}

/// A request before it is sent.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Its kind.
    pub kind: Kind,
    /// The prompt or the body; no two are alike.
    pub text: String,
    /// The key under which it is sent twice, if it is.
    pub key: Option<String>,
}

impl Planned {
    /// Draws the next request.
    pub fn draw(random: &mut StdRng, number: usize) -> Self {
        let roll = random.random_range(0..100);
        if roll < CHAT_PERCENT {
            let prefix = format!("log {} ", random.random_range(0..PREFIXES));
            let text = prefix.repeat(PREFIX_BYTES / prefix.len()) + &format!("entry {number}");
            return Self { kind: Kind::Chat, text, key: None };
        }
        let text = format!("{{\"number\":{number}}}");
        if roll >= CHAT_PERCENT + POST_PERCENT {
            return Self { kind: Kind::Payslip, text, key: None };
        }
        let keyed = random.random_range(0..100) < KEYED_PERCENT;
        let key = keyed.then(|| format!("key-{number}"));
        Self { kind: Kind::Post, text, key }
    }
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub planned: Planned,
    /// How it ended, for each time it was sent.
    pub endings: Vec<Ending>,
    /// Whether it was answered whole and in time.
    pub on_time: bool,
    /// Time to the first token, for completions.
    pub first_token: Option<Duration>,
    /// The longest time between two tokens.
    pub longest_gap: Duration,
}

/// Sends a request. `late` is how long after its intended time it is sent; it counts as waiting.
pub async fn send(
    planned: Planned,
    entries: &[SocketAddr],
    number: usize,
    late: Duration,
) -> Outcome {
    let entry = entries[number % entries.len()];
    if planned.kind == Kind::Chat {
        let outcome = chat(planned.clone(), entry, late).await;
        if outcome.endings[0] == UNREACHABLE {
            // The balancer goes on to the next entry.
            return chat(planned, entries[(number + 1) % entries.len()], late).await;
        }
        return outcome;
    }
    let start = std::time::Instant::now();
    let path = if planned.kind == Kind::Post { "/till/shift" } else { "/till/payslip/1" };
    let body = planned.text.clone().into_bytes();
    let headers: Vec<(&str, &str)> =
        planned.key.iter().map(|key| ("idempotency-key", key.as_str())).collect();
    let mut ending = lab::post(entry, path, &headers, body.clone(), PATIENCE).await;
    if ending == UNREACHABLE {
        let other = entries[(number + 1) % entries.len()];
        ending = lab::post(other, path, &headers, body.clone(), PATIENCE).await;
    }
    let on_time = ending == Ending::Whole && start.elapsed() + late <= planned.kind.limit();
    let mut endings = vec![ending];
    if planned.key.is_some() {
        // The caller repeats it through another entry, as the balancer may choose.
        let other = entries[(number + 1) % entries.len()];
        endings.push(lab::post(other, path, &headers, body, PATIENCE).await);
    }
    Outcome { planned, endings, on_time, first_token: None, longest_gap: Duration::ZERO }
}

async fn chat(planned: Planned, entry: SocketAddr, late: Duration) -> Outcome {
    let caller = ChatCaller {
        address: entry,
        model: MODEL.to_owned(),
        tokens: TOKENS,
        stream: true,
        patience: PATIENCE,
    };
    let ChatAnswer { ending, first_token, longest_gap, .. } = caller.chat(&planned.text).await;
    let first_token = first_token.map(|span| span + late);
    let in_time = first_token.is_some_and(|span| span <= planned.kind.limit());
    let on_time = ending == Ending::Whole && in_time;
    Outcome { planned, endings: vec![ending], on_time, first_token, longest_gap }
}

impl Kind {
    /// Its share of all requests.
    pub fn share(self) -> f64 {
        let percent = match self {
            Self::Chat => CHAT_PERCENT,
            Self::Post => POST_PERCENT,
            Self::Payslip => 100 - CHAT_PERCENT - POST_PERCENT,
        };
        f64::from(percent) / 100.0
    }
}
