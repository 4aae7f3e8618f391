//! Drivers of gateways and sidecars on the users' platform: they execute the decisions of the reducers in
//! `gateway` and `rollout`.

mod answer_log;
mod bounded_stream;
mod caller;
mod caller_buffers;
mod catch_up;
mod clock;
mod connection_state;
mod datagram_socket;
mod delayed_removals;
mod delayed_returns;
mod era;
mod evacuated;
mod extensions;
mod freshness;
mod gateway;
mod http_client;
mod http_connection;
mod idle_timer;
mod incarnation_log;
mod link_yield;
mod listing;
mod message;
mod metrics;
mod paging;
mod reload;
mod run;
mod server;
mod sidecar;
mod spawner;
mod stop_state;
mod store_time;
mod store_timeouts;
mod watch;

pub use run::run;
pub use store_timeouts::StoreTimeouts;
