//! The ids of clients' requests that are in use.
//!
//! An id becomes free once no attempt of its request is outstanding. If it became free earlier, a node
//! could receive a new request with the id of an attempt that it is still running, and treat it as a
//! hedged attempt. The number of ids is bounded by the open requests and the outstanding attempts.

use super::connection::ClientExchange;
use bytes::Bytes;
use std::collections::HashSet;

/// A request that has ended for its client while an attempt of it is outstanding.
struct Lingering {
    client_id: String,
    request_id: Bytes,
}

/// The ids of requests in use, as the clients sent them.
#[derive(Default)]
pub(super) struct ClientIds {
    in_use: HashSet<String>,
    lingering: Vec<Lingering>,
}

impl ClientIds {
    /// Returns whether the id is in use.
    pub(super) fn contains(&self, client_id: &str) -> bool {
        self.in_use.contains(client_id)
    }

    /// Records an id.
    pub(super) fn insert(&mut self, client_id: String) {
        self.in_use.insert(client_id);
    }

    /// Frees the id of an exchange that has ended for its client. If `is_open` is set, an attempt of
    /// its request is outstanding, and the id stays in use.
    pub(super) fn release(&mut self, exchange: ClientExchange, is_open: bool) {
        if is_open {
            self.lingering.push(Lingering {
                client_id: exchange.client_id,
                request_id: exchange.request_id,
            });
        } else {
            self.in_use.remove(&exchange.client_id);
        }
    }

    /// Frees the ids of requests that have ended since the last sweep.
    pub(super) fn sweep(&mut self, is_open: impl Fn(&Bytes) -> bool) {
        let in_use = &mut self.in_use;
        self.lingering.retain(|lingering| {
            let open = is_open(&lingering.request_id);
            if !open {
                in_use.remove(&lingering.client_id);
            }
            open
        });
    }
}
