//! Accepts sessions from other daemons and passes their messages to a handler.

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

use crate::control::encode_configuration;
use crate::services::DaemonServices;

/// The time limit for the handshake, in which a peer proves that it knows the cluster key.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest number of open sessions; further connections are closed.
const MAX_SESSIONS: usize = 4096;
/// The delay before the next attempt after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A session that another daemon dialled.
pub(crate) struct InboundSession {
    pub(crate) from: InstanceId,
    pub(crate) reader: FrameReader<TcpStream>,
    pub(crate) writer: FrameWriter<TcpStream>,
}

impl InboundSession {
    /// Responds with a rejection.
    pub(crate) async fn reject(&mut self, code: Code) -> Result<()> {
        let load = Load::default();
        self.writer.send(&Message::Refused { code, retry_after_ms: 0, load }).await
    }

    /// Responds with the configuration in force.
    pub(crate) async fn send_configuration(
        &mut self,
        revision: fleet::Revision,
        bytes: &[u8],
    ) -> Result<()> {
        self.writer.send_with(&Message::Configuration { revision }, bytes).await
    }
}

/// The revision of the configuration in force and its encoding.
pub(crate) fn configuration_payload(control: &Control) -> (fleet::Revision, Vec<u8>) {
    let configuration = control.configuration();
    (configuration.revision, encode_configuration(configuration))
}

/// Handles the messages of sessions. The messages of one session are handled sequentially.
#[async_trait]
pub(crate) trait MessageHandler: Send + Sync + 'static {
    /// Handles one message. An error closes the session.
    async fn handle(&self, session: &mut InboundSession, frame: Frame) -> Result<()>;
}

/// Accepts connections until the daemon exits.
pub(crate) async fn accept_sessions(
    services: DaemonServices,
    listener: TcpListener,
    handler: Arc<dyn MessageHandler>,
) {
    // Each session holds a clone, so the reference count is the number of sessions plus one.
    let session_counter = Arc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if Arc::strong_count(&session_counter) > MAX_SESSIONS {
            services.metrics.count_refusal(Code::Overloaded);
            continue;
        }
        services.tasks.spawn(serve_session(
            services.clone(),
            stream,
            handler.clone(),
            session_counter.clone(),
        ));
    }
}

async fn serve_session(
    services: DaemonServices,
    stream: TcpStream,
    handler: Arc<dyn MessageHandler>,
    _session_counter: Arc<()>,
) {
    let _ = stream.set_nodelay(true);
    let handshake = accept_session(&services.keys, rand::random(), stream);
    let handshake =
        Deadline::after(HANDSHAKE_TIMEOUT).run(Code::BadAuthentication, handshake).await;
    let mut session = match handshake {
        Ok((from, reader, writer)) => InboundSession { from, reader, writer },
        Err(error) => {
            services.metrics.count_refusal(error.code);
            return;
        }
    };
    loop {
        match session.reader.read().await {
            Ok(Some(frame)) => {
                if handler.handle(&mut session, frame).await.is_err() {
                    return;
                }
            }
            Ok(None) => return,
            Err(error) => {
                services.metrics.count_refusal(error.code);
                return;
            }
        }
    }
}
