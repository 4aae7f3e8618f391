//! Times and prints one row for each size.

use std::time::Instant;

/// The microseconds one call takes, over so many calls.
pub fn micros(calls: u32, mut call: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..calls).for_each(&mut call);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

/// Bytes that the process holds resident.
pub fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0
}

/// Builds so many of something and gives the bytes that each one takes.
pub fn bytes_each<T>(count: usize, build: impl Fn() -> T) -> f64 {
    let before = resident_bytes();
    let all: Vec<T> = (0..count).map(|_| build()).collect();
    let bytes = (resident_bytes() - before) / count as f64;
    drop(all);
    bytes
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
