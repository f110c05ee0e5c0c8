//! Rendezvous hashing (highest random weight): a fixed order of nodes for each volume.

use crate::api::{NodeId, VolumeId};

/// Returns a node's weight for a volume. The node with the highest weight comes first. The weight depends
/// only on the two ids.
///
/// ```
/// use grebecleat_scheduler::api::{NodeId, VolumeId};
/// use grebecleat_scheduler::rendezvous_hash::rendezvous_weight;
/// let weight = |node: &u32| rendezvous_weight(VolumeId(7), NodeId(*node));
/// let first = |nodes: &[u32]| nodes.iter().copied().max_by_key(weight);
/// let all = first(&[1, 2, 3, 4]).unwrap();
/// let others: Vec<u32> = (1..=4).filter(|node| *node != all).collect();
/// assert!(first(&others).is_some());
/// assert_eq!(first(&[4, 3, 2, 1]), Some(all));
/// ```
pub fn rendezvous_weight(volume: VolumeId, node: NodeId) -> u64 {
    let mut hash = volume.0 ^ u64::from(node.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for shift in [30, 27, 31] {
        hash = (hash ^ (hash >> shift)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    hash
}
