//! A checked configuration with typed keys, as one generation is in force.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use cumintrail_types::{
    AccountKey, Arena, Bytes, Digest, DomainKey, Generation, Key, ModelKey, ServiceKey, StoreKey,
    TargetKey, Tokens, WeightVersion,
};

use crate::reader::nearest;
use crate::{
    Account, Deployment, Material, Model, Preset, Problem, Problems, Section, SectionReader,
    Service, Store, Target, TargetKind,
};

const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
const MIB: u64 = 1 << 20;
const KINDS: [&str; 8] =
    ["deployment", "account", "material", "preset", "model", "service", "target", "store"];

/// Holds one configuration.
///
/// Keys are kept across generations: a snapshot built after another gives equal names equal keys
/// and marks what is gone as retired, so keys held by calls in flight stay valid.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The generation; zero before anything was accepted.
    pub generation: Generation,
    /// What is declared once.
    pub deployment: Deployment,
    /// The preset in force.
    pub preset: Preset,
    /// The names of all presets.
    pub presets: Vec<Preset>,
    /// Failure domains by name.
    pub domains: Arena<DomainKey, Arc<str>>,
    /// Models.
    pub models: Arena<ModelKey, Model>,
    /// Client accounts.
    pub accounts: Arena<AccountKey, Account>,
    /// Shared material.
    pub materials: Vec<Material>,
    /// Plain services.
    pub services: Arena<ServiceKey, Service>,
    /// Targets.
    pub targets: Arena<TargetKey, Target>,
    /// Stores.
    pub stores: Arena<StoreKey, Store>,
    by_key_digest: HashMap<Digest, AccountKey>,
}

impl Snapshot {
    /// Builds and checks a configuration from its sections.
    ///
    /// `preset` names the preset in force; without it the deployment's first preset is taken.
    pub fn build(
        generation: Generation,
        sections: &[Section],
        preset: Option<&str>,
        previous: Option<&Self>,
    ) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        report_unknown_kinds(sections, &mut problems);
        let file = sections.first().map_or_else(|| "configuration".into(), |s| s.file.clone());
        let deployment = read_deployment(sections, &file, &mut problems);
        let mut next = Builder { sections, problems: &mut problems };

        let mut domains = previous.map(|p| p.domains.clone()).unwrap_or_default();
        let models = next.models(previous);
        let services = next.services(previous);
        let accounts = next.accounts(previous);
        let materials = next.materials(&accounts, &models);
        let targets = next.targets(previous, &mut domains, &models, &services);
        let stores = next.stores(previous, &mut domains);
        let presets = next.presets();

        let wanted = preset.unwrap_or(&deployment.first_preset);
        let in_force = presets.iter().find(|p| &*p.name == wanted).cloned();
        if in_force.is_none() {
            let names: Vec<&str> = presets.iter().map(|p| &*p.name).collect();
            problems.0.push(Problem {
                file,
                line: 1,
                message: format!("preset `{wanted}` is to be in force but is not declared"),
                hint: nearest(wanted, &names),
            });
        }
        let by_key_digest = index_keys(&accounts, &mut problems);
        let preset = in_force.unwrap_or_else(|| default_preset(wanted));
        problems.or_value(Self {
            generation,
            deployment,
            preset,
            presets,
            domains,
            models,
            accounts,
            materials,
            services,
            targets,
            stores,
            by_key_digest,
        })
    }

    /// Finds the account that an API key's digest belongs to.
    pub fn account_of(&self, digest: &Digest) -> Option<AccountKey> {
        self.by_key_digest.get(digest).copied()
    }

    /// Finds a model by name.
    pub fn model(&self, name: &str) -> Option<ModelKey> {
        self.models.iter().find(|(_, m)| &*m.name == name).map(|(k, _)| k)
    }

    /// Finds a plain service by name.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.services.iter().find(|(_, s)| &*s.name == name).map(|(k, _)| k)
    }

    /// Finds a failure domain by name.
    pub fn domain(&self, name: &str) -> Option<DomainKey> {
        self.domains.iter().find(|(_, n)| &***n == name).map(|(k, _)| k)
    }
}

struct Builder<'a> {
    sections: &'a [Section],
    problems: &'a mut Problems,
}

