use std::sync::Arc;
use std::time::Duration;

use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{LedgerAction, LedgerConfig, LedgerEvent, VmLedger};
use geraniumpost_outside::Worker;
use geraniumpost_schema::{AgentSettings, HeartbeatAck, Name, Resources, ToAgent, ToEntry};
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

use super::{CallQueue, TaskEvent, TaskOrder, TaskSummary};
use crate::agent::AgentContext;

/// Interval at which the ledger handles the passing of time.
const TICK: Duration = Duration::from_millis(100);

/// State of the asynchronous task that owns the VM's ledger.
struct Driver {
    cx: Arc<AgentContext>,
    ledger: VmLedger,
    calls: CallQueue,
    drain_requested: bool,
}

/// Runs until the agent's process ends.
pub(super) async fn run(
    cx: Arc<AgentContext>,
    worker: Worker,
    mut events: mpsc::UnboundedReceiver<TaskEvent>,
) {
    let (answers_tx, mut answers) = mpsc::unbounded_channel();
    let mut revisions: watch::Receiver<u64> = cx.config.active().subscribe();
    let mut driver = Driver::new(cx, worker, answers_tx);
    driver.reserve();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(event) = events.recv() => driver.on_event(event),
            Some(answer) = answers.recv() => driver.handle(answer),
            Ok(()) = revisions.changed() => driver.reserve(),
            _ = ticks.tick() => driver.tick(),
            else => return,
        }
        driver.publish_summary();
    }
}

impl Driver {
    fn new(
        cx: Arc<AgentContext>,
        worker: Worker,
        answers: mpsc::UnboundedSender<LedgerEvent>,
    ) -> Self {
        let capacity = capacity(&cx.settings);
        let ledger = VmLedger::new(cx.me.incarnation, capacity, LedgerConfig::default());
        let calls = CallQueue::new(worker, cx.clock, answers);
        Self { cx, ledger, calls, drain_requested: false }
    }

    fn on_event(&mut self, event: TaskEvent) {
        match event {
            TaskEvent::Order(TaskOrder { message, .. }) => self.on_order(message),
            TaskEvent::HeartbeatSent { sequence, at } => {
                self.handle_at(LedgerEvent::HeartbeatSent(sequence), at);
            }
            TaskEvent::LeaseGranted { sequence, term, lease_ms } => {
                let ack = self.ack(sequence, term, lease_ms);
                self.handle(LedgerEvent::Ack(ack));
            }
            // Reports are sent over every link; entries that do not plan ignore them.
            TaskEvent::LinkUp(_) => {}
        }
    }

    fn on_order(&mut self, order: ToAgent) {
        let event = match order {
            ToAgent::Start(order) => LedgerEvent::Start(order),
            ToAgent::Evict(order) => LedgerEvent::Evict(order),
            ToAgent::Stop(order) => LedgerEvent::Stop(order),
            ToAgent::Throttle(order) => LedgerEvent::Throttle(order),
            ToAgent::Settled(order) => LedgerEvent::Settled(order),
            ToAgent::Supersede(term) => LedgerEvent::Supersede(term),
            _ => return,
        };
        self.handle(event);
    }

    /// Builds an answer to a heartbeat with the fields that the ledger reads.
    fn ack(&self, sequence: u64, term: u64, hold_ms: u64) -> HeartbeatAck {
        HeartbeatAck {
            entry: Name::default(),
            sequence,
            incarnation: self.cx.me.incarnation,
            config_revision: 0,
            term,
            hold_ms,
            entries_digest: 0,
            entries: Vec::new(),
        }
    }

    fn reserve(&mut self) {
        let reserve = self.cx.service().reserve.clone();
        self.handle(LedgerEvent::Reserve(Resources {
            milli_cpus: reserve.milli_cpus,
            memory_mb: reserve.memory_mb,
            accelerators: reserve.accelerators,
        }));
    }

    fn tick(&mut self) {
        if self.cx.is_draining() && !self.drain_requested {
            self.drain_requested = true;
            self.handle(LedgerEvent::Drain);
        }
        self.handle(LedgerEvent::Tick);
    }

    fn handle(&mut self, event: LedgerEvent) {
        self.handle_at(event, self.cx.clock.now());
    }

    fn handle_at(&mut self, event: LedgerEvent, now: Millis) {
        let actions = self.ledger.handle(event, now);
        self.calls.set_lease_until(self.ledger.lease_until());
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: LedgerAction) {
        let job = match &action {
            LedgerAction::Report(report) => {
                return self.cx.broadcast(&ToEntry::Report(report.clone()));
            }
            LedgerAction::Inventory(inventory) => {
                return self.cx.broadcast(&ToEntry::Inventory(inventory.clone()));
            }
            LedgerAction::Renew { .. } | LedgerAction::List => return self.calls.call_now(action),
            LedgerAction::Start(order) => order.job.clone(),
            LedgerAction::Checkpoint { job, .. }
            | LedgerAction::Stop { job, .. }
            | LedgerAction::Throttle { job, .. }
            | LedgerAction::Forget { job, .. } => job.clone(),
        };
        self.calls.push(&job, action);
    }

    /// Updates the summary that heartbeats contain.
    fn publish_summary(&self) {
        let summary = TaskSummary {
            term: self.ledger.term(),
            reserved: self.ledger.reserved(),
            tasks: self.ledger.live_tasks() as u32,
        };
        if self.cx.task_summary() != summary {
            self.cx.set_task_summary(summary);
        }
    }
}

fn capacity(settings: &AgentSettings) -> Resources {
    Resources {
        milli_cpus: settings.milli_cpus,
        memory_mb: settings.memory_mb,
        accelerators: settings.accelerators,
    }
}
