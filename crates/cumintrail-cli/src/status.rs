//! The status of all daemons, per failure domain.

use std::collections::BTreeMap;

use cumintrail_types::Generation;
use cumintrail_wire::operator::Status;
use serde::Serialize;
use snafu::ResultExt;

use crate::errors::UnreachableSnafu;
use crate::table::{Style, Table, Tone};
use crate::{Access, CliError};

const UNKNOWN: &str = "(unknown)";

/// Tells what all daemons answered.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The highest generation in force anywhere.
    pub generation: Generation,
    /// The failure domains in name order.
    pub domains: Vec<DomainRows>,
}

/// Holds the daemons of one failure domain.
#[derive(Debug, Clone, Serialize)]
pub struct DomainRows {
    /// The failure domain.
    pub domain: String,
    /// Whether all of its daemons have the highest generation in force.
    pub confirmed: bool,
    /// Its daemons in order of address.
    pub daemons: Vec<StatusRow>,
}

/// Tells what one daemon answered.
#[derive(Debug, Clone, Serialize)]
pub struct StatusRow {
    /// Its failure domain.
    pub domain: String,
    /// Its operator address.
    pub address: String,
    /// Its answer; nothing if it did not answer.
    pub status: Option<Status>,
}

impl StatusRow {
    /// Tells whether the daemon has `generation` or a higher one in force.
    pub fn has(&self, generation: Generation) -> bool {
        self.status.as_ref().is_some_and(|s| s.generation >= generation)
    }

    fn name(&self) -> &str {
        self.status.as_ref().map_or("?", |s| &*s.vm)
    }
}

/// Asks all listed daemons at once.
pub async fn ask(access: &Access) -> Result<Vec<StatusRow>, CliError> {
    let hint = "the VM list is needed to find the daemons; during an outage of the platform they \
                are taken from `daemons` in [operator] of the access file";
    let daemons = access.daemons().await;
    let daemons = daemons.context(UnreachableSnafu { what: "the VM list", hint })?;
    let mut pending = Vec::new();
    for (address, domain) in daemons {
        let answer = access.get::<Status>(address, "/operator/status");
        pending.push(async move {
            let status = answer.await.ok();
            let domain = status.as_ref().map_or(domain, |s| s.domain.to_string());
            let domain = if domain.is_empty() { UNKNOWN.to_owned() } else { domain };
            StatusRow { domain, address: address.to_string(), status }
        });
    }
    let mut rows = futures_util::future::join_all(pending).await;
    rows.sort_by(|a, b| (&a.domain, &a.address).cmp(&(&b.domain, &b.address)));
    Ok(rows)
}

impl Report {
    /// Groups answers by failure domain.
    pub fn new(rows: Vec<StatusRow>) -> Self {
        let told = rows.iter().filter_map(|row| row.status.as_ref().map(|s| s.generation));
        let generation = told.max().unwrap_or(Generation(0));
        let mut domains: BTreeMap<String, Vec<StatusRow>> = BTreeMap::new();
        for row in rows {
            domains.entry(row.domain.clone()).or_default().push(row);
        }
        let domains = domains.into_iter().map(|(domain, daemons)| {
            let confirmed = daemons.iter().all(|row| row.has(generation));
            DomainRows { domain, confirmed, daemons }
        });
        Self { generation, domains: domains.collect() }
    }

    /// Writes the report for people.
    pub fn to_text(&self, style: Style) -> String {
        let mut lines = vec![self.headline(style)];
        for domain in &self.domains {
            lines.push(String::new());
            lines.extend(domain.lines(self.generation, style));
        }
        lines.join("\n")
    }

    fn headline(&self, style: Style) -> String {
        let all = self.domains.len();
        let behind: Vec<&str> =
            self.domains.iter().filter(|d| !d.confirmed).map(|d| &*d.domain).collect();
        let text = format!(
            "generation {} is in force in {} of {all} failure domains",
            self.generation,
            all - behind.len()
        );
        if behind.is_empty() {
            return style.paint(Tone::Good, &text);
        }
        let text = format!("{text}; not confirmed by: {}", behind.join(", "));
        style.paint(Tone::Warn, &text)
    }
}

impl DomainRows {
    fn lines(&self, generation: Generation, style: Style) -> Vec<String> {
        let mut table = Table::new(&[
            "VM",
            "ADDRESS",
            ">GENERATION",
            "PRESET",
            "READY",
            ">CALLS",
            ">WAITING",
            "UP",
        ]);
        let mut degraded = Vec::new();
        for row in &self.daemons {
            table.row(row.cells());
            degraded.extend(row.degraded(generation));
        }
        let confirmed = if self.confirmed { "confirmed" } else { "not confirmed" };
        let tone = if self.confirmed { Tone::Strong } else { Tone::Warn };
        let mut lines = vec![style.paint(tone, &format!("{}: {confirmed}", self.domain))];
        lines.extend(table.lines("  "));
        lines.extend(degraded.iter().map(|d| format!("  {}", style.paint(Tone::Warn, d))));
        lines
    }
}

impl StatusRow {
    fn cells(&self) -> [String; 8] {
        let Some(s) = &self.status else {
            let [none, dash] = ["?".to_owned(), "-".to_owned()];
            let address = self.address.clone();
            return [
                none,
                address,
                dash.clone(),
                dash.clone(),
                "no answer".into(),
                dash.clone(),
                dash.clone(),
                dash,
            ];
        };
        [
            s.vm.to_string(),
            self.address.clone(),
            s.generation.to_string(),
            s.preset.as_deref().unwrap_or("-").to_owned(),
            if s.ready { "yes" } else { "no" }.to_owned(),
            s.calls.to_string(),
            s.waiting.to_string(),
            s.up.to_string(),
        ]
    }

    fn degraded(&self, generation: Generation) -> Vec<String> {
        let Some(status) = &self.status else {
            return vec![format!("! {} does not answer", self.address)];
        };
        let name = self.name();
        let lags = (status.generation < generation)
            .then(|| format!("! {name}: generation {} lags", status.generation));
        let told = status.degraded.iter().map(|d| format!("! {name}: {d}"));
        lags.into_iter().chain(told).collect()
    }
}
