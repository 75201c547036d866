//! Clients of all outside protocols, behind narrow traits.
//!
//! Nothing else in cumintrail knows how the platform, engines, services, stores and peers are
//! spoken to; another platform is another implementation of these traits. Clients live on one
//! thread each, so the traits ask for no `Send`.
#![allow(async_fn_in_trait)]

mod answer;
pub mod config_log;
mod engine;
mod error;
mod http;
mod peer;
mod platform;
mod service;
mod single;
mod store;
mod traffic;

pub use answer::{AnswerEvent, AnswerStream};
pub use engine::{Engine, HttpEngine};
pub use error::ClientError;
pub use http::HttpClient;
pub use peer::{HttpPeer, Peer};
pub use platform::{HttpPlatform, Objects, Table, VmList};
pub use service::{HttpService, Service, ServiceAnswer, ServiceCall};
pub use store::{HttpStore, Store};
