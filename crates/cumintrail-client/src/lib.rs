//! Clients of the platform, engines, plain services, stores and peers, behind narrow traits.
//!
//! The protocols are encapsulated here: another platform is supported by other implementations of
//! these traits. Each client is used by one thread only, so the traits do not require `Send`.
#![allow(async_fn_in_trait)]

pub mod config_log;
mod connection;
mod engine;
mod error;
mod feed;
mod http;
mod identity;
mod parts;
mod peer;
mod platform;
mod pool;
mod process_watch;
mod response_budget;
mod response_ends;
mod response_stream;
pub mod retention;
mod service;
mod single_use;
mod store;
mod traffic;

pub use connection::{BodyPart, Connection, ConnectionId, Framing, MAX_DISCARDED_BYTES};
pub use engine::{Engine, HttpEngine, LoadRequest, TargetOrders};
pub use error::ClientError;
pub use feed::{Feed, FeedError};
pub use http::{HttpClient, Response};
pub use identity::{IDENTITY_TIMEOUT, Identity, identify};
pub use parts::{PartsPage, PartsStore};
pub use peer::{HttpPeer, Peer};
pub use platform::{HttpPlatform, ObjectStore, Table, VmListReader};
pub use pool::{ConnectionPool, ProcessDemand, RetrySafety};
pub use process_watch::ProcessState;
pub use response_budget::{HeldBytes, ResponseBudget};
pub use response_ends::ResponseEnds;
pub use response_stream::{ResponseEvent, ResponseStream};
pub use service::{HttpService, Service, ServiceCall, ServiceResponse, is_end_to_end};
pub use store::{HttpStore, Store};
