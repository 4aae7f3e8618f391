//! A proxy that replaces answers of a server by what is none.

use std::io::{copy, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// The size of a write of a server that sends without end, in bytes.
const FLOOD_BYTES: usize = 64 * 1024;

/// What is sent in place of an answer.
#[derive(Clone)]
pub enum Garbage {
    /// Bytes, and then the end of the connection.
    Bytes(String),
    /// Bytes without end.
    Flood(&'static str),
}

impl Garbage {
    /// An answer with a length.
    pub fn with_body(body: &str) -> Self {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        Self::Bytes(head + body)
    }
}

/// A proxy that replaces answers to some requests.
#[derive(Clone)]
pub struct GarbageProxy {
    /// How the first request of a connection begins on which answers may be replaced. Such a connection carries no
    /// request with a body.
    connections: &'static str,
    /// How the requests begin whose answers are replaced, and by what.
    replaced: Arc<Mutex<Option<(&'static str, Garbage)>>>,
}

impl GarbageProxy {
    pub fn new(connections: &'static str) -> Self {
        Self { connections, replaced: Arc::default() }
    }

    /// Replaces the answers to requests that begin with `start`, or none.
    pub fn replace(&self, replaced: Option<(&'static str, Garbage)>) {
        *self.replaced.lock().unwrap() = replaced;
    }

    /// Starts the proxy and returns its address.
    pub fn start(&self, listen: SocketAddr, server: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind(listen).unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let proxy = proxy.clone();
                thread::spawn(move || proxy.serve(stream.unwrap(), server));
            }
        });
        address
    }

    fn serve(&self, mut client: TcpStream, server: SocketAddr) -> Option<()> {
        let mut head = read_head(&mut client)?;
        let mut upstream = TcpStream::connect(server).ok()?;
        if !head.starts_with(self.connections.as_bytes()) {
            upstream.write_all(&head).ok()?;
            return pipe(client, upstream);
        }
        loop {
            let replaced = self.replaced.lock().unwrap().clone();
            let garbage = replaced.filter(|(start, _)| head.starts_with(start.as_bytes()));
            if let Some((_, garbage)) = garbage {
                return send_garbage(&mut client, &garbage);
            }
            upstream.write_all(&head).ok()?;
            let answer = read_answer(&mut upstream)?;
            client.write_all(&answer).ok()?;
            head = read_head(&mut client)?;
        }
    }
}

fn send_garbage(client: &mut TcpStream, garbage: &Garbage) -> Option<()> {
    match garbage {
        Garbage::Bytes(bytes) => client.write_all(bytes.as_bytes()).ok(),
        Garbage::Flood(bytes) => {
            let flood = bytes.repeat(FLOOD_BYTES.div_ceil(bytes.len()));
            while client.write_all(flood.as_bytes()).is_ok() {}
            None
        }
    }
}

/// Reads up to the empty line that ends a head.
fn read_head(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(head)
}

/// Reads an answer with a length.
fn read_answer(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut answer = read_head(stream)?;
    let head = String::from_utf8_lossy(&answer).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"))?;
    let mut body = vec![0; length.trim().parse().ok()?];
    stream.read_exact(&mut body).ok()?;
    answer.extend(body);
    Some(answer)
}

fn pipe(client: TcpStream, upstream: TcpStream) -> Option<()> {
    let (mut from_client, mut to_upstream) = (client.try_clone().ok()?, upstream.try_clone().ok()?);
    thread::spawn(move || {
        let _ = copy(&mut from_client, &mut to_upstream);
        let _ = to_upstream.shutdown(std::net::Shutdown::Write);
    });
    let (mut from_upstream, mut to_client) = (upstream, client);
    let _ = copy(&mut from_upstream, &mut to_client);
    to_client.shutdown(std::net::Shutdown::Both).ok()
}
