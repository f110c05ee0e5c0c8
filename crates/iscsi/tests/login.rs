//! Valid and invalid logins. Each row of the tables is one complete login or offer.

use grebecleat_iscsi::chap::{from_text, to_text, Algorithm};
use grebecleat_iscsi::keys::{format, parse, KeyError, Negotiation, Params, Preferences, MAX_TEXT};
use grebecleat_iscsi::login::{Login, LoginState, Portal, Secret, Status, Target, MAX_REQUESTS};
use grebecleat_iscsi::pdu::{Header, Opcode, Pdu};

const SECRET: &[u8] = b"a secret of sixteen";

fn pairs(text: &[(&str, &str)]) -> Vec<(String, String)> {
    text.iter()
        .map(|(k, v)| (k.to_string(), v.to_string()))
        .collect()
}

fn portal() -> Portal {
    let plain = Target {
        name: "iqn.2026-12.org.example:plain".into(),
        ..Target::default()
    };
    let secret = |name: &str, secret: &[u8]| {
        Some(Secret {
            name: name.into(),
            secret: secret.to_vec(),
        })
    };
    let chap_target = Target {
        name: "iqn.2026-12.org.example:guarded".into(),
        initiators: Some(vec!["iqn.host".into()]),
        chap: secret("alice", SECRET),
        mutual: secret("target", b"another secret of ours"),
    };
    Portal {
        targets: vec![plain, chap_target],
        group: 1,
        ..Portal::default()
    }
}

type Keys<'a> = Vec<(&'a str, &'a str)>;

/// Returns the flags of a login request with this T bit, CSG and NSG. NSG is 0 without the T bit.
fn flags(transit: bool, csg: u8, nsg: u8) -> u8 {
    if transit {
        0x80 | csg << 2 | nsg
    } else {
        csg << 2
    }
}

fn send(
    login: &mut Login,
    flags: u8,
    keys: &[(&str, &str)],
) -> (Header, Vec<(String, String)>, LoginState) {
    send_text(login, flags, format(&pairs(keys)))
}

fn send_text(
    login: &mut Login,
    flags: u8,
    text: Vec<u8>,
) -> (Header, Vec<(String, String)>, LoginState) {
    let header = Header::new(Opcode::LoginRequest)
        .set_immediate(true)
        .set_flags(flags)
        .set_itt(1);
    let random_bytes: [u8; 17] = std::array::from_fn(|i| i as u8 + 100);
    let (answer, standing) = login.request(&Pdu::new(header, text), random_bytes, (5, 1, 8));
    assert_eq!(answer.header.opcode(), Some(Opcode::LoginResponse));
    (answer.header, parse(&answer.data).unwrap(), standing)
}

fn get<'a>(pairs: &'a [(String, String)], key: &str) -> Option<&'a str> {
    pairs
        .iter()
        .find(|(k, _)| k == key)
        .map(|(_, v)| v.as_str())
}

const PLAIN: [(&str, &str); 3] = [
    ("InitiatorName", "iqn.host"),
    ("SessionType", "Normal"),
    ("TargetName", "iqn.2026-12.org.example:plain"),
];
const CHAP_TARGET: [(&str, &str); 3] = [
    ("InitiatorName", "iqn.host"),
    ("TargetName", "iqn.2026-12.org.example:guarded"),
    ("AuthMethod", "CHAP,None"),
];

