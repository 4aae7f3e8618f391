//! Networking utilities: an HTTP server with resource limits, HTTP calls with deadlines, rate-limited links and task
//! groups.

mod body;
mod client;
mod pacer;
mod server;
mod staged_close;
mod stream;
mod tasks;

pub use body::{stream_body, BodySender};
pub use client::{read_body, send, Answer, Deadline, HttpBody, HttpResponse};
pub use pacer::{write_paced, Pacer};
pub use server::{
    bearer_token, error_response, json_response, Caller, Handler, Reply, Server, ServerLimits,
};
pub use staged_close::{close_idle, close_in_stages};
pub use tasks::Tasks;
