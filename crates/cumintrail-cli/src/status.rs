//! The status of all daemons, by failure domain.

use std::collections::BTreeMap;

use cumintrail_types::Generation;
use cumintrail_wire::operator::Status;
use serde::Serialize;
use snafu::ResultExt;

use crate::errors::UnreachableSnafu;
use crate::table::{Style, Table, TextRole};
use crate::{CliError, OperatorClient};

const UNKNOWN_DOMAIN: &str = "(unknown)";

/// Reports the status of all listed daemons.
#[derive(Debug, Clone, Serialize)]
pub struct StatusReport {
    /// The highest generation in force at a daemon that responded; zero if none responded.
    pub generation: Generation,
    /// The failure domains, ordered by name.
    pub domains: Vec<DomainStatus>,
}

/// Reports the status of the daemons of one failure domain.
#[derive(Debug, Clone, Serialize)]
pub struct DomainStatus {
    /// The name of the failure domain.
    pub domain: String,
    /// Whether all daemons of the domain have the highest generation in force.
    pub confirmed: bool,
    /// The daemons of the domain, ordered by address.
    pub daemons: Vec<DaemonStatus>,
}

/// Reports the status of one daemon.
#[derive(Debug, Clone, Serialize)]
pub struct DaemonStatus {
    /// The daemon's failure domain; `(unknown)` if neither the daemon nor the VM list gave it.
    pub domain: String,
    /// The daemon's operator address.
    pub address: String,
    /// The daemon's response; `None` if it did not respond.
    pub status: Option<Status>,
}

impl DaemonStatus {
    /// Returns whether the daemon has `generation` or a higher one in force.
    pub fn has_generation(&self, generation: Generation) -> bool {
        self.status.as_ref().is_some_and(|s| s.generation >= generation)
    }

    fn name(&self) -> &str {
        self.status.as_ref().map_or("?", |s| &*s.vm)
    }
}

/// Reads the status of all listed daemons concurrently.
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
    /// Groups the daemons by failure domain.
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

    /// Formats the report as a headline and one text table per failure domain.
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