impl Builder<'_> {
    fn each<T>(
        &mut self,
        kind: &str,
        mut read: impl FnMut(&Arc<str>, &mut SectionReader<'_>) -> T,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for section in self.sections.iter().filter(|s| &*s.kind == kind) {
            if section.name.is_empty() {
                self.problems.0.push(Problem {
                    file: section.file.clone(),
                    line: section.line,
                    message: format!("section [{kind}] has no name"),
                    hint: format!("write [{kind} NAME]"),
                });
            }
            let mut reader = SectionReader::new(section, self.problems);
            values.push(read(&section.name, &mut reader));
            reader.finish();
        }
        values
    }

    fn models(&mut self, previous: Option<&Snapshot>) -> Arena<ModelKey, Model> {
        let read = self.each("model", |name, r| Model {
            name: name.clone(),
            version: WeightVersion(r.within("version", 1, 1..=u64::MAX)),
            state_per_token: Bytes(r.within("state_bytes_per_token", 131_072, 1..=1 << 30)),
            token_gap: r.millis("token_gap_ms", 2_000, 10..=60_000),
        });
        merge(previous.map(|p| &p.models), read, |m| &m.name, |_| {})
    }

    fn services(&mut self, previous: Option<&Snapshot>) -> Arena<ServiceKey, Service> {
        let read = self.each("service", |name, r| Service {
            name: name.clone(),
            repeatable: match r.list("repeatable") {
                methods if methods.is_empty() => vec!["GET".into(), "HEAD".into()],
                methods => methods,
            },
            timeout: r.millis("timeout_ms", 5_000, 10..=600_000),
        });
        merge(previous.map(|p| &p.services), read, |s| &s.name, |_| {})
    }

    fn accounts(&mut self, previous: Option<&Snapshot>) -> Arena<AccountKey, Account> {
        let read = self.each("account", |name, r| Account {
            name: name.clone(),
            key_digests: read_digests(r),
            weight: r.within("weight", 1, 1..=1_000) as u32,
            concurrency: r.within("concurrency", 16, 1..=100_000) as u32,
            requests_per_second: r.within("requests_per_second", 1_000, 1..=1_000_000) as u32,
            tokens_per_second: r.within("tokens_per_second", 1_000_000, 1..=u64::from(u32::MAX))
                as u32,
            retired: false,
        });
        let retire = |a: &mut Account| {
            a.retired = true;
            a.key_digests.clear();
        };
        merge(previous.map(|p| &p.accounts), read, |a| &a.name, retire)
    }

    fn materials(
        &mut self,
        accounts: &Arena<AccountKey, Account>,
        models: &Arena<ModelKey, Model>,
    ) -> Vec<Material> {
        self.each("material", |name, r| Material {
            name: name.clone(),
            account: named(r, "account", accounts.iter().map(|(k, a)| (k, &a.name))),
            model: named(r, "model", models.iter().map(|(k, m)| (k, &m.name))),
            digest: r.required("digest", Digest([0; 32])),
        })
    }

    fn targets(
        &mut self,
        previous: Option<&Snapshot>,
        domains: &mut Arena<DomainKey, Arc<str>>,
        models: &Arena<ModelKey, Model>,
        services: &Arena<ServiceKey, Service>,
    ) -> Arena<TargetKey, Target> {
        let read = self.each("target", |name, r| Target {
            name: name.clone(),
            kind: read_kind(r, models, services),
            address: r.required("address", NOWHERE),
            domain: read_domain(r, domains),
            slots: r.within("slots", 8, 1..=10_000) as u32,
            prefill_per_second: r.within("prefill_tokens_per_second", 8_000, 1..=10_000_000) as u32,
            link_per_second: Bytes(r.within("link_bytes_per_second", 1_000 * MIB, 1..=u64::MAX)),
            checks_fencing: r.choice("checks_fencing", &[("no", false), ("yes", true)]),
            retired: false,
        });
        merge(previous.map(|p| &p.targets), read, |t| &t.name, |t| t.retired = true)
    }

    fn stores(
        &mut self,
        previous: Option<&Snapshot>,
        domains: &mut Arena<DomainKey, Arc<str>>,
    ) -> Arena<StoreKey, Store> {
        let read = self.each("store", |name, r| Store {
            name: name.clone(),
            address: r.required("address", NOWHERE),
            domain: read_domain(r, domains),
            link_per_second: Bytes(r.within("link_bytes_per_second", 1_000 * MIB, 1..=u64::MAX)),
            disk_per_second: Bytes(r.within("disk_bytes_per_second", 500 * MIB, 1..=u64::MAX)),
            capacity: Bytes(r.within("capacity_bytes", 64 << 30, 1..=u64::MAX)),
            retired: false,
        });
        merge(previous.map(|p| &p.stores), read, |s| &s.name, |s| s.retired = true)
    }

    fn presets(&mut self) -> Vec<Preset> {
        self.each("preset", |name, r| Preset {
            name: name.clone(),
            first_token_weight: r.weight("first_token_weight", 1.0),
            recompute_weight: r.weight("recompute_weight", 0.1),
            link_weight: r.weight("link_weight", 0.1),
            warm_material: r.choice("warm_material", &[("no", false), ("yes", true)]),
            queue: r.within("queue", 256, 0..=100_000) as usize,
        })
    }
}

/// Keeps the keys of equal names, appends new ones and retires what is gone.
fn merge<K: Key, V: Clone>(
    previous: Option<&Arena<K, V>>,
    read: Vec<V>,
    name: impl Fn(&V) -> &Arc<str>,
    retire: impl Fn(&mut V),
) -> Arena<K, V> {
    let mut fresh: HashMap<Arc<str>, V> = HashMap::new();
    let mut order = Vec::new();
    for value in read {
        order.push(name(&value).clone());
        fresh.insert(name(&value).clone(), value);
    }
    let kept = previous.into_iter().flat_map(Arena::iter).map(|(_, old)| {
        fresh.remove(name(old)).unwrap_or_else(|| {
            let mut gone = old.clone();
            retire(&mut gone);
            gone
        })
    });
    let mut merged: Arena<K, V> = kept.collect();
    for value in order.into_iter().filter_map(|n| fresh.remove(&n)).collect::<Vec<_>>() {
        merged.push(value);
    }
    merged
}

