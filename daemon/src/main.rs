//! Client.
fn main() {}
