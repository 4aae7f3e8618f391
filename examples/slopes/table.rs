//! Times and prints one row for each size.

use std::alloc::System;
use std::time::Instant;

use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};

/// The microseconds one call takes, over so many calls.
pub fn micros(calls: u32, mut call: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..calls).for_each(&mut call);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

/// Counts what is allocated.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The bytes that something holds on the heap once it is built.
pub fn heap_bytes<T>(build: impl Fn() -> T) -> f64 {
    let region = Region::new(ALLOCATOR);
    let built = build();
    let change = region.change();
    drop(built);
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

/// Prints the head of a table.
pub fn head(title: &str, columns: &[&str]) {
    println!("\n{title}");
    println!("{}", columns.iter().map(|it| format!("{it:>18}")).collect::<String>());
}

/// Prints a row.
pub fn row(cells: &[f64]) {
    println!("{}", cells.iter().map(|it| format!("{it:>18.2}")).collect::<String>());
}
