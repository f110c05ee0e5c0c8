//! Tests of the encoding of gossip messages, and of the messages that the decoder rejects.

mod common;

use common::{ms, observation};
use grebecleat_coordination::gossip_message::{
    GossipMessage, VolumeLeaseMessage, MAX_BYTES, MAX_ENTRIES,
};
use grebecleat_coordination::host_report::{
    GossipEntry, HostReport, LeaseOffer, Observation, ServedUnits, VersionStamp,
};
use grebecleat_coordination::lease_message::LeaseMessage;
use grebecleat_coordination::{HostNumber, Incarnation};

/// The encoding of `message()` with another observation, in hexadecimal digits.
const ENCODED: &str = "\
    0801100918012227080510031808204d280330013a0c0804100118092002283730014204080710634a050807\
    10d2092a0c0807100318012001280230032a0c0807100318022001280430032a0808071003180328022a0808\
    071003180420062a06080810021805\
    ";

fn entry() -> GossipEntry {
    let report = HostReport {
        nodes_tried: 3,
        bad_nodes: 1,
        observations: vec![observation(4, 9, 2)],
        offers: vec![LeaseOffer {
            volume: 7,
            spare: 99,
        }],
        served: vec![ServedUnits {
            volume: 7,
            units: 1234,
        }],
    };
    GossipEntry {
        writer: HostNumber(5),
        version: VersionStamp {
            incarnation: Incarnation(3),
            count: 8,
        },
        age: ms(77),
        report,
    }
}

fn volume_message(volume: u64, sharers: u32, message: LeaseMessage) -> VolumeLeaseMessage {
    VolumeLeaseMessage {
        volume,
        sharers,
        message,
    }
}

fn request(amount: u32) -> LeaseMessage {
    LeaseMessage::Request {
        request: 1,
        lease: 2,
        amount,
    }
}

/// Returns a message with items of every kind.
fn message() -> GossipMessage {
    let grant = LeaseMessage::Grant {
        request: 1,
        borrower_incarnation: Incarnation(4),
        amount: 3,
    };
    let cleared = LeaseMessage::Cleared {
        recovering_incarnation: Incarnation(6),
    };
    GossipMessage {
        incarnation: Incarnation(9),
        requests_sync: true,
        entries: vec![entry()],
        lease_messages: vec![
            volume_message(7, 3, request(3)),
            volume_message(7, 3, grant),
            volume_message(7, 3, LeaseMessage::Release { lease: 2 }),
            volume_message(7, 3, cleared),
            volume_message(8, 2, LeaseMessage::Recovering),
        ],
    }
}

#[test]
fn the_encoding_of_a_message_does_not_change_between_versions() {
    let mut message = message();
    message.entries[0].report.observations[0] = Observation {
        age: ms(55),
        contradicts_ejection: true,
        ..observation(4, 9, 2)
    };
    let bytes = message.to_bytes();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, ENCODED);
}

#[test]
fn a_decoded_message_equals_the_sent_one() {
    let message = message();
    let decoded = GossipMessage::from_bytes(&message.to_bytes());
    assert_eq!(decoded, Ok(message));
}

#[test]
fn a_message_with_a_number_out_of_range_is_rejected() {
    // Each case changes one number of a valid message and expects a part of the error text.
    type Case<'a> = (&'a dyn Fn(&mut GossipMessage), &'a str);
    let cases: [Case; 7] = [
        (
            &|m| m.incarnation = Incarnation(u64::MAX),
            "incarnation 18446744073709551615",
        ),
        (
            &|m| m.entries[0].version.incarnation = Incarnation(0),
            "incarnation 0, expected 1",
        ),
        (
            &|m| m.entries[0].version.count = u64::MAX - 1,
            "entry of host 5: count",
        ),
        (
            &|m| m.entries[0].report.observations[0].failed = 10,
            "entry of host 5: more failed attempts than attempts sent",
        ),
        (
            &|m| m.entries[0].report.offers[0].spare = u32::MAX,
            "entry of host 5: lease offer above the complete limit",
        ),
        (
            &|m| m.entries = vec![entry(); MAX_ENTRIES + 1],
            "17 entries, expected at most 16",
        ),
        (
            &|m| m.lease_messages[0].message = request(u32::MAX),
            "volume 7: lease message with amount 4294967295",
        ),
    ];
    for (corrupt, expected) in cases {
        let mut message = message();
        corrupt(&mut message);
        let error = GossipMessage::from_bytes(&message.to_bytes()).unwrap_err();
        let text = error.to_string();
        assert!(text.contains(expected), "{text}, expected {expected}");
    }
}

#[test]
fn invalid_bytes_are_rejected_and_a_truncated_message_has_no_other_entries() {
    assert!(GossipMessage::from_bytes(b"garbage of any kind").is_err());
    assert!(GossipMessage::from_bytes(&vec![0; MAX_BYTES + 1]).is_err());
    let message = message();
    let bytes = message.to_bytes();
    for length in 0..bytes.len() {
        // A truncated message is either rejected or has fewer entries. It never contains an entry that was
        // not sent.
        if let Ok(truncated) = GossipMessage::from_bytes(&bytes[..length]) {
            assert!(
                truncated
                    .entries
                    .iter()
                    .all(|entry| message.entries.contains(entry)),
                "{truncated:?}"
            );
        }
    }
}

#[test]
fn the_error_for_a_malformed_message_names_the_field_that_cannot_be_decoded() {
    let bytes_with_a_bad_wire_type = [42, 1, 7];
    let error = GossipMessage::from_bytes(&bytes_with_a_bad_wire_type).unwrap_err();
    let text = error.to_string();
    let expected = "not a valid gossip message: failed to decode Protobuf message: WireWord.says: ";
    assert!(text.starts_with(expected), "{text}");
}
