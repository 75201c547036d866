//! How a limit of the whole deployment is divided between its daemons.

/// The fraction of a limit that is divided in proportion to demand; the rest is divided equally.
pub const DEMAND_FRACTION: f64 = 0.9;

/// Returns the share of a limit that one daemon may use, from 0 to 1.
///
/// `own` and `peers` state the calls wanted here and at all peers, as last received, and `daemons`
/// counts all daemons. While all daemons know the same counts, the shares add up to 1. While a
/// change spreads, each daemon's share is off by at most [`DEMAND_FRACTION`], so the sum is at most
/// `1 + DEMAND_FRACTION × (daemons - 1)`, for no longer than digests take to arrive. The fraction
/// that is divided equally is small, because most accounts send their calls to few daemons and
/// cannot use the shares of the others.
pub fn share(own: f64, peers: f64, daemons: usize) -> f64 {
    let equal = 1.0 / daemons.max(1) as f64;
    let wanted = own + peers;
    if wanted <= 0.0 {
        return equal;
    }
    (1.0 - DEMAND_FRACTION) * equal + DEMAND_FRACTION * own / wanted
}
