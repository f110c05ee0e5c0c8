//! The loop of the one thread that owns the router, and with it the scheduler.
//!
//! [`super::run`] starts it once. The loop collects inputs from the connections, steps the router, and
//! performs its outputs.

use super::{dial, Shared};
use crate::router::{Counters, Input, Output, RequestRouter};
use grebecleat_catalog_service::store::Record;
use grebecleat_scheduler::api::PeerId;
use grebecleat_wire::clock;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;
use tracing::warn;

/// The largest number of inputs in one step. With a larger bound, many inputs delay the timers; with a
/// smaller one, the fixed cost of a step is spread over fewer inputs.
const MAX_INPUTS_PER_STEP: usize = 4096;
/// The time for which the owner waits after a pause of the process, so that the readers can hand over the
/// frames that wait in the sockets. With a shorter time, an attempt may be timed out although its
/// response arrived during the pause; a longer time delays every request.
const CATCH_UP_TIME: Duration = Duration::from_millis(5);

/// Whether the loop continues.
#[derive(PartialEq)]
enum Loop {
    Continue,
    End,
}

/// Steps the router until its shutdown is complete.
pub(super) fn run(shared: &Shared, inputs: &Receiver<Input>) -> Counters {
    let mut router = router(shared);
    // The first step makes the scheduler request the endpoint list without waiting for a client. Its
    // input is an empty message of a peer that does not exist.
    let mut batch = vec![Input::PeerMessage {
        from: PeerId(u32::MAX),
        waited: Duration::ZERO,
        bytes: Vec::new(),
    }];
    let mut state = Loop::Continue;
    while state == Loop::Continue {
        let wait = router.wake_at().saturating_sub(clock::now());
        if batch.is_empty() && !wait.is_zero() {
            match inputs.recv_timeout(wait) {
                Ok(input) => batch.push(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        if router.detect_pause(clock::now()) {
            warn!("process pause detected; its delay is not charged to the nodes");
            std::thread::sleep(CATCH_UP_TIME);
        }
        let remaining = MAX_INPUTS_PER_STEP.saturating_sub(batch.len());
        batch.extend(inputs.try_iter().take(remaining));
        for output in router.step(clock::now(), batch.drain(..)) {
            if perform(shared, output) == Loop::End {
                state = Loop::End;
            }
        }
    }
    router.counters()
}

fn router(shared: &Shared) -> RequestRouter {
    let options = &shared.options;
    let mut router =
        RequestRouter::new(options.settings.clone(), options.seed).with_host_index(options.host);
    if let Some(link) = &options.state {
        router = router.following(&shared.hello.name, link.start.clone());
    }
    let peers: Vec<PeerId> = options.peers.iter().map(|(peer, _)| *peer).collect();
    router.sharing(clock::now(), &peers, options.incarnation)
}

fn perform(shared: &Shared, output: Output) -> Loop {
    match output {
        Output::Dial { conn, address, .. } => dial::node(shared, conn, address),
        Output::DialDiscovery { conn } => dial::discovery(shared, conn),
        Output::DialStateService { conn } => dial::state_service(shared, conn),
        Output::Persist { number, records } => persist(shared, number, records),
        Output::SendToPeer { to, bytes } => {
            for (peer, address) in &shared.options.peers {
                if to.is_none_or(|to| to == *peer) {
                    shared.peers.send(shared, *peer, *address, &bytes);
                }
            }
        }
        Output::CacheEndpoints { bytes } => cache_endpoints(shared, bytes),
        Output::Log(event) => event.write(Some(&shared.hello.name)),
        Output::ShutdownComplete => return Loop::End,
    }
    Loop::Continue
}

fn persist(shared: &Shared, number: u64, records: Vec<Record>) {
    let Some(link) = &shared.options.state else {
        return;
    };
    let to_owner = shared.to_owner.clone();
    link.store.commit(records, move |done| {
        let _ = to_owner.send(Input::Persisted { number, done });
    });
}

fn cache_endpoints(shared: &Shared, bytes: Vec<u8>) {
    let Some(path) = shared.options.remember.clone() else {
        return;
    };
    // Writing a file blocks the thread, and neither the owner nor a coroutine may block.
    std::thread::spawn(move || {
        if let Err(error) = replace_file(&path, &bytes) {
            warn!(path = %path.display(), %error, "endpoint list not cached");
        }
    });
}

/// Replaces a file atomically: it keeps its old contents until the new ones are completely written.
fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(new, path)
}
