//! Measures the cost of a daemon's decisions at several sizes, for docs/CAPACITY.md.
//!
//! `cargo run --release --example slopes`

mod configuration;
mod control;
mod entry;
mod spread;
mod table;

fn main() {
    control::measure();
    configuration::measure();
    entry::measure();
    spread::measure();
}