#[test]
fn offers_are_answered_by_each_keys_result_function() {
    // Key, offer and the answer by section 13 under `Preferences::default`.
    let cases = [
        ("HeaderDigest", "CRC32C,None", Some("CRC32C")),
        ("HeaderDigest", "None,CRC32C", Some("None")),
        ("DataDigest", "X-com.example.md5,CRC32C", Some("CRC32C")),
        ("DataDigest", "X-com.example.md5", Some("Reject")),
        ("MaxConnections", "8", Some("4")),
        ("MaxConnections", "2", Some("2")),
        ("MaxConnections", "0", Some("Reject")),
        ("InitialR2T", "Yes", Some("Yes")),
        ("InitialR2T", "No", Some("No")),
        ("ImmediateData", "Yes", Some("Yes")),
        ("ImmediateData", "No", Some("No")),
        ("ImmediateData", "maybe", Some("Reject")),
        ("MaxRecvDataSegmentLength", "65536", None),
        ("MaxBurstLength", "16776192", Some("1048576")),
        ("MaxBurstLength", "0x10000", Some("65536")),
        ("FirstBurstLength", "512", Some("512")),
        ("DefaultTime2Wait", "0", Some("2")),
        ("DefaultTime2Wait", "5", Some("5")),
        ("DefaultTime2Retain", "0", Some("0")),
        ("MaxOutstandingR2T", "16", Some("4")),
        ("DataPDUInOrder", "No", Some("Yes")),
        ("DataSequenceInOrder", "Yes", Some("Yes")),
        ("ErrorRecoveryLevel", "2", Some("1")),
        ("ErrorRecoveryLevel", "0", Some("0")),
        ("TaskReporting", "FastAbort,RFC3720", Some("RFC3720")),
        ("iSCSIProtocolLevel", "2", Some("2")),
        ("iSCSIProtocolLevel", "5", Some("2")),
        ("iSCSIProtocolLevel", "1", Some("1")),
        ("iSCSIProtocolLevel", "32", Some("Reject")),
        ("IFMarker", "Yes", Some("No")),
        ("OFMarkInt", "2048~8192", Some("Reject")),
        ("X-org.example.colour", "red", Some("NotUnderstood")),
        ("InitiatorAlias", "a host", None),
    ];
    for (key, offer, answer) in cases {
        let mut n = Negotiation::new(Preferences::default(), Params::default(), true, true);
        let answers = n.offer(key, offer).unwrap();
        assert_eq!(
            answers.as_ref().map(|s| s.1.as_str()),
            answer,
            "{key}={offer}"
        );
        assert_eq!(n.offer(key, offer), Err(KeyError::Duplicate(key.into())));
    }
    let mut n = Negotiation::new(Preferences::default(), Params::default(), true, true);
    assert!(n.offer("MaxRecvDataSegmentLength", "511").is_err());
    // FirstBurstLength never exceeds MaxBurstLength.
    n.offer("FirstBurstLength", "262144").unwrap();
    n.offer("MaxBurstLength", "4096").unwrap();
    assert_eq!(n.agreed.first_burst, 4096);
    // Session-wide keys are errors on later connections and irrelevant in discovery sessions.
    let mut n = Negotiation::new(Preferences::default(), Params::default(), true, false);
    assert!(n.offer("MaxConnections", "1").is_err() && n.offer("HeaderDigest", "None").is_ok());
    let mut n = Negotiation::new(Preferences::default(), Params::default(), true, true);
    n.discovery = true;
    assert_eq!(
        n.offer("ImmediateData", "Yes").unwrap().unwrap().1,
        "Irrelevant"
    );
}

#[test]
fn a_plain_login_in_one_and_in_two_stages() {
    let mut login = Login::new(portal());
    let keys = [&PLAIN[..], &[("HeaderDigest", "CRC32C")]].concat();
    let (h, answers, standing) = send(&mut login, flags(true, 1, 3), &keys);
    assert_eq!(
        (h.flags(), h.cmd_sn(), h.exp_stat_sn(), h.word32()),
        (0x80 | 1 << 2 | 3, 5, 1, 8)
    );
    assert_eq!(
        (
            get(&answers, "HeaderDigest"),
            get(&answers, "MaxRecvDataSegmentLength")
        ),
        (Some("CRC32C"), Some("262144"))
    );
    let LoginState::Done(logged_in) = standing else {
        panic!("{standing:?}")
    };
    assert!(
        logged_in.params.header_digest
            && logged_in.target.as_deref() == Some(PLAIN[2].1)
            && logged_in.initiator == "iqn.host"
    );

    let mut login = Login::new(portal());
    let keys = [&PLAIN[..], &[("AuthMethod", "None")]].concat();
    let (h, answers, standing) = send(&mut login, flags(true, 0, 1), &keys);
    assert_eq!(
        (h.flags(), get(&answers, "AuthMethod"), &standing),
        (0x81, Some("None"), &LoginState::NeedsRequest)
    );
    assert_eq!(get(&answers, "TargetPortalGroupTag"), Some("1"));
    let (.., standing) = send(&mut login, flags(true, 1, 3), &[("MaxBurstLength", "8192")]);
    assert!(matches!(standing, LoginState::Done(logged_in) if logged_in.params.max_burst == 8192));
}

#[test]
fn a_discovery_login() {
    let mut login = Login::new(portal());
    let keys = [
        ("InitiatorName", "iqn.any"),
        ("SessionType", "Discovery"),
        ("AuthMethod", "None"),
    ];
    let (.., standing) = send(&mut login, flags(true, 0, 3), &keys);
    assert!(matches!(standing, LoginState::Done(logged_in) if logged_in.target.is_none()));
}

