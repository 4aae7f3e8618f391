//! One request of a caller and its answer.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use futures_lite::{future, stream};
use http::{Method, Request as HttpRequest, Response};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use platform_standin::{
    headers, leaving_runner, limited_runner, prompt_header, HOST, KEY, PADDING,
};

use super::connection::Observations;
use super::Connection;
use crate::faults::{CRASH_PATH, LONG_STREAM_PATH, LONG_UNSAFE_PATH, ONCE_STREAM_PATH};
use crate::history::{Ending, Kind, LeaveNotice, LimitNotice, Outcome};

/// How long after its deadline a caller waits for the head and for each piece of an answer.
const EXTRA_WAIT: Duration = Duration::from_millis(1000);
/// Pause before each of the first pieces of a slowly read answer.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(120);
/// Number of bytes of a body after which a caller stops reading. No runner has so many in an answer.
const MAX_BODY_BYTES: usize = 2 << 20;
/// The body of each request.
const BODY: &[u8] = b"question";

/// The body of a request.
pub(super) type RequestBody = Pin<Box<dyn Body<Data = Bytes, Error = Infallible>>>;

/// A request that a caller is about to send.
pub(super) struct RequestPlan {
    pub(super) id: String,
    pub(super) kind: Kind,
    /// The parts of the prompt; empty if there is none.
    pub(super) prompt: Vec<String>,
    pub(super) deadline: Duration,
    /// Number of pieces of the answer that are read slowly.
    pub(super) slow_pieces: usize,
    /// The pauses before the pieces of the body. Without pauses the body is sent with the head.
    pub(super) body_pauses: Vec<Duration>,
    /// Whether the caller reads nothing before it has written its request, if the body is sent in pieces.
    pub(super) writes_before_reading: bool,
}

/// The outcome of a request, and what the answer stated about its runner.
pub(super) struct Exchange {
    pub(super) outcome: Outcome,
    pub(super) ending: Ending,
    pub(super) received: bool,
    pub(super) leave_notice: Option<LeaveNotice>,
    pub(super) limit: Option<LimitNotice>,
}

impl Exchange {
    /// The outcome of a request of which nothing was sent.
    pub(super) fn not_sent() -> Self {
        Self::without_answer(Outcome::NoConnection, Ending::Closed, false)
    }

    fn without_answer(outcome: Outcome, ending: Ending, received: bool) -> Self {
        Self { outcome, ending, received, leave_notice: None, limit: None }
    }
}

/// Sends a request and reads its answer.
pub(super) async fn exchange(
    start: Instant,
    connection: &mut Connection,
    plan: &RequestPlan,
) -> Exchange {
    let Some(request) = request(plan, &connection.observations) else {
        return Exchange::not_sent();
    };
    let observations = connection.observations.clone();
    observations.begin();
    connection.used = true;
    let wait = plan.deadline + EXTRA_WAIT;
    let answer = match with_timeout(wait, connection.sender.try_send_request(request)).await {
        Some(Ok(answer)) => answer,
        Some(Err(mut failed)) => {
            if failed.take_message().is_some() {
                return Exchange::not_sent();
            }
            let ending = observations.ending().unwrap_or(Ending::Invalid);
            return Exchange::without_answer(Outcome::Lost, ending, observations.has_received());
        }
        None => {
            let received = observations.has_received();
            return Exchange::without_answer(Outcome::Lost, Ending::TimedOut, received);
        }
    };
    let at = start.elapsed();
    let leave_notice =
        leaving_runner(answer.headers()).map(|(runner, life)| LeaveNotice { runner, life, at });
    let limit = limited_runner(answer.headers()).map(|(runner, life, limit)| {
        let limit = limit.to_owned();
        LimitNotice { runner, life, limit, at }
    });
    let status = answer.status().as_u16();
    let (body, ending) = read_body(answer, plan, wait, &observations).await;
    let outcome = Outcome::Answer { status, whole: ending == Ending::Complete, body };
    Exchange { outcome, ending, received: true, leave_notice, limit }
}

