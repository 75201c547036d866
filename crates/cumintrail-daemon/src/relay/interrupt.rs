//! Orders of the control thread that end an attempt in progress.

use cumintrail_types::{AttemptNumber, Refusal, RefusalCode};
use tokio::sync::mpsc;
use tokio::task::unconstrained;

use crate::control_thread::Command;

/// Why an attempt ends before its response.
pub(super) enum Interrupt {
    /// The call is refused.
    Refused(Refusal),
    /// The target is not reached; the call may be sent elsewhere.
    Abandoned,
}

/// Waits until the control thread refuses the call or abandons this attempt.
pub(super) async fn next_interrupt(
    commands: &mut mpsc::UnboundedReceiver<Command>,
    number: AttemptNumber,
) -> Interrupt {
    loop {
        // Reads that are always ready use up the task's budget, and must not hide an order.
        match unconstrained(commands.recv()).await {
            Some(Command::Abandon(attempt)) if attempt == number => return Interrupt::Abandoned,
            // That attempt ended before the command arrived.
            Some(Command::Abandon(_)) => {}
            Some(Command::Refuse(refusal)) => return Interrupt::Refused(refusal),
            // The control thread dispatches no second attempt during one, and keeps the command
            // channel open until the call ends.
            Some(Command::Dispatch(_) | Command::Detour(_)) | None => {
                return Interrupt::Refused(Refusal::unknown(RefusalCode::TargetFailed));
            }
        }
    }
}
