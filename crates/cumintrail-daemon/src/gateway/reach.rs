//! Checks which targets accept connections, for a daemon that may be partitioned from them.

use cumintrail_control::Event;
use cumintrail_control::reach::{Check, CheckedTargets, ReachScope};
use cumintrail_types::TargetKey;
use futures_util::future::join_all;

use crate::relay::connect;
use crate::shared::Shared;

/// Opens connections to all targets at once, or to the first and, if that fails, to all others.
pub async fn check_reach(shared: &Shared, scope: ReachScope, check: &Check) {
    let reached = match check.targets.split_first() {
        Some((first, rest)) if check.until_reached => {
            let reached = reached_targets(shared, &[*first]).await;
            if reached.is_empty() { reached_targets(shared, rest).await } else { reached }
        }
        _ => reached_targets(shared, &check.targets).await,
    };
    shared.control.send(Event::ReachChecked { scope, reached }).await;
}

/// Returns the targets that accept a connection.
///
/// A target that is not listed any more counts as one, since it does not show a partition.
async fn reached_targets(shared: &Shared, targets: &[TargetKey]) -> CheckedTargets {
    let snapshot = shared.snapshot();
    let is_reached = targets.iter().map(|key| {
        let target = snapshot.as_deref().and_then(|snapshot| snapshot.targets.get(*key));
        let address = target.map(|target| target.address);
        async move {
            match address {
                Some(address) => connect(address).await.is_some(),
                None => true,
            }
        }
    });
    let is_reached = join_all(is_reached).await;
    let checked = targets.iter().zip(is_reached);
    checked.filter(|(_, is_reached)| *is_reached).map(|(key, _)| *key).collect()
}
