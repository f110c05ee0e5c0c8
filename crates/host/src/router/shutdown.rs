//! Graceful shutdown: what is open is answered, until a last moment.

use super::types::frame;
use super::{Output, RequestRouter};
use grebecleat_wire::pb::{self, frame::Body};

impl RequestRouter {
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown_by.is_some() {
            return;
        }
        let deadlines = self.requests.values().map(|request| request.deadline);
        let longest = deadlines.max().unwrap_or(self.now);
        self.shutdown_by = Some(longest + self.bounds().patience);
        self.log(format!("draining: {} transfers held", self.requests.len()));
        for client in self.clients.values() {
            client.outbox.put(frame(Body::GoingAway(pb::GoingAway {})));
        }
    }

    /// A client that reads nothing must not keep a host up that shuts down: there is a last moment.
    pub(super) fn complete_shutdown(&mut self) {
        let Some(last) = self.shutdown_by.filter(|_| !self.shutdown_complete) else {
            return;
        };
        let answered = self.requests.values().all(|request| request.answered);
        let written = || {
            self.clients
                .values()
                .all(|client| client.outbox.is_flushed())
        };
        if self.now >= last || (answered && written()) {
            self.shutdown_complete = true;
            self.outputs.push(Output::ShutdownComplete);
        }
    }
}
