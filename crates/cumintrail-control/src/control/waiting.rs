//! The dispatch and the refusal of waiting calls.

use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_config::{Preset, Snapshot, TargetKind};
use cumintrail_types::{AccountKey, CallKey, Moment, Refusal};

use super::Control;
use super::arrivals::Choice;
use crate::admission::Flow;
use crate::placement::{Placement, Placer};
use crate::{Action, Actions};

/// The base limit of the expected wait for the engine and imports at which calls of an account
/// that has its fair share are still dispatched.
///
/// Engines and links serve in order of arrival, so calls that one account queues there delay those
/// of others.
const BASE_WAIT_AT_FAIR_SHARE: Duration = Duration::from_secs(1);
/// The upper limit of that wait, whatever the preset's weight of recomputing.
const MAX_WAIT_AT_FAIR_SHARE: Duration = Duration::from_secs(10);
/// Once this many calls were placed only to be held back, further calls that should be held back
/// are skipped without placing them.
const MAX_HELD_PLACEMENTS: usize = 8;

impl<P: Placer> Control<P> {
    pub(super) fn dispatch_waiting(&mut self, now: Moment, actions: &mut Actions) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let kinds: Vec<TargetKind> = self.admission.waiting_kinds().collect();
        for kind in kinds {
            while let Some((flow, key, placed)) = self.next_decision(now, &snapshot, kind) {
                self.admission.serve(now, kind, flow);
                match placed {
                    Ok(Way::Target(placement)) => self.dispatch(now, key, *placement, actions),
                    Ok(Way::Peer(peer)) => self.start_detour(now, key, peer, actions),
                    Err(refusal) => {
                        self.count_evacuation_refusal(kind, &refusal);
                        self.count_region_refusal(key, &refusal);
                        let refusal = self.delay_return(now, kind, refusal);
                        let refusal = self.space_return(now, key, refusal);
                        self.end_call(key);
                        actions.push(Action::Refuse { call: key, refusal });
                    }
                }
            }
        }
    }

    /// Returns the first waiting call to dispatch or refuse now.
    ///
    /// A call that is held back does not block calls of other accounts.
    fn next_decision(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        kind: TargetKind,
    ) -> Option<(Flow, CallKey, Result<Way, Refusal>)> {
        let max_wait = max_wait_at_fair_share(&snapshot.preset);
        let mut held_back = 0;
        for (flow, key) in self.ordered_heads(now, kind) {
            let Flow { account, .. } = flow;
            if held_back >= MAX_HELD_PLACEMENTS && self.should_hold_back(account, key) {
                continue;
            }
            match self.place(now, snapshot, key).map(|choice| self.wait_alone(key, choice)) {
                Err(refusal) => return Some((flow, key, Err(refusal))),
                Ok(Choice::Placed(placement))
                    if placement.wait > max_wait && self.should_hold_back(account, key) =>
                {
                    held_back += 1;
                }
                Ok(Choice::Placed(placement)) => {
                    return Some((flow, key, Ok(Way::Target(placement))));
                }
                Ok(Choice::Detour(peer)) => return Some((flow, key, Ok(Way::Peer(peer)))),
                Ok(Choice::Held) => self.record_held(now, key),
                Ok(Choice::Waits) if held_back < MAX_HELD_PLACEMENTS => held_back += 1,
                Ok(Choice::Waits | Choice::AllBusy) => return None,
            }
        }
        None
    }

    /// Lets others be sent before a call whose regions have only busy targets.
    fn wait_alone(&self, key: CallKey, choice: Choice) -> Choice {
        let is_restricted = self.calls.get(&key).is_some_and(|c| self.is_restricted(&c.arrival));
        if is_restricted && matches!(choice, Choice::AllBusy) { Choice::Waits } else { choice }
    }

    /// Returns whether a call should wait in this daemon rather than at a busy target.
    ///
    /// A call whose caller has received part of the response is never held back.
    fn should_hold_back(&self, account: AccountKey, key: CallKey) -> bool {
        let begun = self.calls.get(&key).is_some_and(|call| call.pinned_version.is_some());
        !begun && self.placer.queues_at_daemon() && self.admission.has_fair_share(account)
    }
}

/// Where a call is sent.
enum Way {
    /// To a target.
    Target(Box<Placement>),
    /// To a peer, which sends it to a target.
    Peer(SocketAddr),
}

/// Returns the longest expected wait at which calls of an account that has its fair share are
/// dispatched.
///
/// The higher the preset's weight of recomputing, the longer a call should wait for an engine that
/// has its prompt cached.
fn max_wait_at_fair_share(preset: &Preset) -> Duration {
    let wait_weight = preset.first_token_weight.max(f64::EPSILON);
    let prefill_weight = preset.first_token_weight + preset.recompute_weight;
    let ratio = (prefill_weight / wait_weight).min(MAX_WAIT_AT_FAIR_SHARE.as_secs_f64());
    (BASE_WAIT_AT_FAIR_SHARE + BASE_WAIT_AT_FAIR_SHARE.mul_f64(ratio)).min(MAX_WAIT_AT_FAIR_SHARE)
}
