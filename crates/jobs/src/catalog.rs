//! The configuration that operators maintain: queues, services and organisations.

use std::{collections::BTreeMap, time::Duration};

/// Version number of a configuration; each new configuration has a higher one.
pub type Version = u64;

/// One complete configuration, indexed for look-ups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version number of this configuration.
    pub version: Version,
    /// Revision of the store key that holds this configuration.
    pub revision: u64,
    /// Largest body of a caller's request, in bytes; none if operators set no limit.
    pub max_body_bytes: Option<u64>,
    queues: Vec<Queue>,
    services: BTreeMap<String, Service>,
    organisations: BTreeMap<String, Organisation>,
    /// Indices into `queues` by host name.
    queues_by_host: BTreeMap<String, Vec<usize>>,
    /// Indices into `queues` by queue name.
    queues_by_name: BTreeMap<String, usize>,
    /// Names of organisations by API key.
    organisations_by_key: BTreeMap<String, String>,
}

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name under which callers reach the queue, in lower case.
    pub host: String,
    /// Prefix of the request paths that belong to the queue.
    pub prefix: String,
    /// Name of the service whose minions run the queue's tasks.
    pub service: String,
    /// Priority of the queue's jobs. 0 is the highest and may preempt the others.
    pub priority: u32,
    /// Number of runs of a task that may fail before the job fails.
    pub max_attempts: u32,
    /// Completion objective as a multiple of the job's critical path.
    pub slack: f64,
    /// Fixed time that is added to that multiple.
    pub target_latency: Duration,
    /// Whether callers may submit jobs without an API key.
    pub is_anonymous: bool,
}

/// A group of minions that run the tasks of the same queues.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Whether the service's minions refuse tasks that exceed their free resources.
    pub enforces_capacity: bool,
    /// Whether the service's workers are on standby, that is, switched off.
    pub is_standby: bool,
    /// Path at which the service's minions report their health.
    pub health_path: String,
}

/// A customer, to whom API keys and guarantees belong.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisation {
    /// Name of the organisation. Any text is allowed.
    pub name: String,
    /// API keys that callers of the organisation may use.
    pub keys: Vec<String>,
    /// Number of accelerators that are guaranteed to the organisation's jobs of priority 0.
    pub guaranteed_accelerators: u32,
}

/// The parts that a [`Catalog`] is built from.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Version number of the configuration.
    pub version: Version,
    /// Revision of the store key that holds the configuration.
    pub revision: u64,
    /// Largest body of a caller's request, in bytes; none if operators set no limit.
    pub max_body_bytes: Option<u64>,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All services.
    pub services: Vec<Service>,
    /// All organisations.
    pub organisations: Vec<Organisation>,
}

impl Catalog {
    /// Builds a configuration and its indices.
    pub fn new(parts: Parts) -> Self {
        let mut queues_by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        let mut queues_by_name = BTreeMap::new();
        for (index, queue) in parts.queues.iter().enumerate() {
            queues_by_host.entry(queue.host.clone()).or_default().push(index);
            queues_by_name.insert(queue.name.clone(), index);
        }
        let mut organisations_by_key = BTreeMap::new();
        for organisation in &parts.organisations {
            for key in &organisation.keys {
                organisations_by_key.insert(key.clone(), organisation.name.clone());
            }
        }
        let name = |service: Service| (service.name.clone(), service);
        let services = parts.services.into_iter().map(name).collect();
        let name = |organisation: Organisation| (organisation.name.clone(), organisation);
        let organisations = parts.organisations.into_iter().map(name).collect();
        Catalog {
            version: parts.version,
            revision: parts.revision,
            max_body_bytes: parts.max_body_bytes,
            queues: parts.queues,
            services,
            organisations,
            queues_by_host,
            queues_by_name,
            organisations_by_key,
        }
    }

    /// Finds the queue of a host with the longest prefix that matches a path. Returns it with the
    /// rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let queues = self.queues_by_host.get(&host)?.iter().map(|index| &self.queues[*index]);
        let matching = queues.filter_map(|queue| Some((queue, path.strip_prefix(&queue.prefix)?)));
        matching.max_by_key(|(queue, _)| queue.prefix.len())
    }

    /// Looks up a queue by name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues_by_name.get(name).map(|index| &self.queues[*index])
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns whether it names any service.
    pub fn has_services(&self) -> bool {
        !self.services.is_empty() || !self.queues.is_empty()
    }

    /// Returns whether it names a service, as one of its own or as that of a queue.
    pub fn names_service(&self, name: &str) -> bool {
        self.services.contains_key(name) || self.queues.iter().any(|queue| queue.service == name)
    }

    /// Looks up the organisation that an API key belongs to.
    pub fn owner(&self, key: &str) -> Option<&Organisation> {
        self.organisations.get(self.organisations_by_key.get(key)?)
    }

    /// Looks up an organisation by name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations.get(name)
    }
}
