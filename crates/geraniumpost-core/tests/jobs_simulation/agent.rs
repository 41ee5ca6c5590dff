use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{LedgerAction, LedgerConfig, LedgerEvent, VmLedger};
use geraniumpost_schema::{AgentState, Heartbeat, Load, Name, Resources};

use crate::worker::{WORKER_LEASE_MS, Worker};

pub const CAPACITY: Resources = Resources { milli_cpus: 4_000, memory_mb: 4_000, accelerators: 0 };

/// An agent process and the worker of its VM.
pub struct Agent {
    pub name: Name,
    pub incarnation: u64,
    pub ledger: VmLedger,
    pub worker: Worker,
    pub paused_until: u64,
    pub down_until: u64,
    /// Events that arrived while the process was paused.
    pub inbox: Vec<LedgerEvent>,
    pub sequence: u64,
}

impl Agent {
    pub fn new(index: usize) -> Self {
        Self {
            name: format!("agent-{index}").into(),
            incarnation: 1,
            ledger: new_ledger(1),
            worker: Worker::default(),
            paused_until: 0,
            down_until: 0,
            inbox: Vec::new(),
            sequence: 0,
        }
    }

    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.ledger = new_ledger(self.incarnation);
        self.inbox.clear();
        self.paused_until = 0;
    }

    /// Restarts the agent on an empty VM, which is down for 3 s.
    pub fn lose_vm(&mut self, now: u64) {
        self.restart();
        self.worker.lose_tasks();
        self.down_until = now + 3_000;
    }

    pub const fn is_up(&self, now: u64) -> bool {
        now >= self.down_until && now >= self.paused_until
    }

    pub fn handle(&mut self, event: LedgerEvent, now: u64) -> Vec<LedgerAction> {
        self.ledger.handle(event, Millis(now))
    }

    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            agent: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            service: Name::default(),
            region: "lima".into(),
            domain: "surco".into(),
            rack: self.name.clone(),
            address: Name::default(),
            state: AgentState::Ready,
            slots: 0,
            load: Load { in_flight: 0, queued: 0, service_us: 0, p99_us: 0, failures_permille: 0 },
            config_revision: 1,
            entries_digest: 0,
            term: self.ledger.term(),
            has_worker: true,
            capacity: CAPACITY,
            reserved: self.ledger.reserved(),
            tasks: self.ledger.live_tasks() as u32,
        }
    }
}

fn new_ledger(incarnation: u64) -> VmLedger {
    let config = LedgerConfig {
        worker_lease_ms: WORKER_LEASE_MS,
        list_interval_ms: 300,
        repeat_interval_ms: 300,
        usage_report_interval_ms: 1_000,
        settle_ms: 500,
        call_timeout_ms: 1_000,
        checkpoint_interval_ms: 5_000,
        epoch_retention_ms: 60_000,
    };
    VmLedger::new(incarnation, CAPACITY, config)
}
