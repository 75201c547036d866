//! What a planned stop of this daemon means for calls; docs/DESIGN.md, "Planned stops".

use std::time::Duration;

use cumintrail_types::{CallKey, Moment, Ran, Refusal, RefusalCode};

use super::Control;
use crate::calls::Phase;
use crate::placement::Placer;
use crate::retry::{self, HealthSignal};
use crate::{Action, Actions, Arrival, Call};

/// The retry delay of callers, which any other daemon can serve.
const RETRY_AFTER: Duration = Duration::from_millis(50);

impl<P: Placer> Control<P> {
    /// Records when a planned stop ends, and refuses the waiting calls that it could interrupt.
    pub(super) fn announce_stop(&mut self, now: Moment, end: Moment, actions: &mut Actions) {
        (self.stop_pending, self.stop_end) = (true, Some(end));
        self.refuse_for_stop(now, actions);
    }

    /// Refuses an arriving call that another daemon should take.
    pub(super) fn check_stop(&self, now: Moment, arrival: &Arrival) -> Result<(), Refusal> {
        let is_over = self.stop_end.is_some_and(|end| end <= now);
        if self.stopping || is_over || self.may_outlast_stop(arrival) {
            return Err(Refusal::not_run(RefusalCode::Stopping).retry_after(RETRY_AFTER));
        }
        Ok(())
    }

    /// Refuses a waiting call that must not be sent any more.
    pub(super) fn check_stop_of_waiting(&self, call: &Call) -> Result<(), Refusal> {
        if self.may_outlast_stop(&call.arrival) { Err(stop_refusal(call)) } else { Ok(()) }
    }

    /// Refuses waiting calls that a planned stop could interrupt, and all calls at its end.
    pub(super) fn refuse_for_stop(&mut self, now: Moment, actions: &mut Actions) {
        let Some(end) = self.stop_end else { return };
        let is_refused = |call: &Call| {
            end <= now || call.phase() == Phase::Queued && self.may_outlast_stop(&call.arrival)
        };
        let refused = self.calls.iter().filter(|(_, call)| is_refused(call));
        let refused: Vec<(CallKey, Refusal)> =
            refused.map(|(key, call)| (*key, stop_refusal(call))).collect();
        for (call, refusal) in refused {
            self.cancel_attempt(now, call, HealthSignal::Inconclusive, actions);
            self.end_call(call);
            actions.push(Action::Refuse { call, refusal });
        }
    }

    /// Returns whether a call that must not be repeated may still run when a planned stop ends.
    fn may_outlast_stop(&self, arrival: &Arrival) -> bool {
        let ends_first = self.stop_end.is_some_and(|end| end < arrival.deadline);
        ends_first && !arrival.class.is_repeatable()
    }
}

fn stop_refusal(call: &Call) -> Refusal {
    let refusal = retry::refusal_for(call, RefusalCode::Stopping);
    if refusal.ran == Ran::No { refusal.retry_after(RETRY_AFTER) } else { refusal }
}
