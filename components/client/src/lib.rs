//! Client of the operator API of an entry, and publishing of weights.

mod operator;
mod publish;

pub use operator::OperatorClient;
pub use publish::publish;
