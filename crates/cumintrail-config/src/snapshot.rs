//! A validated configuration of one generation, with typed keys.

mod read;

use std::collections::HashMap;
use std::sync::Arc;

use cumintrail_types::{
    AccountKey, Arena, Digest, DomainKey, Generation, Key, ModelKey, ServiceKey, StoreKey,
    TargetKey, WeightVersion,
};

use crate::reader::suggest;
use crate::{
    Account, Deployment, Material, Model, Preset, Problem, Problems, Routes, Section,
    SectionReader, SectionReference, Service, Store, Target, TargetKind,
};

const SECTION_KINDS: [&str; 9] =
    ["deployment", "account", "material", "preset", "model", "service", "target", "store", "route"];

/// Represents one validated configuration.
///
/// Keys are stable across generations: a snapshot that is built from a previous one assigns equal
/// names the same keys and marks removed accounts, targets and stores as retired, so the keys that
/// calls in flight use stay valid.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The generation; zero before any configuration was committed.
    pub generation: Generation,
    /// The declarations for the whole deployment.
    pub deployment: Deployment,
    /// The preset in force.
    pub preset: Preset,
    /// All declared presets.
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
    /// Routes of relayed calls.
    pub routes: Arc<Routes>,
    /// Numbers the changes of targets and weight versions that a registry reports.
    pub revision: u64,
    /// A hash of the names of the isolated client accounts.
    pub isolated_accounts_hash: u64,
    accounts_by_key_digest: HashMap<Digest, AccountKey>,
}

impl Snapshot {
    /// Returns the models and plain services.
    pub fn kinds(&self) -> impl Iterator<Item = TargetKind> {
        let models = self.models.iter().map(|(key, _)| TargetKind::Engine(key));
        models.chain(self.services.iter().map(|(key, _)| TargetKind::Service(key)))
    }

    /// Returns the path at which targets of a model or plain service state their instance, if it is
    /// declared.
    pub fn identity_path(&self, kind: TargetKind) -> Option<&str> {
        let path = match kind {
            TargetKind::Engine(key) => self.models.get(key)?.identity_path.as_ref(),
            TargetKind::Service(key) => self.services.get(key)?.identity_path.as_ref(),
        };
        path.map(AsRef::as_ref)
    }

    /// Returns the name of a model or plain service.
    pub fn kind_name(&self, kind: TargetKind) -> Option<Arc<str>> {
        match kind {
            TargetKind::Engine(key) => self.models.get(key).map(|m| m.name.clone()),
            TargetKind::Service(key) => self.services.get(key).map(|s| s.name.clone()),
        }
    }

    /// Builds and checks a configuration from its sections.
    ///
    /// `preset` names the preset in force; if it is `None`, the deployment's first preset is used.
    pub fn build(
        generation: Generation,
        sections: &[Section],
        preset: Option<&str>,
        previous: Option<&Self>,
    ) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        report_unknown_kinds(sections, &mut problems);
        let deployment = read_deployment(sections, &mut problems);
        let mut builder = Builder { sections, problems: &mut problems };

        let mut domains = previous.map(|p| p.domains.clone()).unwrap_or_default();
        let models = builder.models(previous);
        let services = builder.services(previous);
        let accounts = builder.accounts(previous);
        let materials = builder.materials(&accounts, &models);
        let targets = builder.targets(previous, &mut domains, &models, &services);
        let stores = builder.stores(previous, &mut domains);
        let presets = builder.presets();
        let isolated_accounts_hash = hash_isolated_accounts(&accounts);
        let routes = Arc::new(builder.routes(&models, &services));

