//! The protocol between silverdock daemons: authenticated frames over TCP and authenticated datagrams over UDP.

mod datagram;
mod frame;
mod keys;
mod message;

pub use datagram::{open_datagram, seal_datagram, MAX_DATAGRAM_BYTES};
pub use frame::{accept_session, dial_session, Frame, FrameReader, FrameWriter};
pub use keys::{KeyRing, Tag};
pub use message::{
    Call, Datagram, DatagramBody, Load, MemberNews, MemberRecord, MemberState, Message, Serving,
    ServingTag,
};
