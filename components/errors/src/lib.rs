//! Numbered result codes and the error type shared by every silverdock crate.

mod code;
mod error;

pub use code::{Code, Ran};
pub use error::{Error, Result};
