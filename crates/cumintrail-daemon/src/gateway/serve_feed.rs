//! Serves the tables and lists of parts that this daemon reads to followers of its failure domain.

use std::time::Duration;

use cumintrail_wire::feed::{FeedReply, FeedRequest, UpdateMessage};

use crate::shared::Shared;

/// Maximum wait of a request, whatever the follower asks for.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Waits for a change of a table, up to the requested time, and returns what the follower lacks.
pub async fn reply(shared: &Shared, request: &FeedRequest) -> FeedReply {
    let received = shared.now();
    let reads_all = || {
        let reads = *shared.own_reads.borrow();
        reads.tables && reads.stores
    };
    if !reads_all() {
        return FeedReply::NotReader;
    }
    let cursor = request.cursor();
    let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_WAIT);
    let mut changes = shared.feed_changes.subscribe();
    let wake_up = async {
        while !shared.feed_log().has_table_changes(cursor) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    // At the end of the wait, the update confirms what the follower knows.
    let _ = actix_rt::time::timeout(wait, wake_up).await;
    if !reads_all() {
        return FeedReply::NotReader;
    }
    let update = shared.feed_log().update_for(cursor, &request.positions());
    if update.tables.iter().any(|table| table.as_of.is_none()) {
        return FeedReply::NotReader;
    }
    FeedReply::Update(Box::new(UpdateMessage::new(update, received, shared.now())))
}
