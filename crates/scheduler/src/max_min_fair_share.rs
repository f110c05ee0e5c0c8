//! Division of one node's capacity among flows: reservations first, then max-min fair shares by weight.
//!
//! Called once a control interval for each node. Owns no state.

/// Rate below which an unmet demand, or a capacity, counts as zero. Larger: flows get less than their share.
/// Smaller: the division takes more rounds over rounding errors.
const NEGLIGIBLE: f64 = 1e-6;

/// Demand of one flow at a node, and its terms. Rates are units a second.
#[derive(Debug, Clone, Copy)]
pub struct FlowDemand {
    /// Rate that the flow could use.
    pub demand: f64,
    /// Rate that the flow is guaranteed.
    pub reservation: f64,
    /// Weight in the division of the capacity beyond the reservations; 0: the flow gets none of it.
    pub weight: f64,
}

/// Rate that a flow gets, in units a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allocation {
    /// From its reservation.
    pub reserved: f64,
    /// From the capacity that the reservations leave.
    pub spare: f64,
}

impl Allocation {
    fn unmet(&self, flow: &FlowDemand) -> f64 {
        flow.demand - self.reserved - self.spare
    }

    fn is_unsatisfied(&self, flow: &FlowDemand) -> bool {
        flow.weight > 0.0 && self.unmet(flow) > NEGLIGIBLE
    }
}

/// Divides `capacity` among the flows, in their order. If the reservations exceed it, all are reduced by the same
/// factor.
pub fn allocate(capacity: f64, flows: &[FlowDemand]) -> Vec<Allocation> {
    let reserve = |flow: &FlowDemand| Allocation {
        reserved: flow.demand.min(flow.reservation),
        spare: 0.0,
    };
    let mut allocations: Vec<Allocation> = flows.iter().map(reserve).collect();
    let reserved: f64 = allocations
        .iter()
        .map(|allocation| allocation.reserved)
        .sum();
    if reserved > capacity && reserved > 0.0 {
        for allocation in &mut allocations {
            allocation.reserved *= capacity / reserved;
        }
        return allocations;
    }
    let mut remaining = capacity - reserved;
    loop {
        let unsatisfied = allocations
            .iter()
            .zip(flows)
            .filter(|(given, flow)| given.is_unsatisfied(flow));
        let weights: f64 = unsatisfied.map(|(_, flow)| flow.weight).sum();
        if weights <= 0.0 || remaining <= NEGLIGIBLE {
            return allocations;
        }
        let per_weight = remaining / weights;
        for (given, flow) in allocations.iter_mut().zip(flows) {
            if given.is_unsatisfied(flow) {
                let more = given.unmet(flow).min(per_weight * flow.weight);
                given.spare += more;
                remaining -= more;
            }
        }
    }
}
