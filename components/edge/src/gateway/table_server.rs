//! Serves the store's tables to other gateways of the hall.

use std::time::Duration;

use errors::{Code, Error, Result};
use futures_lite::future;
use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use platform::table_copy::{self, Changes, RequestKind, TableRequest};
use uptime::Instant;

use super::answer::{error_answer, full_body, AnswerBody};
use super::readers::{HallReaders, CHANGE_AGE_HEADER, HELD_TIME_HEADER, KNOWN_AGE_HEADER};

/// How long a reader that is starting may take to list a table for a gateway that asks for it.
const FIRST_LISTING_TIMEOUT: Duration = Duration::from_millis(1200);

/// Answers another gateway that asks for a table.
pub async fn answer(readers: HallReaders, request: Request<Incoming>) -> Response<AnswerBody> {
    let Some(table_request) = table_copy::parse_request(request.uri()) else {
        return error_answer(StatusCode::NOT_FOUND, None, Code::UnknownTarget);
    };
    readers.record_call();
    let received_at = Instant::now();
    match wait_for_body(&readers, table_request).await {
        Ok(Some(body)) => answer_with_age(&readers, table_request, received_at, body),
        Ok(None) => error_answer(StatusCode::GONE, None, Code::NotFound),
        Err(error) => {
            log::debug!(reason = error.to_string().as_str(); "table not served to another gateway");
            error_answer(StatusCode::SERVICE_UNAVAILABLE, None, error.code)
        }
    }
}

fn answer_with_age(
    readers: &HallReaders,
    table_request: TableRequest,
    received_at: Instant,
    body: Vec<u8>,
) -> Response<AnswerBody> {
    let Some(known) = readers.age(table_request.table) else {
        return error_answer(StatusCode::SERVICE_UNAVAILABLE, None, Code::NotReady);
    };
    let cached = readers.of(table_request.table);
    let changes_age = match table_request.kind {
        RequestKind::Listing => None,
        RequestKind::Changes { after, .. } => {
            cached.earliest_change_after(after).map(|it| it.elapsed())
        }
    };
    let mut answer = Response::new(full_body(body));
    // Ages are rounded up, and the time that the call was held is rounded down.
    let rounded_up = |age: Duration| HeaderValue::from(age.as_millis() as u64 + 1);
    let headers = answer.headers_mut();
    headers.insert(KNOWN_AGE_HEADER, rounded_up(known));
    headers.insert(HELD_TIME_HEADER, HeaderValue::from(received_at.elapsed().as_millis() as u64));
    if let Some(changes_age) = changes_age {
        headers.insert(CHANGE_AGE_HEADER, rounded_up(changes_age));
    }
    if let Some(era) = cached.era.get() {
        headers.insert(platform::store::ERA, HeaderValue::from(era));
    }
    answer
}

/// Waits for the body of the answer. `None` if the requested changes are no longer cached.
async fn wait_for_body(
    readers: &HallReaders,
    table_request: TableRequest,
) -> Result<Option<Vec<u8>>> {
    let cached = readers.of(table_request.table);
    let wait = match table_request.kind {
        RequestKind::Listing => FIRST_LISTING_TIMEOUT,
        RequestKind::Changes { wait_ms, .. } => {
            Duration::from_millis(wait_ms).min(readers.feed_wait())
        }
    };
    let until = Instant::now() + wait;
    loop {
        let changed = cached.changed.listen();
        let is_over = Instant::now() >= until;
        if let Some(answer) = available_body(readers, table_request, is_over)? {
            return Ok(answer);
        }
        let stale_at = cached.known_until.get().map(|it| it + readers.max_age(table_request.table));
        let stale_at = stale_at.filter(|it| *it > Instant::now());
        let wake_at = stale_at.map_or(until, |it| it.min(until));
        future::or(changed, uptime::sleep_until(wake_at)).await;
    }
}

/// The answer that is possible now, if there is one: the body, or none if the requested changes are no longer
/// cached.
fn available_body(
    readers: &HallReaders,
    table_request: TableRequest,
    is_over: bool,
) -> Result<Option<Option<Vec<u8>>>> {
    let not_ready =
        || Error::new(Code::NotReady, "not a reader of this table, or its content is outdated");
    let copy = readers.of(table_request.table).copy.borrow();
    let copy = copy.as_ref().filter(|_| readers.age(table_request.table).is_some());
    let Some(copy) = copy else {
        // A gateway that is named in the row of readers may be about to become a reader, so it waits. A
        // reader with outdated content does not.
        let may_become_reader = table_request.kind == RequestKind::Listing && readers.is_listed();
        return if may_become_reader && !is_over { Ok(None) } else { Err(not_ready()) };
    };
    match table_request.kind {
        RequestKind::Listing => Ok(Some(Some(copy.listing()))),
        RequestKind::Changes { after, .. } => match copy.changes(after) {
            Changes::Rows(body) => Ok(Some(Some(body))),
            Changes::Empty(body) if is_over => Ok(Some(Some(body))),
            Changes::HistoryDropped => Ok(Some(None)),
            Changes::CopyOutdated if is_over => Err(not_ready()),
            Changes::Empty(_) | Changes::CopyOutdated => Ok(None),
        },
    }
}
