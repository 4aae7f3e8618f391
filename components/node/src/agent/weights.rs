//! The door through which the engine beside an agent reads staged weights.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use errors::Result;
use fleet::VersionId;
use http_types::{Request, Response, StatusCode};
use net::{stream_body, Bounds, Caller, Handler, Reply, Server, Tasks};

use super::staging::Staging;

/// Chunks that wait for a slow engine.
const CHUNKS_AHEAD: usize = 2;

struct Weights {
    staging: Staging,
    tasks: Tasks,
}

/// Starts to serve staged versions that are whole.
pub(super) async fn serve(tasks: &Tasks, listen: SocketAddr, staging: Staging) -> Result<Server> {
    let handler = Arc::new(Weights { staging, tasks: tasks.clone() });
    Server::start(tasks, listen, Bounds::default(), handler).await
}

impl Weights {
    fn read(&self, version: VersionId) -> Option<Response> {
        let manifest = self.staging.manifest(version)?;
        let chunks: Option<Vec<Arc<Vec<u8>>>> =
            (0..manifest.chunks()).map(|index| self.staging.get(version, index)).collect();
        let chunks = chunks?;
        let (sender, body) = stream_body(CHUNKS_AHEAD);
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
impl Handler for Weights {
    async fn handle(&self, request: Request, _caller: Caller) -> Reply {
        let name = request.url().path().trim_start_matches("/weights/");
        let found = name.parse().ok().and_then(|version| self.read(version));
        // A version with a chunk missing is as absent as one never heard of.
        Reply::Answer(found.unwrap_or_else(|| Response::new(StatusCode::NotFound)))
    }
}
