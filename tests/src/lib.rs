//! Stand-ins for outside processes, the demonstration, and tools for tests; never shipped.

pub mod cluster;
pub mod demo;
pub mod deployment;
pub mod experiment;
pub mod http;
pub mod load;
pub mod longrun;
pub mod process;
pub mod process_cluster;
pub mod standins;
