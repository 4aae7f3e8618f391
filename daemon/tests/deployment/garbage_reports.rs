//! Runners whose reports are none, beside requests that they serve.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::garbage_proxy::{Garbage, GarbageProxy};
use crate::support::{is_whole_stream, stream, wait_until, Deployment};

/// Port of the proxy in front of a runner.
const PROXY_PORT: u16 = 8031;
/// How long reports stay garbage: longer than gateways use a report.
const GARBAGE_TIME: Duration = Duration::from_millis(1500);
/// How requests for reports begin.
const REPORT: &str = "GET /-/report";

/// A report of a runner that holds version 1, with other values in some of its fields.
fn report_with(counts: &str) -> Garbage {
    Garbage::with_body(&format!(
        "{{\"models\":[{{\"name\":\"m\",\"version\":1}}],\"layers\":{{\"from\":0,\
         \"targetVersion\":4294967295,\"version\":1}},\"busy\":false,{counts}}}"
    ))
}

/// Sends the garbage in place of reports for a while, and expects that the gateway and the sidecar answer meanwhile, and
/// that the runner serves again afterwards. Returns the metrics of the sidecar.
fn check(garbage: Vec<Garbage>) -> String {
    let mut deployment = Deployment::start();
    let proxy = GarbageProxy::new(REPORT);
    let started = proxy.clone();
    let runner = deployment.add_model_runner_behind("e1", Some(1), move |_, runner| {
        started.start(SocketAddr::new(runner.ip(), PROXY_PORT), runner)
    });
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for (index, garbage) in garbage.into_iter().enumerate() {
        let serves = |name: &str| {
            let mut number = 0;
            wait_until(name, || {
                number += 1;
                let id = format!("{name}{index}-{number}");
                is_whole_stream(&stream(gateway, &id), &id)
            });
        };
        serves("a");
        proxy.replace(Some((REPORT, garbage)));
        thread::sleep(GARBAGE_TIME);
        assert!(!deployment.metrics(runner.ip()).is_empty(), "{index}: the sidecar goes on");
        let answer = stream(gateway, &format!("g{index}"));
        assert_eq!(answer.status, 503, "{index}: the only runner is not used");
        proxy.replace(None);
        serves("b");
    }
    deployment.metrics(runner.ip())
}

#[test]
fn a_runner_whose_reports_are_none_serves_again_once_they_are() {
    let deep = format!("{{\"models\":{}", "[".repeat(100_000));
    let metrics = check(vec![
        Garbage::with_body("no report"),
        Garbage::with_body(&deep),
        report_with("\"sequence\":0,\"waiting\":4294967295,\"running\":4294967295"),
        report_with("\"sequence\":0,\"waiting\":0,\"running\":0,\"pace\":-1e300"),
        Garbage::with_body("{\"models\":[],\"busy\":false}"),
        Garbage::Bytes("HTTP/1.1 200 OK\r\ncontent-le".to_owned()),
        Garbage::Bytes("HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\n{}".to_owned()),
        Garbage::Bytes("no answer\r\n\r\n".to_owned()),
    ]);
    let counted = metrics.lines().find(|it| it.starts_with("silverdock_malformed_answers_total"));
    assert!(counted.is_some_and(|it| it.contains("source=\"report\"")), "{counted:?}");
}

#[test]
fn reports_without_end_stop_no_sidecar() {
    check(vec![Garbage::Flood("HTTP/1.1 100 Continue\r\n\r\n"), Garbage::Flood("x")]);
}
