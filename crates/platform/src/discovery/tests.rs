use super::*;

const ONE: &str = r#"{"uid":"a","endpoint":"127.0.0.1:9","az":"x","model":"m","pod_group":3,
        "state":"ready","capacity_hint":1.0,"boot_ms":0}"#;

fn list(all: bool, targets: &[&str]) -> Vec<u8> {
    format!(
        r#"{{"rev":7,"all":{all},"targets":[{}]}}"#,
        targets.join(",")
    )
    .into_bytes()
}

#[test]
fn names_keep_their_numbers_and_a_malformed_entry_removes_no_node() {
    let mut names = EndpointNames::default();
    let other = ONE
        .replace("\"a\"", "\"b\"")
        .replace("\"boot_ms\":0", "\"boot_ms\":4000");
    let read = names.read(&list(true, &[ONE, &other]), 5000.0).unwrap();
    assert_eq!(
        (read.revision, read.malformed, read.list.kind()),
        (7, 0, pb::EndpointUpdateKind::Snapshot)
    );
    let seen: Vec<_> = read
        .list
        .endpoints
        .iter()
        .map(|endpoint| {
            (
                endpoint.node,
                endpoint.shard,
                endpoint.up_us,
                endpoint.start,
            )
        })
        .collect();
    assert_eq!(seen, [(0, 3, None, 0), (1, 3, Some(1_000_000), 4000)]);
    let truncated = r#"{"uid":"a","state":"read"#;
    assert!(names.read(truncated.as_bytes(), 0.0).is_err());
    let bad = [
        r#"{"uid":"c","state":"ready"}"#,
        r#"{"uid":"a","endpoint":"nowhere","pod_group":1,"state":"ready"}"#,
        r#"{"uid":"a","endpoint":"127.0.0.1:1","pod_group":1,"state":"asleep"}"#,
        "7",
    ];
    for bad in bad {
        let read = names.read(&list(true, &[bad, &other]), 5000.0).unwrap();
        assert_eq!(
            (read.malformed, read.list.kind()),
            (1, pb::EndpointUpdateKind::Delta),
            "{bad}"
        );
        assert_eq!(read.list.endpoints[0].node, 1);
        assert!(names.read(&list(true, &[bad]), 5000.0).is_err());
    }
    let gone = names
        .read(
            &list(false, &[r#"{"uid":"b","pod_group":3,"state":"gone"}"#]),
            0.0,
        )
        .unwrap();
    assert_eq!(gone.list.endpoints[0].state(), pb::NodeState::Gone);
}