fn read_deployment(sections: &[Section], file: &Arc<str>, problems: &mut Problems) -> Deployment {
    let empty = Section {
        file: file.clone(),
        line: 1,
        kind: "deployment".into(),
        name: "".into(),
        entries: Vec::new(),
    };
    let section = sections.iter().find(|s| &*s.kind == "deployment").unwrap_or(&empty);
    let mut r = SectionReader::new(section, problems);
    let deployment = Deployment {
        piece: Tokens(r.within("piece_tokens", 2_000, 1..=1_000_000) as u32),
        bytes_per_token: r.within("bytes_per_token", 4, 1..=64) as u32,
        first_preset: r.required("first_preset", String::new()).into(),
        load_slots: r.within("load_slots", 2, 1..=64) as u8,
        record_life: r.millis("record_life_ms", 86_400_000, 1_000..=2_592_000_000),
        default_deadline: r.millis("default_deadline_ms", 120_000, 100..=3_600_000),
    };
    r.finish();
    deployment
}

fn read_digests(r: &mut SectionReader<'_>) -> Vec<Digest> {
    let mut digests = Vec::new();
    for text in r.list("key_digests") {
        match text.parse() {
            Ok(digest) => digests.push(digest),
            Err(e) => {
                r.reject("key_digests", format!("bad digest: {e}"), "run `cumintrail hash-key`");
            }
        }
    }
    if digests.is_empty() {
        r.reject(
            "key_digests",
            "the account has no API key".into(),
            "add key_digests, made by `cumintrail hash-key`",
        );
    }
    digests
}

fn read_kind(
    r: &mut SectionReader<'_>,
    models: &Arena<ModelKey, Model>,
    services: &Arena<ServiceKey, Service>,
) -> TargetKind {
    match (r.text("model"), r.text("service")) {
        (Some(_), None) => {
            TargetKind::Engine(named(r, "model", models.iter().map(|(k, m)| (k, &m.name))))
        }
        (None, Some(_)) => {
            TargetKind::Service(named(r, "service", services.iter().map(|(k, s)| (k, &s.name))))
        }
        _ => {
            r.reject(
                "model",
                "a target serves one model or one service".into(),
                "give either `model` or `service`",
            );
            TargetKind::Engine(ModelKey(0))
        }
    }
}

fn read_domain(r: &mut SectionReader<'_>, domains: &mut Arena<DomainKey, Arc<str>>) -> DomainKey {
    let name: String = r.required("failure_domain", String::new());
    let known = domains.iter().find(|(_, n)| ***n == *name).map(|(k, _)| k);
    known.unwrap_or_else(|| domains.push(name.into()))
}

fn named<'n, K: Key>(
    r: &mut SectionReader<'_>,
    key: &'static str,
    choices: impl Iterator<Item = (K, &'n Arc<str>)>,
) -> K {
    let wanted: String = r.required(key, String::new());
    let choices: Vec<(K, &Arc<str>)> = choices.collect();
    if let Some((found, _)) = choices.iter().find(|(_, name)| ***name == *wanted) {
        return *found;
    }
    let names: Vec<&str> = choices.iter().map(|(_, name)| &***name).collect();
    if !wanted.is_empty() {
        r.reject(
            key,
            format!("`{key} = {wanted}` names nothing that is declared"),
            &nearest(&wanted, &names),
        );
    }
    K::from_index(0)
}

fn index_keys(
    accounts: &Arena<AccountKey, Account>,
    problems: &mut Problems,
) -> HashMap<Digest, AccountKey> {
    let mut index = HashMap::new();
    for (key, account) in accounts.iter() {
        for digest in &account.key_digests {
            let Some(other) = index.insert(*digest, key).filter(|other| *other != key) else {
                continue;
            };
            let first = accounts.get(other).map(|a| a.name.clone()).unwrap_or_default();
            problems.0.push(Problem {
                file: "configuration".into(),
                line: 1,
                message: format!("accounts `{first}` and `{}` share an API key", account.name),
                hint: "give each client account keys of its own".into(),
            });
        }
    }
    index
}

fn report_unknown_kinds(sections: &[Section], problems: &mut Problems) {
    for section in sections.iter().filter(|s| !KINDS.contains(&&*s.kind)) {
        problems.0.push(Problem {
            file: section.file.clone(),
            line: section.line,
            message: format!("unknown section [{}]", section.kind),
            hint: nearest(&section.kind, &KINDS),
        });
    }
}

fn default_preset(name: &str) -> Preset {
    Preset {
        name: name.into(),
        first_token_weight: 1.0,
        recompute_weight: 0.1,
        link_weight: 0.1,
        warm_material: false,
        queue: 256,
    }
}
