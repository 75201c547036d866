//! A daemon's settings and the operators' declarations, read from INI and checked with file, line
//! and a hint; docs/OPERATIONS.md is their reference.

mod declarations;
mod document;
mod problem;
mod reader;
mod reference;
mod routes;
mod sections;
mod settings;
mod snapshot;

pub use declarations::{
    Account, CallerLimits, Deployment, Material, Model, Preset, Service, Store, Target, TargetKind,
};
pub use document::{Document, Section};
pub use problem::{Problem, Problems};
pub use reader::SectionReader;
pub use reference::{KeyReference, SectionReference};
pub use routes::{Route, Routes, WeightedKind};
pub use sections::{Delta, SectionName, Sections};
pub use settings::{LogFormat, Secret, Settings};
pub use snapshot::Snapshot;
