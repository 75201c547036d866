//! Attempts that are not sent yet although they may not be sent any more.
//!
//! A new connection, an identity request or a busy traffic thread can delay a call by seconds after its
//! dispatch.

use cumintrail_types::{CallKey, Moment, TargetKey};
use smallvec::SmallVec;

use super::Control;
use crate::announcement::BoundUse;
use crate::placement::Placer;
use crate::{AbandonReason, Action, Actions, Call};

impl<P: Placer> Control<P> {
    /// Recalls the attempts that may not be sent any more. Those that were sent go on, which only their
    /// tasks know.
    pub(super) fn recall_unsent_calls(&mut self, now: Moment, actions: &mut Actions) {
        if !self.has_registry {
            return;
        }
        let closed = self.closed_targets(now);
        let recalled = self.calls.iter().filter_map(|(key, call)| {
            let reason = self.reason_to_recall(now, &closed, call)?;
            Some((*key, reason))
        });
        let recalled: SmallVec<[(CallKey, AbandonReason); 8]> = recalled.collect();
        for (key, reason) in recalled {
            if let Some(call) = self.calls.get_mut(&key) {
                call.record_recall();
                actions.push(Action::Abandon { call: key, attempt: call.attempt(), reason });
            }
        }
    }

    /// Returns the targets with attempts to which nothing more may be sent.
    fn closed_targets(&self, now: Moment) -> SmallVec<[TargetKey; 8]> {
        let targets = self.snapshot.iter().flat_map(|snapshot| snapshot.targets.iter());
        let closed = targets.filter(|(key, target)| {
            self.targets.get(*key).is_some_and(|state| {
                state.in_flight > 0
                    && (state.quiet_until > now
                        || self.is_withdrawn(*key, target)
                        || self.is_evacuated(target)
                        || self.is_outdated_since_silence(now, *key, None, BoundUse::Dispatch))
            })
        });
        closed.map(|(key, _)| key).collect()
    }

    /// Returns why an attempt may not be sent any more; `None` if it may, or has begun.
    fn reason_to_recall(
        &self,
        now: Moment,
        closed: &[TargetKey],
        call: &Call,
    ) -> Option<AbandonReason> {
        let target = call.target().filter(|_| !call.is_recalled() && !call.has_begun())?;
        if closed.contains(&target) {
            return Some(AbandonReason::TargetWithdrawn);
        }
        let is_quarantined = self.check_quarantine(now, &call.arrival).is_err();
        is_quarantined.then_some(AbandonReason::ContentQuarantined)
    }
}
