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

use crate::conditions::{Bounds, Conditions};

/// Number of entries.
pub(crate) const ENTRIES: u8 = 3;
/// Number of agents, each with a minion of its own; twice as many with spells.
pub(crate) const AGENTS: u8 = 5;
/// Lowest port of each host.
const BASE_PORT: u16 = 17_900;
/// Ports at which an entry and an agent serve the system's other processes, and those of the
/// proxies before them, as offsets.
const INTERNAL_OFFSET: u16 = 3;
const AGENT_OFFSET: u16 = 2;
const AGENT_PROXY_OFFSET: u16 = 5;
const ENTRY_PROXY_OFFSET: u16 = 10;

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

    /// Address of a second proxy before the store, behind the first.
    pub(crate) fn store_cut(self, entry: u8) -> SocketAddr {
        self.address(20 + entry, 5)
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
        self.address(20 + entry, INTERNAL_OFFSET)
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
    pub(crate) fn agent(self, agent: u8) -> SocketAddr {
        self.address(100 + agent, AGENT_OFFSET)
    }

    /// Address of a proxy before the address at which an agent serves the other processes.
    pub(crate) fn agent_proxy(self, agent: u8) -> SocketAddr {
        self.address(100 + agent, AGENT_PROXY_OFFSET)
    }

    /// Address of a proxy that only one agent uses, before the internal address of an entry.
    pub(crate) fn entry_proxy(self, agent: u8, entry: u8) -> SocketAddr {
        self.address(20 + entry, ENTRY_PROXY_OFFSET + u16::from(agent))
    }

    /// Replacements in what passes the proxies of an agent: the announced addresses of entries and
    /// of the agent, by those of its proxies. All have the same length.
    pub(crate) fn replacements(self, agent: u8) -> Vec<(Vec<u8>, Vec<u8>)> {
        let port = |offset: u16| format!(":{}", BASE_PORT + offset).into_bytes();
        vec![
            (port(INTERNAL_OFFSET), port(ENTRY_PROXY_OFFSET + u16::from(agent))),
            (port(AGENT_OFFSET), port(AGENT_PROXY_OFFSET)),
        ]
    }
}

/// An entry or agent of the fleet, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
    ways: Ways,
    /// What the settings say of the platform.
    conditions: Conditions,
    processes: Vec<Process>,
    /// Processes that are not started again: their machines are gone or have no power.
    gone: BTreeSet<Node>,
}

/// How processes reach the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ways {
    Direct,
    /// Through one proxy for each entry, until the leader announces itself.
    EntryProxies,
    /// As before; agents have proxies of their own, which the announced addresses name too.
    AgentProxies,
}

impl Fleet {
    /// Starts all processes.
    pub(crate) fn start(
        net: Net,
        agents: u8,
        program: &Path,
        folder: &Path,
        ways: Ways,
        conditions: Conditions,
    ) -> io::Result<Self> {
        let mut fleet = Fleet {
            net,
            program: program.to_owned(),
            folder: folder.to_owned(),
            ways,
            conditions,
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
            Node::Agent(agent) if self.ways == Ways::AgentProxies => net.entry_proxy(agent, entry),
            _ if self.ways == Ways::Direct => net.internal(entry),
            _ => net.internal_proxy(entry),
        };
        let entries: Vec<String> =
            (0..ENTRIES).map(|entry| format!("\"{}\"", address_of(entry))).collect();
        let entries = entries.join(", ");
        let Bounds { lease_limit, cancel, stop, reclaim, .. } = self.conditions.bounds;
        let bounds = format!("bounds:\n  lease_limit: {lease_limit}ms\n  stop: {stop}ms\n");
        match node {
            Node::Entry(entry) => {
                let name = format!("e{entry}");
                let text = format!(
                    "platform: kv\nname: {name}\nregion: r\nzone: z\naddress: \"{}\"\n\
                     callers: \"{}\"\nready: \"{}\"\nstore: \"{}\"\n\
                     inventory: \"{}\"\nentries: [{entries}]\n\
                     calls_outlive_incarnations: {}\n{bounds}  cancel: {cancel}ms\n  \
                     reclaim: {reclaim}ms\n",
                    net.internal(entry),
                    net.callers(entry),
                    net.ready(entry),
                    net.store_proxy(entry),
                    net.store(),
                    self.conditions.calls_outlive_incarnations
                );
                ("entry", name, text)
            }
            Node::Agent(agent) => {
                let name = format!("a{agent}");
                let text = format!(
                    "platform: kv\nname: {name}\nregion: r\nzone: z\naddress: \"{}\"\n\
                     minion: \"{}\"\ntasks: \"{}\"\nentries: [{entries}]\n{bounds}",
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
        ended.retain(|node| !self.gone.contains(node));
        for node in ended {
            self.launch(node)?;
        }
        Ok(())
    }

    /// Kills a process and doesn't start it again.
    pub(crate) fn take_away(&mut self, node: Node) {
        self.signal(node, Signal::SIGKILL);
        self.gone.insert(node);
    }

    /// Starts a process that was taken away.
    pub(crate) fn bring_back(&mut self, node: Node) -> io::Result<()> {
        if self.gone.remove(&node) {
            for process in self.processes.iter_mut().filter(|process| process.node == node) {
                process.child.wait()?;
            }
            self.processes.retain(|process| process.node != node);
            self.launch(node)?;
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