        let wanted = preset.unwrap_or(&deployment.first_preset);
        let in_force = presets.iter().find(|p| &*p.name == wanted).cloned();
        if in_force.is_none() {
            report_undeclared_preset(wanted, &presets, sections, &mut problems);
        }
        let accounts_by_key_digest = index_key_digests(&accounts, sections, &mut problems);
        let preset = in_force.unwrap_or_else(|| default_preset(wanted));
        problems.into_result(Self {
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
            routes,
            revision: 0,
            isolated_accounts_hash,
            accounts_by_key_digest,
        })
    }

    /// Returns the same declarations with the targets that a registry lists.
    ///
    /// Targets that are no longer listed are retired; their keys stay valid.
    #[must_use]
    pub fn with_targets(&self, revision: u64, targets: Vec<Target>) -> Self {
        let retire = |t: &mut Target| t.retired = true;
        let targets = merge_by_name(Some(&self.targets), targets, |t| &t.name, retire);
        Self { targets, revision, ..self.clone() }
    }

    /// Returns the key of a failure domain and adds the domain if it is unknown.
    pub fn get_or_add_domain(&mut self, name: &Arc<str>) -> DomainKey {
        let known = self.domain(name);
        known.unwrap_or_else(|| self.domains.push(name.clone()))
    }

    /// Returns the same declarations with another weight version of a model.
    #[must_use]
    pub fn with_version(&self, revision: u64, model: ModelKey, version: WeightVersion) -> Self {
        let mut next = Self { revision, ..self.clone() };
        if let Some(model) = next.models.get_mut(model) {
            model.version = version;
        }
        next
    }

    /// Returns generation and revision, by which snapshots are ordered.
    pub const fn position(&self) -> (Generation, u64) {
        (self.generation, self.revision)
    }

    /// Finds a model, or else a plain service, by name.
    pub fn target_kind(&self, name: &str) -> Option<TargetKind> {
        let model = self.model(name).map(TargetKind::Engine);
        model.or_else(|| self.service(name).map(TargetKind::Service))
    }

    /// Lists the keys of each kind of section in the order in which they are read.
    pub fn reference() -> Vec<SectionReference> {
        read::reference()
    }

    /// Finds the account that owns the API key with this digest.
    pub fn account_by_key_digest(&self, digest: &Digest) -> Option<AccountKey> {
        self.accounts_by_key_digest.get(digest).copied()
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
    fn read_each<T>(
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
        let read = self.read_each("model", read::model);
        merge_by_name(previous.map(|p| &p.models), read, |m| &m.name, |_| {})
    }

    fn services(&mut self, previous: Option<&Snapshot>) -> Arena<ServiceKey, Service> {
        let read = self.read_each("service", read::service);
        merge_by_name(previous.map(|p| &p.services), read, |s| &s.name, |_| {})
    }

    fn accounts(&mut self, previous: Option<&Snapshot>) -> Arena<AccountKey, Account> {
        let read = self.read_each("account", read::account);
        let retire = |a: &mut Account| {
            a.retired = true;
            a.key_digests.clear();
        };
        merge_by_name(previous.map(|p| &p.accounts), read, |a| &a.name, retire)
    }

    fn materials(
        &mut self,
        accounts: &Arena<AccountKey, Account>,
        models: &Arena<ModelKey, Model>,
    ) -> Vec<Material> {
        self.read_each("material", |name, r| read::material(name, r, accounts, models))
    }

    fn targets(
        &mut self,
        previous: Option<&Snapshot>,
        domains: &mut Arena<DomainKey, Arc<str>>,
        models: &Arena<ModelKey, Model>,
        services: &Arena<ServiceKey, Service>,
    ) -> Arena<TargetKey, Target> {
        let read =
            self.read_each("target", |name, r| read::target(name, r, domains, models, services));
        merge_by_name(previous.map(|p| &p.targets), read, |t| &t.name, |t| t.retired = true)
    }

    fn stores(
        &mut self,
        previous: Option<&Snapshot>,
        domains: &mut Arena<DomainKey, Arc<str>>,
    ) -> Arena<StoreKey, Store> {
        let read = self.read_each("store", |name, r| read::store(name, r, domains));
        merge_by_name(previous.map(|p| &p.stores), read, |s| &s.name, |s| s.retired = true)
    }

    fn routes(
        &mut self,
        models: &Arena<ModelKey, Model>,
        services: &Arena<ServiceKey, Service>,
    ) -> Routes {
        Routes::new(self.read_each("route", |name, r| read::route(name, r, models, services)))
    }

    fn presets(&mut self) -> Vec<Preset> {
        self.read_each("preset", read::preset)
    }
}

