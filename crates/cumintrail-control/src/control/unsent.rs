//! Attempts that are not sent yet although their targets may get no calls any more.
//!
//! A new connection, an identity request or a busy traffic thread can delay a call by seconds after its
//! dispatch.

use cumintrail_types::{Moment, TargetKey};
use smallvec::SmallVec;

use super::Control;
use crate::placement::Placer;
use crate::{AbandonReason, Action, Actions};

impl<P: Placer> Control<P> {
    /// Recalls the attempts whose targets may get no calls any more. Those that were sent go on, which
    /// only their tasks know.
    pub(super) fn recall_unsent_calls(&mut self, now: Moment, actions: &mut Actions) {
        let closed = self.closed_targets(now);
        for (key, call) in &mut self.calls {
            let is_closed = call.target().is_some_and(|target| closed.contains(&target));
            if is_closed && !call.is_recalled() && !call.has_begun() {
                call.record_recall();
                let (attempt, reason) = (call.attempt(), AbandonReason::TargetWithdrawn);
                actions.push(Action::Abandon { call: *key, attempt, reason });
            }
        }
    }

    /// Returns the targets with attempts to which nothing more may be sent.
    fn closed_targets(&self, now: Moment) -> SmallVec<[TargetKey; 8]> {
        let snapshot = self.snapshot.iter().filter(|_| self.has_registry);
        let targets = snapshot.flat_map(|snapshot| snapshot.targets.iter());
        let closed = targets.filter(|(key, target)| {
            self.targets.get(*key).is_some_and(|state| {
                state.in_flight > 0
                    && (state.quiet_until > now
                        || self.is_withdrawn(*key, target)
                        || self.is_evacuated(target))
            })
        });
        closed.map(|(key, _)| key).collect()
    }
}
