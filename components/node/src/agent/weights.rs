//! The HTTP server from which the engine of an agent reads staged weights.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use errors::Result;
use fleet::VersionId;
use http_types::{Request, Response, StatusCode};
use net::{stream_body, Caller, Handler, Reply, Server, ServerLimits, Tasks};

use super::staging::Staging;

/// The number of chunks that are buffered while the engine reads more slowly.
const BUFFERED_CHUNKS: usize = 2;

struct WeightsHandler {
    staging: Staging,
    tasks: Tasks,
}

/// Starts to serve the staged versions that are complete.
pub(super) async fn serve(tasks: &Tasks, listen: SocketAddr, staging: Staging) -> Result<Server> {
    let handler = Arc::new(WeightsHandler { staging, tasks: tasks.clone() });
    Server::start(tasks, listen, ServerLimits::default(), handler).await
}

impl WeightsHandler {
    fn version_response(&self, version: VersionId) -> Option<Response> {
        let manifest = self.staging.manifest(version)?;
        let chunks: Option<Vec<Arc<Vec<u8>>>> =
            (0..manifest.chunks()).map(|index| self.staging.get(version, index)).collect();
        let chunks = chunks?;
        let (sender, body) = stream_body(BUFFERED_CHUNKS);
        self.tasks.spawn(async move {
            for chunk in chunks {
                if !sender.send(chunk.to_vec()).await {
                    return;
                }
            }
            sender.finish();
        });
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        Some(response)
    }
}

#[async_trait]
impl Handler for WeightsHandler {
    async fn handle(&self, request: Request, _caller: Caller) -> Reply {
        let name = request.url().path().trim_start_matches("/weights/");
        let response = name.parse().ok().and_then(|version| self.version_response(version));
        // A version that lacks a chunk gives the same response as an unknown version.
        Reply::Answer(response.unwrap_or_else(|| Response::new(StatusCode::NotFound)))
    }
}
