//! Callers that check every byte of the answers they get.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use errors::{Code, Error, Result};
use http_types::{Method, Request, Response, Url};
use net::{read_body, send, Answer, Deadline, HttpBody};
use serde_json::{json, Value};
use standins::answer_text;

/// The largest answer, in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// How a request ended, as its caller can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answered whole.
    Whole,
    /// Told with a code that it was not run.
    NotRun(Code),
    /// Told with a code that it may have run, or no answer came.
    Unknown(Code),
    /// An answer that was passed on as whole and was not.
    Partial,
    /// An answer that does not belong to the prompt.
    Crossed,
}

/// What a caller saw.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatAnswer {
    /// How it ended.
    pub ending: Ending,
    /// The digest of the weights that the engine says it used.
    pub fingerprint: String,
    /// Time to the first token, for streams.
    pub first_token: Option<Duration>,
    /// The longest time between two tokens, for streams.
    pub longest_gap: Duration,
    /// Time to the end.
    pub total: Duration,
}

/// A caller of chat completions.
#[derive(Clone, Debug)]
pub struct ChatCaller {
    /// The entry or the engine it calls.
    pub address: SocketAddr,
    /// The model.
    pub model: String,
    /// Tokens it asks for.
    pub tokens: u32,
    /// Whether it asks for a stream.
    pub stream: bool,
    /// How long it waits.
    pub patience: Duration,
}

impl ChatCaller {
    /// Sends one prompt and checks the answer.
    pub async fn chat(&self, prompt: &str) -> ChatAnswer {
        let started = Instant::now();
        let result = self.exchange(prompt, started).await;
        let mut answer = result.unwrap_or_else(|error| {
            let ending = match error.code {
                Code::Unreachable => Ending::NotRun(error.code),
                _ => Ending::Unknown(error.code),
            };
            ended(ending, String::new())
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
        let deadline = Deadline::after(self.patience);
        let path = "/v1/chat/completions";
        let response =
            ask(self.address, path, &[], body.to_string().into_bytes(), deadline).await?;
        if response.status().is_success() && self.stream {
            let reading = async { Ok(self.read_stream(prompt, response, started).await) };
            return deadline.limit(Code::TimedOut, reading).await?;
        }
        let answer = read_body(response, ANSWER_BYTES, deadline).await?;
        Ok(self.judge_whole(prompt, &answer))
    }

    fn judge_whole(&self, prompt: &str, answer: &Answer) -> ChatAnswer {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        if answer.status != 200 {
            return ended(refusal(&body), String::new());
        }
        let fingerprint = text(&body["system_fingerprint"]);
        let content = text(&body["choices"][0]["message"]["content"]);
        ended(self.compare(prompt, &fingerprint, &content), fingerprint)
    }

    async fn read_stream(
        &self,
        prompt: &str,
        response: Response,
        started: Instant,
    ) -> Result<ChatAnswer> {
        let mut stream = Stream::default();
        let mut body = HttpBody::new(response);
        let mut last = started;
        let mut first_token = None;
        let mut longest_gap = Duration::ZERO;
        loop {
            match body.next().await {
                Ok(Some(part)) => {
                    stream.take(&part);
                    match first_token {
                        None => first_token = Some(started.elapsed()),
                        Some(_) => longest_gap = longest_gap.max(last.elapsed()),
                    }
                    last = Instant::now();
                }
                Ok(None) => break,
                Err(error) => {
                    stream.failure.get_or_insert(error.code);
                    break;
                }
            }
        }
        let ending = match stream.failure {
            Some(code) => Ending::Unknown(code),
            None if !stream.done => Ending::Partial,
            None => self.compare(prompt, &stream.fingerprint, &stream.content),
        };
        let total = started.elapsed();
        let fingerprint = stream.fingerprint;
        Ok(ChatAnswer { ending, fingerprint, first_token, longest_gap, total })
    }

    /// Compares an answer that claims to be whole with the one the prompt must get.
    fn compare(&self, prompt: &str, fingerprint: &str, content: &str) -> Ending {
        let expected = answer_text(fingerprint, prompt, self.tokens);
        if content == expected {
            Ending::Whole
        } else if expected.starts_with(content) {
            Ending::Partial
        } else {
            Ending::Crossed
        }
    }
}

/// A stream of events being read.
#[derive(Default)]
struct Stream {
    rest: String,
    content: String,
    fingerprint: String,
    done: bool,
    failure: Option<Code>,
}

impl Stream {
    fn take(&mut self, part: &[u8]) {
        self.rest.push_str(&String::from_utf8_lossy(part));
        while let Some(end) = self.rest.find("\n\n") {
            let event: String = self.rest.drain(..end + 2).collect();
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            self.take_event(data.unwrap_or_default());
        }
    }

    fn take_event(&mut self, data: &str) {
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
        self.fingerprint = text(&event["system_fingerprint"]);
    }
}

/// Posts a body with headers.
pub async fn ask(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    deadline: Deadline,
) -> Result<Response> {
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|error| Error::new(Code::BadRequest, error.to_string()))?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    send(address, request, deadline).await
}

/// Posts a body to a plain service and tells how that ended.
pub async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    patience: Duration,
) -> Ending {
    let deadline = Deadline::after(patience);
    let exchange = async {
        let response = ask(address, path, headers, body, deadline).await?;
        read_body(response, ANSWER_BYTES, deadline).await
    };
    match exchange.await {
        Ok(answer) if answer.status == 200 => Ending::Whole,
        Ok(answer) => refusal(&serde_json::from_slice(&answer.body).unwrap_or(Value::Null)),
        Err(error) if error.code == Code::Unreachable => Ending::NotRun(error.code),
        Err(error) => Ending::Unknown(error.code),
    }
}

fn refusal(body: &Value) -> Ending {
    let number = body["error"]["code"].as_u64().unwrap_or(0) as u16;
    let code = Code::from_number(number).unwrap_or(Code::Internal);
    match code.ran() {
        errors::Ran::NotRun => Ending::NotRun(code),
        errors::Ran::Unknown => Ending::Unknown(code),
    }
}

fn ended(ending: Ending, fingerprint: String) -> ChatAnswer {
    ChatAnswer {
        ending,
        fingerprint,
        first_token: None,
        longest_gap: Duration::ZERO,
        total: Duration::ZERO,
    }
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
