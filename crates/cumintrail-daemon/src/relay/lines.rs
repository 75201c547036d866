//! The log lines of relayed calls: one per decision, with the values that it was based on.

use std::fmt::Display;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderValue;
use cumintrail_client::{Connection, Framing, ProcessState};
use cumintrail_config::Target;
use cumintrail_control::{AttemptOutcome, Dispatch, TargetNotice};
use cumintrail_types::{AttemptNumber, LogText, Moment, RefusalCode};
use smallvec::SmallVec;

use super::relayed_call::RelayedCall;

/// Maximum number of parts of a prompt that a line names.
const MAX_LOGGED_PARTS: usize = 8;

/// Returns the call id that the caller sent.
fn caller_call_id(call: &RelayedCall) -> LogText<'_> {
    visible(call.metadata.id.as_ref())
}

/// Returns a header's value, or `-` if it is absent or has other bytes than visible ASCII.
fn visible(value: Option<&HeaderValue>) -> LogText<'_> {
    LogText(value.and_then(|value| value.to_str().ok()).unwrap_or("-"))
}

/// Returns the names of the first parts of the prompt, or `-` if it is not given as parts.
fn part_names(call: &RelayedCall) -> String {
    let parts = &call.metadata.parts;
    let names = parts.iter().take(MAX_LOGGED_PARTS).map(|part| &*part.name);
    let names: SmallVec<[&str; MAX_LOGGED_PARTS]> = names.collect();
    if names.is_empty() { "-".into() } else { names.join(",") }
}

/// Returns the milliseconds since the head of the call was read.
fn age_ms(call: &RelayedCall, now: Moment) -> u128 {
    now.since(call.arrived).as_millis()
}

fn or_dash(value: Option<impl Display>) -> String {
    value.map_or_else(|| "-".into(), |value| value.to_string())
}

/// Logs that a call is sent to a target.
pub fn sent(
    call: &RelayedCall,
    now: Moment,
    dispatch: &Dispatch,
    target: &Target,
    connection: &Connection,
) {
    log::info!(
        "event=sent id={} call={} route={} account={} class={} urgency={} attempt={} target={} listed={} process={} software={} after_event={} resumes={} origin={} parts={} request={} prompt={} max_answer={} expected_ms={} \
         version={} replaced_by={} replaced_ms={} generation={} revision={} reused={} connected_ms={} age_ms={} left_ms={}",
        caller_call_id(call),
        call.key,
        call.route,
        call.account_name.as_deref().unwrap_or("-"),
        call.class,
        call.urgency,
        dispatch.attempt,
        LogText(&target.instance),
        LogText(&target.name),
        LogText(connection.process().map_or("-", |process| process)),
        LogText(target.software.as_deref().unwrap_or("-")),
        call.events.last_id().unwrap_or(0),
        visible(call.metadata.resumes.as_ref()),
        dispatch.origin,
        LogText(&part_names(call)),
        call.request.map_or_else(|| "-".into(), |key| format!("{:016x}", key.0)),
        call.metadata.prompt,
        call.metadata.max_output,
        dispatch.first_token.as_millis(),
        dispatch.version,
        or_dash(dispatch.replacement.map(|replacement| replacement.by)),
        or_dash(dispatch.replacement.map(|replacement| replacement.age.as_millis())),
        call.snapshot.generation,
        call.snapshot.revision,
        connection.has_been_used(),
        connection.age().as_millis(),
        age_ms(call, now),
        call.deadline.since(now).as_millis(),
    );
}

/// Logs that a call is sent to a peer, since this daemon reaches no target.
pub fn detoured(call: &RelayedCall, now: Moment, attempt: AttemptNumber, peer: &str, reused: bool) {
    let peer = LogText(peer);
    log::info!(
        "event=detoured id={} call={} route={} class={} attempt={attempt} to={peer} reused={reused} age_ms={} left_ms={}",
        caller_call_id(call),
        call.key,
        call.route,
        call.class,
        age_ms(call, now),
        call.deadline.since(now).as_millis(),
    );
}