/// Returns the response to the target's challenge.
fn respond(answers: &[(String, String)], secret: &[u8]) -> String {
    let id = get(answers, "CHAP_I").unwrap().parse().unwrap();
    let challenge = from_text(get(answers, "CHAP_C").unwrap()).unwrap();
    to_text(&Algorithm::Md5.response(id, secret, &challenge))
}

/// Starts a login to the target with CHAP and returns it with the target's challenge.
fn login_with_challenge() -> (Login, Vec<(String, String)>) {
    let mut login = Login::new(portal());
    let (_, answers, standing) = send(&mut login, flags(false, 0, 0), &CHAP_TARGET);
    assert_eq!(
        (get(&answers, "AuthMethod"), standing),
        (Some("CHAP"), LoginState::NeedsRequest)
    );
    let (_, answers, _) = send(&mut login, flags(false, 0, 0), &[("CHAP_A", "5")]);
    assert_eq!(get(&answers, "CHAP_A"), Some("5"));
    (login, answers)
}

#[test]
fn chap_one_way_and_mutual() {
    let (mut login, answers) = login_with_challenge();
    let response = respond(&answers, SECRET);
    let initiator_challenge = [9u8; 16];
    let challenge = to_text(&initiator_challenge);
    let keys = [
        ("CHAP_N", "alice"),
        ("CHAP_R", &response),
        ("CHAP_I", "44"),
        ("CHAP_C", &challenge),
    ];
    let (h, answers, standing) = send(&mut login, flags(true, 0, 1), &keys);
    assert_eq!(
        (h.flags() & 0x83, standing),
        (0x81, LoginState::NeedsRequest)
    );
    let expected =
        to_text(&Algorithm::Md5.response(44, b"another secret of ours", &initiator_challenge));
    assert_eq!(
        (get(&answers, "CHAP_N"), get(&answers, "CHAP_R")),
        (Some("target"), Some(expected.as_str()))
    );
    let (.., standing) = send(&mut login, flags(true, 1, 3), &[]);
    assert!(matches!(standing, LoginState::Done(_)));
}

#[test]
fn initiators_that_fail_to_authenticate_are_rejected() {
    let fails = |standing: LoginState| {
        matches!(
            standing,
            LoginState::Failed(Status::AuthenticationFailure, _)
        )
    };
    // A wrong secret, a wrong name, and no response.
    for (name, secret) in [("alice", &b"some other secret.."[..]), ("bob", SECRET)] {
        let (mut login, answers) = login_with_challenge();
        let response = respond(&answers, secret);
        let keys = [("CHAP_N", name), ("CHAP_R", response.as_str())];
        assert!(
            fails(send(&mut login, flags(true, 0, 1), &keys).2),
            "{name}"
        );
    }
    let (mut login, _) = login_with_challenge();
    assert!(fails(
        send(&mut login, flags(true, 0, 1), &[("CHAP_N", "alice")]).2
    ));
    // Replay: the response to the challenge of another login.
    let (mut login, _) = login_with_challenge();
    let old = to_text(&Algorithm::Md5.response(1, SECRET, b"yesterday's challenge"));
    assert!(fails(
        send(
            &mut login,
            flags(true, 0, 1),
            &[("CHAP_N", "alice"), ("CHAP_R", &old)]
        )
        .2
    ));
    // Reflection: the initiator sends the target's own challenge back.
    let (mut login, answers) = login_with_challenge();
    let response = respond(&answers, SECRET);
    let target_challenge = get(&answers, "CHAP_C").unwrap().to_string();
    let keys = [
        ("CHAP_N", "alice"),
        ("CHAP_R", &response),
        ("CHAP_I", "1"),
        ("CHAP_C", &target_challenge),
    ];
    assert!(fails(send(&mut login, flags(true, 0, 1), &keys).2));
    // The initiator skips or leaves the security stage without authentication.
    let mut login = Login::new(portal());
    assert!(fails(
        send(&mut login, flags(true, 1, 3), &CHAP_TARGET[..2]).2
    ));
    let mut login = Login::new(portal());
    assert!(fails(
        send(&mut login, flags(true, 0, 3), &CHAP_TARGET[..2]).2
    ));
    // CHAP keys out of order, a second AuthMethod, and no common algorithm.
    let mut login = Login::new(portal());
    assert!(fails(
        send(
            &mut login,
            flags(false, 0, 0),
            &[&CHAP_TARGET[..2], &[("CHAP_A", "5")]].concat()
        )
        .2
    ));
    let mut login = Login::new(portal());
    send(&mut login, flags(false, 0, 0), &CHAP_TARGET);
    assert!(fails(
        send(&mut login, flags(false, 0, 0), &[("AuthMethod", "CHAP")]).2
    ));
    let mut login = Login::new(portal());
    send(&mut login, flags(false, 0, 0), &CHAP_TARGET);
    assert!(fails(
        send(&mut login, flags(false, 0, 0), &[("CHAP_A", "6,8")]).2
    ));
}

