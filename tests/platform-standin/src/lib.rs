//! Stand-ins of the Kesong Puti platform and of replicas on it; docs/PLATFORM.md, "Stand-ins".

pub mod calls;
pub mod crowd;
pub mod deployment;
pub mod replica;
pub mod soak;
pub mod store;
pub mod wire;
