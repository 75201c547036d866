//! Small stand-ins for the processes around the system.

pub mod engine;
pub mod feed;
pub mod platform;
pub mod relay;
pub mod replica;
pub mod service;
pub mod store;
