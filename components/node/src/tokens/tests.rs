use super::*;
use http_types::{Method, Url};

fn request(token: &str) -> Request {
    let mut request = Request::new(Method::Get, Url::parse("http://127.0.0.1/").unwrap());
    request.insert_header("authorization", format!("Bearer {token}"));
    request
}

#[test]
fn two_tokens_are_valid_during_a_rotation() {
    let ring = TokenRing::parse("token-number-one-1\ntoken-number-two-2\n").unwrap();
    assert!(ring.check(&request("token-number-one-1")).is_ok());
    assert!(ring.check(&request("token-number-two-2")).is_ok());
    ring.replace("token-number-two-2").unwrap();
    let error = ring.check(&request("token-number-one-1")).unwrap_err();
    assert_eq!(error.code, Code::Unauthorized);
}
