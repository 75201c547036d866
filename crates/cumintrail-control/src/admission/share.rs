//! How a limit of the whole deployment is divided between its daemons.

/// The part of a limit that is divided by need; the rest is divided equally.
pub const DEMAND_FRACTION: f64 = 0.9;

/// Returns the part of a limit that one daemon may use, from 0 to 1.
///
/// `own` and `peers` count the calls wanted here and at all peers, as last told, and `daemons` all
/// daemons. While all daemons know the same counts, the parts add up to 1. While a change is on its
/// way, each daemon's part is off by at most [`DEMAND_FRACTION`], so the sum is at most
/// `1 + DEMAND_FRACTION × (daemons - 1)`, and it is so for no longer than digests take. The equal part is
/// small, because most accounts are met by few daemons and could not use the others' parts.
pub fn share(own: u32, peers: u32, daemons: usize) -> f64 {
    let equal = 1.0 / daemons.max(1) as f64;
    let wanted = f64::from(own) + f64::from(peers);
    if wanted == 0.0 {
        return equal;
    }
    (1.0 - DEMAND_FRACTION) * equal + DEMAND_FRACTION * f64::from(own) / wanted
}
