//! Division of one node's capacity among flows: reservations first, the rest max-min fair by weight.

/// Unmet demand, or capacity, below this is none.
const NEGLIGIBLE: f64 = 1e-6;

/// What one flow demands of a node, and on what terms. Rates are units a second.
#[derive(Debug, Clone, Copy)]
pub struct FlowDemand {
    /// Rate that it could use.
    pub demand: f64,
    /// Rate that it is guaranteed.
    pub reservation: f64,
    /// Its weight in the division of the rest; 0: it gets none of it.
    pub weight: f64,
}

/// The rate that a flow is given, in units a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allocation {
    /// Out of its reservation.
    pub reserved: f64,
    /// Out of what the reservations leave.
    pub spare: f64,
}

impl Allocation {
    fn unmet(&self, flow: &FlowDemand) -> f64 {
        flow.demand - self.reserved - self.spare
    }

    fn wants_more(&self, flow: &FlowDemand) -> bool {
        flow.weight > 0.0 && self.unmet(flow) > NEGLIGIBLE
    }
}

/// Divides `capacity` among the flows, in their order. Where the reservations exceed it, all are cut alike.
pub fn allocate(capacity: f64, flows: &[FlowDemand]) -> Vec<Allocation> {
    let reserve = |flow: &FlowDemand| Allocation {
        reserved: flow.demand.min(flow.reservation),
        spare: 0.0,
    };
    let mut allocations: Vec<Allocation> = flows.iter().map(reserve).collect();
    let reserved: f64 = allocations.iter().map(|a| a.reserved).sum();
    if reserved > capacity && reserved > 0.0 {
        for allocation in &mut allocations {
            allocation.reserved *= capacity / reserved;
        }
        return allocations;
    }
    let mut left = capacity - reserved;
    loop {
        let hungry = allocations
            .iter()
            .zip(flows)
            .filter(|(given, flow)| given.wants_more(flow));
        let weights: f64 = hungry.map(|(_, flow)| flow.weight).sum();
        if weights <= 0.0 || left <= NEGLIGIBLE {
            return allocations;
        }
        let each = left / weights;
        for (given, flow) in allocations.iter_mut().zip(flows) {
            if given.wants_more(flow) {
                let more = given.unmet(flow).min(each * flow.weight);
                given.spare += more;
                left -= more;
            }
        }
    }
}
