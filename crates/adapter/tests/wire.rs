//! Runs the adapter as a program: malformed input ends it with an error, and unusual but valid input gets a
//! reply.

use std::io::Write;
use std::process::{Command, Stdio};

fn run(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_grebecleat-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter stops reading at the first malformed line, so the write may fail.
    let _ = child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes());
    let output = child.wait_with_output().expect("the adapter ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is UTF-8");
    (
        output.status.success(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// Batch that creates a host with one endpoint. It has five lines, so that later input begins at line 6.
const CREATE_HOST: &str = "BEGIN_BATCH 1000.0 1
CREATE host_0 5 balancers=2 unknown.setting=x plans.count=1 plans.0.base-rate=inf profiles.count=1 \
profiles.0.objective-ms=200.0 profiles.0.worth=1.0 profiles.0.idempotency=free report.fields=utilization
SYNC host_0 Persisted 1 1
ENTRY 9 0 0 4 healthy 1 -
END
";
/// Id of a request.
const ID: &str = "5d3a91c4-1bf2-4d39-a251-bf7f8cae48ae";

#[test]
fn malformed_input_ends_the_adapter_with_an_error_that_names_the_line() {
    let cases = [
        ("HELLO\n", "line 1: HELLO outside a batch"),
        (
            "BEGIN_BATCH 1.0 1\nWHAT host_0\n",
            "line 2: unknown message WHAT",
        ),
        (
            "BEGIN_BATCH x 1\n",
            "line 1: BEGIN_BATCH has a bad time-ms: x",
        ),
        (
            "BEGIN_BATCH 1.0 1\nWAKEUP host_7 1\n",
            "line 2: WAKEUP for unknown host host_7",
        ),
        (
            "BEGIN_BATCH 1.0 1\nCREATE host_0 5 a=1 b\n",
            "line 2: setting without '=': b",
        ),
        ("BEGIN_BATCH 1.0 1\n", "line 2: input ends inside a batch"),
    ];
    let after_create = [
        ("WAKEUP host_0\n", "line 7: WAKEUP lacks tag"),
        ("WAKEUP host_0 1 2\n", "line 7: WAKEUP has too many values"),
        (
            "ABORTED host_0 short\n",
            "line 7: ABORTED has a bad rid: short",
        ),
        ("PEER host_0 1 !!\n", "line 7: PEER has a bad contents"),
        ("SYNC host_0 Odd 1 0\n", "line 7: SYNC has a bad form: Odd"),
        (
            "SYNC host_0 Partial 1 1\nEND\n",
            "line 8: expected 1 more ENTRY lines, found END",
        ),
    ];
    let after_create = after_create.map(|(text, expected)| {
        (
            format!("{CREATE_HOST}BEGIN_BATCH 1001.0 2\n{text}"),
            expected,
        )
    });
    let cases = cases.map(|(text, expected)| (text.to_string(), expected));
    for (input, expected) in cases.into_iter().chain(after_create) {
        let (success, _, stderr) = run(&input);
        assert!(!success, "{expected}");
        assert_eq!(stderr.trim_end(), format!("grebecleat-adapter: {expected}"));
    }
}

#[test]
fn a_request_is_sent_and_its_outcome_is_accepted() {
    let input = format!(
        "{CREATE_HOST}BEGIN_BATCH 1002.5 2
KNOCK host_0 {ID} 2 4 0 0 1 0 - 2002.5 00000000000000aa
END
BEGIN_BATCH 1030.0 3
REPLY host_0 {ID} 0 9 200 27.5 1 101 0 0.5
REPLY host_0 {ID} 0 9 408 27.5 1 - - -
ACK_FIRST host_0 {ID} 0 9 1.0
CHECKED host_0 9 1.0 200 0.25
PEER host_0 1 aGkgNw==
DETACH host_0
END
BEGIN_BATCH 1031.0 4
END
"
    );
    let (success, stdout, stderr) = run(&input);
    assert!(success, "{stderr}");
    assert!(
        stdout.contains(&format!("TRY host_0 {ID} 9 2002.500\n")),
        "{stdout}"
    );
    let replies: Vec<&str> = stdout
        .lines()
        .filter(|line| line.starts_with("OK"))
        .collect();
    assert_eq!(replies, ["OK 1", "OK 2", "OK 3", "OK 4"]);
    assert_eq!(
        stdout,
        run(&input).1,
        "the same events must result in the same actions"
    );
}
