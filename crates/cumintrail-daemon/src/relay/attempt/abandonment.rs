//! Ends of attempts on order of the control thread.

use cumintrail_control::{AbandonReason, AttemptOutcome};

use super::{Attempt, AttemptEnd};
use crate::metric;
use crate::relay::dialect::HeaderDialect;
use crate::relay::interrupt::Interrupt;

impl<D: HeaderDialect> Attempt<'_, D> {
    /// Ends an attempt on order of the control thread before anything of the call was sent.
    pub(super) fn interrupt_unsent(&mut self, interrupt: Interrupt) -> AttemptEnd {
        match interrupt {
            Interrupt::Refused(refusal) => AttemptEnd::Refused(refusal),
            Interrupt::Abandoned(reason) => {
                let outcome = match reason {
                    AbandonReason::DomainUnreached => AttemptOutcome::NoConnection,
                    _ => AttemptOutcome::Abandoned { was_sent: false, can_continue: true },
                };
                self.record_abandonment(outcome, reason)
            }
        }
    }

    /// Ends an attempt on order of the control thread; the target may have run the call.
    pub(super) fn interrupt(&mut self, interrupt: Interrupt) -> AttemptEnd {
        match interrupt {
            Interrupt::Refused(refusal) => {
                self.call.may_have_run = true;
                AttemptEnd::Refused(refusal)
            }
            Interrupt::Abandoned(reason) => {
                let can_continue = self.can_continue();
                let outcome = match reason {
                    AbandonReason::DomainUnreached => AttemptOutcome::Failed { can_continue },
                    _ => AttemptOutcome::Abandoned { was_sent: true, can_continue },
                };
                self.record_abandonment(outcome, reason)
            }
        }
    }

    fn record_abandonment(&mut self, outcome: AttemptOutcome, reason: AbandonReason) -> AttemptEnd {
        let reason = reason.to_string();
        let end = self.record_end(outcome, &reason);
        metrics::counter!(metric::ABANDONED_ATTEMPTS, "reason" => reason).increment(1);
        end
    }
}
