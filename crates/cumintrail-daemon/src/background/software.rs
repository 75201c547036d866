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
        HistoryRequest::Read => match table.read(SOFTWARE_HISTORY_KEY).await {
            Ok(row) => Some(read_event(row)),
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

fn read_event(row: Option<Row>) -> Event {
    let Some(Row { version: row_version, value }) = row else {
        log::info!("event=software-history outcome=none");
        return Event::SoftwareHistoryRead(HistoryRow::default());
    };
    match serde_json::from_str(&value) {
        Ok(SoftwareHistoryRecord { versions }) => {
            let count = versions.len();
            log::info!("event=software-history outcome=read versions={count} row={row_version}");
            Event::SoftwareHistoryRead(HistoryRow { row_version, versions })
        }
        Err(e) => {
            log::warn!(
                "event=software-history outcome=damaged row={row_version} reason=\"{e}\" \
                 hint=\"resumed streams of unknown origin are refused for a minute or more\""
            );
            Event::SoftwareHistoryDamaged { row_version }
        }
    }
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
