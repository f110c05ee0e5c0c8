//! Division of one node's capacity among its flows: reservations first, then weighted max-min fair shares.
//!
//! Called once per control interval for each node. Owns no state.

/// Rate up to which an unmet demand, or a remaining capacity, counts as zero. With a larger value flows get
/// less than their share; with a smaller one, rounding errors cost more rounds of the division.
const NEGLIGIBLE: f64 = 1e-6;

/// Demand, reservation and weight of one flow at a node. Rates are in units per second.
#[derive(Debug, Clone, Copy)]
pub struct FlowDemand {
    /// Rate that the flow could use.
    pub demand: f64,
    /// Rate that the flow is guaranteed.
    pub reservation: f64,
    /// Weight in the division of the capacity that the reservations leave; a flow of weight 0 gets none of it.
    pub weight: f64,
}

/// Rate that is allocated to a flow, in units per second.
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

/// Divides `capacity` among the flows; the result has the same order as `flows`. If the reservations exceed the
/// capacity, all are reduced by the same factor.
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
            .filter(|(allocation, flow)| allocation.is_unsatisfied(flow));
        let weights: f64 = unsatisfied.map(|(_, flow)| flow.weight).sum();
        if weights <= 0.0 || remaining <= NEGLIGIBLE {
            return allocations;
        }
        let per_weight = remaining / weights;
        for (allocation, flow) in allocations.iter_mut().zip(flows) {
            if allocation.is_unsatisfied(flow) {
                let more = allocation.unmet(flow).min(per_weight * flow.weight);
                allocation.spare += more;
                remaining -= more;
            }
        }
    }
}
