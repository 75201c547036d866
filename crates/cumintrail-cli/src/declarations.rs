//! Declarations with the texts of shared material, which are uploaded under their digests.

use std::path::Path;

use bytes::Bytes;
use cumintrail_client::config_log::put_verified;
use cumintrail_config::{Problem, Problems, Section, Sections};
use cumintrail_types::Digest;
use cumintrail_wire::peer::material_name;
use snafu::ResultExt;

use crate::errors::UnreachableSnafu;
use crate::{CliError, OperatorClient};

const TEXT_FILE: &str = "text_file";

/// Stores the declarations of a directory and the text files that they refer to.
pub struct Declarations {
    /// The canonical sections.
    pub sections: Sections,
    /// The parsed sections, with their files and lines.
    pub parsed: Vec<Section>,
    texts: Vec<(Digest, Bytes)>,
}

impl Declarations {
    /// Reads a directory and replaces each `text_file` of a material by the `digest` of its text.
    pub fn open(directory: &Path) -> Result<Self, Problems> {
        let (_, mut parsed) = Sections::open(directory)?;
        let mut problems = Problems::default();
        let mut texts = Vec::new();
        for section in parsed.iter_mut().filter(|s| &*s.kind == "material") {
            let file = section.file.clone();
            for entry in section.entries.iter_mut().filter(|e| &*e.key == TEXT_FILE) {
                match std::fs::read(directory.join(&*entry.value)) {
                    Ok(text) => {
                        let digest = Digest::of(&text);
                        entry.key = "digest".into();
                        entry.value = digest.to_string().into();
                        texts.push((digest, text.into()));
                    }
                    Err(e) => problems.0.push(Problem {
                        file: file.clone(),
                        line: entry.line,
                        message: format!("cannot read the text `{}`: {e}", entry.value),
                        hint: "give a path relative to the directory of the declarations".into(),
                    }),
                }
            }
        }
        let sections = Sections::from_parsed(&parsed);
        problems.into_result(Self { sections, parsed, texts })
    }

    /// Writes the texts to the object store under names made from their digests.
    pub async fn upload(&self, client: &OperatorClient) -> Result<(), CliError> {
        let hint = "the object store may be down; nothing is accepted yet, try again";
        for (digest, text) in &self.texts {
            let name = material_name(digest);
            let stored = put_verified(&client.platform, &name, text.clone()).await;
            stored.context(UnreachableSnafu { what: "the object store", hint })?;
        }
        Ok(())
    }
}
