//! What operators read from a daemon.

use std::sync::Arc;

use cumintrail_types::Generation;
use serde::{Deserialize, Serialize};

/// Answers `GET /operator/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The VM's failure domain.
    pub domain: Arc<str>,
    /// The generation in force.
    pub generation: Generation,
    /// The preset in force.
    pub preset: Option<Arc<str>>,
    /// Whether the daemon takes new calls.
    pub ready: bool,
    /// What is not as it should be, for people.
    pub degraded: Vec<String>,
    /// Calls in flight.
    pub calls: usize,
}
