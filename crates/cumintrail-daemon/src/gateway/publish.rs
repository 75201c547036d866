//! Builds snapshots from operator declarations and the target registry, and puts them in force.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, Target, TargetKind};
use cumintrail_control::Event;
use cumintrail_control::evacuation::{EvacuationPage, EvacuationRow};
use cumintrail_control::feed::{FeedPage, FeedRow, FeedTable, MAX_FOLLOWED_AGE};
use cumintrail_control::registry::{
    RowChange, TargetRegistry, UnreadableEntries, UnreadableReport,
};
use cumintrail_types::{Bytes, Generation, LogText, Moment, WeightVersion};
use cumintrail_wire::configuration::Configuration;
use tokio::sync::mpsc;

use super::Platform;
use super::follow::FeedEvent;
use crate::metric;
use crate::shared::{AdoptedConfiguration, AdoptionFailure, Shared};

/// Interval between two checks for registry entries that did not return in time.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long the registry's entries count as current at a daemon that reads them itself: its requests
/// take less than that unless the platform does not respond.
const MAX_REGISTRY_AGE: Duration = Duration::from_secs(1);
/// Prefill speed that is assumed for an engine before its speed was measured.
const ASSUMED_PREFILL_TOKENS_PER_SECOND: u32 = 100_000;
/// Link bandwidth that is assumed for a target, since registry entries do not state it.
const ASSUMED_LINK_BYTES_PER_SECOND: Bytes = Bytes(1 << 30);

/// Describes what a row of the operator table declares.
#[derive(Debug, Clone)]
pub enum OperatorChange {
    /// A complete configuration.
    Configuration(Box<Configuration>),
    /// The weight version that the engines of a model must load.
    Version {
        /// The name of the weights, which several models of a snapshot may share.
        model: Arc<str>,
        /// The announced version.
        version: WeightVersion,
    },
    /// A failure domain that is evacuated, or no longer is.
    Evacuation {
        /// The name of the failure domain.
        domain: Arc<str>,
        /// Whether it is evacuated.
        evacuated: bool,
    },
    /// A row that does not concern this daemon.
    Ignored,
    /// A row that cannot be parsed; the configuration in force stays.
    Unreadable {
        /// The parse error.
        reason: String,
    },
}

/// Reports new data to the publisher.
#[derive(Debug)]
pub enum Update {
    /// A feed sent rows, failed or recovered.
    Table(FeedTable, FeedEvent),
    /// The registry responded again after an outage, as a reader observed.
    RegistryReturned(Moment),
    /// A peer sent a configuration.
    Configuration(Box<Configuration>),
    /// Peers announced weight versions.
    Versions(Vec<(Arc<str>, WeightVersion)>),
}

/// Builds snapshots and puts them in force.
pub struct Publisher<P> {
    shared: Arc<Shared>,
    platform: P,
    declared: Option<(Arc<Snapshot>, Configuration)>,
    versions: HashMap<Arc<str>, WeightVersion>,
    registry: TargetRegistry,
    unreadable: UnreadableEntries,
    /// The era of the platform's store in which the registry was last read whole.
    registry_era: u64,
    revision: u64,
    /// Whether the last request failed, for the operator table and for the registry.
    unreachable: [bool; 2],
    /// The moment as of which the last page of the operator table is current, and the era of the
    /// platform's store, until they are reported to the control state.
    operator_page_as_of: Option<(Moment, u64)>,
    /// When the last request for the operator table was sent of several that failed in a row, until it
    /// is reported.
    silent_request: Option<Moment>,
    /// Whether the operator table was read since the process started; a peer may send the
    /// configuration earlier, but not the evacuations.
    has_read_operator_table: bool,
    /// The evacuations in the last page of the operator table, until they are reported.
    evacuations: Option<EvacuationPage>,
    /// The same moment for the registry.
    registry_as_of: Option<Moment>,
}

impl<P: Platform> Publisher<P> {
    /// Creates a publisher without declarations, versions or targets.
    pub fn new(shared: Arc<Shared>, platform: P) -> Self {
        Self {
            shared,
            platform,
            declared: None,
            versions: HashMap::new(),
            registry: TargetRegistry::default(),
            unreadable: UnreadableEntries::default(),
            registry_era: 0,
            revision: 0,
            unreachable: [false; 2],
            operator_page_as_of: None,
            silent_request: None,
            has_read_operator_table: false,
            evacuations: None,
            registry_as_of: None,
        }
    }

