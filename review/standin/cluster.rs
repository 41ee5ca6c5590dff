//! A small deployment: the project's programs as processes on loopback addresses, and stand-ins of
//! everything else.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::client::{HOST, PREFIX};
use crate::minion::{Bounds, Fleet, Minion};
use crate::proxy::{self, Cut};
use crate::record;
use crate::store::Store;

const BOUNDS: &str = "seedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\n\
    drainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\ndowngradeMs = 250\n\
    maxSkewMs = 5000\nrecoveryS = 12\nmaxHoldMs = 10000\nstopMs = 400\ngangWaitMs = 3000\n\
    cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n\
    farFactor = 1.5\ncheckpointS = 2\nrestoreMs = 250\nnoticeMs = 4500\nmoveS = 1.5\n\
    maintenanceS = 2\nrequireFence = true\nleaseMs = 3000\nthawMs = 300\npaceMs = 100\n\
    harmMs = 4000\n";
pub const MINION_BOUNDS: Bounds = Bounds { max_hold_ms: 10_000, gang_wait_ms: 3_000 };

/// Commands of the deploy file.
struct Commands {
    entry: Vec<String>,
    agent: Vec<String>,
}

pub struct Cluster {
    pub entries: Vec<SocketAddr>,
    /// Address of each entry for the balancer's readiness checks.
    pub readiness: Vec<SocketAddr>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub minions: Vec<Arc<Minion>>,
    /// Whether an agent is cut off from all entries, by agent.
    pub cuts: Vec<Cut>,
    pub processes: Vec<Program>,
    ports: Ports,
    folder: PathBuf,
}

/// Ports that agents, minions and their views of the store use on their addresses.
#[derive(Debug, Clone, Copy)]
struct Ports {
    control: u16,
    peer: u16,
    app: u16,
    store: u16,
}

/// A process of the project, with what is needed to start it again.
pub struct Program {
    pub name: String,
    command: Vec<String>,
    child: Child,
}

/// Signals of Linux that the cases send.
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Extra text for the configuration and the settings.
#[derive(Debug, Default, Clone)]
pub struct Extras {
    /// Fields of the queue, with a comma at the beginning.
    pub route: String,
    /// Address of the advice service.
    pub advice: Option<SocketAddr>,
}

pub fn entry_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, number as u8)
}

fn agent_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 2, number as u8)
}

/// Address at which an agent reaches an entry through a proxy.
fn proxy_ip(agent: usize, entry: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 1, agent as u8, entry as u8)
}

/// Returns a port that is free on all loopback addresses.
pub fn free_port() -> std::io::Result<u16> {
    // Proxies use the same port on other loopback addresses.
    Ok(TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?.local_addr()?.port())
}

/// Returns a free address for the advice service.
pub fn advice_address() -> std::io::Result<SocketAddr> {
    Ok(at(Ipv4Addr::new(127, 0, 3, 2), free_port()?))
}

fn at(ip: Ipv4Addr, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), port)
}

fn read_commands() -> std::io::Result<Commands> {
    let text = std::fs::read_to_string("deploy/system.toml")?;
    let runs = text.lines().filter_map(|line| line.strip_prefix("run = \""));
    let words = |run: &str| -> Vec<String> {
        run.trim_end_matches('"').split(' ').map(str::to_owned).collect()
    };
    let all: Vec<Vec<String>> = runs.map(words).collect();
    let find = |role: &str| {
        let found = all.iter().find(|words| words.iter().any(|word| word == role));
        found.cloned().ok_or_else(|| std::io::Error::other(format!("no role {role}")))
    };
    Ok(Commands { entry: find("job-entry")?, agent: find("job-agent")? })
}

