//! Which ids of clients' requests are taken.
//!
//! A client's id is free once nothing of its request is out: until then a node could meet the id of
//! an attempt that it has, and take it for a second copy. Bound: the open requests and the attempts
//! that are out.

use super::connection::ClientExchange;
use bytes::Bytes;
use std::collections::HashSet;

/// A request whose client is gone or answered while an attempt of it is out.
struct Lingering {
    client_id: String,
    request_id: Bytes,
}

/// Ids of open requests, as the clients gave them.
#[derive(Default)]
pub(super) struct ClientIds {
    taken: HashSet<String>,
    lingering: Vec<Lingering>,
}

impl ClientIds {
    pub(super) fn contains(&self, client_id: &str) -> bool {
        self.taken.contains(client_id)
    }

    pub(super) fn insert(&mut self, client_id: String) {
        self.taken.insert(client_id);
    }

    /// The exchange is over for its client; `is_open` says whether something of its request is
    /// still out.
    pub(super) fn release(&mut self, exchange: ClientExchange, is_open: bool) {
        if is_open {
            self.lingering.push(Lingering {
                client_id: exchange.client_id,
                request_id: exchange.request_id,
            });
        } else {
            self.taken.remove(&exchange.client_id);
        }
    }

    /// Frees the ids of requests that have ended meanwhile.
    pub(super) fn sweep(&mut self, is_open: impl Fn(&Bytes) -> bool) {
        let taken = &mut self.taken;
        self.lingering.retain(|lingering| {
            let open = is_open(&lingering.request_id);
            if !open {
                taken.remove(&lingering.client_id);
            }
            open
        });
    }
}
