use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use geraniumpost_net::{Identity, LinkSender, SharedKey};
use geraniumpost_outside::Minion;
use geraniumpost_schema::{AgentSettings, HeartbeatAck, Name, Service, ToEntry};
use slotmap::{SlotMap, new_key_type};
use tokio::sync::mpsc;

use super::tasks::{TaskEvent, TaskOrder, TaskSummary};
use super::{KnownEntries, RequestState};
use crate::Clock;
use crate::config::ConfigUpdater;
use crate::metrics::Metrics;

new_key_type! {
    /// Key of a link to an entry.
    pub struct LinkKey;
}

/// State that the asynchronous tasks of an agent share.
#[derive(Debug)]
pub struct AgentContext {
    /// The checked settings.
    pub settings: AgentSettings,
    /// Name and incarnation of this agent.
    pub me: Identity,
    /// The key shared with the entries.
    pub key: SharedKey,
    /// Clock of all deadlines.
    pub clock: Clock,
    /// The configuration in force.
    pub config: Arc<ConfigUpdater>,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Client of the minion; none if the VM has only a worker.
    pub minion: ArcSwapOption<Minion>,
    /// Entries to which heartbeats are sent.
    pub entries: Mutex<KnownEntries>,
    requests: Mutex<RequestState>,
    minion_limits: Mutex<(usize, usize)>,
    links: Mutex<SlotMap<LinkKey, LinkSender<ToEntry>>>,
    task_events: mpsc::UnboundedSender<TaskEvent>,
    task_summary: ArcSwap<TaskSummary>,
    draining: AtomicBool,
    sequence: AtomicU64,
}

impl AgentContext {
    /// Creates the state of an agent that has just started. Events that concern tasks are sent to
    /// `task_events`.
    pub fn new(
        settings: AgentSettings,
        config: Arc<ConfigUpdater>,
        metrics: Arc<Metrics>,
        task_events: mpsc::UnboundedSender<TaskEvent>,
    ) -> Self {
        let incarnation = rand::random();
        Self {
            me: Identity { name: settings.name.clone(), incarnation },
            key: SharedKey::from(settings.shared_key.as_str()),
            clock: Clock::start(),
            config,
            metrics,
            minion: ArcSwapOption::empty(),
            entries: Mutex::new(KnownEntries::new(&settings.entries)),
            requests: Mutex::new(RequestState::new(incarnation)),
            minion_limits: Mutex::default(),
            links: Mutex::default(),
            task_events,
            task_summary: ArcSwap::default(),
            draining: AtomicBool::new(false),
            sequence: AtomicU64::new(1),
            settings,
        }
    }

    /// Locks the state of the requests; the guard must not be held across an `await`.
    pub fn requests(&self) -> MutexGuard<'_, RequestState> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the known entries; the guard must not be held across an `await`.
    pub fn entries(&self) -> MutexGuard<'_, KnownEntries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link.
    pub fn add_link(&self, link: LinkSender<ToEntry>) -> LinkKey {
        self.links().insert(link)
    }

    /// Removes a link that has ended.
    pub fn remove_link(&self, key: LinkKey) {
        self.links().remove(key);
    }

    /// Sends a message over every link.
    pub fn broadcast(&self, message: &ToEntry) {
        for link in self.links().values() {
            // Fails if the link has ended; its own task then removes it.
            let _ = link.send(message.clone());
        }
    }

    /// Returns the sequence number of the next heartbeat.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Starts draining: from now on, new requests and tasks are refused.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.requests().drain();
    }

    /// Returns whether the agent is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Sets the maximum number of connections to the minion and the maximum size of its answers in
    /// bytes.
    ///
    /// The client is replaced only if a limit changes. Each client limits only its own connections,
    /// so until a replaced client has finished its requests, there may be more connections.
    pub fn set_minion_limits(&self, connections: usize, max_answer_bytes: usize) {
        let Some(address) = self.settings.minion else { return };
        let mut before = self.minion_limits.lock().unwrap_or_else(PoisonError::into_inner);
        if *before != (connections, max_answer_bytes) {
            *before = (connections, max_answer_bytes);
            let minion = Minion::new(address, connections).max_response_bytes(max_answer_bytes);
            self.minion.store(Some(Arc::new(minion)));
        }
    }

    /// Returns the name of the minion's service, empty if there is no minion.
    pub fn service_name(&self) -> Name {
        self.settings.service.clone().unwrap_or_default()
    }

    /// Returns the configuration of the minion's service, or the default one if the service is not
    /// in the configuration in force.
    pub fn service(&self) -> Arc<Service> {
        let in_force = self.config.active().load();
        let known = self.settings.service.as_ref().and_then(|name| in_force.service(name));
        known.cloned().unwrap_or_default()
    }

    /// Passes an order to the task that owns the VM's ledger.
    pub fn send_order(&self, order: TaskOrder) {
        // Fails if there is no worker. The planner then gets no report and places the job
        // elsewhere.
        let _ = self.task_events.send(TaskEvent::Order(order));
    }

    /// Records the time at which a heartbeat is sent, from which the agent lease that its answer
    /// grants is counted.
    pub fn record_heartbeat(&self, sequence: u64) {
        let _ = self.task_events.send(TaskEvent::HeartbeatSent { sequence, at: self.clock.now() });
    }

    /// Passes the agent lease that a planner's answer grants to the ledger.
    pub fn extend_agent_lease(&self, ack: &HeartbeatAck) {
        if ack.term == 0 {
            return;
        }
        let HeartbeatAck { sequence, term, hold_ms, .. } = *ack;
        let _ =
            self.task_events.send(TaskEvent::LeaseGranted { sequence, term, lease_ms: hold_ms });
    }

    /// Returns the summary of the VM's tasks for heartbeats.
    pub fn task_summary(&self) -> TaskSummary {
        **self.task_summary.load()
    }

    /// Replaces the summary of the VM's tasks.
    pub fn set_task_summary(&self, summary: TaskSummary) {
        self.task_summary.store(Arc::new(summary));
    }

    fn links(&self) -> MutexGuard<'_, SlotMap<LinkKey, LinkSender<ToEntry>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