/// Logs what a response said about its target.
pub fn target_notice(call: &RelayedCall, target: &str, notice: TargetNotice) {
    let target = LogText(target);
    log::info!(
        "event=target-notice id={} call={} target={target} leaving={} quiet_ms={}",
        caller_call_id(call),
        call.key,
        notice.leaving,
        notice.quiet_for.unwrap_or_default().as_millis(),
    );
}

/// Logs that a response is skipped because it does not bear the call's id.
pub fn foreign_response(call: &RelayedCall, target: &str, status: StatusCode) {
    let target = LogText(target);
    log::info!(
        "event=foreign-response id={} call={} target={target} status={}",
        caller_call_id(call),
        call.key,
        status.as_u16(),
    );
}

/// Logs that a response ended or broke at the deadline of its call, at which targets stop.
pub fn end_at_deadline(call: &RelayedCall, attempt: AttemptNumber, target: &str, left: Duration) {
    let target = LogText(target);
    log::info!(
        "event=end-at-deadline id={} call={} attempt={attempt} target={target} last_event={} left_ms={}",
        caller_call_id(call),
        call.key,
        call.events.last_id().unwrap_or(0),
        left.as_millis(),
    );
}

/// Logs what is known of the process whose response ended with its connection, and the time that was
/// left until the deadline.
pub fn unframed_end(
    call: &RelayedCall,
    attempt: AttemptNumber,
    target: &str,
    process: ProcessState,
    left: Duration,
) {
    let target = LogText(target);
    log::info!(
        "event=unframed-end id={} call={} attempt={attempt} target={target} process={process} last_event={} \
         left_ms={}",
        caller_call_id(call),
        call.key,
        call.events.last_id().unwrap_or(0),
        left.as_millis(),
    );
}

/// Logs the end of an attempt that did not complete its call.
pub fn attempt_ended(
    call: &RelayedCall,
    now: Moment,
    attempt: AttemptNumber,
    target: &str,
    outcome: AttemptOutcome,
    cause: &str,
    code: Option<&str>,
) {
    let target = LogText(target);
    log::info!(
        "event=attempt-ended id={} call={} attempt={attempt} target={target} outcome={} cause={cause} \
         code={} answering={} remainder_bytes={} age_ms={}",
        caller_call_id(call),
        call.key,
        outcome_name(outcome),
        code.unwrap_or("-"),
        call.target_responded,
        call.events.remainder_len(),
        age_ms(call, now),
    );
}

/// Logs that a target responded to a call, and what marked the end of its response.
pub fn answered(
    call: &RelayedCall,
    now: Moment,
    attempt: AttemptNumber,
    status: u16,
    framing: Framing,
) {
    log::info!(
        "event=answered id={} call={} attempt={attempt} status={status} framing={framing} age_ms={}",
        caller_call_id(call),
        call.key,
        age_ms(call, now),
    );
}

/// Logs that a call ended with a refusal, a target's failure response or a truncated response.
pub fn ended(call: &RelayedCall, now: Moment, outcome: &str, code: RefusalCode) {
    log::info!(
        "event=ended id={} call={} route={} outcome={outcome} code={code} may_have_run={} age_ms={}",
        caller_call_id(call),
        call.key,
        call.route,
        call.may_have_run,
        age_ms(call, now),
    );
}

/// Logs that a caller disconnected before its response was complete.
pub fn caller_left(call: &RelayedCall, now: Moment) {
    let (id, key, age) = (caller_call_id(call), call.key, age_ms(call, now));
    log::info!("event=caller-left id={id} call={key} begun={} age_ms={age}", call.response_started);
}

const fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::NotSent
        | AttemptOutcome::NoConnection
        | AttemptOutcome::Unidentified { .. } => "not-sent",
        AttemptOutcome::Completed(_) => "answered",
        AttemptOutcome::RefusedByTarget { leaving: false } => "refused",
        AttemptOutcome::RefusedByTarget { leaving: true } => "gone",
        AttemptOutcome::Failed { .. } => "failed",
        AttemptOutcome::Abandoned { .. } => "abandoned",
        AttemptOutcome::RespondedLocally => "settled",
    }
}
