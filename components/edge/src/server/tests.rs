//! Tests of servers whose listener is closed, over loopback sockets.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use async_executor::LocalExecutor;
use fleet::Millis;
use futures_lite::future;
use telemetry::Metrics;

use super::*;
use crate::caller_buffers::BufferLimits;
use crate::clock::Clock;
use crate::gateway::full_body;
use crate::stop_state::{StopPlan, StopState};

/// Timeout of any single wait.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Memory of the process, in MB.
const MEMORY_MB: u64 = 112;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
/// The number of connections in the listener's queue.
const QUEUED: usize = 5;

fn options(stop: Rc<StopState>) -> ServerOptions {
    let limits = BufferLimits::from_memory_mb(MEMORY_MB);
    ServerOptions {
        name: ServerName::Callers,
        idle_timeout: IdleTimeout::fixed(TEST_TIMEOUT),
        open_connections: Rc::default(),
        callers: Callers::new(limits, Clock::start(), Rc::new(Metrics::start().unwrap()), stop),
    }
}

async fn answer(_: Request<Incoming>, _: Rc<Caller>) -> Response<AnswerBody> {
    Response::new(full_body("answer"))
}

#[test]
fn a_request_that_crosses_the_end_of_its_connection_does_not_go_unseen() {
    let executor = Rc::new(LocalExecutor::new());
    let metrics = Rc::new(Metrics::start().unwrap());
    let mut options = options(Rc::default());
    let limits = options.callers.limits();
    options.callers = Callers::new(limits, Clock::start(), metrics.clone(), Rc::default());
    let crossing = async {
        let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await.unwrap();
        let address = listener.local_addr().unwrap();
        let spawner = Spawner::new(&executor);
        let _serving = executor.spawn(serve(spawner, listener, options.clone(), answer));
        let mut connection = TcpStream::connect(address).unwrap();
        while options.open_connections.get() == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        options.callers.end_idle(Duration::ZERO);
        // The end is on its way.
        Timer::after(Duration::from_millis(50)).await;
        connection.write_all(REQUEST).unwrap();
        assert_eq!(connection.read(&mut [0]).unwrap(), 0, "the connection ends without a reset");
        drop(connection);
        while options.open_connections.get() > 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
    };
    future::block_on(executor.run(crossing));
    let text = metrics.render();
    assert!(text.lines().any(|it| it.starts_with("silverdock_crossed_requests_total")), "{text}");
}

#[test]
fn connections_in_the_queue_of_a_listener_that_closes_are_not_reset() {
    let executor = Rc::new(LocalExecutor::new());
    let stop = Rc::<StopState>::default();
    let options = options(stop.clone());
    let open_connections = options.open_connections.clone();
    stop.begin(StopPlan { detected_at: Millis(0), requests_end: Millis(u64::MAX) });
    let served = executor.run(async {
        let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (closing, close) = async_channel::bounded(1);
        let spawner = Spawner::new(&executor);
        let serving = serve_until(close, spawner, listener, options.clone(), answer);
        let serving = executor.spawn(serving);
        // The server waits for a connection before there is one.
        Timer::after(Duration::from_millis(50)).await;
        let queued: Vec<_> = (0..QUEUED).map(|_| TcpStream::connect(address).unwrap()).collect();
        closing.close();
        serving.await;
        assert_eq!(open_connections.get(), QUEUED, "all connections of the queue are accepted");
        assert!(TcpStream::connect(address).is_err(), "the listener is closed");
        queued.iter().for_each(|mut it| it.write_all(REQUEST).unwrap());
        while open_connections.get() > 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        queued
    });
    for mut connection in future::block_on(served) {
        connection.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut text = String::new();
        connection.read_to_string(&mut text).expect("the connection is not reset");
        assert!(text.starts_with("HTTP/1.1 200") && text.contains("connection: close"), "{text}");
    }
}
