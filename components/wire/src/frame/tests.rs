//! Frames from newer builds.

use async_net::{TcpListener, TcpStream};
use futures_lite::future::{block_on, zip};

use super::*;

/// An encoded message whose variant number is not assigned.
const UNKNOWN_MESSAGE: &[u8] = &[200, 1, 2, 3];

#[test]
fn an_unknown_message_is_returned_as_unreadable_and_the_session_continues() {
    let keys = KeyRing::parse("the-key-of-this-cluster").unwrap();
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = async {
            let (stream, _) = listener.accept().await.unwrap();
            let (_, mut reader, _) = accept_session(&keys, [1; 16], stream).await.unwrap();
            let first = reader.read_required().await.unwrap().message;
            (first, reader.read_required().await.unwrap())
        };
        let dialling = async {
            let stream = TcpStream::connect(address).await.unwrap();
            let id = InstanceId::from("a");
            let (_reader, mut writer) = dial_session(&keys, &id, [2; 16], stream).await.unwrap();
            writer.send_encoded(UNKNOWN_MESSAGE, &[]).await.unwrap();
            let mut longer = postcard::to_stdvec(&Message::GetConfiguration).unwrap();
            longer.extend_from_slice(UNKNOWN_MESSAGE);
            writer.send_encoded(&longer, &[9; 10]).await.unwrap();
        };
        let ((first, second), ()) = zip(accepting, dialling).await;
        assert_eq!(first, Message::Unreadable);
        assert_eq!((second.message, second.payload), (Message::GetConfiguration, vec![9; 10]));
    });
}
