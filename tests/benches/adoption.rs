//! The cost of putting a changed configuration in force, by client accounts.

use std::fmt::Write as _;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use cumintrail_config::{Document, Sections, Snapshot};
use cumintrail_control::{Control, Event, Identity};
use cumintrail_types::{Digest, Generation, Incarnation, Moment};

const TARGETS: usize = 1_000;

fn sections(accounts: usize) -> Sections {
    let mut text = String::from("[deployment]\nfirst_preset = p\n[preset p]\n[model m]\n");
    for i in 0..TARGETS {
        let (high, low) = (i / 200, i % 200 + 1);
        let _ = write!(
            text,
            "[target e{i}]\nmodel = m\naddress = 10.0.{high}.{low}:80\nfailure_domain = d\n"
        );
    }
    for i in 0..accounts {
        let digest = Digest::of(format!("key {i}").as_bytes());
        let _ = write!(text, "[account a{i}]\nkey_digests = {digest}\nconcurrency = 8\n");
    }
    let parsed = Document::parse(&"bench.ini".into(), &text).expect("it parses").sections;
    Sections::from_parsed(&parsed)
}

fn build(generation: u64, sections: &Sections, previous: Option<&Snapshot>) -> Snapshot {
    let parsed = sections.to_parsed().expect("it parses");
    Snapshot::build(Generation(generation), &parsed, None, previous).expect("it is valid")
}

fn control() -> Control {
    let identity = Identity {
        vm: "vm".into(),
        domain: "d".into(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:7002".parse().expect("an address"),
        probe_interval: Duration::from_millis(500),
        digest_interval: Duration::from_secs(1),
        processor_share: 0,
    };
    Control::new(identity, 1)
}

fn adopt(c: &mut Criterion) {
    let mut group = c.benchmark_group("adoption");
    group.sample_size(10).measurement_time(Duration::from_secs(2));
    for accounts in [462, 1_850, 7_400] {
        let sections = sections(accounts);
        let first = build(1, &sections, None);
        group.bench_function(BenchmarkId::new("build", accounts), |b| {
            b.iter(|| black_box(build(2, &sections, Some(&first))));
        });
        let next = Arc::new(build(2, &sections, Some(&first)));
        let mut control = control();
        let _ = control.handle(Moment(0), Event::Configured(Arc::new(first)));
        group.bench_function(BenchmarkId::new("control", accounts), |b| {
            b.iter(|| black_box(control.handle(Moment(1), Event::Configured(next.clone()))));
        });
    }
    group.finish();
}

#[allow(missing_docs, reason = "the macro makes an undocumented function")]
mod groups {
    use super::{adopt, criterion_group};

    criterion_group!(benches, adopt);
}

criterion_main!(groups::benches);
