//! Tests of `logs`.

use super::*;

#[test]
fn renders_key_value_pairs_as_json() {
    let fields = [("request", kv::Value::from("1-2")), ("code", kv::Value::from(105u64))];
    let record = Record::builder().key_values(&fields).level(log::Level::Warn).build();
    let line = render("agent-1", "refused", &record);
    assert_eq!(line["request"], "1-2");
    assert_eq!(line["code"], 105);
    assert_eq!(line["instance"], "agent-1");
}
