//! Rendezvous hashing: selects the daemons responsible for a target without coordination.

use std::net::{IpAddr, SocketAddr};

/// Number of daemons responsible for each target.
const SELECTED_DAEMONS: usize = 2;

/// Returns whether `own` is one of `daemons` and among those responsible for `target`.
pub fn is_selected(target: SocketAddr, own: SocketAddr, daemons: &[SocketAddr]) -> bool {
    daemons.contains(&own) && rank(target, own, daemons) < SELECTED_DAEMONS
}

/// Returns how many of `daemons` rank before `own` for `target`.
pub fn rank(target: SocketAddr, own: SocketAddr, daemons: &[SocketAddr]) -> usize {
    let mine = weight(target, own);
    let ahead = daemons.iter().filter(|d| **d != own && weight(target, **d) > mine);
    ahead.count()
}

/// Returns the weight of a pair.
///
/// It must be equal on all daemons and in all builds, which the standard hasher does not guarantee.
pub fn weight(target: SocketAddr, daemon: SocketAddr) -> u64 {
    mix(mix(bits(target)) ^ bits(daemon))
}

fn bits(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => {
            let ip = ip.to_bits();
            mix((ip >> 64) as u64) ^ (ip as u64)
        }
    };
    mix(ip) ^ u64::from(address.port())
}

/// Mixes all bits like the finalizer of `SplitMix64`.
const fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
