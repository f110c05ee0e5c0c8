//! Reader of the clients' traces: requests, responses and connections. [`Run::read`] calls it.

use super::{ClientRequest, Run, TracedFrame};
use grebecleat_wire::pb::{frame::Body, record::Kind, Record};
use std::time::Duration;

/// Name of the clients in texts.
const CLIENTS: &str = "clients";

impl Run {
    pub(super) fn read_clients(&mut self, records: &[Record]) {
        for record in records {
            let at = Duration::from_nanos(record.at_ns);
            self.client_end = self.client_end.max(at);
            let body = record.frame.as_ref().and_then(|frame| frame.body.as_ref());
            match (record.kind(), body) {
                (Kind::Opened, _) => {
                    self.client_peer.insert(record.conn, record.peer.clone());
                }
                (Kind::Closed, _) => {
                    self.client_closed.insert(record.conn, at);
                }
                (Kind::Mark, _) => self
                    .marks
                    .extend(record.mark.clone().map(|mark| (at, mark))),
                (Kind::Out, Some(Body::SubmitRequest(submit))) => {
                    let request = ClientRequest {
                        frame: TracedFrame::new(CLIENTS, record),
                        conn: record.conn,
                        submit: submit.clone(),
                        responses: Vec::new(),
                        cancelled: false,
                    };
                    self.client_requests.insert(submit.id.clone(), request);
                }
                (Kind::Out, Some(Body::CancelRequest(cancel))) => {
                    if let Some(request) = self.client_requests.get_mut(&cancel.id) {
                        request.cancelled = true;
                    }
                }
                (Kind::In, Some(Body::Response(response))) => {
                    if let Some(request) = self.client_requests.get_mut(&response.id) {
                        let frame = TracedFrame::new(CLIENTS, record);
                        request.responses.push((frame, response.clone()));
                    }
                }
                _ => {}
            }
        }
    }
}
