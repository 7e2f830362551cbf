//! The system under test: entries and agents as separate processes, and the platform around them.

use std::{
    fs,
    io::{self, Write as _},
    net::TcpListener,
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http,
    json::{self, Json},
    minion::{History, Minion, Options},
    record::Record,
    store::Store,
};

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-1";
const PROGRAM: &str = "target/release/sapphired";

/// A process of the system; it is killed when this is dropped.
pub struct Process {
    role: String,
    settings: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    fn start(role: &str, name: &str, settings: &str, folder: &str) -> io::Result<Process> {
        let path = format!("{folder}/{name}.yaml");
        fs::write(&path, settings)?;
        let log = PathBuf::from(format!("{folder}/{name}.log"));
        let child = Self::spawn(role, &path, &log)?;
        Ok(Process { role: role.to_owned(), settings: path, child, log })
    }

    fn spawn(role: &str, settings: &str, log: &PathBuf) -> io::Result<Child> {
        let output = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .args([role, "--settings", settings])
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        // For the script, which ends what is left if this program is stopped.
        let ids = log.with_file_name("processes");
        let mut ids = fs::OpenOptions::new().create(true).append(true).open(ids)?;
        writeln!(ids, "{}", child.id())?;
        Ok(child)
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = Self::spawn(&self.role, &self.settings, &self.log)?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Value of a line of `/proc/PID/status` in KiB, such as `VmHWM`.
    pub fn memory_kib(&self, line: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let text = text.unwrap_or_default();
        let mut lines = text.lines().filter_map(|it| it.strip_prefix(line)?.strip_prefix(':'));
        let value = lines.next().and_then(|value| value.split_whitespace().next()?.parse().ok());
        value.unwrap_or(0)
    }

    /// Lines of its log that contain a text.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Free addresses on a loopback address of this process's own, so that no outgoing connection takes
/// one of the ports.
pub fn addresses(count: usize) -> Vec<String> {
    let id = process::id();
    let host = format!("127.{}.{}.1", 64 + id % 128, id / 128 % 256);
    let is_free = |port: &u16| TcpListener::bind((host.as_str(), *port)).is_ok();
    let ports = (20_000..30_000).filter(is_free).take(count);
    ports.map(|port| format!("{host}:{port}")).collect()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The configuration: the queues `urgent`, `plain` and `bulk` of the service `desk`.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, priority: u64| {
        json::object([
            ("name", json::text(name)),
            ("host", json::text(HOST)),
            ("prefix", json::text(&format!("/{name}/"))),
            ("service", json::text("desk")),
            ("priority", json::number(priority)),
            ("max_attempts", json::number(3)),
            ("slack_factor", Json::Number(3.0)),
            ("target_latency_ms", json::number(500)),
        ])
    };
    let tenant = json::object([
        ("name", json::text("one")),
        ("api_keys", Json::List(vec![json::text(KEY)])),
        ("guaranteed", json::object([("gpu", json::number(8))])),
    ]);
    let routes = vec![route("urgent", 0), route("plain", 1), route("bulk", 2)];
    json::object([
        ("version", json::number(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![json::object([("name", json::text("desk"))])])),
        ("tenants", Json::List(vec![tenant])),
        ("limits", json::object([])),
    ])
    .to_string()
}

/// A small deployment: three entries and as many agents with minions as are asked for.
pub struct Fleet {
    record: Record,
    pub history: History,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub minions: Vec<Minion>,
    /// Addresses at which the entries take callers' requests.
    pub fronts: Vec<String>,
    pub readies: Vec<String>,
    pub controls: Vec<String>,
    store_address: String,
    machines_address: String,
    folder: String,
}

/// Settings that differ between cases.
#[derive(Clone)]
pub struct Plan {
    pub entries: usize,
    pub minions: usize,
    /// Memory of an entry's and of an agent's machine, in MiB.
    pub entry_memory: u64,
    pub agent_memory: u64,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
    /// Kind of the last minion, if it is of another kind than the others.
    pub special: Option<&'static str>,
}

impl Plan {
    fn kind_of(&self, minion: usize) -> &'static str {
        self.special.filter(|_| minion + 1 == self.minions).unwrap_or("a")
    }
}

impl Fleet {
    /// Starts the platform and the system, and waits until jobs are served.
    pub fn start(plan: &Plan, record: &Record, folder: &str) -> io::Result<Fleet> {
        let mut free = addresses(2 + plan.entries * 4 + plan.minions * 4).into_iter();
        let mut next = || free.next().expect("there are enough");
        let (store_address, machines_address) = (next(), next());
        let store = Store::start(&store_address)?;
        store.put("op/config", &configuration(1));
        let mut fleet = Fleet {
            record: record.clone(),
            history: History::new(record),
            entries: Vec::new(),
            agents: Vec::new(),
            minions: Vec::new(),
            fronts: Vec::new(),
            readies: Vec::new(),
            controls: Vec::new(),
            store_address,
            machines_address,
            folder: folder.to_owned(),
        };
        for _ in 0..plan.entries {
            fleet.fronts.push(next());
            fleet.readies.push(next());
            fleet.controls.push(next());
        }
        let minions: Vec<Options> = (0..plan.minions)
            .map(|index| Options {
                id: format!("i-{index}"),
                address: next(),
                agent: next(),
                service: "desk".to_owned(),
                zone: format!("z{}", index % 3),
                labels: vec![plan.kind_of(index).to_owned(), format!("r{}", index / 3)],
                cpu: plan.cpu,
                mem_mb: plan.mem_mb,
                gpu: plan.gpu,
            })
            .collect();
        let rows = minions.iter().enumerate().map(|(index, minion)| {
            json::object([
                ("machine", json::text(&format!("m-{index}"))),
                ("pool", json::text("desk")),
                ("state", json::text("up")),
                ("zone", json::text(&minion.zone)),
                ("id", json::text(&minion.id)),
            ])
        });
        let list =
            json::object([("machines", Json::List(rows.collect())), ("next_token", Json::Null)]);
        let list = list.to_string();
        http::serve(&fleet.machines_address, move |_| Some((200, list.clone())))?;
        for index in 0..plan.entries {
            let metrics = next();
            let entry = fleet.start_entry(plan, index, &metrics)?;
            fleet.entries.push(entry);
        }
        for (index, minion) in minions.iter().enumerate() {
            let (internal, metrics) = (next(), next());
            let agent = fleet.start_agent(plan, index, minion, &internal, &metrics)?;
            fleet.agents.push(agent);
            let born = unix_ms();
            fleet.minions.push(Minion::start(minion.clone(), born, &fleet.history, record)?);
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    fn bounds() -> &'static str {
        "bounds:\n  revocation: 5000ms\n  lease_limit: 10000ms\n  stop: 400ms\n  status: 120s\n  \
         reclaim: 2900ms\n  cancel: 3000ms\n  remote_factor: 3\n  checkpoint: 0.5s\n  \
         store_lease: 1000ms\nspeeds:\n  unequal_from: 1.4\n"
    }

    pub fn start_entry(&self, plan: &Plan, index: usize, metrics: &str) -> io::Result<Process> {
        let name = format!("edge-{index}");
        let settings = format!(
            "platform: kv\nname: \"{name}\"\nregion: \"r{index}\"\nzone: \"z{index}\"\n\
             address: \"{}\"\ncallers: \"{}\"\nready: \"{}\"\nmetrics: \"{metrics}\"\n\
             store: \"{}\"\nentries: {}\ninventory: \"{}\"\n\
             limits: {{ memory: {}MiB, descriptors: 4100 }}\n{}",
            self.controls[index],
            self.fronts[index],
            self.readies[index],
            self.store_address,
            self.seeds(),
            self.machines_address,
            plan.entry_memory,
            Self::bounds()
        );
        Process::start("entry", &name, &settings, &self.folder)
    }

    fn start_agent(
        &self,
        plan: &Plan,
        index: usize,
        minion: &Options,
        internal: &str,
        metrics: &str,
    ) -> io::Result<Process> {
        let name = format!("side-{index}");
        let settings = format!(
            "platform: kv\nname: \"{name}\"\nregion: \"r{0}\"\nzone: \"z{0}\"\n\
             address: \"{internal}\"\nminion: \"{1}\"\ntasks: \"{2}\"\nmetrics: \"{metrics}\"\n\
             entries: {3}\nlimits: {{ memory: {4}MiB, descriptors: 4096 }}\n\
             bounds:\n  lease_limit: 10000ms\n  stop: 400ms\n",
            index % 3,
            minion.agent,
            minion.address,
            self.seeds(),
            plan.agent_memory
        );
        Process::start("agent", &name, &settings, &self.folder)
    }

    fn seeds(&self) -> String {
        let quoted: Vec<String> = self.controls.iter().map(|it| format!("\"{it}\"")).collect();
        format!("[{}]", quoted.join(", "))
    }

    fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        let is_ready = |address: &String| {
            let timeout = Duration::from_millis(500);
            matches!(http::call(address, "GET", "/readyz", &[], "", timeout), Ok((200, _)))
        };
        while !self.readies.iter().all(is_ready) {
            if Instant::now() >= until {
                return Err(io::Error::other("the entries are not ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Traffic starts 10 s after the machines do.
        thread::sleep(Duration::from_secs(4));
        Ok(())
    }

    /// Makes a caller's call at an entry: the status, or 0 without an answer, and the body.
    fn call(&self, entry: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let headers = [("Host", HOST), ("X-Key", KEY), ("X-Deadline-Ms", "3000")];
        let timeout = Duration::from_secs(3);
        let result = http::call(&self.fronts[entry], method, path, &headers, body, timeout);
        let (status, text) = result.unwrap_or_else(|error| (0, error.to_string()));
        let shown: String = text.chars().take(120).collect();
        self.record.line(&format!(
            "entry={entry} {method} {path} bytes={} -> {status} {shown}",
            body.len()
        ));
        (status, text)
    }

    /// Submits a job: up to four attempts, at the entries in turn. Whether it was accepted.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        for attempt in 0..4 {
            let entry = attempt % self.fronts.len();
            if matches!(self.call(entry, "POST", path, body).0, 200..=299) {
                return true;
            }
            thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// State of a job as the first entry says that answers.
    pub fn state(&self, path: &str) -> String {
        for entry in 0..self.fronts.len() {
            if let (200, body) = self.call(entry, "GET", path, "") {
                let body = Json::parse(body.as_bytes()).unwrap_or(Json::Null);
                return body.get("state").text().to_owned();
            }
        }
        "no answer".to_owned()
    }
}
