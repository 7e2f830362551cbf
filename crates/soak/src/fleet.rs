//! The processes under test: entries and agents of one small deployment on loopback.

use std::{
    collections::BTreeSet,
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// Number of entries.
pub(crate) const ENTRIES: u8 = 3;
/// Number of agents, each with a minion of its own; twice as many with spells.
pub(crate) const AGENTS: u8 = 5;
/// Lowest port of each host.
const BASE_PORT: u16 = 17_900;

/// Addresses of one deployment. Each deployment has a loopback network of its own, so that several
/// can run at the same time with the same ports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Net(pub(crate) u8);

impl Net {
    fn address(self, host: u8, offset: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 77, self.0, host), BASE_PORT + offset))
    }

    /// Address of the platform's store.
    pub(crate) fn store(self) -> SocketAddr {
        self.address(1, 0)
    }

    /// Address of the store in an entry's settings: a proxy before the store.
    pub(crate) fn store_proxy(self, entry: u8) -> SocketAddr {
        self.address(20 + entry, 0)
    }

    /// Address at which an entry serves callers.
    pub(crate) fn callers(self, entry: u8) -> SocketAddr {
        self.address(20 + entry, 1)
    }

    /// Address at which an entry serves its readiness check.
    pub(crate) fn ready(self, entry: u8) -> SocketAddr {
        self.address(20 + entry, 2)
    }

    /// Address at which an entry serves the system's other processes.
    pub(crate) fn internal(self, entry: u8) -> SocketAddr {
        self.address(20 + entry, 3)
    }

    /// Address of an entry in the settings of the other processes, if there are proxies between
    /// them. The leader announces its `internal` address, since a process announces where it
    /// listens; what follows the announcement bypasses the proxy.
    pub(crate) fn internal_proxy(self, entry: u8) -> SocketAddr {
        self.address(20 + entry, 4)
    }

    /// Address at which an agent's minion takes orders.
    pub(crate) fn minion(self, agent: u8) -> SocketAddr {
        self.address(100 + agent, 0)
    }

    /// Address at which an agent receives the heartbeats of its minion.
    pub(crate) fn heartbeats(self, agent: u8) -> SocketAddr {
        self.address(100 + agent, 1)
    }

    /// Address at which an agent serves the system's other processes.
    fn agent(self, agent: u8) -> SocketAddr {
        self.address(100 + agent, 2)
    }
}

/// An entry or agent of the fleet, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Node {
    Entry(u8),
    Agent(u8),
}

struct Process {
    node: Node,
    child: Child,
}

/// All processes of a deployment; dropping it kills them.
pub(crate) struct Fleet {
    net: Net,
    program: PathBuf,
    folder: PathBuf,
    /// Whether processes reach the entries through proxies.
    has_proxies: bool,
    processes: Vec<Process>,
    /// Agents whose machines are gone; they are not started again.
    gone: BTreeSet<u8>,
}

impl Fleet {
    /// Starts all processes; with `has_proxies`, they reach the entries through proxies.
    pub(crate) fn start(
        net: Net,
        agents: u8,
        program: &Path,
        folder: &Path,
        has_proxies: bool,
    ) -> io::Result<Self> {
        let mut fleet = Fleet {
            net,
            program: program.to_owned(),
            folder: folder.to_owned(),
            has_proxies,
            processes: Vec::new(),
            gone: BTreeSet::new(),
        };
        let entries = (0..ENTRIES).map(Node::Entry);
        for node in entries.chain((0..agents).map(Node::Agent)) {
            fleet.launch(node)?;
        }
        Ok(fleet)
    }

    /// Writes the settings of a process and starts it; its output is appended to its log.
    fn launch(&mut self, node: Node) -> io::Result<()> {
        let (role, name, settings) = self.settings(node);
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(&self.program)
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes.push(Process { node, child });
        Ok(())
    }

    /// Role, name and settings of a process.
    fn settings(&self, node: Node) -> (&'static str, String, String) {
        let net = self.net;
        let address_of = |entry: u8| match node {
            Node::Entry(own) if own == entry => net.internal(entry),
            _ if self.has_proxies => net.internal_proxy(entry),
            _ => net.internal(entry),
        };
        let entries: Vec<String> =
            (0..ENTRIES).map(|entry| format!("\"{}\"", address_of(entry))).collect();
        let entries = entries.join(", ");
        match node {
            Node::Entry(entry) => {
                let name = format!("e{entry}");
                let text = format!(
                    "platform: kv\nname: {name}\nregion: r\nzone: z\naddress: \"{}\"\n\
                     callers: \"{}\"\nready: \"{}\"\nstore: \"{}\"\n\
                     inventory: \"{}\"\nentries: [{entries}]\n",
                    net.internal(entry),
                    net.callers(entry),
                    net.ready(entry),
                    net.store_proxy(entry),
                    net.store()
                );
                ("entry", name, text)
            }
            Node::Agent(agent) => {
                let name = format!("a{agent}");
                let text = format!(
                    "platform: kv\nname: {name}\nregion: r\nzone: z\naddress: \"{}\"\n\
                     minion: \"{}\"\ntasks: \"{}\"\nentries: [{entries}]\n",
                    net.agent(agent),
                    net.heartbeats(agent),
                    net.minion(agent)
                );
                ("agent", name, text)
            }
        }
    }

    /// Sends a signal to a process of this fleet, by its process id.
    pub(crate) fn signal(&self, node: Node, signal: Signal) {
        for process in self.processes.iter().filter(|process| process.node == node) {
            if let Ok(id) = i32::try_from(process.child.id()) {
                // Signalling a process that has just ended fails; `restart_ended` starts it again.
                let _ = kill(Pid::from_raw(id), signal);
            }
        }
    }

    /// Starts the processes again that have ended.
    pub(crate) fn restart_ended(&mut self) -> io::Result<()> {
        let mut ended = Vec::new();
        self.processes.retain_mut(|process| match process.child.try_wait() {
            Ok(None) => true,
            _ => {
                ended.push(process.node);
                false
            }
        });
        let gone = &self.gone;
        ended.retain(|node| !matches!(node, Node::Agent(agent) if gone.contains(agent)));
        for node in ended {
            self.launch(node)?;
        }
        Ok(())
    }

    /// Kills an agent and doesn't start it again.
    pub(crate) fn take_away(&mut self, agent: u8) {
        self.signal(Node::Agent(agent), Signal::SIGKILL);
        self.gone.insert(agent);
    }

    /// Starts an agent that was taken away.
    pub(crate) fn bring_back(&mut self, agent: u8) -> io::Result<()> {
        if self.gone.remove(&agent) {
            self.processes.retain_mut(|process| process.node != Node::Agent(agent));
            self.launch(Node::Agent(agent))?;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // Killing a process that has ended by itself fails; each is waited for all the same.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}
