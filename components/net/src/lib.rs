//! Plumbing over sockets: bounded HTTP servers, calls with deadlines, paced links and groups of
//! tasks.

mod body;
mod client;
mod pacer;
mod server;
mod stream;
mod tasks;

pub use body::{stream_body, BodySender};
pub use client::{read_body, send, Answer, Deadline, HttpBody};
pub use pacer::{write_paced, Pacer};
pub use server::{bearer, json, refuse, Bounds, Caller, Handler, Reply, Server};
pub use tasks::Tasks;
