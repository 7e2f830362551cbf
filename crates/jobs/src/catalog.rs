//! The operators' configuration: queues, services and organisations.

use std::{collections::BTreeMap, time::Duration};

/// Number of a configuration; grows with each.
pub type Version = u64;

/// One configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Its version.
    pub version: Version,
    /// Revision of its key in the store.
    pub revision: u64,
    queues: Vec<Queue>,
    services: BTreeMap<String, Service>,
    organisations: BTreeMap<String, Organisation>,
    /// Queues by host.
    hosts: BTreeMap<String, Vec<usize>>,
    /// Queues by name.
    names: BTreeMap<String, usize>,
    /// Organisations by key.
    keys: BTreeMap<String, String>,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Host that its callers name, in lower case.
    pub host: String,
    /// What the paths of its jobs begin with.
    pub prefix: String,
    /// Whose minions run its tasks.
    pub service: String,
    /// 0 goes first and may preempt others.
    pub priority: u32,
    /// Runs of a task that may fail before the job does.
    pub max_attempts: u32,
    /// Objective in multiples of the longest chain of work.
    pub slack: f64,
    /// What the objective has beside that.
    pub target_latency: Duration,
    /// Its callers need no key.
    pub is_open: bool,
}

/// A service whose minions run tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Its minions refuse what doesn't fit.
    pub guards_room: bool,
    /// Its workers are switched off.
    pub is_standby: bool,
    /// Where its minions say whether they are well.
    pub health_path: String,
}

/// A customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisation {
    /// Its name; any text.
    pub name: String,
    /// Keys that its callers may use.
    pub keys: Vec<String>,
    /// Accelerators that its jobs of priority 0 can always have.
    pub guaranteed_accelerators: u32,
}

/// Parts of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Version.
    pub version: Version,
    /// Revision in the store.
    pub revision: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services.
    pub services: Vec<Service>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
}

impl Catalog {
    /// Puts a configuration together.
    pub fn new(parts: Parts) -> Self {
        let mut hosts: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        let mut names = BTreeMap::new();
        for (index, queue) in parts.queues.iter().enumerate() {
            hosts.entry(queue.host.clone()).or_default().push(index);
            names.insert(queue.name.clone(), index);
        }
        let mut keys = BTreeMap::new();
        for organisation in &parts.organisations {
            for key in &organisation.keys {
                keys.insert(key.clone(), organisation.name.clone());
            }
        }
        let name = |service: Service| (service.name.clone(), service);
        let services = parts.services.into_iter().map(name).collect();
        let name = |organisation: Organisation| (organisation.name.clone(), organisation);
        let organisations = parts.organisations.into_iter().map(name).collect();
        Catalog {
            version: parts.version,
            revision: parts.revision,
            queues: parts.queues,
            services,
            organisations,
            hosts,
            names,
            keys,
        }
    }

    /// The queue with the longest prefix of a path, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let queues = self.hosts.get(&host)?.iter().map(|index| &self.queues[*index]);
        let matching = queues.filter_map(|queue| Some((queue, path.strip_prefix(&queue.prefix)?)));
        matching.max_by_key(|(queue, _)| queue.prefix.len())
    }

    /// A queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.names.get(name).map(|index| &self.queues[*index])
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The organisation that a key belongs to.
    pub fn owner(&self, key: &str) -> Option<&Organisation> {
        self.organisations.get(self.keys.get(key)?)
    }

    /// An organisation by its name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations.get(name)
    }
}
