//! Sample of one node over one control interval, which is the input of the probing window.

/// Observations of one node over one control interval.
#[derive(Debug, Clone, Default)]
pub struct IntervalSample {
    /// Requests were queued while most answers were late or the node's queue was full.
    pub congested: bool,
    /// Requests of a volume that gets less than its reservation were queued.
    pub below_reservation: bool,
    /// Units outstanding at the end of the interval.
    pub outstanding: f64,
    /// Recently sent units by traffic class, as fractions of their sum.
    pub mix: Vec<f64>,
}
