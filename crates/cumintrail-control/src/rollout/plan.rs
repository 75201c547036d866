//! The choice of the targets that load next.

use std::collections::{BTreeMap, HashMap};

use cumintrail_types::{ModelKey, Moment, TargetKey, WeightVersion};

/// Describes the state of a model engine as far as rollouts need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetView {
    /// The target.
    pub key: TargetKey,
    /// Its model.
    pub model: ModelKey,
    /// The declared weight version of the model.
    pub declared: WeightVersion,
    /// The last known weight version of the target.
    pub reported: Option<WeightVersion>,
    /// Whether a recent report says that the target loads weights.
    pub loading: bool,
    /// When `reported` was received.
    pub reported_at: Option<Moment>,
    /// Whether the target is neither silent nor gone nor leaving.
    pub usable: bool,
}

/// Tracks an order to load that no report has confirmed yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PendingLoad {
    /// The ordered weight version.
    pub version: WeightVersion,
    /// When the order was issued.
    pub ordered_at: Moment,
    /// When the target may be ordered again.
    pub retry_at: Moment,
    /// When the target may be ordered again if the outcome of the order is unknown.
    pub unanswered_retry_at: Moment,
}

/// Returns whether a usable target is known to serve another version than the declared one.
pub fn needs_load(target: &TargetView) -> bool {
    target.usable && target.reported.is_some_and(|version| version != target.declared)
}

/// Chooses the targets that load now, within the load slots.
///
/// At least one target of each model keeps serving, unless the model has only one. The targets with
/// the lowest versions come first, so that none is skipped repeatedly when versions are declared in
/// quick succession.
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