/// Hashes the names of the isolated accounts.
fn hash_isolated_accounts(accounts: &Arena<AccountKey, Account>) -> u64 {
    let isolated = accounts.iter().filter(|(_, a)| a.isolated && !a.retired);
    let mut names: Vec<&str> = isolated.map(|(_, a)| &*a.name).collect();
    names.sort_unstable();
    let digest = Digest::of(names.join("\n").as_bytes());
    digest.0.iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Merges declared values into the previous arena: equal names keep their key, new names get the
/// next keys, and values that are no longer declared are retired.
fn merge_by_name<K: Key, V: Clone>(
    previous: Option<&Arena<K, V>>,
    read: Vec<V>,
    name: impl Fn(&V) -> &Arc<str>,
    retire: impl Fn(&mut V),
) -> Arena<K, V> {
    let mut declared: HashMap<Arc<str>, V> = HashMap::new();
    let mut order = Vec::new();
    for value in read {
        order.push(name(&value).clone());
        declared.insert(name(&value).clone(), value);
    }
    let existing = previous.into_iter().flat_map(Arena::iter).map(|(_, old)| {
        declared.remove(name(old)).unwrap_or_else(|| {
            let mut removed = old.clone();
            retire(&mut removed);
            removed
        })
    });
    let mut merged: Arena<K, V> = existing.collect();
    for value in order.into_iter().filter_map(|n| declared.remove(&n)).collect::<Vec<_>>() {
        merged.push(value);
    }
    merged
}

fn read_deployment(sections: &[Section], problems: &mut Problems) -> Deployment {
    let file = sections.first().map_or_else(|| "configuration".into(), |s| s.file.clone());
    let empty =
        Section { file, line: 1, kind: "deployment".into(), name: "".into(), entries: Vec::new() };
    let section = sections.iter().find(|s| &*s.kind == "deployment").unwrap_or(&empty);
    let mut r = SectionReader::new(section, problems);
    let deployment = read::deployment(&mut r);
    r.finish();
    deployment
}

fn index_key_digests(
    accounts: &Arena<AccountKey, Account>,
    sections: &[Section],
    problems: &mut Problems,
) -> HashMap<Digest, AccountKey> {
    let mut index = HashMap::new();
    for (key, account) in accounts.iter() {
        for digest in &account.key_digests {
            let Some(other) = index.insert(*digest, key).filter(|other| *other != key) else {
                continue;
            };
            let first = accounts.get(other).map(|a| a.name.clone()).unwrap_or_default();
            let (file, line) = location_of(sections, "account", &account.name, "key_digests");
            problems.0.push(Problem {
                file,
                line,
                message: format!("accounts `{first}` and `{}` share an API key", account.name),
                hint: "give each client account keys of its own".into(),
            });
        }
    }
    index
}

fn report_undeclared_preset(
    wanted: &str,
    presets: &[Preset],
    sections: &[Section],
    problems: &mut Problems,
) {
    let names: Vec<&str> = presets.iter().map(|p| &*p.name).collect();
    let (file, line) = location_of(sections, "deployment", "", "first_preset");
    problems.0.push(Problem {
        file,
        line,
        message: format!("preset `{wanted}` is to be in force but is not declared"),
        hint: suggest(wanted, &names),
    });
}

/// Returns the file and line of a key, or else of its section.
fn location_of(sections: &[Section], kind: &str, name: &str, key: &str) -> (Arc<str>, usize) {
    let Some(section) = sections.iter().find(|s| &*s.kind == kind && &*s.name == name) else {
        let file = sections.first().map_or_else(|| "configuration".into(), |s| s.file.clone());
        return (file, 1);
    };
    let entry = section.entries.iter().find(|e| &*e.key == key);
    (section.file.clone(), entry.map_or(section.line, |e| e.line))
}

fn report_unknown_kinds(sections: &[Section], problems: &mut Problems) {
    for section in sections.iter().filter(|s| !SECTION_KINDS.contains(&&*s.kind)) {
        problems.0.push(Problem {
            file: section.file.clone(),
            line: section.line,
            message: format!("unknown section [{}]", section.kind),
            hint: suggest(&section.kind, &SECTION_KINDS),
        });
    }
}

fn default_preset(name: &str) -> Preset {
    Preset {
        name: name.into(),
        first_token_weight: 1.0,
        recompute_weight: 0.1,
        link_weight: 0.1,
        domain_traffic_weight: 0.0,
        warm_material: false,
        queue: 256,
    }
}
