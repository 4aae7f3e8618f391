//! Messages whose bytes are none.

use futures_lite::future::block_on;
use futures_lite::io::Cursor;
use proptest::prelude::*;

use super::*;
use crate::extensions::decode_datagram;

fn read(bytes: Vec<u8>) -> Result<PeerAnswer> {
    block_on(read_frame(&mut Cursor::new(bytes)))
}

fn code(bytes: Vec<u8>) -> Code {
    read(bytes).unwrap_err().code
}

fn chunk_answer() -> PeerAnswer {
    let mut have = Bitmap::new(100);
    have.insert(99);
    PeerAnswer::Chunk { bytes: vec![7; 300], have }
}

#[test]
fn a_frame_that_never_arrives_is_a_lost_connection() {
    let whole = frame(&chunk_answer());
    for end in 0..whole.len() {
        assert_eq!(code(whole[..end].to_vec()), Code::ConnectionLost, "{end}");
    }
    assert_eq!(read(whole).unwrap(), chunk_answer());
}

#[test]
fn a_frame_with_an_absurd_length_is_not_read() {
    for length in [MAX_FRAME_BYTES + 1, u32::MAX] {
        assert_eq!(code(length.to_le_bytes().to_vec()), Code::FrameTooLarge);
    }
}

#[test]
fn a_list_with_an_absurd_count_is_no_message() {
    // The variant of chunks, and a count of bytes that do not follow.
    let count = [1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];
    assert_eq!(decode::<PeerAnswer>(&count).unwrap_err().code, Code::BadFrame);
    assert_eq!(decode::<PeerAnswer>(&count[..6]).unwrap_err().code, Code::BadFrame);
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_datagram(&bytes);
        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<PeerAnswer>(&bytes);
        let _ = read(bytes);
    }

    #[test]
    fn a_changed_message_is_read_or_refused(
        index in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = encode(&chunk_answer());
        let index = index.index(bytes.len());
        bytes[index] = byte;
        if let Ok(PeerAnswer::Chunk { have, .. }) = decode(&bytes) {
            // Only sets of the expected size may be asked for their members.
            let members = have.is_well_formed(100).then(|| have.missing().count());
            prop_assert!(members.is_none_or(|it| it <= 100));
        }
    }
}
