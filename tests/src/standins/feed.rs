//! An in-memory platform with a change feed and a registry, for gateways in the same process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cumintrail_client::{
    ClientError, Feed, FeedError, LoadRequest, PartsPage, PartsStore, Table, TargetOrders,
};
use cumintrail_config::{Document, Sections};
use cumintrail_control::TargetReport;
use cumintrail_control::feed::{FeedPage, FeedPosition, FeedRow, FeedTable};
use cumintrail_control::parts::StoredPart;
use cumintrail_control::registry::{EntryChange, RegistryEntry};
use cumintrail_daemon::{NativeDialect, OperatorChange, Platform};
use cumintrail_types::{Generation, WeightVersion};
use cumintrail_wire::configuration::Configuration;
use cumintrail_wire::peer::SnapshotRecord;
use cumintrail_wire::platform::{LEASE_KEY, Row, Transaction, TransactionResponse};

/// Prefix of the keys of rows that announce weight versions.
const VERSION_PREFIX: &str = "version/";
/// Prefix of the keys of rows that evacuate failure domains.
const EVACUATION_PREFIX: &str = "evacuate/";
/// Delay after which a transaction without a response times out.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Stores the rows of the operators' table, of the registry and of the daemons.
#[derive(Debug, Clone, Default)]
pub struct FeedPlatform {
    state: Arc<Mutex<State>>,
    /// Whether the VM that uses this value is cut off from the platform.
    cut: Arc<AtomicBool>,
    /// Counts the requests of the VM that uses this value.
    requests: Arc<AtomicUsize>,
    /// The paths on which the VM that uses this value reaches targets, by the targets' addresses.
    paths: Arc<BTreeMap<SocketAddr, SocketAddr>>,
}

/// The rows of a platform at some moment.
#[derive(Debug, Clone)]
pub struct PlatformCopy {
    version: u64,
    rows: BTreeMap<(u8, String), (u64, Option<Bytes>)>,
    daemon_rows: BTreeMap<String, Row>,
}

#[derive(Debug, Default)]
struct State {
    era: u64,
    version: u64,
    rows: BTreeMap<(u8, String), (u64, Option<Bytes>)>,
    /// Change reads after an older version fail with [`FeedError::HistoryLost`].
    discarded_up_to: u64,
    is_down: bool,
    is_silent: bool,
    rows_unreadable: bool,
    daemon_rows: BTreeMap<String, Row>,
    loads: Vec<SocketAddr>,
}

impl FeedPlatform {
    /// Creates a platform without rows.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the platform as another VM reaches it.
    #[must_use]
    pub fn for_vm(&self) -> Self {
        Self { state: self.state.clone(), ..Self::default() }
    }

    /// Returns the platform as another VM reaches it, which reaches targets on these paths.
    #[must_use]
    pub fn for_vm_with_paths(&self, paths: BTreeMap<SocketAddr, SocketAddr>) -> Self {
        Self { paths: Arc::new(paths), ..self.for_vm() }
    }

    /// Cuts the VM that uses this value off from the platform, or connects it again.
    pub fn set_cut(&self, is_cut: bool) {
        self.cut.store(is_cut, Ordering::Relaxed);
    }

    /// Returns the number of feed requests of the VM that uses this value.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns a copy of all rows, to restore the platform from.
    pub fn copy(&self) -> PlatformCopy {
        let state = self.state();
        PlatformCopy {
            version: state.version,
            rows: state.rows.clone(),
            daemon_rows: state.daemon_rows.clone(),
        }
    }

    /// Restores the rows of a copy: versions go on from there, and the era rises.
    pub fn restore(&self, copy: PlatformCopy) {
        let mut state = self.state();
        state.era += 1;
        (state.version, state.rows, state.daemon_rows) =
            (copy.version, copy.rows, copy.daemon_rows);
    }

    /// Writes the declarations of a generation to the operators' table.
    pub fn publish_declarations(&self, generation: u64, declarations: &str) {
        let value = format!("{generation}\n{declarations}");
        self.write(FeedTable::Operator, "config", Some(value.into()));
    }

    /// Writes the registry entry of a target.
    pub fn list_target(
        &self,
        id: &str,
        process_start: u64,
        heartbeat: u64,
        serves: &str,
        at: SocketAddr,
        leaving: bool,
    ) {
        let value = format!("{process_start} {heartbeat} {serves} {at} {leaving}");
        self.write(FeedTable::Registry, id, Some(value.into()));
    }

    /// Writes the registry entry of an engine with the weight version that it has loaded.
    pub fn list_engine(&self, id: &str, model: &str, version: u64, at: SocketAddr) {
        let value = format!("1 1 {model} {at} false {version}");
        self.write(FeedTable::Registry, id, Some(value.into()));
    }

    /// Writes the registry entry of a target with a version of its software.
    pub fn list_software(&self, id: &str, serves: &str, at: SocketAddr, software: &str) {
        self.list_process(id, 1, serves, at, software);
    }