/// Reads the body of an answer. Returns it without padding, and how it ended.
async fn read_body(
    answer: Response<Incoming>,
    plan: &RequestPlan,
    wait: Duration,
    observations: &Observations,
) -> (String, Ending) {
    let mut body = answer.into_body();
    let (mut bytes, mut pieces) = (Vec::new(), 0);
    let ending = loop {
        if pieces < plan.slow_pieces {
            Timer::after(SLOW_READ_PAUSE).await;
        }
        pieces += 1;
        match with_timeout(wait, body.frame()).await {
            Some(None) => break Ending::Complete,
            Some(Some(Ok(_))) if bytes.len() > MAX_BODY_BYTES => break Ending::TooLong,
            Some(Some(Ok(frame))) => {
                bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
            }
            Some(Some(Err(_))) => break observations.ending().unwrap_or(Ending::Invalid),
            None => break Ending::TimedOut,
        }
    };
    bytes.retain(|byte| *byte != PADDING);
    (String::from_utf8_lossy(&bytes).into_owned(), ending)
}

fn request(
    plan: &RequestPlan,
    observations: &Rc<Observations>,
) -> Option<HttpRequest<RequestBody>> {
    let (method, path) = match plan.kind {
        Kind::Stream => (Method::POST, "/s/x".to_owned()),
        Kind::OnceStream => (Method::POST, format!("{ONCE_STREAM_PATH}x")),
        Kind::Crash(number) => (Method::POST, format!("{CRASH_PATH}{number}")),
        Kind::CrashPart(_) => (Method::POST, format!("/s/{}", plan.id)),
        Kind::LongStream(millis) => (Method::POST, format!("{LONG_STREAM_PATH}{millis}")),
        Kind::LongUnsafe(millis) => (Method::POST, format!("{LONG_UNSAFE_PATH}{millis}")),
        Kind::Safe => (Method::GET, "/get/x".to_owned()),
        Kind::Unsafe => (Method::POST, "/post/x".to_owned()),
        Kind::Bound => (Method::GET, "/bound/x".to_owned()),
        Kind::Probe(version) => (Method::GET, format!("/v{version}/x")),
    };
    let mut request = HttpRequest::builder().method(method).uri(path).header("host", HOST);
    for (name, value) in headers(&plan.id, KEY, plan.deadline.as_millis() as u64) {
        request = request.header(name, value);
    }
    if !plan.prompt.is_empty() {
        let (name, value) = prompt_header(&plan.prompt);
        request = request.header(name, value);
    }
    if plan.body_pauses.is_empty() {
        return request.body(Box::pin(Full::new(Bytes::from_static(BODY))) as RequestBody).ok();
    }
    request = request.header("content-length", BODY.len());
    request.body(body_in_pieces(plan, observations)).ok()
}

/// Returns a body that is sent in pieces, with a pause before each of them.
fn body_in_pieces(plan: &RequestPlan, observations: &Rc<Observations>) -> RequestBody {
    if plan.writes_before_reading {
        observations.defer_reading();
    }
    let reading = DeferredReading(observations.clone());
    let length = BODY.len().div_ceil(plan.body_pauses.len());
    let pieces: Vec<_> = BODY.chunks(length).zip(plan.body_pauses.clone()).collect();
    let frames =
        stream::unfold((pieces.into_iter(), reading), |(mut pieces, reading)| async move {
            let (piece, pause) = pieces.next()?;
            Timer::after(pause).await;
            if pieces.len() == 0 {
                reading.0.resume_reading();
            }
            Some((Ok(Frame::data(Bytes::from_static(piece))), (pieces, reading)))
        });
    Box::pin(StreamBody::new(frames))
}

/// Resumes reading on drop, when the body is sent or is not sent any further.
struct DeferredReading(Rc<Observations>);

impl Drop for DeferredReading {
    fn drop(&mut self) {
        self.0.resume_reading();
    }
}

/// Returns the output of a future, or `None` if it takes longer than `time`.
pub(super) async fn with_timeout<T>(
    time: Duration,
    future: impl std::future::Future<Output = T>,
) -> Option<T> {
    future::or(async { Some(future.await) }, async {
        Timer::after(time).await;
        None
    })
    .await
}
