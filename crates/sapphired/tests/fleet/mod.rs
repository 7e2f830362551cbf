//! Starts daemons and stand-ins of the platform on loopback and sends requests to them.

use std::{
    fs,
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use sapphire_standins::{minion, store, worker};
use serde_json::Value;

/// Timeout of every wait; far above what is needed, so that a busy machine does not fail the tests.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Two entries, agents with a worker and a minion each, and the stand-ins of the platform.
pub struct Fleet {
    folder: PathBuf,
    /// Address of the stand-in store.
    pub store: String,
    /// Address for other processes and HTTP address of each entry.
    entries: Vec<(String, String)>,
    /// Addresses of the stand-in minions.
    pub minions: Vec<String>,
    /// Addresses of the stand-in workers.
    pub workers: Vec<String>,
    /// The two entries, then the agents.
    processes: Vec<Child>,
    http: ureq::Agent,
}

/// Port of every listener; each listener has a loopback address of its own.
const PORT: u32 = 7_000;

/// Number of addresses assigned so far.
static ASSIGNED_ADDRESSES: AtomicU32 = AtomicU32::new(0);

/// Returns an address that nothing else listens on. It depends on the test process and on a
/// counter.
///
/// Guards against a port that an outgoing connection already uses: outgoing connections have the
/// address 127.0.0.1 and a port chosen by the system.
fn address() -> String {
    let number = ASSIGNED_ADDRESSES.fetch_add(1, Ordering::Relaxed) + 1;
    assert!(number < 255, "one test process has 254 addresses; the tests need more");
    let process = process::id();
    let (high, low) = (process / 250 % 250 + 1, process % 250 + 1);
    format!("127.{high}.{low}.{number}:{PORT}")
}

impl Fleet {
    /// Starts all processes and waits until both entries know all workers, are ready and know the
    /// planner.
    pub fn start(name: &str, agents: usize) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).expect("the scratch folder is writable");
        let entries = vec![(address(), address()), (address(), address())];
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        let mut fleet = Fleet {
            folder,
            store: address(),
            entries,
            minions: Vec::new(),
            workers: Vec::new(),
            processes: Vec::new(),
            http: config.into(),
        };
        store::Store::serve(&fleet.store).expect("the address is free");
        (0..2).for_each(|index| fleet.start_entry(index));
        (0..agents).for_each(|index| fleet.start_agent(index));
        let is_complete = |body: &Value| body["workers"].as_array().map(Vec::len) == Some(agents);
        for entry in 0..2 {
            fleet.wait_until(entry, "/v1/workers", is_complete);
            fleet.wait_until(entry, "/readyz", |body| body["ready"] == true);
            fleet.wait_until(entry, "/v1/rules/status", |body| body["planner"].is_string());
        }
        fleet
    }

    /// Writes a settings file.
    fn write_settings(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name).with_extension("yaml");
        fs::write(&path, text).expect("the scratch folder is writable");
        path
    }

    /// Starts a daemon with the given settings; its log goes to a file beside them.
    fn spawn(&mut self, role: &str, name: &str, text: &str) {
        let settings = self.write_settings(name, text);
        let log = fs::File::create(settings.with_extension("log")).expect("writable");
        let child = Command::new(env!("CARGO_BIN_EXE_sapphired"))
            .args([role, "--settings"])
            .arg(settings)
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the daemon was built for this test");
        self.processes.push(child);
    }

    fn start_entry(&mut self, index: usize) {
        let (own, http) = self.entries[index].clone();
        let other = &self.entries[1 - index].0;
        let store = &self.store;
        let name = format!("e{}", index + 1);
        let text = format!(
            "name: {name}\nregion: norte\nzone: norte-a\naddress: {own}\nhttp: {http}\n\
             store: {store}\npeers: [{other}]\n"
        );
        self.spawn("entry", &name, &text);
    }

    fn start_agent(&mut self, index: usize) {
        let (own, work, serve) = (address(), address(), address());
        worker::Worker::serve(&work).expect("the address is free");
        minion::serve(&serve).expect("the address is free");
        let number = index + 1;
        let entries = format!("{}, {}", self.entries[0].0, self.entries[1].0);
        let text = format!(
            "name: a{number}\nregion: norte\nzone: norte-a\naddress: {own}\n\
             entries: [{entries}]\nworker:\n  name: w{number}\n  rack: r1\n  address: {work}\n  \
             accelerators: 8\n  processors: 64\n  memory: 256GiB\nminion:\n  name: m{number}\n  \
             service: review\n  address: {serve}\n"
        );
        self.workers.push(work);
        self.minions.push(serve);
        self.spawn("agent", &format!("a{number}"), &text);
    }

    /// Sends a request to an entry and returns the status and the JSON body; a body that is not
    /// JSON is returned as a string. Status 0 if there was no answer.
    pub fn request(&self, entry: usize, method: &str, path: &str, body: &str) -> (u16, Value) {
        let url = format!("http://{}{path}", self.entries[entry].1);
        self.request_url(&url, method, body).unwrap_or((0, Value::Null))
    }

    /// Sends a request to any URL; returns none if there was no answer.
    pub fn request_url(&self, url: &str, method: &str, body: &str) -> Option<(u16, Value)> {
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(url)
            .header("If-Match", "0")
            .body(body.to_owned())
            .expect("the parts are valid");
        let mut response = if body.is_empty() {
            self.http.run(request.map(|_| ())).ok()?
        } else {
            self.http.run(request).ok()?
        };
        let text = response.body_mut().read_to_string().ok()?;
        let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Some((response.status().as_u16(), value))
    }

    /// Repeats a request until the body meets the condition, and returns that body.
    pub fn wait_until(&self, entry: usize, path: &str, is_met: impl Fn(&Value) -> bool) -> Value {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let (_, body) = self.request(entry, "GET", path, "");
            if is_met(&body) {
                return body;
            }
            assert!(Instant::now() < deadline, "{path} still answers {body} after {TIMEOUT:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Index of the entry that plans, 0 or 1.
    pub fn planner(&self) -> usize {
        let status = self.wait_until(0, "/v1/rules/status", |body| body["planner"].is_string());
        usize::from(status["planner"] == "e2")
    }

    /// Sends a signal to the process with this index: 0 and 1 are the entries, the agents follow.
    pub fn signal(&self, index: usize, signal: &str) {
        let id = self.processes[index].id().to_string();
        let status =
            Command::new("kill").args([signal, &id]).status().expect("the command kill exists");
        assert!(status.success());
    }

    /// Waits until a process has exited and returns whether its exit code was 0.
    pub fn wait_for_exit(&mut self, index: usize) -> bool {
        self.processes[index].wait().expect("the process is a child of the test").success()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