#[test]
fn invalid_logins_fail_with_their_status() {
    let target = |name| [("InitiatorName", "iqn.host"), ("TargetName", name)];
    let long = "x".repeat(300);
    let cases: Vec<(u8, Keys, Status)> = vec![
        (
            flags(true, 1, 3),
            vec![("TargetName", PLAIN[2].1)],
            Status::MissingParameter,
        ),
        (
            flags(true, 1, 3),
            vec![("InitiatorName", "iqn.host")],
            Status::MissingParameter,
        ),
        (
            flags(true, 1, 3),
            target("iqn.nowhere").to_vec(),
            Status::NotFound,
        ),
        (
            flags(true, 1, 3),
            vec![("InitiatorName", "iqn.other"), CHAP_TARGET[1]],
            Status::AuthorizationFailure,
        ),
        (
            flags(true, 1, 3),
            [&PLAIN[..1], &[("SessionType", "Odd")]].concat(),
            Status::SessionTypeNotSupported,
        ),
        (flags(true, 1, 1), PLAIN.to_vec(), Status::InitiatorError),
        (flags(true, 1, 0), PLAIN.to_vec(), Status::InitiatorError),
        (flags(true, 3, 3), PLAIN.to_vec(), Status::InitiatorError),
        (2 << 2, PLAIN.to_vec(), Status::InitiatorError),
        (
            flags(true, 1, 3) | 0x40,
            PLAIN.to_vec(),
            Status::InitiatorError,
        ),
        (
            flags(true, 1, 3),
            [&PLAIN[..], &PLAIN[..1]].concat(),
            Status::InitiatorError,
        ),
        (
            flags(true, 1, 3),
            [&PLAIN[..], &[("InitiatorAlias", long.as_str())]].concat(),
            Status::InitiatorError,
        ),
    ];
    for (flags, keys, status) in cases {
        let mut login = Login::new(portal());
        let (h, _, standing) = send(&mut login, flags, &keys);
        assert!(
            matches!(&standing, LoginState::Failed(s, _) if *s == status),
            "{keys:?}: {standing:?}"
        );
        assert_eq!(u16::from_be_bytes([h.byte(36), h.byte(37)]), status as u16);
    }
}

#[test]
fn text_over_several_requests_is_joined_and_bounded() {
    let whole = format(&pairs(&PLAIN));
    let mut login = Login::new(portal());
    let (half, rest) = whole.split_at(20);
    let (h, answers, standing) = send_text(&mut login, 1 << 2 | 0x40, half.to_vec());
    assert_eq!(
        (h.flags() & 0x80, answers, standing),
        (0, vec![], LoginState::NeedsRequest)
    );
    let (.., standing) = send_text(&mut login, flags(true, 1, 3), rest.to_vec());
    assert!(matches!(standing, LoginState::Done(_)));
    // Text beyond `MAX_TEXT` over several requests, and a login beyond `MAX_REQUESTS`.
    let mut login = Login::new(portal());
    let piece = vec![b'k'; 8 << 10];
    let ends: Vec<bool> = (0..4)
        .map(|_| {
            matches!(
                send_text(&mut login, 1 << 2 | 0x40, piece.clone()).2,
                LoginState::Failed(..)
            )
        })
        .collect();
    assert_eq!(ends.iter().position(|e| *e), Some(MAX_TEXT / piece.len()));
    let mut login = Login::new(portal());
    let failed = (0..100).position(|_| {
        matches!(
            send_text(&mut login, 1 << 2 | 0x40, Vec::new()).2,
            LoginState::Failed(..)
        )
    });
    assert_eq!(failed, Some(MAX_REQUESTS as usize));
}
