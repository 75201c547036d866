//! Reads the settings of a daemon and the declarations of operators from INI files and reports each
//! error with file, line and a hint; docs/OPERATIONS.md is the reference.

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
    AbsolutePath, Account, CallerLimits, ColdStart, Deployment, InvalidPath, Material, Model,
    Preset, Service, Store, Target, TargetKind,
};
pub use document::{Document, Section};
pub use problem::{Problem, Problems};
pub use reader::SectionReader;
pub use reference::{KeyReference, SectionReference};
pub use routes::{Route, Routes, WeightedKind};
pub use sections::{Delta, SectionName, Sections};
pub use settings::{LogFormat, Secret, Settings};
pub use snapshot::Snapshot;
