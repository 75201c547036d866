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

/// Waits until the control thread refuses the call or abandons this attempt.
///
/// An attempt that `has_begun` meanwhile is not ended for beginning too late.
pub(super) async fn next_interrupt(
    commands: &mut mpsc::UnboundedReceiver<Command>,
    number: AttemptNumber,
    has_begun: bool,
) -> Interrupt {
    loop {
        // Reads that are always ready use up the task's budget, and must not hide an order.
        match unconstrained(commands.recv()).await {
            Some(Command::Abandon(attempt, reason))
                if attempt == number
                    && !(has_begun && reason == AbandonReason::WeightsReplaced) =>
            {
                return Interrupt::Abandoned(reason);
            }
            // That attempt ended or began before the command arrived.
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