    /// Handles updates until the process ends.
    pub async fn run(mut self, mut updates: mpsc::UnboundedReceiver<Update>) {
        let mut expiry = actix_rt::time::interval(EXPIRY_INTERVAL);
        expiry.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let changed = tokio::select! {
                update = updates.recv() => match update {
                    Some(update) => self.handle_update(update),
                    None => return,
                },
                _ = expiry.tick() => self.registry.expire(self.shared.now()),
            };
            self.report_unreadable_entries();
            // The first snapshot lets calls begin, which must not reach evacuated domains.
            if let Some(page) = self.evacuations.take() {
                self.shared.control.send(Event::EvacuationsRead(page)).await;
            }
            if changed {
                self.publish().await;
            }
            if let Some(sent) = self.silent_request.take() {
                self.shared.control.send(Event::PlatformSilent { sent }).await;
            }
            if let Some((sent, era)) = self.operator_page_as_of.take() {
                self.shared.control.send(Event::PlatformResponded { sent, era }).await;
            }
            if let Some(as_of) = self.registry_as_of.take() {
                let follows = self.shared.own_reads.borrow().is_follower;
                let max_age = if follows { MAX_FOLLOWED_AGE } else { MAX_REGISTRY_AGE };
                self.shared.control.send(Event::RegistryConfirmed { as_of, max_age }).await;
            }
        }
    }

    fn handle_update(&mut self, update: Update) -> bool {
        match update {
            Update::Configuration(next) => self.apply_configuration(*next),
            Update::RegistryReturned(at) => {
                self.registry.record_recovery(at);
                false
            }
            Update::Table(table, FeedEvent::Failed { sent, failures }) => {
                // A single failure may be due to its connection.
                if table == FeedTable::Operator && failures > 1 {
                    self.silent_request = Some(sent);
                }
                self.record_contact(table, false)
            }
            Update::Table(table, FeedEvent::Recovered) => self.record_contact(table, true),
            Update::Versions(versions) => {
                versions.into_iter().fold(false, |changed, (model, version)| {
                    changed | self.apply_version(&model, version)
                })
            }
            Update::Table(FeedTable::Operator, FeedEvent::Snapshot(page, as_of)) => {
                self.handle_operator_page(&page, as_of, true)
            }
            Update::Table(FeedTable::Operator, FeedEvent::Changes(page, as_of)) => {
                self.handle_operator_page(&page, as_of, false)
            }
            Update::Table(FeedTable::Registry, FeedEvent::Snapshot(page, as_of)) => {
                self.registry_as_of = Some(as_of);
                let (now, position) = (self.shared.now(), page.position);
                if position.era > std::mem::replace(&mut self.registry_era, position.era) {
                    self.registry.begin_era(now);
                }
                let rows = self.parse_registry_rows(page, true);
                let changed = self.registry.apply_snapshot(now, position.version, rows);
                self.registry.confirm(as_of);
                changed
            }
            Update::Table(FeedTable::Registry, FeedEvent::Changes(page, as_of)) => {
                self.registry_as_of = Some(as_of);
                let (now, rows) = (self.shared.now(), self.parse_registry_rows(page, false));
                let changed = rows
                    .into_iter()
                    .fold(false, |changed, row| changed | self.registry.apply_change(now, row));
                self.registry.confirm(as_of);
                changed
            }
        }
    }

    /// Records whether the platform responds. After an outage, entries that expired during it get
    /// time to return. Returns `false`, since no target changes.
    fn record_contact(&mut self, table: FeedTable, reachable: bool) -> bool {
        let index = usize::from(table == FeedTable::Registry);
        self.unreachable[index] = !reachable;
        let now = self.shared.now();
        if reachable && table == FeedTable::Registry {
            self.registry.record_recovery(now);
        }
        metrics::gauge!(metric::PLATFORM_REACHABLE).set(if self.unreachable[index] {
            0.0
        } else {
            1.0
        });
        self.shared.platform_contact.record_exchange(now, reachable);
        false
    }

    fn parse_registry_rows(&mut self, page: FeedPage, is_whole: bool) -> Vec<RowChange> {
        let parse = |row: FeedRow| RowChange {
            change: self.platform.target_change(&row.key, row.value.as_deref()),
            key: row.key,
            version: row.version,
        };
        let rows: Vec<RowChange> = page.rows.into_iter().map(parse).collect();
        self.unreadable.record_page(&rows, is_whole);
        rows
    }

    /// Logs which entries of the registry have become unreadable.
    fn report_unreadable_entries(&mut self) {
        if let Some(UnreadableReport { key, version, count }) =
            self.unreadable.report(self.shared.now())
        {
            let key = LogText(&key);
            log::warn!(
                "event=registry-row key={key} version={version} outcome=unreadable rows={count}"
            );
        }
    }

    fn handle_operator_page(&mut self, page: &FeedPage, as_of: Moment, is_whole: bool) -> bool {
        let position = page.position;
        self.operator_page_as_of = Some((as_of, position.era));
        let mut evacuations = EvacuationPage { is_whole, position, as_of, rows: Vec::new() };
        let changed = page.rows.iter().fold(false, |changed, row| {
            changed | self.handle_operator_row(row, &mut evacuations.rows)
        });
        self.evacuations = Some(evacuations).filter(|page| is_whole || !page.rows.is_empty());
        let is_first_read = is_whole && !std::mem::replace(&mut self.has_read_operator_table, true);
        changed || is_first_read
    }

    fn handle_operator_row(&mut self, row: &FeedRow, evacuations: &mut Vec<EvacuationRow>) -> bool {
        match self.platform.operator_change(&row.key, row.value.as_deref()) {
            OperatorChange::Configuration(next) => self.apply_configuration(*next),
            OperatorChange::Version { model, version } => self.apply_version(&model, version),
            OperatorChange::Evacuation { domain, evacuated } => {
                evacuations.push(EvacuationRow { domain, evacuated, version: row.version });
                false
            }
            OperatorChange::Ignored => false,
            OperatorChange::Unreadable { reason } => {
                log::warn!(
                    "event=operator-row key={} version={} outcome=unreadable reason=\"{reason}\"",
                    LogText(&row.key),
                    row.version
                );
                false
            }
        }
    }

    /// Records an announced weight version unless the known one is as new; returns whether it did.
    fn apply_version(&mut self, model: &Arc<str>, version: WeightVersion) -> bool {
        let known = self.versions.entry(model.clone()).or_default();
        let newer = version > *known;
        if newer {
            let name = LogText(model);
            log::info!("event=version-named model={name} version={version} before={known}");
            *known = version;
        }
        newer
    }

    /// Records a configuration if it is valid and its generation is higher than the known one;
    /// returns whether it did.
    fn apply_configuration(&mut self, next: Configuration) -> bool {
        let known = self.declared.as_ref().map_or(Generation(0), |(s, _)| s.generation);
        if !next.supersedes(known) {
            return false;
        }
        let previous = self.shared.snapshot();
        let previous = previous.as_deref().or(self.declared.as_ref().map(|(s, _)| &**s));
        let built = next.sections.to_parsed().and_then(|parsed| {
            Snapshot::build(next.generation, &parsed, Some(&next.preset), previous)
        });
        match built {
            Ok(snapshot) => {
                self.declared = Some((Arc::new(snapshot), next));
                true
            }
            Err(problems) => {
                let (generation, reason) = (next.generation, problems.to_string());
                log::error!(
                    "event=configuration generation={generation} outcome=rejected reason=\"{reason}\""
                );
                self.shared.set_adoption_failure(Some(AdoptionFailure { generation, reason }));
                false
            }
        }
    }

    /// Puts a snapshot in force, once a configuration was received and both tables were read.
    async fn publish(&mut self) {
        let Some((declared, configuration)) = self.declared.clone() else {
            return;
        };
        if !self.registry.is_loaded() || !self.has_read_operator_table {
            return;
        }
        self.revision += 1;
        let snapshot = Arc::new(self.build_snapshot(&declared));
        let position = snapshot.position();
        let in_use = snapshot.targets.iter().filter(|(_, t)| !t.retired);
        let (targets, leaving) = in_use
            .fold((0, 0), |(all, leaving), (_, t)| (all + 1, leaving + usize::from(t.leaving)));
        // The control state receives new keys before any traffic thread can use them.
        self.shared.control.send(Event::Configured(snapshot.clone())).await;
        log::info!(
            "event=in-force generation={} revision={} targets={targets} leaving={leaving} routes={}",
            position.0,
            position.1,
            snapshot.routes.len()
        );
        self.declared = Some((snapshot.clone(), configuration.clone()));
        self.shared.adopt(Arc::new(AdoptedConfiguration { snapshot, configuration }));
        self.shared.set_adoption_failure(None);
        metrics::gauge!(metric::GENERATION).set(position.0.0 as f64);
    }

    fn build_snapshot(&self, declared: &Snapshot) -> Snapshot {
        let mut next = declared.clone();
        for (name, version) in &self.versions {
            let outdated: Vec<_> = next
                .models
                .iter()
                .filter(|(_, model)| model.weights_name == *name && model.version < *version)
                .map(|(key, _)| key)
                .collect();
            for key in outdated {
                next = next.with_version(self.revision, key, *version);
            }
        }
        let entries: Vec<_> =
            self.registry.targets().map(|(entry, leaving)| (entry.clone(), leaving)).collect();
        let mut targets = Vec::with_capacity(entries.len());
        for (entry, leaving) in entries {
            let Some(kind) = next.target_kind(&entry.serves) else {
                continue;
            };
            let version = match kind {
                TargetKind::Engine(_) => entry.version,
                TargetKind::Service(_) => None,
            };
            targets.push(Target {
                name: entry.incarnation_name(),
                instance: entry.id.clone(),
                kind,
                address: entry.address,
                domain: next.get_or_add_domain(&entry.domain),
                slots: entry.slots,
                prefill_tokens_per_second: ASSUMED_PREFILL_TOKENS_PER_SECOND,
                link_bytes_per_second: ASSUMED_LINK_BYTES_PER_SECOND,
                checks_fencing: false,
                leaving,
                version,
                software: entry.software.clone(),
                cold_until: self.registry.cold_until(&entry.id),
                retired: false,
            });
        }
        next.with_targets(self.revision, targets)
    }
}
