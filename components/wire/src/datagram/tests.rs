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

    /// A newer build may say more behind a datagram, within its code.
    #[test]
    fn reads_what_additions_follow(additions in proptest::collection::vec(any::<u8>(), 0..60)) {
        let keys = KeyRing::parse("0123456789abcdef").unwrap();
        let plain = sealed(&keys);
        let body = &plain[..plain.len() - TAG_BYTES];
        let mut bytes = [body, &additions].concat();
        let tag = keys.sign(&[DOMAIN, &bytes]);
        bytes.extend_from_slice(&tag);
        prop_assert_eq!(open_datagram(&keys, &bytes).unwrap(), open_datagram(&keys, &plain).unwrap());
    }

    #[test]
    fn errors_on_noise(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let keys = KeyRing::parse("0123456789abcdef").unwrap();
        prop_assert!(open_datagram(&keys, &bytes).is_err());
    }
}
