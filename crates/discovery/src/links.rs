//! The links to discovery: the active link, and the overdue links that are still read.

use crate::events::LinkId;
use grebecleat_wire::pb::frame::Body;
use std::time::Duration;

/// The largest number of overdue links. A call begins at least one second after the call before it,
/// so three links suffice to read a response that is three seconds late. A larger number costs
/// descriptors; a smaller one drops late responses.
const MAX_OVERDUE_LINKS: usize = 3;

/// The link on which the client calls discovery.
#[derive(Debug, Default)]
pub(crate) struct ActiveLink {
    /// None: the client neither dials nor has a connection.
    pub id: Option<LinkId>,
    /// Whether the dial has succeeded.
    pub is_connected: bool,
    /// Requests to send once the link is connected.
    pub pending: Vec<Body>,
    /// Whether a watch is open on the link.
    pub is_watching: bool,
    /// When the call, or the dial, becomes overdue.
    pub answer_by: Option<Duration>,
    /// Whether discovery has responded on the link.
    pub has_response: bool,
    /// Whether the first call continues a watch. The transport then knows its timeout.
    pub continues_watch: bool,
}

/// A link that the client no longer calls on, and that it reads until discovery responds on the
/// active link. Discovery counts its response as delivered whenever it is sent, and the response on
/// the active link may take long.
#[derive(Debug)]
pub(crate) struct OverdueLink {
    pub id: LinkId,
    /// Whether discovery has moved since. Otherwise the link becomes the active link again as soon
    /// as its call is answered.
    pub has_moved: bool,
}

/// The overdue links, oldest first.
#[derive(Debug, Default)]
pub(crate) struct OverdueLinks {
    links: Vec<OverdueLink>,
}

impl OverdueLinks {
    /// Whether the link is among them.
    pub(crate) fn contains(&self, id: LinkId) -> bool {
        self.links.iter().any(|link| link.id == id)
    }

    /// Adds a link, and returns the oldest link if there are too many.
    pub(crate) fn add(&mut self, id: LinkId) -> Option<LinkId> {
        self.links.push(OverdueLink {
            id,
            has_moved: false,
        });
        (self.links.len() > MAX_OVERDUE_LINKS).then(|| self.links.remove(0).id)
    }

    /// Removes a link.
    pub(crate) fn remove(&mut self, id: LinkId) {
        self.links.retain(|link| link.id != id);
    }

    /// Removes the link if its address is still discovery's; returns whether it was there.
    pub(crate) fn take_unmoved(&mut self, id: LinkId) -> bool {
        let is_unmoved = |link: &OverdueLink| link.id == id && !link.has_moved;
        let index = self.links.iter().position(is_unmoved);
        index.map(|index| self.links.remove(index)).is_some()
    }

    /// Whether one of the links leads to a former address.
    pub(crate) fn has_moved(&self) -> bool {
        self.links.iter().any(|link| link.has_moved)
    }

    /// Marks all links as leading to a former address.
    pub(crate) fn mark_moved(&mut self) {
        for link in &mut self.links {
            link.has_moved = true;
        }
    }

    /// Removes all links and returns them.
    pub(crate) fn take_all(&mut self) -> Vec<LinkId> {
        let links = std::mem::take(&mut self.links);
        links.into_iter().map(|link| link.id).collect()
    }
}
