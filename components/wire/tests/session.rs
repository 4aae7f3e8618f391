//! Sessions between two daemons over TCP, and attempts by peers without the cluster key.

use async_net::{TcpListener, TcpStream};
use errors::{Code, Result};
use fleet::InstanceId;
use futures_lite::future::{block_on, zip};
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use wire::{accept_session, dial_session, Frame, KeyRing, Message};

const KEY: &str = "the-key-of-this-cluster";

fn ring(text: &str) -> KeyRing {
    KeyRing::parse(text).unwrap()
}

/// Accepts one session with the cluster key and reads one frame.
async fn accept(listener: &TcpListener) -> Result<(InstanceId, Frame)> {
    let (stream, _) = listener.accept().await.unwrap();
    let (from, mut reader, mut writer) = accept_session(&ring(KEY), [1; 16], stream).await?;
    let frame = reader.read_required().await?;
    writer.send(&Message::Manifest).await?;
    Ok((from, frame))
}

/// Runs `dial` against an accepting daemon and returns what that daemon received.
fn run_session<F: std::future::Future<Output = ()>>(
    dial: impl FnOnce(TcpStream) -> F,
) -> Result<(InstanceId, Frame)> {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let dialling = async { dial(TcpStream::connect(address).await.unwrap()).await };
        zip(accept(&listener), dialling).await.0
    })
}

#[test]
fn a_message_arrives_with_its_payload() {
    let received = run_session(|stream| async move {
        let keys = ring(KEY);
        let id = InstanceId::from("a");
        let (mut reader, mut writer) = dial_session(&keys, &id, [2; 16], stream).await.unwrap();
        writer.send_with(&Message::GetConfiguration, &[9; 100_000]).await.unwrap();
        assert_eq!(reader.read_required().await.unwrap().message, Message::Manifest);
    });
    let (from, frame) = received.unwrap();
    assert_eq!((from, frame.payload), ("a".into(), vec![9; 100_000]));
}

#[test]
fn a_daemon_with_another_key_is_rejected() {
    let received = run_session(|stream| async move {
        let keys = ring("the-key-of-another-cluster");
        let id = InstanceId::from("a");
        let session = dial_session(&keys, &id, [2; 16], stream).await;
        if let Ok((mut reader, mut writer)) = session {
            let _ = writer.send(&Message::GetConfiguration).await;
            assert!(reader.read_required().await.is_err());
        }
    });
    assert_eq!(received.unwrap_err().code, Code::BadAuthentication);
}

#[test]
fn a_large_first_frame_is_rejected_before_it_is_read() {
    let received = run_session(|mut stream| async move {
        let mut nonce = [0; 16];
        stream.read_exact(&mut nonce).await.unwrap();
        stream.write_all(&[2; 16]).await.unwrap();
        stream.write_all(&u32::MAX.to_le_bytes()).await.unwrap();
        stream.write_all(&u32::MAX.to_le_bytes()).await.unwrap();
        let _ = stream.read(&mut nonce).await;
    });
    assert_eq!(received.unwrap_err().code, Code::FrameTooLarge);
}

#[test]
fn frames_recorded_from_another_session_are_rejected() {
    // Replays all bytes that a daemon sent in one session in another session.
    let recorded = block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let dialling = async {
            let stream = TcpStream::connect(address).await.unwrap();
            let id = InstanceId::from("a");
            let (_, mut writer) = dial_session(&ring(KEY), &id, [2; 16], stream).await.unwrap();
            writer.send(&Message::GetConfiguration).await.unwrap();
        };
        let recording = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(&[7; 16]).await.unwrap();
            let mut bytes = Vec::new();
            let _ = stream.read_to_end(&mut bytes).await;
            bytes
        };
        zip(dialling, recording).await.1
    });
    let received = run_session(|mut stream| async move {
        stream.write_all(&recorded).await.unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
    });
    assert_eq!(received.unwrap_err().code, Code::BadAuthentication);
}
