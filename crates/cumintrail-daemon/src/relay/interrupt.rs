//! Orders of the control thread that end an attempt in progress.

use cumintrail_control::AbandonReason;
use cumintrail_types::{AttemptNumber, Refusal, RefusalCode};
use tokio::sync::mpsc;
use tokio::task::unconstrained;

use crate::control_thread::Command;

/// Why an attempt ends before its response.
pub(super) enum Interrupt {
    /// The call is refused.
    Refused(Refusal),
    /// The call may be sent elsewhere.
    Abandoned(AbandonReason),
}

/// How far an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// No byte of the call was sent.
    Unsent,
    /// Bytes may have been sent.
    Sent,
    /// An event of the response has arrived.
    Begun,
}

impl Progress {
    /// Returns whether an attempt may still be abandoned for a reason.
    const fn allows(self, reason: AbandonReason) -> bool {
        match reason {
            AbandonReason::DomainUnreached => true,
            AbandonReason::WeightsReplaced => !matches!(self, Self::Begun),
            AbandonReason::TargetWithdrawn | AbandonReason::ContentQuarantined => {
                matches!(self, Self::Unsent)
            }
        }
    }
}

/// Waits until the control thread refuses the call or abandons this attempt.
pub(super) async fn next_interrupt(
    commands: &mut mpsc::UnboundedReceiver<Command>,
    number: AttemptNumber,
    progress: Progress,
) -> Interrupt {
    loop {
        // Reads that are always ready use up the task's budget, and must not hide an order.
        match unconstrained(commands.recv()).await {
            Some(Command::Abandon(attempt, reason))
                if attempt == number && progress.allows(reason) =>
            {
                return Interrupt::Abandoned(reason);
            }
            // That attempt ended, was sent or began before the command arrived.
            Some(Command::Abandon(..)) => {}
            Some(Command::Refuse(refusal)) => return Interrupt::Refused(refusal),
            // The control thread dispatches no second attempt during one, and keeps the command
            // channel open until the call ends.
            Some(Command::Dispatch(_) | Command::Detour(_)) | None => {
                return Interrupt::Refused(Refusal::unknown(RefusalCode::TargetFailed));
            }
        }
    }
}
