//! Helpers that measure time and memory and print a table.

use std::alloc::System;
use std::time::Instant;

use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};

/// Mean duration of one of `calls` calls, in microseconds.
pub fn micros(calls: u32, mut call: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..calls).for_each(&mut call);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

/// Allocator that counts allocated bytes.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Heap bytes that the built value holds.
pub fn heap_bytes<T>(build: impl Fn() -> T) -> f64 {
    let region = Region::new(ALLOCATOR);
    let built = build();
    let change = region.change();
    drop(built);
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

/// Prints the title and the column names of a table.
pub fn print_header(title: &str, columns: &[&str]) {
    println!("\n{title}");
    println!("{}", columns.iter().map(|it| format!("{it:>18}")).collect::<String>());
}

/// Prints a row.
pub fn print_row(cells: &[f64]) {
    println!("{}", cells.iter().map(|it| format!("{it:>18.2}")).collect::<String>());
}
