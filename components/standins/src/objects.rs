//! A stand-in for the object store.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use http_types::{Method, Request, Response, StatusCode};
use net::{Caller, Handler, Reply};

use crate::faults::{empty_response, Faults};

/// An object store that keeps its objects in memory.
#[derive(Default)]
pub struct Objects {
    /// Fault injection for this service.
    pub faults: Arc<Faults>,
    objects: Mutex<HashMap<String, Vec<u8>>>,
}

impl Objects {
    fn get(&self, key: &str) -> Response {
        let objects = self.objects.lock().expect("the lock is never poisoned");
        let Some(value) = objects.get(key) else {
            return empty_response(StatusCode::NotFound);
        };
        let mut response = empty_response(StatusCode::Ok);
        response.set_body(value.as_slice());
        response
    }

    fn put(&self, key: &str, value: Vec<u8>) -> Response {
        let mut objects = self.objects.lock().expect("the lock is never poisoned");
        objects.insert(key.to_owned(), value);
        empty_response(StatusCode::Ok)
    }
}

#[async_trait]
impl Handler for Objects {
    async fn handle(&self, mut request: Request, _caller: Caller) -> Reply {
        self.faults.apply_delay().await;
        if self.faults.is_down() {
            return Reply::CloseConnection;
        }
        let path = request.url().path().to_owned();
        let Some(key) = path.strip_prefix("/objects/") else {
            return Reply::Answer(empty_response(StatusCode::NotFound));
        };
        let response = match request.method() {
            Method::Get => self.get(key),
            Method::Put => match request.body_bytes().await {
                Ok(value) => self.put(key, value),
                Err(_) => return Reply::CloseConnection,
            },
            _ => empty_response(StatusCode::MethodNotAllowed),
        };
        self.faults.respond(response)
    }
}
