//! Small stand-ins for the processes around the system.

pub mod engine;
pub mod platform;
pub mod relay;
pub mod service;
pub mod store;
