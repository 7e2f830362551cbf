//! Tests that frames survive encoding and decoding, and that malformed bytes are refused with a
//! reason.

use assert_matches::assert_matches;
use bytes::Bytes;
use sapphire_wire::{Beat, Epoch, envelope, epoch, frame, peer};

mod fuzz;

fn beat() -> envelope::Envelope {
    envelope::Envelope {
        from: peer::new("a1", "127.0.0.1:1", 7),
        to_generation: 3,
        body: frame::Body::Beat(Beat { attempt: "j.1".into(), sequence: 4, ..Beat::default() }),
    }
}

#[test]
fn envelope_survives_the_codec() {
    let bytes = Bytes::from(beat().encode());
    assert_eq!(envelope::Envelope::decode(bytes), Ok(beat()));
}

#[test]
fn bad_bytes_are_refused() {
    let decode = envelope::Envelope::decode;
    assert_matches!(decode(Bytes::from_static(b"\xff\xff")), Err(envelope::Error::Malformed(_)));
    assert_matches!(decode(Bytes::new()), Err(envelope::Error::Incomplete));
    let large = Bytes::from(vec![0; envelope::MAX_BYTES + 1]);
    assert_matches!(decode(large), Err(envelope::Error::TooLarge(_)));
}

#[test]
fn a_later_term_wins() {
    let old = Epoch { term: 1, holder: "z".into() };
    let new = Epoch { term: 2, holder: "a".into() };
    assert!(epoch::is_above(&new, Some(&old)));
    assert!(!epoch::is_above(&old, Some(&new)));
    assert!(!epoch::is_above(&old, Some(&old)));
}
