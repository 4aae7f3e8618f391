//! Serves the store's tables to other gateways of the hall.

use std::time::Duration;

use errors::{Code, Error, Result};
use futures_lite::future;
use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use platform::table_copy::{self, Changes, Question, Wanted};
use uptime::Instant;

use super::answer::{own_answer, whole_body, AnswerBody};
use super::readers::{Reading, HELD, KNOWN, NEWS};

/// How long a reader that is starting may take to list a table for a gateway that asks for it.
const FIRST_LISTING: Duration = Duration::from_millis(1200);

/// Answers another gateway that asks for a table.
pub async fn answer(reading: Reading, request: Request<Incoming>) -> Response<AnswerBody> {
    let Some(question) = table_copy::question(request.uri()) else {
        return own_answer(StatusCode::NOT_FOUND, None, Code::UnknownTarget);
    };
    reading.note_asked();
    let asked = Instant::now();
    match told(&reading, question).await {
        Ok(Some(body)) => with_age(&reading, question, asked, body),
        Ok(None) => own_answer(StatusCode::GONE, None, Code::NotFound),
        Err(error) => {
            log::debug!(reason = error.to_string().as_str(); "table not told on");
            own_answer(StatusCode::SERVICE_UNAVAILABLE, None, error.code)
        }
    }
}

fn with_age(
    reading: &Reading,
    question: Question,
    asked: Instant,
    body: Vec<u8>,
) -> Response<AnswerBody> {
    let Some(known) = reading.age(question.table) else {
        return own_answer(StatusCode::SERVICE_UNAVAILABLE, None, Code::NotReady);
    };
    let kept = reading.of(question.table);
    let news = match question.wanted {
        Wanted::Listing => None,
        Wanted::Changes { after, .. } => kept.news_since(after).map(|it| it.elapsed()),
    };
    let mut answer = Response::new(whole_body(body));
    // Ages are rounded up, and the time that the call was held is rounded down.
    let up = |age: Duration| HeaderValue::from(age.as_millis() as u64 + 1);
    let headers = answer.headers_mut();
    headers.insert(KNOWN, up(known));
    headers.insert(HELD, HeaderValue::from(asked.elapsed().as_millis() as u64));
    if let Some(news) = news {
        headers.insert(NEWS, up(news));
    }
    if let Some(era) = kept.era.get() {
        headers.insert(platform::store::ERA, HeaderValue::from(era));
    }
    answer
}

/// Waits for the body of the answer. `None` if the requested changes are no longer cached.
async fn told(reading: &Reading, question: Question) -> Result<Option<Vec<u8>>> {
    let kept = reading.of(question.table);
    let wait = match question.wanted {
        Wanted::Listing => FIRST_LISTING,
        Wanted::Changes { wait_ms, .. } => Duration::from_millis(wait_ms).min(reading.feed_wait()),
    };
    let until = Instant::now() + wait;
    loop {
        let changed = kept.changed.listen();
        let is_over = Instant::now() >= until;
        if let Some(answer) = told_now(reading, question, is_over)? {
            return Ok(answer);
        }
        let stale_at = kept.known.get().map(|it| it + reading.limit(question.table));
        let stale_at = stale_at.filter(|it| *it > Instant::now());
        let wake_at = stale_at.map_or(until, |it| it.min(until));
        future::or(changed, uptime::sleep_until(wake_at)).await;
    }
}

/// The answer that is possible now, if there is one: the body, or none if the requested changes are no longer
/// cached.
fn told_now(
    reading: &Reading,
    question: Question,
    is_over: bool,
) -> Result<Option<Option<Vec<u8>>>> {
    let not_ready = || Error::new(Code::NotReady, "no reader of this table, or its news is old");
    let copy = reading.of(question.table).copy.borrow();
    let copy = copy.as_ref().filter(|_| reading.age(question.table).is_some());
    let Some(copy) = copy else {
        // A gateway that is named in the row of readers may be about to become a reader, so it waits. A
        // reader with outdated content does not.
        let starts = question.wanted == Wanted::Listing && reading.is_named();
        return if starts && !is_over { Ok(None) } else { Err(not_ready()) };
    };
    match question.wanted {
        Wanted::Listing => copy.listing().map(|it| Some(Some(it))),
        Wanted::Changes { after, .. } => match copy.changes(after)? {
            Changes::Rows(body) => Ok(Some(Some(body))),
            Changes::Nothing(body) if is_over => Ok(Some(Some(body))),
            Changes::Forgotten => Ok(Some(None)),
            Changes::Behind if is_over => Err(not_ready()),
            Changes::Nothing(_) | Changes::Behind => Ok(None),
        },
    }
}
