//! Tests of `code`.

use super::*;

/// The documentation page with the table of codes.
const CODES_PAGE: &str = include_str!("../../../../docs/CODES.md");

#[test]
fn rows_are_in_the_order_of_the_enum() {
    for (index, row) in ROWS.iter().enumerate() {
        assert_eq!(row.code as usize, index);
    }
}

#[test]
fn numbers_ascend_and_map_back_to_their_codes() {
    assert!(ROWS.windows(2).all(|pair| pair[0].number < pair[1].number));
    assert!(Code::all().all(|code| Code::from_number(code.number()) == Some(code)));
}

#[test]
fn codes_page_lists_the_same_rows_as_the_enum() {
    let lines: Vec<&str> =
        CODES_PAGE.lines().filter(|line| line.starts_with("| ")).skip(2).collect();
    let expected: Vec<String> = ROWS.iter().map(format_page_line).collect();
    assert_eq!(lines, expected);
}

fn format_page_line(row: &Row) -> String {
    let ran = match row.ran {
        Ran::NotRun => "not run",
        Ran::Unknown => "unknown",
    };
    let retry = if row.retry { "yes" } else { "no" };
    let (number, name, meaning) = (row.number, row.name, row.meaning);
    format!("| {number} | {name} | {meaning} | {ran} | {retry} | {} |", row.status)
}
