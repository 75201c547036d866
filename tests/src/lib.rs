//! Stand-ins for outside systems, the demonstration and test tools; not part of a release.

pub mod cluster;
pub mod demo;
pub mod deployment;
pub mod experiment;
pub mod fleet;
pub mod gateway_cluster;
pub mod http;
pub mod load;
pub mod longrun;
pub mod process;
pub mod process_cluster;
pub mod standins;
