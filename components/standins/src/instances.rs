//! A stand-in for the platform's instance list, which may be out of date.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use fleet::{Instance, InstanceId, ListedState};
use http_types::{Request, StatusCode};
use net::{json_response, Caller, Handler, Reply};

use crate::faults::{empty_response, Faults};

/// The current list, the list that readers see, and later lists that are not visible yet, with the time at which they
/// become visible.
#[derive(Default)]
struct Lists {
    current: Vec<Instance>,
    visible: Vec<Instance>,
    pending: VecDeque<(Instant, Vec<Instance>)>,
}

/// The instance list.
#[derive(Default)]
pub struct Instances {
    /// Fault injection for this service.
    pub faults: Arc<Faults>,
    visibility_delay: Mutex<Duration>,
    lists: Mutex<Lists>,
}

impl Instances {
    /// Sets the delay after which a change becomes visible to readers.
    pub fn set_visibility_delay(&self, visibility_delay: Duration) {
        *self.visibility_delay.lock().expect("the lock is never poisoned") = visibility_delay;
    }

    /// Adds an instance, or replaces the one with the same name.
    pub fn add(&self, instance: Instance) {
        self.change(|list| {
            list.retain(|it| it.id != instance.id);
            list.push(instance);
        });
    }

    /// Removes an instance from the list.
    pub fn remove(&self, id: &InstanceId) {
        self.change(|list| list.retain(|it| &it.id != id));
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&self, id: &InstanceId) {
        self.change(|list| {
            let found = list.iter_mut().filter(|it| &it.id == id);
            found.for_each(|it| it.state = ListedState::Leaving);
        });
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        let visibility_delay = *self.visibility_delay.lock().expect("the lock is never poisoned");
        let mut lists = self.lists.lock().expect("the lock is never poisoned");
        change(&mut lists.current);
        let current = lists.current.clone();
        lists.pending.push_back((Instant::now() + visibility_delay, current));
    }

    fn visible_list(&self) -> Vec<Instance> {
        let mut lists = self.lists.lock().expect("the lock is never poisoned");
        while lists.pending.front().is_some_and(|(due, _)| *due <= Instant::now()) {
            if let Some((_, list)) = lists.pending.pop_front() {
                lists.visible = list;
            }
        }
        lists.visible.clone()
    }
}

#[async_trait]
impl Handler for Instances {
    async fn handle(&self, request: Request, _caller: Caller) -> Reply {
        self.faults.apply_delay().await;
        if self.faults.is_down() {
            return Reply::CloseConnection;
        }
        match request.url().path() {
            "/instances" => self.faults.respond(json_response(200, &self.visible_list())),
            _ => Reply::Answer(empty_response(StatusCode::NotFound)),
        }
    }
}
