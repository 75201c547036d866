//! How digests state evacuated failure domains.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_control::evacuation::EvacuationReport;
use cumintrail_control::feed::FeedPosition;
use serde::{Deserialize, Serialize};

/// Encodes an [`EvacuationReport`] without field names: failure domain, evacuated, era of the store,
/// version of the row, age in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EvacuationMessage(Arc<str>, bool, u64, u64, u32);

impl From<EvacuationReport> for EvacuationMessage {
    fn from(r: EvacuationReport) -> Self {
        Self(r.domain, r.evacuated, r.position.era, r.position.version, super::to_millis(r.age))
    }
}

impl From<EvacuationMessage> for EvacuationReport {
    fn from(EvacuationMessage(domain, evacuated, era, version, age): EvacuationMessage) -> Self {
        let (position, age) = (FeedPosition { era, version }, Duration::from_millis(age.into()));
        Self { domain, evacuated, position, age }
    }
}
