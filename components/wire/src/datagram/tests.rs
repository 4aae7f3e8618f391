//! Tests of `datagram`.

use super::*;
use crate::DatagramBody;
use fleet::{Incarnation, Revision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn sealed(keys: &KeyRing) -> Vec<u8> {
    let datagram = Datagram {
        from: "a".into(),
        incarnation: Incarnation(1),
        revision: Revision(2),
        body: DatagramBody::Ping { nonce: 3 },
        news: Vec::new(),
    };
    seal_datagram(keys, &datagram)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn errors_on_any_changed_byte(index in 0usize..1000, change in 1u8..=255) {
        let keys = KeyRing::parse("0123456789abcdef").unwrap();
        let mut bytes = sealed(&keys);
        prop_assert!(open_datagram(&keys, &bytes).is_ok());
        let index = index % bytes.len();
        bytes[index] ^= change;
        prop_assert!(open_datagram(&keys, &bytes).is_err());
    }

    #[test]
    fn errors_on_noise(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let keys = KeyRing::parse("0123456789abcdef").unwrap();
        prop_assert!(open_datagram(&keys, &bytes).is_err());
    }
}
