//! Formats the scheduler's actions as messages of the simulator's protocol.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use grebecleat_scheduler::api::{Action, PeerId, RequestId};
use std::fmt::Write;
use std::time::Duration;

/// Denotes an absent value.
const ABSENT: &str = "-";
/// Denotes all peers of a host.
const ALL_PEERS: i64 = -1;

/// Appends the message for one action of a host to the output.
pub fn write_action(output: &mut String, host: &str, action: &Action) {
    let written = match action {
        Action::SendAttempt { id, node, deadline } => {
            let (id, deadline) = (request_text(id), millis_text(*deadline));
            writeln!(output, "TRY {host} {id} {} {deadline}", node.0)
        }
        Action::Reject { id, retry_after } => {
            let retry_after = retry_after.map_or_else(|| ABSENT.to_string(), millis_text);
            writeln!(output, "REFUSE {host} {} {retry_after}", request_text(id))
        }
        Action::Fail { id } => writeln!(output, "SURRENDER {host} {}", request_text(id)),
        Action::CancelAttempt { id, attempt } => {
            writeln!(output, "DROP_ATTEMPT {host} {} {attempt}", request_text(id))
        }
        Action::SetTimer { after, tag } => {
            writeln!(output, "WAKE_AT {host} {} {}", millis_text(*after), tag.0)
        }
        Action::HealthCheck { node } => writeln!(output, "SAMPLE {host} {}", node.0),
        Action::CloseIdleConnections { node } => writeln!(output, "RELEASE {host} {}", node.0),
        Action::SendToPeer { to, bytes } => {
            let peer = to.map_or(ALL_PEERS, |PeerId(id)| i64::from(id));
            let payload = STANDARD.encode(bytes);
            writeln!(output, "BROADCAST_TO {host} {peer} {payload}")
        }
        Action::Log { event } => writeln!(output, "JOURNAL_LINE {host} {event}"),
        Action::WatchEndpoints { on } => writeln!(output, "SUBSCRIBE {host} {}", u8::from(*on)),
        Action::FetchEndpoints => writeln!(output, "LIST_ALL {host}"),
    };
    written.expect("writing to a String succeeds");
}

fn request_text(id: &RequestId) -> String {
    String::from_utf8_lossy(&id.0).into_owned()
}

/// Formats a duration as milliseconds with three decimals, rounded up so that a timer never fires early.
fn millis_text(duration: Duration) -> String {
    let micros = duration.as_nanos().div_ceil(1000);
    format!("{}.{:03}", micros / 1000, micros % 1000)
}
