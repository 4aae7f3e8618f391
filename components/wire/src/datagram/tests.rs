use super::*;
use crate::DatagramBody;
use fleet::{Incarnation, Revision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn sealed_ping(keys: &KeyRing) -> Vec<u8> {
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
    fn a_datagram_with_a_changed_byte_is_rejected(index in 0usize..1000, change in 1u8..=255) {
        let keys = KeyRing::parse("0123456789abcdef").unwrap();
        let mut bytes = sealed_ping(&keys);
        prop_assert!(open_datagram(&keys, &bytes).is_ok());
        let index = index % bytes.len();
        bytes[index] ^= change;
        prop_assert!(open_datagram(&keys, &bytes).is_err());
    }

    /// A newer build may append fields to a datagram; the authentication code covers them.
    #[test]
    fn a_datagram_with_appended_fields_is_read_without_them(
        additions in proptest::collection::vec(any::<u8>(), 0..60)
    ) {
        let keys = KeyRing::parse("0123456789abcdef").unwrap();
        let plain = sealed_ping(&keys);
        let body = &plain[..plain.len() - TAG_BYTES];
        let mut bytes = [body, &additions].concat();
        let tag = keys.sign(&[DOMAIN_SEPARATOR, &bytes]);
        bytes.extend_from_slice(&tag);
        prop_assert_eq!(open_datagram(&keys, &bytes).unwrap(), open_datagram(&keys, &plain).unwrap());
    }

    #[test]
    fn random_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let keys = KeyRing::parse("0123456789abcdef").unwrap();
        prop_assert!(open_datagram(&keys, &bytes).is_err());
    }
}
