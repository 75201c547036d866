//! Which targets load next.

use std::collections::{BTreeMap, HashMap};

use cumintrail_types::{ModelKey, Moment, TargetKey, WeightVersion};

/// Describes a model engine to a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetView {
    /// The target.
    pub key: TargetKey,
    /// Its model.
    pub model: ModelKey,
    /// The version that is declared.
    pub declared: WeightVersion,
    /// The version that it last reported.
    pub reported: Option<WeightVersion>,
    /// Whether it reported that it loads weights.
    pub loading: bool,
    /// When it last reported.
    pub reported_at: Option<Moment>,
    /// Whether it answers and is not leaving.
    pub usable: bool,
}

/// Remembers an order whose effect no report has shown yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PendingLoad {
    /// The version that was ordered.
    pub version: WeightVersion,
    /// When the order was given.
    pub ordered_at: Moment,
    /// When the target may be ordered again.
    pub retry_at: Moment,
    /// The same if the order was not answered.
    pub unanswered_retry_at: Moment,
}

/// Tells whether a target has to load another version.
pub fn needs_load(target: &TargetView) -> bool {
    target.usable && target.reported.is_some_and(|version| version != target.declared)
}

/// Chooses the targets that load now, within the load slots.
///
/// Each model keeps a target that serves, unless it has only one. The oldest weights are replaced
/// first, so that no target is passed over each time when versions follow each other closely.
pub fn next_loads<'a>(
    now: Moment,
    targets: &'a [TargetView],
    loading: &BTreeMap<TargetKey, PendingLoad>,
    slots: usize,
) -> Vec<&'a TargetView> {
    let is_loading = |t: &TargetView| t.loading || loading.contains_key(&t.key);
    let mut free = slots.saturating_sub(targets.iter().filter(|t| is_loading(t)).count());
    let mut serving: HashMap<ModelKey, usize> = HashMap::new();
    let mut usable: HashMap<ModelKey, usize> = HashMap::new();
    for target in targets.iter().filter(|t| t.usable) {
        *usable.entry(target.model).or_default() += 1;
        *serving.entry(target.model).or_default() += usize::from(!is_loading(target));
    }
    let mut chosen = Vec::new();
    let mut outdated: Vec<&TargetView> =
        targets.iter().filter(|t| needs_load(t) && !is_loading(t)).collect();
    outdated.sort_by_key(|t| t.reported);
    for target in outdated {
        let remaining = serving.entry(target.model).or_default();
        let is_only_one = usable.get(&target.model) == Some(&1);
        if free == 0 || (*remaining <= 1 && !is_only_one) {
            continue;
        }
        free -= 1;
        *remaining -= 1;
        chosen.push(target);
    }
    debug_assert!(chosen.iter().all(|t| t.reported_at.is_none_or(|at| at <= now)));
    chosen
}
