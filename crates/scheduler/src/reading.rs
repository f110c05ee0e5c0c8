//! What one control interval shows of a node, for the probing window.

/// One control interval's view of a node.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// Requests were queued while answers came late, or the node's queue was full.
    pub congested: bool,
    /// A volume was queued below its reservation.
    pub below_reservation: bool,
    /// Units out.
    pub outstanding: f64,
    /// Units by traffic class, smoothed, as fractions of their sum.
    pub mix: Vec<f64>,
}
