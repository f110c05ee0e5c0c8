//! The links to discovery: the active link, and the overdue links that the client still reads.

use crate::events::LinkId;
use grebecleat_wire::pb::frame::Body;
use std::time::Duration;

/// Largest number of overdue links. A call begins at least one second after the previous call, so three links
/// suffice to read a response that is three seconds late. A larger number costs file descriptors; with a
/// smaller one, late responses are lost.
const MAX_OVERDUE_LINKS: usize = 3;

/// The link on which the client calls discovery.
#[derive(Debug, Default)]
pub(crate) struct ActiveLink {
    /// The link; `None` if the client is neither dialling nor connected.
    pub id: Option<LinkId>,
    /// Whether the dial has succeeded.
    pub is_connected: bool,
    /// Requests to send once the link is connected.
    pub pending: Vec<Body>,
    /// Whether a watch is open on the link.
    pub is_watching: bool,
    /// When the call, or the dial, becomes overdue.
    pub timeout_at: Option<Duration>,
    /// Whether discovery has responded on the link.
    pub has_response: bool,
    /// Whether the first call continues a watch. The transport then applies the timeout of the call.
    pub continues_watch: bool,
}

/// A link on which the client no longer sends calls, but which it reads until discovery responds on the active
/// link. Discovery counts a late response as delivered, and the response on the active link may take long.
#[derive(Debug)]
pub(crate) struct OverdueLink {
    pub id: LinkId,
    /// Whether the link leads to a former address of discovery. Otherwise the link becomes the active link
    /// again as soon as discovery responds to its call.
    pub is_at_former_address: bool,
}

/// The overdue links, oldest first.
#[derive(Debug, Default)]
pub(crate) struct OverdueLinks {
    links: Vec<OverdueLink>,
}

impl OverdueLinks {
    /// Returns whether the link is overdue.
    pub(crate) fn contains(&self, id: LinkId) -> bool {
        self.links.iter().any(|link| link.id == id)
    }

    /// Adds a link. If there are too many, removes the oldest link and returns it.
    pub(crate) fn add(&mut self, id: LinkId) -> Option<LinkId> {
        self.links.push(OverdueLink {
            id,
            is_at_former_address: false,
        });
        (self.links.len() > MAX_OVERDUE_LINKS).then(|| self.links.remove(0).id)
    }

    /// Removes a link.
    pub(crate) fn remove(&mut self, id: LinkId) {
        self.links.retain(|link| link.id != id);
    }

    /// Removes the link if it leads to the current address of discovery. Returns whether it was removed.
    pub(crate) fn take_at_current_address(&mut self, id: LinkId) -> bool {
        let is_match = |link: &OverdueLink| link.id == id && !link.is_at_former_address;
        let index = self.links.iter().position(is_match);
        index.map(|index| self.links.remove(index)).is_some()
    }

    /// Returns whether one of the links leads to a former address of discovery.
    pub(crate) fn has_former_address(&self) -> bool {
        self.links.iter().any(|link| link.is_at_former_address)
    }

    /// Records that all links lead to a former address of discovery.
    pub(crate) fn mark_former_address(&mut self) {
        for link in &mut self.links {
            link.is_at_former_address = true;
        }
    }

    /// Removes all links and returns them.
    pub(crate) fn take_all(&mut self) -> Vec<LinkId> {
        let links = std::mem::take(&mut self.links);
        links.into_iter().map(|link| link.id).collect()
    }
}
