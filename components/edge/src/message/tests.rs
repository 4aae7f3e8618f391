//! Sizes of messages.

use gateway::{GatewayList, HeardGateway};

use super::*;

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// The size of a list of so many gateways, in bytes.
fn list_bytes(gateways: u8) -> usize {
    let address = |last| SocketAddr::from(([10, 0, 0, last], 47_000));
    let heard = |last| HeardGateway { address: address(last), tenths: 160 };
    let list = GatewayList { asker: address(0), gateways: (0..gateways).map(heard).collect() };
    encode(&Datagram::Gateways(list)).len()
}

#[test]
fn a_list_of_as_many_gateways_as_are_told_fits_a_datagram() {
    assert!(list_bytes(128) <= MAX_DATAGRAM_BYTES, "{} bytes", list_bytes(128));
}

#[test]
fn a_gateway_takes_ten_bytes_at_most_in_a_list() {
    let slope = list_bytes(53) - list_bytes(52);
    assert!(slope <= 10, "{slope} bytes a gateway, {} for 53", list_bytes(53));
}
