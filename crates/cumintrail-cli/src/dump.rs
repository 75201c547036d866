//! The dump of one daemon's state.

use std::net::SocketAddr;

use cumintrail_control::{
    CallDump, Dump, LimitDump, LimitedTargetDump, PeerDump, QuarantineDump, QueueDump, StoreDump,
    TargetDump,
};
use cumintrail_wire::operator::Age;
use snafu::ResultExt;

use crate::errors::{UnreachableSnafu, UsageSnafu};
use crate::table::{Style, Table, TextRole};
use crate::{CliError, OperatorClient, status};

const MIB: u64 = 1 << 20;

/// Reads the state of the daemon on VM `vm`.
pub async fn read_dump(client: &OperatorClient, vm: &str) -> Result<Dump, CliError> {
    let rows = status::read_all(client).await?;
    let named = rows.iter().find(|row| row.status.as_ref().is_some_and(|s| &*s.vm == vm));
    let address = named.and_then(|row| row.address.parse::<SocketAddr>().ok());
    let Some(address) = address else {
        let hint = "look at `cumintrail status` for the names";
        return UsageSnafu { message: format!("no daemon of VM `{vm}` answers"), hint }.fail();
    };
    let hint = "the daemon may have stopped; look at `cumintrail status`";
    let state = client.get::<Dump>(address, "/debug/state").await;
    state.context(UnreachableSnafu { what: vm, hint })
}

/// Formats a dump as a headline and text tables.
pub fn to_text(dump: &Dump, style: Style) -> String {
    let mut lines = vec![style.paint(TextRole::Heading, &headline(dump))];
    let tables = [
        ("calls", calls(&dump.calls)),
        ("queues", queues(&dump.queues)),
        ("client accounts with calls", limits(&dump.limits)),
        ("targets", targets(&dump.targets)),
        ("stores", stores(&dump.stores)),
        ("peers", peers(&dump.peers)),
        ("contents in quarantine", quarantined(&dump.quarantined)),
        ("limited targets", limited(&dump.limited)),
    ];
    for (title, table) in tables {
        lines.push(String::new());
        if table.is_empty() {
            lines.push(format!("{title}: none"));
            continue;
        }
        lines.push(style.paint(TextRole::Heading, title));
        lines.extend(table.lines("  "));
    }
    lines.join("\n")
}

fn headline(dump: &Dump) -> String {
    let stopping = if dump.stopping { ", stopping" } else { "" };
    format!(
        "{} in {}: up {}, generation {}, preset {}, {} calls ({} waiting), {} kept blocks known\
         {stopping}",
        dump.vm,
        dump.domain,
        Age(dump.up_ms),
        dump.generation,
        dump.preset.as_deref().unwrap_or("-"),
        dump.calls.len(),
        dump.waiting,
        dump.kept_blocks,
    )
}

fn calls(calls: &[CallDump]) -> Table {
    let headings =
        [">CALL", "ACCOUNT", "CLASS", "PHASE", "TARGET", ">ATTEMPTS", ">PROMPT", ">AGE", ">LEFT"];
    let mut table = Table::new(&headings);
    for call in calls {
        table.add_row([
            call.call.to_string(),
            call.account.to_string(),
            call.class.to_string(),
            call.phase.clone(),
            call.target.as_deref().unwrap_or("-").to_owned(),
            call.attempts.to_string(),
            call.prompt.to_string(),
            Age(call.age_ms).to_string(),
            Age(call.left_ms).to_string(),
        ]);
    }
    table
}

fn quarantined(entries: &[QuarantineDump]) -> Table {
    let mut table = Table::new(&["CONTENT", "ACCOUNT", ">LEFT"]);
    for entry in entries {
        let account = entry.account.as_deref().unwrap_or("all").to_owned();
        table.add_row([entry.content.clone(), account, Age(entry.left_ms).to_string()]);
    }
    table
}

fn limited(entries: &[LimitedTargetDump]) -> Table {
    let mut table = Table::new(&["TARGET", ">LIMIT /s", ">SHARE /s", ">CREDIT", ">NAMED"]);
    for entry in entries {
        table.add_row([
            entry.name.to_string(),
            format!("{:.2}", entry.limit),
            format!("{:.2}", entry.share),
            format!("{:.2}", entry.credit),
            Age(entry.age_ms).to_string(),
        ]);
    }
    table
}

fn queues(queues: &[QueueDump]) -> Table {
    let mut table = Table::new(&["MODEL OR SERVICE", ">WAITING"]);
    for queue in queues {
        table.add_row([queue.name.to_string(), queue.waiting.to_string()]);
    }
    table
}

fn limits(limits: &[LimitDump]) -> Table {
    let mut table =
        Table::new(&["ACCOUNT", ">IN FLIGHT", ">DECLARED LIMIT", ">SHARE %", ">WEIGHT"]);
    for limit in limits {
        table.add_row([
            limit.account.to_string(),
            limit.in_flight.to_string(),
            limit.concurrency.to_string(),
            format!("{:.0}", limit.share * 100.0),
            limit.weight.to_string(),
        ]);
    }
    table
}

fn targets(targets: &[TargetDump]) -> Table {
    let headings = [
        "TARGET",
        "DOMAIN",
        "ADDRESS",
        "STATE",
        ">VERSION",
        ">OUT",
        ">SLOTS",
        ">BACKLOG",
        ">BLOCKS",
        ">FAILURES",
        ">REPORTED",
    ];
    let mut table = Table::new(&headings);
    for target in targets.iter().filter(|t| !t.retired) {
        table.add_row([
            target.name.to_string(),
            target.domain.to_string(),
            target.address.to_string(),
            target_state(target).to_owned(),
            target.version.map_or_else(|| "-".into(), |v| v.to_string()),
            target.in_flight.to_string(),
            target.slots.to_string(),
            target.backlog.to_string(),
            target.blocks.to_string(),
            target.failures.to_string(),
            age(target.report_age_ms),
        ]);
    }
    table
}

fn target_state(target: &TargetDump) -> &str {
    match target {
        t if t.leaving => "leaving",
        t if t.ejected_ms > 0 => "ejected",
        t if t.loading => "loading",
        t => &t.liveness,
    }
}

fn stores(stores: &[StoreDump]) -> Table {
    let headings =
        ["STORE", "DOMAIN", "ADDRESS", "STATE", ">LINK MiB/s", ">SEEN MiB/s", ">ON WAY", ">LISTED"];
    let mut table = Table::new(&headings);
    for store in stores.iter().filter(|s| !s.retired) {
        table.add_row([
            store.name.to_string(),
            store.domain.to_string(),
            store.address.to_string(),
            store.liveness.clone(),
            (store.link_per_second.0 / MIB).to_string(),
            (store.observed_per_second.0 / MIB).to_string(),
            store.link_in_flight.to_string(),
            age(store.listing_age_ms),
        ]);
    }
    table
}

fn peers(peers: &[(SocketAddr, PeerDump)]) -> Table {
    let mut table = Table::new(&["PEER", "DOMAIN", "ADDRESS", "STATE", ">GENERATION", ">HEARD"]);
    for (address, peer) in peers {
        table.add_row([
            if peer.vm.is_empty() { "?".into() } else { peer.vm.to_string() },
            peer.domain.to_string(),
            address.to_string(),
            peer.liveness.clone(),
            peer.generation.to_string(),
            age(peer.heard_ms),
        ]);
    }
    table
}

fn age(ms: Option<u64>) -> String {
    ms.map_or_else(|| "never".into(), |ms| Age(ms).to_string())
}
