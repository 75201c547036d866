//! Clients of all outside protocols, behind narrow traits.
//!
//! Nothing else in cumintrail knows how the platform, engines, services, stores and peers are
//! spoken to; another platform is another implementation of these traits. Clients live on one
//! thread each, so the traits ask for no `Send`.
#![allow(async_fn_in_trait)]

mod answer;
pub mod config_log;
mod connection;
mod engine;
mod error;
mod feed;
mod http;
mod parts;
mod peer;
mod platform;
mod pool;
pub mod retention;
mod service;
mod single;
mod store;
mod traffic;

pub use answer::{AnswerEvent, AnswerStream};
pub use connection::Connection;
pub use engine::{Engine, HttpEngine, LoadRequest, TargetOrders};
pub use error::ClientError;
pub use feed::{Feed, FeedError, FeedPage, FeedRow, FeedTable};
pub use http::HttpClient;
pub use parts::{PartsPage, PartsStore};
pub use peer::{HttpPeer, Peer};
pub use platform::{HttpPlatform, Objects, Table, VmList};
pub use pool::{Care, Pool};
pub use service::{HttpService, Service, ServiceAnswer, ServiceCall, is_end_to_end};
pub use store::{HttpStore, Store};