    /// Writes the registry entry of a target's process with a version of its software.
    pub fn list_process(
        &self,
        id: &str,
        process_start: u64,
        serves: &str,
        at: SocketAddr,
        software: &str,
    ) {
        let value = format!("{process_start} 1 {serves} {at} false - {software}");
        self.write(FeedTable::Registry, id, Some(value.into()));
    }

    /// Writes the registry entry of a target in a failure domain.
    pub fn list_in_domain(&self, id: &str, serves: &str, at: SocketAddr, domain: &str) {
        self.list_software_in_domain(id, serves, at, "-", domain);
    }

    /// Writes the registry entry of a target in a failure domain with a version of its software.
    pub fn list_software_in_domain(
        &self,
        id: &str,
        serves: &str,
        at: SocketAddr,
        software: &str,
        domain: &str,
    ) {
        let value = format!("1 1 {serves} {at} false - {software} {domain}");
        self.write(FeedTable::Registry, id, Some(value.into()));
    }

    /// Evacuates a failure domain, or ends its evacuation.
    pub fn set_evacuated(&self, domain: &str, is_evacuated: bool) {
        let value = is_evacuated.then(|| "{}".into());
        self.write(FeedTable::Operator, &format!("{EVACUATION_PREFIX}{domain}"), value);
    }

    /// Announces the weight version that a model's engines are to load.
    pub fn announce_version(&self, model: &str, version: u64) {
        let key = format!("{VERSION_PREFIX}{model}");
        self.write(FeedTable::Operator, &key, Some(version.to_string().into()));
    }

    /// Removes the registry entry of a target.
    pub fn remove_target(&self, id: &str) {
        self.write(FeedTable::Registry, id, None);
    }

    /// Discards the history of all changes; the rows stay.
    pub fn discard_history(&self) {
        let mut state = self.state();
        state.discarded_up_to = state.version;
    }

    /// Fails feed and table requests while `is_down` is true.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
    }

    /// Makes transactions time out, without effect, while `is_silent` is true.
    pub fn set_silent(&self, is_silent: bool) {
        self.state().is_silent = is_silent;
    }

    /// Sets whether reads of the daemons' rows fail.
    pub fn set_rows_unreadable(&self, are_unreadable: bool) {
        self.state().rows_unreadable = are_unreadable;
    }

    /// Returns a row that the daemons wrote, if there is one.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state().daemon_rows.get(key).cloned()
    }

    /// Returns the lease row if there is one.
    pub fn lease(&self) -> Option<Row> {
        self.row(LEASE_KEY)
    }

    /// Returns the addresses of the targets that received load orders, in order of receipt.
    pub fn loads(&self) -> Vec<SocketAddr> {
        self.state().loads.clone()
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed)
    }

    fn write(&self, table: FeedTable, key: &str, value: Option<Bytes>) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table_index(table), key.into()), (version, value));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const fn table_index(table: FeedTable) -> u8 {
    match table {
        FeedTable::Operator => 0,
        FeedTable::Registry => 1,
    }
}

impl State {
    const fn position(&self) -> FeedPosition {
        FeedPosition { era: self.era, version: self.version }
    }

    fn rows_after(&self, table: FeedTable, after: u64) -> Vec<FeedRow> {
        let rows =
            self.rows.iter().filter(|((t, _), (v, _))| *t == table_index(table) && *v > after);
        let row = |((_, key), (version, value)): (&(u8, String), &(u64, Option<Bytes>))| FeedRow {
            key: key.as_str().into(),
            version: *version,
            value: value.clone(),
        };
        rows.map(row).collect()
    }
}

impl Platform for FeedPlatform {
    type Client = Self;
    type Dialect = NativeDialect;

    fn open(&self) -> Self {
        self.clone()
    }

    fn dialect(&self) -> NativeDialect {
        NativeDialect
    }

    fn operator_change(&self, key: &str, value: Option<&[u8]>) -> OperatorChange {
        if let Some(domain) = key.strip_prefix(EVACUATION_PREFIX) {
            return OperatorChange::Evacuation {
                domain: domain.into(),
                evacuated: value.is_some(),
            };
        }
        let text = value.and_then(|value| std::str::from_utf8(value).ok());
        if let Some(model) = key.strip_prefix(VERSION_PREFIX) {
            let version = text.and_then(|text| text.parse().ok()).map(WeightVersion);
            let named =
                version.map(|version| OperatorChange::Version { model: model.into(), version });
            return named.unwrap_or(OperatorChange::Ignored);
        }
        let Some((generation, text)) = text.and_then(|text| text.split_once('\n')) else {
            return OperatorChange::Unreadable { reason: "no generation".into() };
        };
        let (Ok(generation), Ok(document)) =
            (generation.parse(), Document::parse(&"declared".into(), text))
        else {
            return OperatorChange::Unreadable { reason: "bad declarations".into() };
        };
        let sections = Sections::from_parsed(&document.sections).0.into_iter().collect();
        let (generation, preset) = (Generation(generation), "day".into());
        let record = SnapshotRecord { generation, preset, sections };
        OperatorChange::Configuration(Box::new(Configuration::from(record)))
    }

