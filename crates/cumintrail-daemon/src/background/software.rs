//! Reads and writes of the row of recent software versions.

use cumintrail_client::{ClientError, Table};
use cumintrail_control::Event;
use cumintrail_control::software_history::{HistoryRequest, HistoryRow};
use cumintrail_wire::platform::{
    Condition, Row, SOFTWARE_HISTORY_KEY, SoftwareHistoryRecord, Transaction, Write,
};

use crate::shared::Shared;

/// Reads or writes the row and sends the result to the control state.
pub async fn exchange_history(table: &impl Table, shared: &Shared, request: HistoryRequest) {
    let event = match request {
        HistoryRequest::Read => match read(table).await {
            Ok(row) => {
                let (versions, row_version) = (row.versions.len(), row.row_version);
                log::info!(
                    "event=software-history outcome=read versions={versions} row={row_version}"
                );
                Some(Event::SoftwareHistoryRead(row))
            }
            // It is read again after an interval.
            Err(e) => {
                log::warn!("event=software-history outcome=failed reason=\"{e}\"");
                None
            }
        },
        HistoryRequest::Write(row) => {
            let versions = row.versions.len();
            let row_version = write(table, row).await.unwrap_or(None);
            let outcome = if row_version.is_some() { "written" } else { "not-written" };
            log::info!("event=software-history outcome={outcome} versions={versions}");
            Some(Event::SoftwareHistoryWritten { row_version })
        }
    };
    if let Some(event) = event {
        shared.control.send(event).await;
    }
    // A daemon that cannot read the row is ready, and refuses only streams of unknown origin.
    shared.await_software_history(false);
}

async fn read(table: &impl Table) -> Result<HistoryRow, ClientError> {
    let row = table.read(SOFTWARE_HISTORY_KEY).await?;
    row.map_or_else(|| Ok(HistoryRow::default()), |row| parse(&row))
}

fn parse(row: &Row) -> Result<HistoryRow, ClientError> {
    let record: Result<SoftwareHistoryRecord, _> = serde_json::from_str(&row.value);
    let SoftwareHistoryRecord { versions } = record.map_err(|_| ClientError::Malformed)?;
    Ok(HistoryRow { row_version: row.version, versions })
}

/// Writes the row; returns its new version, or `None` if another daemon wrote it before.
async fn write(table: &impl Table, row: HistoryRow) -> Result<Option<u64>, ClientError> {
    let expected = row.row_version;
    let record = SoftwareHistoryRecord { versions: row.versions };
    let value = serde_json::to_string(&record).map_err(|_| ClientError::Malformed)?;
    let key = SOFTWARE_HISTORY_KEY;
    let transaction = Transaction {
        conditions: vec![Condition { key: key.into(), version: expected }],
        writes: vec![Write { key: key.into(), value: Some(value) }],
    };
    let reply = table.commit(&transaction).await?;
    let version = reply.version.unwrap_or(expected + 1);
    Ok(reply.committed.then_some(version))
}
