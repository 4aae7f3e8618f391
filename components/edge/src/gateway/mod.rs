//! The driver of a gateway.

mod answer;
mod attempt;
mod core;
mod events;
mod node;
mod relay;
mod request;
mod reservations;

pub use self::answer::AnswerBody;
pub use self::node::GatewayNode;
