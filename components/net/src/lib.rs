//! Networking utilities: an HTTP server with resource limits, HTTP calls with deadlines, rate-limited links and task
//! groups.

mod body;
mod client;
mod pacer;
mod server;
mod stream;
mod tasks;

pub use body::{stream_body, BodySender};
pub use client::{read_body, send, Answer, Deadline, HttpBody};
pub use pacer::{write_paced, Pacer};
pub use server::{bearer_token, json, refuse, Bounds, Caller, Handler, Reply, Server};
pub use tasks::Tasks;
