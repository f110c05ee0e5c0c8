//! Rendezvous hashing.

use crate::interface::{NodeId, VolumeId};

/// A node's place in a volume's fixed ranking: the highest comes first.
///
/// ```
/// use grebecleat::interface::{NodeId, VolumeId};
/// use grebecleat::ranking::rank_of;
/// let first = |nodes: &[u32]| nodes.iter().copied().max_by_key(|n| rank_of(VolumeId(7), NodeId(*n)));
/// let all = first(&[1, 2, 3, 4]).unwrap();
/// let others: Vec<u32> = (1..=4).filter(|n| *n != all).collect();
/// assert!(first(&others).is_some());
/// assert_eq!(first(&[4, 3, 2, 1]), Some(all));
/// ```
pub fn rank_of(volume: VolumeId, node: NodeId) -> u64 {
    let mut z = volume.0 ^ u64::from(node.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for shift in [30, 27, 31] {
        z = (z ^ (z >> shift)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    z
}
