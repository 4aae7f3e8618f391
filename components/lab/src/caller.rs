//! Callers that verify the complete content of the answers that they receive.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use errors::{Code, Error, Result};
use http_types::{Method, Request, Url};
use net::{read_body, send, Answer, Deadline, HttpResponse};
use serde_json::{json, Value};
use standins::answer_text;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// The outcome of a request as its caller observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is complete and correct.
    Complete,
    /// The request was not executed, according to the result code.
    NotRun(Code),
    /// The request may have been executed, according to the result code, or no response arrived.
    Unknown(Code),
    /// The answer was delivered as complete but is truncated.
    Truncated,
    /// The answer does not belong to the prompt.
    Mixed,
}

/// The outcome and timing of a chat completion.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatAnswer {
    /// The outcome.
    pub outcome: Outcome,
    /// The digest of the weights that the engine reports to have used.
    pub fingerprint: String,
    /// Time until the first token, for streams.
    pub first_token: Option<Duration>,
    /// Longest time between two tokens, for streams.
    pub longest_gap: Duration,
    /// Time until the end of the answer.
    pub total: Duration,
}

/// A caller of chat completions.
#[derive(Clone, Debug)]
pub struct ChatCaller {
    /// The address of the entry or engine to call.
    pub address: SocketAddr,
    /// The model name.
    pub model: String,
    /// Number of tokens to request.
    pub tokens: u32,
    /// Whether to request a stream.
    pub stream: bool,
    /// Timeout of a request.
    pub timeout: Duration,
}

impl ChatCaller {
    /// Sends a prompt and verifies the answer.
    pub async fn chat(&self, prompt: &str) -> ChatAnswer {
        let started = Instant::now();
        let result = self.exchange(prompt, started).await;
        let mut answer = result.unwrap_or_else(|error| {
            let outcome = match error.code {
                Code::Unreachable => Outcome::NotRun(error.code),
                _ => Outcome::Unknown(error.code),
            };
            answer_without_timing(outcome, String::new())
        });
        answer.total = started.elapsed();
        answer
    }

    async fn exchange(&self, prompt: &str, started: Instant) -> Result<ChatAnswer> {
        let body = json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": self.tokens,
            "stream": self.stream,
        });
        let deadline = Deadline::after(self.timeout);
        let path = "/v1/chat/completions";
        let response =
            post_request(self.address, path, &[], body.to_string().into_bytes(), deadline).await?;
        if (200..300).contains(&response.status()) && self.stream {
            let stream_answer = async { Ok(self.read_stream(prompt, response, started).await) };
            return deadline.run(Code::TimedOut, stream_answer).await?;
        }
        let answer = read_body(response, MAX_RESPONSE_BYTES, deadline).await?;
        Ok(self.check_response(prompt, &answer))
    }

    fn check_response(&self, prompt: &str, answer: &HttpResponse) -> ChatAnswer {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        if answer.status != 200 {
            return answer_without_timing(error_outcome(&body), String::new());
        }
        let fingerprint = string_or_empty(&body["system_fingerprint"]);
        let content = string_or_empty(&body["choices"][0]["message"]["content"]);
        answer_without_timing(self.compare(prompt, &fingerprint, &content), fingerprint)
    }

    async fn read_stream(
        &self,
        prompt: &str,
        answer: Answer,
        started: Instant,
    ) -> Result<ChatAnswer> {
        let mut stream = EventStream::default();
        let mut body = answer.body;
        let mut last_part_at = started;
        let mut first_token = None;
        let mut longest_gap = Duration::ZERO;
        loop {
            match body.next().await {
                Ok(Some(part)) => {
                    stream.push(&part);
                    match first_token {
                        None => first_token = Some(started.elapsed()),
                        Some(_) => longest_gap = longest_gap.max(last_part_at.elapsed()),
                    }
                    last_part_at = Instant::now();
                }
                Ok(None) => break,
                Err(error) => {
                    stream.failure.get_or_insert(error.code);
                    break;
                }
            }
        }
        let outcome = match stream.failure {
            Some(code) => Outcome::Unknown(code),
            None if !stream.done => Outcome::Truncated,
            None => self.compare(prompt, &stream.fingerprint, &stream.content),
        };
        let total = started.elapsed();
        let fingerprint = stream.fingerprint;
        Ok(ChatAnswer { outcome, fingerprint, first_token, longest_gap, total })
    }

    /// Compares an answer that was delivered as complete with the one expected for the prompt.
    fn compare(&self, prompt: &str, fingerprint: &str, content: &str) -> Outcome {
        let expected = answer_text(fingerprint, prompt, self.tokens);
        if content == expected {
            Outcome::Complete
        } else if expected.starts_with(content) {
            Outcome::Truncated
        } else {
            Outcome::Mixed
        }
    }
}

/// A parser for a server-sent event stream.
#[derive(Default)]
struct EventStream {
    unparsed: String,
    content: String,
    fingerprint: String,
    done: bool,
    failure: Option<Code>,
}

impl EventStream {
    fn push(&mut self, part: &[u8]) {
        self.unparsed.push_str(&String::from_utf8_lossy(part));
        while let Some(end) = self.unparsed.find("\n\n") {
            let event: String = self.unparsed.drain(..end + 2).collect();
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            self.handle_event(data.unwrap_or_default());
        }
    }

    fn handle_event(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let event: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if let Some(number) = event["error"]["code"].as_u64() {
            self.failure = Some(Code::from_number(number as u16).unwrap_or(Code::Internal));
            return;
        }
        self.content.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        self.fingerprint = string_or_empty(&event["system_fingerprint"]);
    }
}

/// Sends a POST request with headers and a body.
pub async fn post_request(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    deadline: Deadline,
) -> Result<Answer> {
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|error| Error::new(Code::BadRequest, error.to_string()))?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    send(address, request, deadline).await
}

/// Sends a POST request to a plain service and returns its outcome.
pub async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    timeout: Duration,
) -> Outcome {
    let deadline = Deadline::after(timeout);
    let exchange = async {
        let response = post_request(address, path, headers, body, deadline).await?;
        read_body(response, MAX_RESPONSE_BYTES, deadline).await
    };
    match exchange.await {
        Ok(answer) if answer.status == 200 => Outcome::Complete,
        Ok(answer) => error_outcome(&serde_json::from_slice(&answer.body).unwrap_or(Value::Null)),
        Err(error) if error.code == Code::Unreachable => Outcome::NotRun(error.code),
        Err(error) => Outcome::Unknown(error.code),
    }
}

fn error_outcome(body: &Value) -> Outcome {
    let number = body["error"]["code"].as_u64().unwrap_or(0) as u16;
    let code = Code::from_number(number).unwrap_or(Code::Internal);
    match code.ran() {
        errors::Ran::NotRun => Outcome::NotRun(code),
        errors::Ran::Unknown => Outcome::Unknown(code),
    }
}

fn answer_without_timing(outcome: Outcome, fingerprint: String) -> ChatAnswer {
    ChatAnswer {
        outcome,
        fingerprint,
        first_token: None,
        longest_gap: Duration::ZERO,
        total: Duration::ZERO,
    }
}

fn string_or_empty(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
