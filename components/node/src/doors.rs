//! Accepts sessions from other daemons and hands their messages to whoever answers them.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use async_trait::async_trait;
use errors::{Code, Result};
use fleet::InstanceId;
use net::Deadline;
use reducer::Control;
use wire::{accept_session, Frame, FrameReader, FrameWriter, Load, Message};

use crate::control::encode;
use crate::host::Host;

/// How long a stranger may take to show that it knows the key.
const HELLO_TIME: Duration = Duration::from_secs(5);
/// Sessions at once; further connections are closed.
const MAX_SESSIONS: usize = 4096;
/// How long to wait after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A session with the daemon that dialled.
pub(crate) struct Door {
    pub(crate) from: InstanceId,
    pub(crate) reader: FrameReader<TcpStream>,
    pub(crate) writer: FrameWriter<TcpStream>,
}

impl Door {
    /// Answers with a refusal.
    pub(crate) async fn refuse(&mut self, code: Code) -> Result<()> {
        let load = Load::default();
        self.writer.send(&Message::Refused { code, retry_after_ms: 0, load }).await
    }

    /// Answers with the configuration in force.
    pub(crate) async fn send_configuration(
        &mut self,
        revision: fleet::Revision,
        bytes: &[u8],
    ) -> Result<()> {
        self.writer.send_with(&Message::Configuration { revision }, bytes).await
    }
}

/// The configuration in force and its revision, ready to send.
pub(crate) fn pack_configuration(control: &Control) -> (fleet::Revision, Vec<u8>) {
    let configuration = control.configuration();
    (configuration.revision, encode(configuration))
}

/// Answers messages, one after the other on each session.
#[async_trait]
pub(crate) trait Answer: Send + Sync + 'static {
    /// Answers one message. An error ends the session.
    async fn answer(&self, door: &mut Door, frame: Frame) -> Result<()>;
}

/// Accepts connections until the daemon ends.
pub(crate) async fn accept(host: Host, listener: TcpListener, answer: Arc<dyn Answer>) {
    // Each session holds a copy, so the count of copies is the count of sessions.
    let open = Arc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        if Arc::strong_count(&open) > MAX_SESSIONS {
            host.metrics.count_refusal(Code::Overloaded);
            continue;
        }
        host.tasks.spawn(serve(host.clone(), stream, answer.clone(), open.clone()));
    }
}

async fn serve(host: Host, stream: TcpStream, answer: Arc<dyn Answer>, _open: Arc<()>) {
    let _ = stream.set_nodelay(true);
    let hello = accept_session(&host.keys, rand::random(), stream);
    let hello = Deadline::after(HELLO_TIME).limit(Code::BadAuthentication, hello).await;
    let mut door = match hello {
        Ok((from, reader, writer)) => Door { from, reader, writer },
        Err(error) => {
            host.metrics.count_refusal(error.code);
            return;
        }
    };
    loop {
        match door.reader.read().await {
            Ok(Some(frame)) => {
                if answer.answer(&mut door, frame).await.is_err() {
                    return;
                }
            }
            Ok(None) => return,
            Err(error) => {
                host.metrics.count_refusal(error.code);
                return;
            }
        }
    }
}
