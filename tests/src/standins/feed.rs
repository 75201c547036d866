//! A platform with a change feed and a registry, in memory, for gateways of the same process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cumintrail_client::{
    ClientError, Feed, FeedError, FeedPage, FeedRow, FeedTable, LoadRequest, PartsPage, PartsStore,
    Table, TargetOrders,
};
use cumintrail_config::{Document, Sections};
use cumintrail_control::TargetReport;
use cumintrail_control::parts::StoredPart;
use cumintrail_control::registry::{Change, Listed};
use cumintrail_daemon::{OperatorChange, OwnDialect, Platform};
use cumintrail_types::Generation;
use cumintrail_wire::configuration::Configuration;
use cumintrail_wire::peer::SnapshotRecord;
use cumintrail_wire::platform::{Committed, Row, Transaction};

const POLL: Duration = Duration::from_millis(5);

/// Holds the rows of the operators' table and of the registry.
#[derive(Debug, Clone, Default)]
pub struct FeedPlatform {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<(u8, String), (u64, Option<Bytes>)>,
    /// Changes up to this version are no longer told.
    forgotten: u64,
    is_down: bool,
}

impl FeedPlatform {
    /// Makes an empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts declarations in force as a generation.
    pub fn declare(&self, generation: u64, declarations: &str) {
        let value = format!("{generation}\n{declarations}");
        self.write(FeedTable::Operator, "config", Some(value.into()));
    }

    /// Writes the entry of a target.
    pub fn list(
        &self,
        id: &str,
        born: u64,
        beat: u64,
        serves: &str,
        at: SocketAddr,
        leaving: bool,
    ) {
        let value = format!("{born} {beat} {serves} {at} {leaving}");
        self.write(FeedTable::Registry, id, Some(value.into()));
    }

    /// Removes the entry of a target.
    pub fn unlist(&self, id: &str) {
        self.write(FeedTable::Registry, id, None);
    }

    /// Forgets the history of all changes.
    pub fn forget_history(&self) {
        let mut state = self.state();
        state.forgotten = state.version;
    }

    /// Answers nothing, or answers again.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
    }

    fn write(&self, table: FeedTable, key: &str, value: Option<Bytes>) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        state.rows.insert((place(table), key.into()), (version, value));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const fn place(table: FeedTable) -> u8 {
    match table {
        FeedTable::Operator => 0,
        FeedTable::Registry => 1,
    }
}

impl State {
    fn rows_after(&self, table: FeedTable, after: u64) -> Vec<FeedRow> {
        let rows = self.rows.iter().filter(|((t, _), (v, _))| *t == place(table) && *v > after);
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
    type Dialect = OwnDialect;

    fn open(&self) -> Self {
        self.clone()
    }

    fn dialect(&self) -> OwnDialect {
        OwnDialect
    }

    fn operator_change(&self, _key: &str, value: Option<&[u8]>) -> OperatorChange {
        let text = value.and_then(|value| std::str::from_utf8(value).ok());
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

    fn target_change(&self, key: &str, value: Option<&[u8]>) -> Change {
        let Some(value) = value else {
            return Change::Removed;
        };
        let text = String::from_utf8_lossy(value);
        let fields: Vec<&str> = text.split(' ').collect();
        let read = || {
            let [born, beat, serves, at, leaving] = fields[..] else { return None };
            Some(Listed {
                id: key.into(),
                born: born.parse().ok()?,
                serves: serves.into(),
                address: at.parse().ok()?,
                domain: "a".into(),
                slots: 8,
                leaving: leaving.parse().ok()?,
                version: None,
                beat: beat.parse().ok()?,
            })
        };
        read().map_or(Change::Unreadable, Change::Written)
    }
}

impl Feed for FeedPlatform {
    async fn read(&self, table: FeedTable) -> Result<FeedPage, FeedError> {
        let state = self.state();
        if state.is_down {
            return Err(ClientError::Broken.into());
        }
        let mut rows = state.rows_after(table, 0);
        rows.retain(|row| row.value.is_some());
        Ok(FeedPage { rows, version: state.version })
    }

    async fn changes(
        &self,
        table: FeedTable,
        after: u64,
        wait: Duration,
    ) -> Result<FeedPage, FeedError> {
        let end = tokio::time::Instant::now() + wait;
        loop {
            {
                let state = self.state();
                let rows = state.rows_after(table, after);
                if state.is_down {
                    return Err(ClientError::Broken.into());
                }
                if after < state.forgotten {
                    return Err(FeedError::HistoryLost);
                }
                if !rows.is_empty() || tokio::time::Instant::now() >= end {
                    return Ok(FeedPage { rows, version: state.version });
                }
            }
            actix_rt::time::sleep(POLL).await;
        }
    }
}

impl Table for FeedPlatform {
    async fn commit(&self, _transaction: &Transaction) -> Result<Committed, ClientError> {
        Err(ClientError::NotSent)
    }

    async fn read(&self, _key: &str) -> Result<Option<Row>, ClientError> {
        Err(ClientError::NotSent)
    }
}

impl TargetOrders for FeedPlatform {
    async fn load(
        &self,
        _request: &LoadRequest<'_>,
        _may_send: impl Fn() -> bool,
    ) -> Result<(), ClientError> {
        Err(ClientError::NotSent)
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
