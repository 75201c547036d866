//! The state of a relayed call, which its attempts share.

use std::sync::Arc;

use actix_http::{Request, ResponseHead};
use bytes::Bytes;
use cumintrail_client::{ConnectionId, HeldBytes};
use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_control::home_regions::AllowedRegions;
use cumintrail_control::parts::cache_salt;
use cumintrail_control::quarantine::ContentKey;
use cumintrail_control::{AttemptOutcome, Event};
use cumintrail_types::{
    AccountKey, AttemptNumber, BlockKey, CallClass, CallKey, Moment, Urgency, WeightVersion,
};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::Worker;
use super::caller::CallerConnection;
use super::dialect::{HeaderDialect, RequestMetadata};
use super::events::EventSplitter;
use super::heads::caller_response_head;
use crate::control_thread::Command;

/// Stores the state of a call whose request head was accepted.
pub(super) struct RelayedCall {
    pub key: CallKey,
    pub metadata: RequestMetadata,
    pub req: Request,
    pub snapshot: Arc<Snapshot>,
    pub account: AccountKey,
    pub account_name: Option<Arc<str>>,
    /// The regions to which the call is restricted; `None` for no restriction.
    pub allowed_regions: Option<AllowedRegions>,
    pub class: CallClass,
    pub kind: TargetKind,
    pub route: Arc<str>,
    pub urgency: Urgency,
    pub arrived: Moment,
    pub deadline: Moment,
    /// The buffered start of the body, which every attempt sends.
    pub body: Bytes,
    /// Whether `body` is the complete body.
    pub body_complete: bool,
    /// Whether body bytes after `body` were forwarded, so that no further attempt can be made.
    pub body_consumed: bool,
    /// The bytes of body after `body` that the caller may still send.
    pub body_allowance: usize,
    /// The connections that had an attempt of the call.
    pub carried_by: SmallVec<[ConnectionId; 2]>,
    /// Whether a byte of the call may have reached a target that did not report it as not run.
    pub may_have_run: bool,
    /// Whether the target of the current attempt has sent the head of its response.
    pub target_responded: bool,
    /// Splits streamed responses into events; one splitter serves all attempts.
    pub events: EventSplitter,
    /// Whether the head of a response that is forwarded as it arrives was queued for the caller.
    pub response_started: bool,
    /// The failure response of a target, forwarded if no further attempt is made.
    pub failed_response: Option<BufferedResponse>,
    /// Identifies the request by what its repeats share; `None` if its body is not buffered completely.
    pub request: Option<ContentKey>,
    pub commands: mpsc::UnboundedReceiver<Command>,
}

impl RelayedCall {
    /// Returns the cache salt of the prompt for a weight version; `None` for services.
    pub fn cache_salt(&self, secret: &str, version: WeightVersion) -> Option<BlockKey> {
        let regions = self.allowed_regions.as_ref();
        engine_cache_salt(&self.snapshot, self.account, self.kind, secret, version, regions)
    }

    /// Returns whether the prompt has parts, whose state can be stored.
    pub fn has_prompt_parts(&self) -> bool {
        !self.metadata.parts.is_empty()
    }
}

/// Stores a complete response of a target until it is forwarded.
pub(super) struct BufferedResponse {
    pub head: ResponseHead,
    pub target: Arc<str>,
    pub body: Bytes,
    /// Counts the body as held.
    pub _held: HeldBytes,
}

/// Forwards a buffered response to the caller.
pub(super) async fn write_response(
    caller: &mut CallerConnection,
    response: BufferedResponse,
) -> std::io::Result<()> {
    let head = caller_response_head(&response.head, caller, &response.target);
    caller.write_response(head, response.body).await
}

/// Returns the cache salt of prompts for a target kind; `None` for services.
pub(super) fn engine_cache_salt(
    snapshot: &Snapshot,
    account: AccountKey,
    kind: TargetKind,
    secret: &str,
    version: WeightVersion,
    regions: Option<&AllowedRegions>,
) -> Option<BlockKey> {
    match kind {
        TargetKind::Engine(model) => {
            Some(cache_salt(secret, snapshot, account, model, version, regions))
        }
        TargetKind::Service(_) => None,
    }
}

/// Reports the outcome of an attempt to the control thread.
pub(super) async fn report_attempt_end<D: HeaderDialect>(
    worker: &Worker<D>,
    call: &RelayedCall,
    attempt: AttemptNumber,
    outcome: AttemptOutcome,
) {
    worker.shared.control.send(Event::AttemptEnded { call: call.key, attempt, outcome }).await;
}
