use geraniumpost_config::token_digest;
use serde_json::{Value, json};

/// Name of the service that the minions serve.
pub const SERVICE: &str = "filing";
/// Name of the customer that sends requests and submits jobs.
pub const CUSTOMER: &str = "claro";
/// Bearer token of the customer.
pub const CUSTOMER_TOKEN: &str = "token-of-claro";
/// Bearer token of the operator.
pub const OPERATOR_TOKEN: &str = "token-of-rosa";
/// Region of all processes.
pub const REGION: &str = "lima";
/// Key that authenticates the messages between all processes.
pub const SHARED_KEY: &str = "a key for tests and demos only";

/// Number, size and settings of the processes of a fleet.
#[derive(Debug, Clone)]
pub struct Plan {
    pub(crate) entries: usize,
    pub(crate) agents: usize,
    pub(crate) domains: Vec<String>,
    pub(crate) heartbeat_ms: u64,
    pub(crate) drain_ms: u64,
    pub(crate) milli_cpus: u64,
    pub(crate) memory_mb: u64,
    pub(crate) slots: u64,
    pub(crate) standins_as_processes: bool,
    pub(crate) peers_in_settings: bool,
    pub(crate) relayed_links: bool,
    pub(crate) document: Value,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 2,
            agents: 3,
            domains: vec!["miraflores".to_owned(), "surco".to_owned()],
            heartbeat_ms: 200,
            drain_ms: 10_000,
            milli_cpus: 64_000,
            memory_mb: 250_000,
            slots: 8,
            standins_as_processes: false,
            peers_in_settings: true,
            relayed_links: false,
            document: document(),
        }
    }
}

impl Plan {
    /// Sets the number of entries.
    #[must_use]
    pub const fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets the number of agents, each with a minion and a worker.
    #[must_use]
    pub const fn agents(mut self, agents: usize) -> Self {
        self.agents = agents;
        self
    }

    /// Sets the interval between heartbeats in milliseconds.
    #[must_use]
    pub const fn heartbeat_ms(mut self, heartbeat_ms: u64) -> Self {
        self.heartbeat_ms = heartbeat_ms;
        self
    }

    /// Sets the maximum duration of a drain in milliseconds.
    #[must_use]
    pub const fn drain_ms(mut self, drain_ms: u64) -> Self {
        self.drain_ms = drain_ms;
        self
    }

    /// Sets the capacity of each VM.
    #[must_use]
    pub const fn vm(mut self, milli_cpus: u64, memory_mb: u64) -> Self {
        self.milli_cpus = milli_cpus;
        self.memory_mb = memory_mb;
        self
    }

    /// Omits the peers from the settings of entries, and all entries but the first from those of
    /// agents.
    #[must_use]
    pub const fn no_peers_in_settings(mut self) -> Self {
        self.peers_in_settings = false;
        self
    }

    /// Starts the store, the minions and the workers as separate processes.
    #[must_use]
    pub const fn standins_as_processes(mut self) -> Self {
        self.standins_as_processes = true;
        self
    }

    /// Adds a relay between the entries and each agent.
    #[must_use]
    pub const fn relayed_links(mut self) -> Self {
        self.relayed_links = true;
        self
    }

    /// Changes the initial configuration in the store.
    #[must_use]
    pub fn document(mut self, change: impl FnOnce(&mut Value)) -> Self {
        change(&mut self.document);
        self
    }
}

/// Returns the configuration of a small deployment.
fn document() -> Value {
    json!({
        "customers": {
            CUSTOMER: { "token_sha256": token_digest(CUSTOMER_TOKEN), "max_in_flight": 10_000 },
        },
        "services": { SERVICE: { "deadline_ms": 10_000 } },
        "classes": {
            "study": {},
            "urgent": { "priority": "urgent" },
            "scavenger": { "priority": "scavenger" },
        },
        "domains": {
            "miraflores": { "region": REGION },
            "surco": { "region": REGION },
            "callao": { "region": REGION },
            "ate": { "region": REGION },
        },
        "operators": { "rosa": { "token_sha256": token_digest(OPERATOR_TOKEN) } },
        "policy": { "hold_ms": 2000 },
    })
}
