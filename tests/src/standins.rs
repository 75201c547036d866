//! Stand-ins for the outside systems that a daemon talks to.

pub mod engine;
pub mod feed;
pub mod path;
pub mod platform;
pub mod relay;
pub mod replica;
pub mod service;
pub mod store;
