//! The driver of a gateway.

mod answer;
mod attempt;
mod attempts;
mod core;
mod event_fault;
mod event_reader;
mod follow_table;
mod home_fault_log;
mod node;
mod notice_log;
mod own_addresses;
mod plain_answer;
mod quarantine_record;
mod readers;
mod relay;
mod request;
mod reservations;
mod sidecar_datagrams;
mod sidecar_list;
mod state_log;
mod stop;
mod stream_end;
mod table_server;
mod table_state;
mod trace;
mod version_record;
mod withdrawal;

pub use self::answer::{error_answer, full_body, AnswerBody};
pub use self::node::GatewayNode;
pub use self::readers::{read_age, HallReaders, ReportedAge};
