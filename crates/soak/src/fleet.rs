//! The processes: entries and agents of one small deployment on loopback.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// Entries of the deployment.
pub(crate) const ENTRIES: u8 = 3;
/// Agents of the deployment, each beside a minion.
pub(crate) const AGENTS: u8 = 5;
const PORT: u16 = 17_900;

/// Addresses of one deployment; each has a loopback network of its own, so that several can run
/// beside one another with the same ports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Net(pub(crate) u8);

impl Net {
    fn at(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 77, self.0, host), PORT + port))
    }

    pub(crate) fn store(self) -> SocketAddr {
        self.at(1, 0)
    }

    /// Where entries are told that the store is.
    pub(crate) fn store_proxy(self, entry: u8) -> SocketAddr {
        self.at(20 + entry, 0)
    }

    pub(crate) fn callers(self, entry: u8) -> SocketAddr {
        self.at(20 + entry, 1)
    }

    pub(crate) fn ready(self, entry: u8) -> SocketAddr {
        self.at(20 + entry, 2)
    }

    pub(crate) fn inner(self, entry: u8) -> SocketAddr {
        self.at(20 + entry, 3)
    }

    /// Where the other processes are told that an entry is, if they reach it through a proxy. The
    /// planner's own word, which follows, names `inner`: a process says where it listens.
    pub(crate) fn inner_proxy(self, entry: u8) -> SocketAddr {
        self.at(20 + entry, 4)
    }

    pub(crate) fn minion(self, agent: u8) -> SocketAddr {
        self.at(100 + agent, 0)
    }

    pub(crate) fn beats(self, agent: u8) -> SocketAddr {
        self.at(100 + agent, 1)
    }

    fn agent(self, agent: u8) -> SocketAddr {
        self.at(100 + agent, 2)
    }
}

/// A process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Who {
    Entry(u8),
    Agent(u8),
}

struct Process {
    who: Who,
    child: Child,
}

/// All processes.
pub(crate) struct Fleet {
    net: Net,
    program: PathBuf,
    folder: PathBuf,
    has_proxies: bool,
    processes: Vec<Process>,
}

impl Fleet {
    /// Starts all; `has_proxies` between them.
    pub(crate) fn start(
        net: Net,
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
        };
        let entries = (0..ENTRIES).map(Who::Entry);
        for who in entries.chain((0..AGENTS).map(Who::Agent)) {
            fleet.launch(who)?;
        }
        Ok(fleet)
    }

    fn launch(&mut self, who: Who) -> io::Result<()> {
        let (role, name, settings) = self.settings(who);
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
        self.processes.push(Process { who, child });
        Ok(())
    }

    fn settings(&self, who: Who) -> (&'static str, String, String) {
        let net = self.net;
        let found = |entry: u8| match who {
            Who::Entry(own) if own == entry => net.inner(entry),
            _ if self.has_proxies => net.inner_proxy(entry),
            _ => net.inner(entry),
        };
        let entries: Vec<String> =
            (0..ENTRIES).map(|entry| format!("\"{}\"", found(entry))).collect();
        let entries = entries.join(", ");
        match who {
            Who::Entry(entry) => {
                let name = format!("e{entry}");
                let text = format!(
                    "platform: kv\nname: {name}\nregion: r\nzone: z\naddress: \"{}\"\n\
                     callers: \"{}\"\nready: \"{}\"\nstore: \"{}\"\nentries: [{entries}]\n",
                    net.inner(entry),
                    net.callers(entry),
                    net.ready(entry),
                    net.store_proxy(entry)
                );
                ("entry", name, text)
            }
            Who::Agent(agent) => {
                let name = format!("a{agent}");
                let text = format!(
                    "platform: kv\nname: {name}\nregion: r\nzone: z\naddress: \"{}\"\n\
                     minion: \"{}\"\ntasks: \"{}\"\nentries: [{entries}]\n",
                    net.agent(agent),
                    net.beats(agent),
                    net.minion(agent)
                );
                ("agent", name, text)
            }
        }
    }

    /// Sends a signal to a process of this fleet, by its id.
    pub(crate) fn signal(&self, who: Who, signal: Signal) {
        for process in self.processes.iter().filter(|process| process.who == who) {
            if let Ok(id) = i32::try_from(process.child.id()) {
                // One that has just ended can't be signalled; it is started again below.
                let _ = kill(Pid::from_raw(id), signal);
            }
        }
    }

    /// Starts again whatever has ended.
    pub(crate) fn restart_ended(&mut self) -> io::Result<()> {
        let mut ended = Vec::new();
        self.processes.retain_mut(|process| match process.child.try_wait() {
            Ok(None) => true,
            _ => {
                ended.push(process.who);
                false
            }
        });
        for who in ended {
            self.launch(who)?;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // One that has ended by itself needs no end; all are waited for.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}