impl Cluster {
    /// Starts a deployment with these numbers of entries and agents.
    pub fn start(entries: usize, agents: usize, extras: &Extras) -> std::io::Result<Self> {
        let commands = read_commands()?;
        let name = format!("geraniumpost-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let ports: Vec<u16> = (0..6).map(|_| free_port()).collect::<Result<_, _>>()?;
        let [front, ready, control, peer, app, store_port] = ports[..] else {
            return Err(std::io::Error::other("no free ports"));
        };
        let ports = Ports { control, peer, app, store: store_port };
        let store = Store::new();
        store.put("op/config", &configuration(&extras.route));
        let store_address = at(Ipv4Addr::new(127, 0, 3, 1), store_port);
        store.listen(store_address, Vec::new())?;
        let mut cluster = Self {
            entries: (1..=entries).map(|number| at(entry_ip(number), front)).collect(),
            readiness: (1..=entries).map(|number| at(entry_ip(number), ready)).collect(),
            store: Arc::clone(&store),
            fleet: Arc::default(),
            minions: Vec::new(),
            cuts: Vec::new(),
            processes: Vec::new(),
            ports,
            folder,
        };
        for number in 1..=entries {
            let ip = entry_ip(number);
            let listen = format!("front = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n");
            let head = "cpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n";
            let advice = extras.advice.map_or(String::new(), |a| format!("advice = \"{a}\"\n"));
            let name = format!("front-z1-{number}");
            cluster.spawn(
                &name,
                ip,
                peer,
                store_address,
                &commands.entry,
                &advice,
                &listen,
                head,
            )?;
        }
        for _ in 0..agents {
            cluster.add_agent()?;
        }
        Ok(cluster)
    }

    /// Adds a machine with an agent and a minion.
    pub fn add_agent(&mut self) -> std::io::Result<()> {
        let number = self.minions.len() + 1;
        let Ports { control, peer, app, store: store_port } = self.ports;
        let command = read_commands()?.agent;
        let ip = agent_ip(number);
        let cut: Cut = Arc::new(AtomicBool::new(false));
        let mut replace = Vec::new();
        for entry in 1..=self.entries.len() {
            let (from, to) = (entry_ip(entry), proxy_ip(number, entry));
            proxy::relay(at(to, peer), at(from, peer), Arc::clone(&cut))?;
            replace.push((from.octets().to_vec(), to.octets().to_vec()));
        }
        let own_store = at(Ipv4Addr::new(127, 0, 4, number as u8), store_port);
        self.store.listen(own_store, replace)?;
        let listen = format!("control = \"{ip}:{control}\"\n");
        let top = format!("app = \"{ip}:{app}\"\nservice = \"study\"\n");
        let limits = "cpuShare = 0.15\ncores = 1\nmemoryMb = 128\nmaxFds = 4096\n";
        let name = format!("side-z1-{number}");
        self.spawn(&name, ip, peer, own_store, &command, &top, &listen, limits)?;
        let minion = Minion::start(
            &format!("i-{number:06x}"),
            &format!("r1-{}", number.div_ceil(3)),
            at(ip, app),
            at(ip, control),
            MINION_BOUNDS,
            Arc::clone(&self.fleet),
        )?;
        self.minions.push(minion);
        self.cuts.push(cut);
        Ok(())
    }

    #[allow(clippy::too_many_arguments)]
    fn spawn(
        &mut self,
        name: &str,
        ip: Ipv4Addr,
        peer: u16,
        store: SocketAddr,
        command: &[String],
        top: &str,
        listen: &str,
        limits: &str,
    ) -> std::io::Result<()> {
        let settings = format!(
            "node = \"{name}\"\nip = \"{ip}\"\nzone = \"z1\"\nregion = \"r\"\n\
             portRange = [{peer},{peer}]\nheartbeatMs = 1500\norders = \"call\"\n{top}\
             [zones]\nz1 = \"r\"\n[listen]\n{listen}[limits]\n{limits}linkMbps = 1000.0\n\
             [tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n{BOUNDS}\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwritesPerS = 400\n\
             readsPerS = 2000\nretentionS = 20\nvalueBytes = 1048576\nminTtlMs = 1000\n"
        );
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings)?;
        let child = self.start_process(name, command)?;
        let command = command.to_vec();
        self.processes.push(Program { name: name.to_owned(), command, child });
        Ok(())
    }

    fn start_process(&self, name: &str, command: &[String]) -> std::io::Result<Child> {
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut process = Command::new(&command[0]);
        let settings = self.folder.join(format!("{name}.toml"));
        process.args(&command[1..]).env_clear().env("GERANIUMPOST_SETTINGS", settings);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(variable) {
                process.env(variable, value);
            }
        }
        process.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = process.spawn()?;
        record::line(&format!("started {name} {}", command.join(" ")));
        note_process(child.id())?;
        Ok(child)
    }

    /// Sends a signal to a process that this cluster has started.
    pub fn signal(&mut self, index: usize, signal: i32) {
        let Program { name, child, .. } = &mut self.processes[index];
        if child.try_wait().is_ok_and(|ended| ended.is_none()) {
            record::line(&format!("signal {signal} to {name}"));
            // The process is a child that has not been waited for, so that its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Starts processes again that have ended.
    pub fn restart_ended(&mut self) {
        for index in 0..self.processes.len() {
            let Program { name, command, child } = &mut self.processes[index];
            if child.try_wait().is_ok_and(|ended| ended.is_some()) {
                let (name, command) = (name.clone(), command.clone());
                if let Ok(child) = self.start_process(&name, &command) {
                    self.processes[index].child = child;
                }
            }
        }
    }

    /// Returns the index of the entry that the store names as the coordinator, if any.
    pub fn coordinator(&self) -> Option<usize> {
        let value = self.store.value("geraniumpost/coordinator")?;
        let length = usize::from(*value.first()?);
        let node = String::from_utf8_lossy(value.get(1..1 + length)?).into_owned();
        self.processes.iter().position(|program| program.name == node)
    }

    /// Cuts an agent off from all entries, or heals the cut.
    pub fn cut(&self, agent: usize, is_cut: bool) {
        record::line(&format!(
            "{} of side-z1-{}",
            if is_cut { "cut" } else { "healing" },
            agent + 1
        ));
        self.cuts[agent].store(is_cut, Ordering::SeqCst);
    }

    /// Returns whether all programs still run.
    pub fn all_run(&mut self) -> bool {
        let mut all = true;
        for Program { name, child, .. } in &mut self.processes {
            if let Ok(Some(status)) = child.try_wait() {
                record::line(&format!("{name} has ended: {status}"));
                all = false;
            }
        }
        all
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for Program { child, .. } in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Appends a process to the file that `PIDS` names, so that the script can end it whatever happens.
fn note_process(id: u32) -> std::io::Result<()> {
    let Ok(file) = std::env::var("PIDS") else { return Ok(()) };
    let mut file = File::options().create(true).append(true).open(file)?;
    writeln!(file, "{id}")
}

fn configuration(route: &str) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":0,\
         \"service\":\"study\",\"maxAttempts\":4,\"stretch\":2.0{route}}}],\"services\":[{{\
         \"name\":\"study\",\"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":\"h1\",\
         \"tls\":false,\"enforcesCapacity\":true,\"standby\":false}}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}
