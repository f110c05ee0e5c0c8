//! Sample of one node over one control interval: the input of the probing window.

/// Observations of one node over one control interval.
#[derive(Debug, Clone, Default)]
pub struct IntervalSample {
    /// Requests were queued while most answers were late or the node's queue was full.
    pub congested: bool,
    /// A volume was queued below its reservation.
    pub below_reservation: bool,
    /// Units outstanding at the end of the interval.
    pub outstanding: f64,
    /// Units by traffic class, smoothed, as fractions of their sum.
    pub mix: Vec<f64>,
}
