//! One process of the daemon, and what it uses of its machine.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

/// Memory in bytes that the settings allow a process, including what it has received and not read.
pub const MEMORY: u64 = 64 << 20;
/// Descriptors that the settings allow a process.
pub const DESCRIPTORS: usize = 128;

/// Port of the first listeners; each listener has a loopback address of its own, with a port.
const PORT: u16 = 7_100;
/// Number of loopback addresses that have the same port.
const HOSTS: u32 = 250;
/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// Held by the test that runs, so that no other one takes part of the machine.
static RUNNING: Mutex<()> = Mutex::new(());
/// Number of addresses assigned so far.
static ASSIGNED_ADDRESSES: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that nothing else listens on.
pub fn address() -> SocketAddr {
    let number = ASSIGNED_ADDRESSES.fetch_add(1, Ordering::Relaxed) + 1;
    let process = process::id();
    let (high, low) = (process / 250 % 120 + 130, process % 250 + 1);
    let (port, last) = (number / HOSTS, number % HOSTS + 1);
    let host = [127, high, low, last].map(|part| u8::try_from(part).expect("they are below 256"));
    let port = PORT + u16::try_from(port).expect("few addresses");
    SocketAddr::from((host, port))
}

/// A process of the daemon; dropping it kills the process.
pub struct Daemon {
    child: Child,
    addresses: Vec<SocketAddr>,
    most_descriptors: usize,
    most_unread: u64,
    _running: MutexGuard<'static, ()>,
}

impl Daemon {
    /// Starts a process. `addresses` are those at which it listens.
    pub fn start(role: &str, settings: &str, addresses: Vec<SocketAddr>) -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let number = ASSIGNED_ADDRESSES.load(Ordering::Relaxed);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("clients");
        fs::create_dir_all(&folder).expect("the scratch folder is writable");
        let path = folder.join(format!("{role}-{number}.yaml"));
        fs::write(&path, settings).expect("the scratch folder is writable");
        let log = fs::File::create(path.with_extension("log")).expect("writable");
        let child = Command::new(env!("CARGO_BIN_EXE_sapphired"))
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log is open"))
            .stderr(log)
            .spawn()
            .expect("the daemon was built for this test");
        Daemon { child, addresses, most_descriptors: 0, most_unread: 0, _running: running }
    }

    /// Section of the settings with what the process may use.
    pub fn limits() -> String {
        format!("limits:\n  memory: {}MiB\n  descriptors: {DESCRIPTORS}\n", MEMORY >> 20)
    }

    /// Whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Records what the process uses now.
    pub fn measure(&mut self) {
        let id = self.child.id();
        let open = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        self.most_descriptors = self.most_descriptors.max(open);
        self.most_unread = self.most_unread.max(self.unread());
    }

    /// Bytes that its sockets have received and the process has not read.
    fn unread(&self) -> u64 {
        let sockets = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let unread_of = |row: &str| {
            let columns: Vec<&str> = row.split_whitespace().collect();
            let (local, state, queues) = (columns.get(1)?, columns.get(3)?, columns.get(4)?);
            let is_own = self.addresses.iter().any(|address| to_hex(*address) == **local);
            let (_, received) = queues.split_once(':')?;
            (is_own && *state != LISTENING).then(|| u64::from_str_radix(received, 16).ok())?
        };
        sockets.lines().filter_map(unread_of).sum()
    }

    /// Checks the process and what it has used at most so far.
    pub fn check(&mut self, after: &str) {
        self.measure();
        let status = self.child.try_wait().expect("the process is a child of the test");
        assert!(status.is_none(), "{after}: the process has ended: {status:?}");
        let resident = self.peak_resident();
        let memory = resident + self.most_unread;
        assert!(
            memory <= MEMORY,
            "{after}: {resident} bytes resident and {} unread are more than {MEMORY}",
            self.most_unread
        );
        let descriptors = self.most_descriptors;
        assert!(descriptors <= DESCRIPTORS, "{after}: {descriptors} descriptors were open");
    }

    /// Most memory in bytes that was resident at any time.
    fn peak_resident(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process is alive");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kilobytes.and_then(|text| text.trim().parse::<u64>().ok()).expect("in kB") << 10
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Killing a process that has ended by itself fails; it is waited for all the same.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Address as `/proc/net/tcp` shows it.
fn to_hex(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { return String::new() };
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}
