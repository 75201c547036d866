//! The status of all daemons, per failure domain.

use std::collections::BTreeMap;

use cumintrail_types::Generation;
use cumintrail_wire::operator::Status;
use serde::Serialize;
use snafu::ResultExt;

use crate::errors::UnreachableSnafu;
use crate::table::{Style, Table, TextRole};
use crate::{CliError, OperatorClient};

const UNKNOWN_DOMAIN: &str = "(unknown)";

/// Tells what all daemons answered.
#[derive(Debug, Clone, Serialize)]
pub struct StatusReport {
    /// The highest generation in force anywhere.
    pub generation: Generation,
    /// The failure domains in name order.
    pub domains: Vec<DomainStatus>,
}

/// Holds the daemons of one failure domain.
#[derive(Debug, Clone, Serialize)]
pub struct DomainStatus {
    /// The failure domain.
    pub domain: String,
    /// Whether all of its daemons have the highest generation in force.
    pub confirmed: bool,
    /// Its daemons in order of address.
    pub daemons: Vec<DaemonStatus>,
}

/// Tells what one daemon answered.
#[derive(Debug, Clone, Serialize)]
pub struct DaemonStatus {
    /// Its failure domain.
    pub domain: String,
    /// Its operator address.
    pub address: String,
    /// Its answer; nothing if it did not answer.
    pub status: Option<Status>,
}

impl DaemonStatus {
    /// Tells whether the daemon has `generation` or a higher one in force.
    pub fn has_generation(&self, generation: Generation) -> bool {
        self.status.as_ref().is_some_and(|s| s.generation >= generation)
    }

    fn name(&self) -> &str {
        self.status.as_ref().map_or("?", |s| &*s.vm)
    }
}

/// Asks all listed daemons at once.
pub async fn read_all(client: &OperatorClient) -> Result<Vec<DaemonStatus>, CliError> {
    let hint = "the VM list is needed to find the daemons; during an outage of the platform they \
                are taken from `daemons` in [operator] of the access file";
    let daemons = client.daemons().await;
    let daemons = daemons.context(UnreachableSnafu { what: "the VM list", hint })?;
    let mut pending = Vec::new();
    for (address, domain) in daemons {
        let response = client.get::<Status>(address, "/operator/status");
        pending.push(async move {
            let status = response.await.ok();
            let domain = status.as_ref().map_or(domain, |s| s.domain.to_string());
            let domain = if domain.is_empty() { UNKNOWN_DOMAIN.to_owned() } else { domain };
            DaemonStatus { domain, address: address.to_string(), status }
        });
    }
    let mut rows = futures_util::future::join_all(pending).await;
    rows.sort_by(|a, b| (&a.domain, &a.address).cmp(&(&b.domain, &b.address)));
    Ok(rows)
}

impl StatusReport {
    /// Groups answers by failure domain.
    pub fn new(rows: Vec<DaemonStatus>) -> Self {
        let generations = rows.iter().filter_map(|row| row.status.as_ref().map(|s| s.generation));
        let generation = generations.max().unwrap_or(Generation(0));
        let mut domains: BTreeMap<String, Vec<DaemonStatus>> = BTreeMap::new();
        for row in rows {
            domains.entry(row.domain.clone()).or_default().push(row);
        }
        let domains = domains.into_iter().map(|(domain, daemons)| {
            let confirmed = daemons.iter().all(|row| row.has_generation(generation));
            DomainStatus { domain, confirmed, daemons }
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
            return style.paint(TextRole::Success, &text);
        }
        let text = format!("{text}; not confirmed by: {}", behind.join(", "));
        style.paint(TextRole::Warning, &text)
    }
}

impl DomainStatus {
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
            table.add_row(row.cells());
            degraded.extend(row.degraded(generation));
        }
        let confirmed = if self.confirmed { "confirmed" } else { "not confirmed" };
        let role = if self.confirmed { TextRole::Heading } else { TextRole::Warning };
        let mut lines = vec![style.paint(role, &format!("{}: {confirmed}", self.domain))];
        lines.extend(table.lines("  "));
        lines.extend(degraded.iter().map(|d| format!("  {}", style.paint(TextRole::Warning, d))));
        lines
    }
}

impl DaemonStatus {
    fn cells(&self) -> [String; 8] {
        let Some(s) = &self.status else {
            let [unknown, dash] = ["?".to_owned(), "-".to_owned()];
            let address = self.address.clone();
            return [
                unknown,
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
        let outdated = (status.generation < generation)
            .then(|| format!("! {name}: generation {} lags", status.generation));
        let degraded = status.degraded.iter().map(|d| format!("! {name}: {d}"));
        outdated.into_iter().chain(degraded).collect()
    }
}
