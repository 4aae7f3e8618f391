//! Drivers of gateways and sidecars on the users' platform: they execute the decisions of the reducers in
//! `gateway` and `rollout`.

mod additions;
mod answer_log;
mod backlog;
mod caller;
mod clock;
mod era;
mod evacuated;
mod exchange;
mod freshness;
mod gateway;
mod lapses;
mod lateness;
mod life_log;
mod link;
mod listing;
mod message;
mod metrics;
mod news;
mod paging;
mod patience;
mod reload;
mod returns;
mod run;
mod server;
mod sidecar;
mod spawner;
mod store_time;
mod watch;
mod yielding;

pub use patience::Patience;
pub use run::run;
