use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use geraniumpost_net::{Identity, LinkSender, SharedKey};
use geraniumpost_outside::Minion;
use geraniumpost_schema::{AgentSettings, HeartbeatAck, Name, Service, ToEntry};
use slotmap::{SlotMap, new_key_type};
use tokio::sync::mpsc;

use super::tasks::{TaskEvent, TaskFigures, TaskOrder};
use super::{KnownEntries, RequestState};
use crate::Clock;
use crate::config::ConfigKeeper;
use crate::metrics::Metrics;

new_key_type! {
    /// Key of a link to an entry.
    pub struct LinkKey;
}

/// What the tasks of an agent share.
#[derive(Debug)]
pub struct AgentContext {
    /// The settings, checked.
    pub settings: AgentSettings,
    /// Name and incarnation.
    pub me: Identity,
    /// The key shared with the entries.
    pub key: SharedKey,
    /// The clock of all deadlines.
    pub clock: Clock,
    /// The configuration in force.
    pub keeper: Arc<ConfigKeeper>,
    /// Meters.
    pub metrics: Arc<Metrics>,
    /// The minion, none beside a worker alone.
    pub minion: ArcSwapOption<Minion>,
    /// Entries to announce to.
    pub entries: Mutex<KnownEntries>,
    requests: Mutex<RequestState>,
    minion_limits: Mutex<(usize, usize)>,
    links: Mutex<SlotMap<LinkKey, LinkSender<ToEntry>>>,
    orders: mpsc::UnboundedSender<TaskEvent>,
    figures: ArcSwap<TaskFigures>,
    draining: AtomicBool,
    sequence: AtomicU64,
}

impl AgentContext {
    /// Creates the state of an agent that has just started.
    ///
    /// What concerns tasks is sent through `orders`.
    pub fn new(
        settings: AgentSettings,
        keeper: Arc<ConfigKeeper>,
        metrics: Arc<Metrics>,
        orders: mpsc::UnboundedSender<TaskEvent>,
    ) -> Self {
        let incarnation = rand::random();
        Self {
            me: Identity { name: settings.name.clone(), incarnation },
            key: SharedKey::from(settings.shared_key.as_str()),
            clock: Clock::start(),
            keeper,
            metrics,
            minion: ArcSwapOption::empty(),
            entries: Mutex::new(KnownEntries::new(&settings.entries)),
            requests: Mutex::new(RequestState::new(incarnation)),
            minion_limits: Mutex::default(),
            links: Mutex::default(),
            orders,
            figures: ArcSwap::default(),
            draining: AtomicBool::new(false),
            sequence: AtomicU64::new(1),
            settings,
        }
    }

    /// Locks the requests for one short decision; never held across an await.
    pub fn requests(&self) -> MutexGuard<'_, RequestState> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the entries known.
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
            // A link that has ended is removed by its own task.
            let _ = link.send(message.clone());
        }
    }

    /// Returns the next number of a heartbeat.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Begins to leave: nothing new is taken from here on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.requests().drain();
    }

    /// Returns whether the agent leaves.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Sets how many connections the minion gets and how large its answers may be.
    ///
    /// The client is replaced only when one of them changes: each client bounds its own connections,
    /// so a replaced one that still finishes requests adds to the new one's.
    pub fn set_minion_limits(&self, connections: usize, largest: usize) {
        let Some(address) = self.settings.minion else { return };
        let mut before = self.minion_limits.lock().unwrap_or_else(PoisonError::into_inner);
        if *before != (connections, largest) {
            *before = (connections, largest);
            let minion = Minion::new(address, connections).max_response_bytes(largest);
            self.minion.store(Some(Arc::new(minion)));
        }
    }

    /// Returns the service of the minion, empty if there is none.
    pub fn service_name(&self) -> Name {
        self.settings.service.clone().unwrap_or_default()
    }

    /// Returns the bounds of the minion's service, or the usual ones before a document is known.
    pub fn service(&self) -> Arc<Service> {
        let in_force = self.keeper.holder().load();
        let known = self.settings.service.as_ref().and_then(|name| in_force.service(name));
        known.cloned().unwrap_or_default()
    }

    /// Passes an order on to the task that keeps the VM's ledger.
    pub fn order(&self, order: TaskOrder) {
        // Without a worker nobody listens; the planner then sees no report and places elsewhere.
        let _ = self.orders.send(TaskEvent::Order(order));
    }

    /// Notes when a heartbeat was sent, from where a hold granted in its answer is counted.
    pub fn heartbeat_sent(&self, sequence: u64) {
        let _ = self.orders.send(TaskEvent::HeartbeatSent { sequence, at: self.clock.now() });
    }

    /// Passes a planner's hold on.
    pub fn grant(&self, ack: &HeartbeatAck) {
        if ack.term == 0 {
            return;
        }
        let HeartbeatAck { sequence, term, hold_ms, .. } = *ack;
        let _ = self.orders.send(TaskEvent::Hold { sequence, term, hold_ms });
    }

    /// Returns what heartbeats tell of the VM's tasks.
    pub fn task_figures(&self) -> TaskFigures {
        **self.figures.load()
    }

    /// Puts new figures in place.
    pub fn set_task_figures(&self, figures: TaskFigures) {
        self.figures.store(Arc::new(figures));
    }

    fn links(&self) -> MutexGuard<'_, SlotMap<LinkKey, LinkSender<ToEntry>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