    fn target_change(&self, key: &str, value: Option<&[u8]>) -> EntryChange {
        let Some(value) = value else {
            return EntryChange::Removed;
        };
        let text = String::from_utf8_lossy(value);
        let fields: Vec<&str> = text.split(' ').collect();
        let read = || {
            let ([process_start, heartbeat, serves, at, leaving], rest) =
                fields.split_first_chunk::<5>()?;
            let (version, software, domain) = match rest {
                [] => (None, None, "a"),
                [version] => (Some(WeightVersion(version.parse().ok()?)), None, "a"),
                [_, software] => (None, Some(Arc::from(*software)), "a"),
                [_, "-", domain] => (None, None, *domain),
                [_, software, domain] => (None, Some(Arc::from(*software)), *domain),
                _ => return None,
            };
            let listed: SocketAddr = at.parse().ok()?;
            Some(RegistryEntry {
                id: key.into(),
                process_start: process_start.parse().ok()?,
                serves: (*serves).into(),
                address: self.paths.get(&listed).copied().unwrap_or(listed),
                domain: domain.into(),
                slots: 8,
                leaving: leaving.parse().ok()?,
                version,
                software,
                heartbeat: heartbeat.parse().ok()?,
                cold_remaining: None,
            })
        };
        read().map_or(EntryChange::Unreadable, EntryChange::Written)
    }
}

impl Feed for FeedPlatform {
    async fn read(&self, table: FeedTable) -> Result<FeedPage, FeedError> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let state = self.state();
        if state.is_down || self.is_cut() {
            return Err(ClientError::ConnectionLost.into());
        }
        let mut rows = state.rows_after(table, 0);
        rows.retain(|row| row.value.is_some());
        Ok(FeedPage { rows, position: state.position() })
    }

    async fn changes(
        &self,
        table: FeedTable,
        after: FeedPosition,
        wait: Duration,
    ) -> Result<FeedPage, FeedError> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            {
                let state = self.state();
                let rows = state.rows_after(table, after.version);
                if state.is_down || self.is_cut() {
                    return Err(ClientError::ConnectionLost.into());
                }
                if after.version > state.version {
                    return Err(FeedError::HistoryLost);
                }
                if after.era != state.era || after.version < state.discarded_up_to {
                    return Err(FeedError::HistoryLost);
                }
                if !rows.is_empty() || tokio::time::Instant::now() >= deadline {
                    return Ok(FeedPage { rows, position: state.position() });
                }
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Table for FeedPlatform {
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionResponse, ClientError> {
        if self.state().is_silent {
            actix_rt::time::sleep(RESPONSE_TIMEOUT).await;
            return Err(ClientError::Timeout);
        }
        let mut state = self.state();
        if state.is_down || self.is_cut() {
            return Err(ClientError::ConnectionLost);
        }
        let conditions = transaction.conditions.iter();
        let found: Vec<Option<Row>> =
            conditions.map(|c| state.daemon_rows.get(&*c.key).cloned()).collect();
        let mut compared = transaction.conditions.iter().zip(&found);
        if compared.any(|(c, row)| c.version != row.as_ref().map_or(0, |row| row.version)) {
            return Ok(TransactionResponse { committed: false, found, version: None });
        }
        state.version += 1;
        let version = state.version;
        for write in &transaction.writes {
            let key = write.key.clone();
            match &write.value {
                Some(value) => {
                    state.daemon_rows.insert(key, Row { version, value: value.clone() });
                }
                None => drop(state.daemon_rows.remove(&key)),
            }
        }
        Ok(TransactionResponse { committed: true, found: Vec::new(), version: Some(version) })
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, ClientError> {
        let state = self.state();
        if state.is_down || state.rows_unreadable || self.is_cut() {
            return Err(ClientError::ConnectionLost);
        }
        Ok(state.daemon_rows.get(key).cloned())
    }

    fn era(&self) -> u64 {
        self.state().era
    }
}

impl TargetOrders for FeedPlatform {
    async fn load(
        &self,
        request: &LoadRequest<'_>,
        may_send: impl Fn() -> bool,
    ) -> Result<(), ClientError> {
        if !may_send() {
            return Err(ClientError::NotSent);
        }
        self.state().loads.push(request.address);
        Ok(())
    }

    async fn report(&self, _at: SocketAddr, _model: &str) -> Result<TargetReport, ClientError> {
        Err(ClientError::NotSent)
    }
}

impl PartsStore for FeedPlatform {
    async fn list(&self, _at: SocketAddr) -> Result<PartsPage, ClientError> {
        Err(ClientError::NotSent)
    }

    async fn changes(
        &self,
        _at: SocketAddr,
        _after: u64,
        _wait: Duration,
    ) -> Result<PartsPage, ClientError> {
        Err(ClientError::NotSent)
    }

    async fn free(
        &self,
        _at: SocketAddr,
        _epoch: u64,
        _parts: &[StoredPart],
    ) -> Result<(), ClientError> {
        Err(ClientError::NotSent)
    }
}
