//! Tests of refusals that are decided before the request was read, on the bytes of a connection.
//!
//! The failure: the refusal was sent while the body was still on its way, and the connection was closed without an
//! announcement and with unread bytes, which resets it. The caller lost the refusal, or its next request.

use std::net::TcpStream;

use platform_standin::StoreFault;

use crate::kept_connection::KeptConnection;
use crate::support::{wait_until, Deployment};

/// A body that exceeds the read buffer of a connection, in bytes.
const LARGE_BODY_BYTES: usize = 60_000;
/// A body that exceeds the limit of the configuration and the buffers of a socket, in bytes.
const EXCESSIVE_BODY_BYTES: usize = 6_000_000;

#[test]
fn a_request_without_a_route_does_not_lose_its_refusal_nor_the_next_request() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for body_bytes in [8, LARGE_BODY_BYTES] {
        let mut connection = KeptConnection::open(gateway);
        for number in 0..3 {
            let refused = connection.call("/nowhere/x", &format!("n{number}"), body_bytes);
            assert_eq!(refused.status, 404, "{refused:?}");
            assert!(refused.body.contains("UnknownTarget") && !refused.announces_close);
        }
        let served = connection.call("/post/x", &format!("s{body_bytes}"), 8);
        assert_eq!(served.status, 200, "{served:?}");
    }
}

#[test]
fn a_request_to_a_gateway_without_a_configuration_does_not_lose_its_refusal() {
    let mut deployment = Deployment::start();
    deployment.standin.set_store_fault(StoreFault::Busy);
    let gateway = deployment.add_gateway();
    wait_until("the gateway listens", || TcpStream::connect(gateway).is_ok());
    let mut connection = KeptConnection::open(gateway);
    for number in 0..3 {
        let refused = connection.call("/post/x", &format!("u{number}"), LARGE_BODY_BYTES);
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.body.contains("NotReady") && !refused.announces_close);
        assert!(refused.retry_after.is_some(), "{refused:?}");
    }
}

#[test]
fn a_caller_whose_body_is_too_large_does_not_lose_its_refusal_to_a_reset() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let mut connection = KeptConnection::open(gateway);
    let refused = connection.call("/post/x", "large", EXCESSIVE_BODY_BYTES);
    assert_eq!(refused.status, 413, "{refused:?}");
    assert!(refused.announces_close, "{refused:?}");
    assert!(connection.ends_without_reset());
}
