//! The metrics page of a process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use errors::{Code, Result};
use fleet::EvacuationChange;
use http::header::{HeaderValue, CONTENT_TYPE};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use telemetry::Metrics;
use uptime::{Instant, SuspensionDetector};

use crate::caller::{Callers, ServerName};
use crate::gateway::{error_answer, full_body, AnswerBody};
use crate::idle_timer::IdleTimeout;
use crate::server::{listen, serve, ServerOptions};
use crate::spawner::Spawner;

/// The path of the page.
const METRICS_PATH: &str = "/metrics";
/// The content type that scrapers read.
const METRICS_FORMAT: &str = "text/plain; version=0.0.4";
/// How long a scraper's connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves the page at an address. `refresh` sets the gauges before each scrape.
pub async fn serve_metrics(
    spawner: &Spawner,
    address: SocketAddr,
    metrics: Rc<Metrics>,
    callers: Callers,
    refresh: impl Fn() + Clone + 'static,
) -> Result<()> {
    let listener = listen(address).await?;
    let options = ServerOptions {
        name: ServerName::Metrics,
        idle_timeout: IdleTimeout::fixed(IDLE_TIMEOUT),
        open_connections: Rc::default(),
        callers,
    };
    let handler = move |request: Request<Incoming>, _| {
        refresh();
        metrics.set_gauge("log_lines_dropped", telemetry::dropped_lines());
        std::future::ready(page(&request, &metrics))
    };
    spawner.detach(serve(spawner.clone(), listener, options, handler));
    Ok(())
}

/// Logs and counts the start or end of the evacuation of a data hall. These are warnings because the log
/// reserves room for warnings.
pub fn record_evacuation(metrics: &Metrics, change: &EvacuationChange) {
    match change {
        EvacuationChange::Began { evacuation, left_in_ms, position } => {
            let hall = evacuation.hall.0.as_str();
            let (age_ms, left_in_ms) = (evacuation.age_ms, *left_in_ms);
            log::warn!(hall = hall, age_ms = age_ms, left_in_ms = left_in_ms, era = position.era, revision = position.revision; "hall evacuated");
            metrics.count_evacuation("began");
        }
        EvacuationChange::Ended { hall, position } => {
            log::warn!(hall = hall.0.as_str(), era = position.era, revision = position.revision; "hall taken back");
            metrics.count_evacuation("ended");
        }
    }
}

/// Time between two checks above which the process counts as stalled. It checks several times a second.
const STALL_THRESHOLD: Duration = Duration::from_millis(1000);

/// Detects stalls of the process: its machine was suspended, or it got no processor time.
pub struct StallDetector {
    suspensions: SuspensionDetector,
    checked_at: Instant,
}

impl StallDetector {
    /// Starts the detection.
    pub fn start() -> Self {
        Self { suspensions: SuspensionDetector::default(), checked_at: Instant::now() }
    }

    /// Whether the process stalled since the last check. Logs and counts a suspension of the machine. State
    /// from before a stall is as old as it appears: all clocks used here advance meanwhile.
    pub fn check(&mut self, metrics: &Metrics) -> bool {
        let suspended = self.suspensions.poll();
        if let Some(span) = suspended {
            log::warn!(ms = span.as_millis() as u64; "the machine was suspended");
            metrics.count_suspension();
        }
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(std::mem::replace(&mut self.checked_at, now));
        let stalled =
            elapsed >= STALL_THRESHOLD || suspended.is_some_and(|it| it >= STALL_THRESHOLD);
        if stalled {
            log::warn!(ms = elapsed.as_millis() as u64; "the process stood still");
        }
        stalled
    }
}

fn page(request: &Request<Incoming>, metrics: &Metrics) -> Response<AnswerBody> {
    if request.uri().path() != METRICS_PATH {
        return error_answer(StatusCode::NOT_FOUND, None, Code::UnknownTarget);
    }
    let mut answer = Response::new(full_body(metrics.render()));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_FORMAT));
    answer
}
