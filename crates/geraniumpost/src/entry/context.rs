use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use geraniumpost_core::Millis;
use geraniumpost_core::requests::{
    AgentView, EjectionChange, Ejector, EntryLimits, Location, Membership, MembershipLimits,
    RetryBudget, Router, Snapshot,
};
use geraniumpost_net::{Identity, SharedKey};
use geraniumpost_outside::Store;
use geraniumpost_schema::{EntryPeer, EntrySettings, Heartbeat, Name, RequestId};
use serde_json::Value;
use tokio::sync::{mpsc, watch};

use super::Peers;
use super::claims::Claims;
use super::links::Links;
use crate::Clock;
use crate::config::ConfigUpdater;
use crate::metrics::Metrics;
use crate::planner::PlannerInput;

/// Maximum number of retries in a burst. It covers the requests at one agent when it fails.
const RETRY_BURST: u64 = 200;

/// State that the asynchronous tasks of an entry share.
#[derive(Debug)]
pub struct EntryContext {
    /// The checked settings.
    pub settings: EntrySettings,
    /// Name and incarnation of this entry.
    pub me: Identity,
    /// The key shared with agents and entries.
    pub key: SharedKey,
    /// Clock of all deadlines.
    pub clock: Clock,
    /// The platform's key-value service.
    pub store: Store,
    /// The configuration in force.
    pub config: Arc<ConfigUpdater>,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Snapshot of the membership from which requests are routed.
    pub snapshot: ArcSwap<Snapshot>,
    /// Links to agents.
    pub links: Links,
    /// Limits on the requests in flight of each customer.
    pub limits: ArcSwap<EntryLimits>,
    /// Budget of retries.
    pub budget: RetryBudget,
    /// Router that chooses an agent for each attempt.
    pub router: Router,
    membership: Mutex<Membership>,
    ejector: Mutex<Ejector>,
    peers: Mutex<Peers>,
    sequence: AtomicU64,
    draining: AtomicBool,
    /// Becomes true when all requests must be answered immediately.
    response_due: watch::Sender<bool>,
    term: AtomicU64,
    claims: Claims,
    in_force: Mutex<HashMap<Name, u64>>,
    planner: mpsc::UnboundedSender<PlannerInput>,
    agent_lease_ms: AtomicU64,
    planner_state: ArcSwapOption<Value>,
    may_grant_until: AtomicU64,
}

impl EntryContext {
    /// Creates the state of an entry that has just started.
    pub fn new(
        settings: EntrySettings,
        store: Store,
        config: Arc<ConfigUpdater>,
        metrics: Arc<Metrics>,
        planner: mpsc::UnboundedSender<PlannerInput>,
    ) -> Self {
        let clock = Clock::start();
        let here = Location::new(settings.region.clone(), settings.domain.clone());
        let membership = Membership::new(here, MembershipLimits::new(settings.heartbeat_ms));
        Self {
            me: Identity { name: settings.name.clone(), incarnation: rand::random() },
            key: SharedKey::from(settings.shared_key.as_str()),
            clock,
            claims: Claims::new(store.clone(), clock),
            store,
            config,
            metrics,
            snapshot: ArcSwap::from_pointee(membership.snapshot()),
            links: Links::default(),
            limits: ArcSwap::default(),
            budget: RetryBudget::new(0, RETRY_BURST),
            router: Router::default(),
            membership: Mutex::new(membership),
            ejector: Mutex::default(),
            peers: Mutex::new(Peers::new(own_peer(&settings))),
            sequence: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            response_due: watch::Sender::new(false),
            term: AtomicU64::new(0),
            in_force: Mutex::default(),
            planner,
            agent_lease_ms: AtomicU64::new(0),
            planner_state: ArcSwapOption::empty(),
            may_grant_until: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns an id for the next attempt.
    pub fn next_id(&self) -> RequestId {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        RequestId { entry: self.me.incarnation, sequence }
    }

    /// Changes the membership, and publishes a new snapshot if `change` returns true as its second
    /// value.
    pub fn change_membership<T>(&self, change: impl FnOnce(&mut Membership) -> (T, bool)) -> T {
        let mut membership = self.membership();
        let (result, publish) = change(&mut membership);
        if publish {
            // Published under the lock, so that an older snapshot never replaces a newer one.
            self.snapshot.store(Arc::new(membership.snapshot()));
        }
        result
    }

    /// Locks the membership; the guard must not be held across an `await`.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the list of other entries; the guard must not be held across an `await`.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether an attempt at an agent succeeded, and ejects or restores the agent if
    /// necessary.
    pub fn record_result(&self, agent: &AgentView, success: bool) {
        if !agent.counters().record_result(success) {
            return;
        }
        let snapshot = self.snapshot.load();
        let Some(service) = snapshot.service(agent.service_name()) else { return };
        let mut ejector = self.ejector.lock().unwrap_or_else(PoisonError::into_inner);
        let change = ejector.record(service, agent, success, self.clock.now());
        drop(ejector);
        if change == EjectionChange::None {
            return;
        }
        spdlog::warn!("agent {}: {change}", agent.name());
        if matches!(change, EjectionChange::Ejected { .. }) {
            self.metrics.ejection(agent.location().domain());
        }
        self.change_membership(|_| ((), true));
    }

    /// Starts draining this entry.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether this entry is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Makes [`Self::response_due`] return, so that all requests are answered immediately.
    pub fn require_responses(&self) {
        self.response_due.send_replace(true);
    }

    /// Waits until all requests must be answered immediately; see [`Self::require_responses`].
    ///
    /// A caller's deadline may be later than the time at which a stopping process must exit.
    /// Therefore each wait of a request ends at the deadline or when this returns.
    pub async fn response_due(&self) {
        // The sender belongs to `self`, so that waiting cannot fail.
        let _ = self.response_due.subscribe().wait_for(|due| *due).await;
    }

    /// Returns the term in which this entry plans for its region, 0 if it does not plan.
    pub fn term(&self) -> u64 {
        self.term.load(Ordering::SeqCst)
    }

    /// Sets the term in which this entry plans, 0 if it does not plan.
    pub fn set_term(&self, term: u64) {
        self.term.store(term, Ordering::SeqCst);
        self.metrics.planner_term(term);
    }

    /// Sets the duration of the agent leases that answers to heartbeats grant, 0 if they grant
    /// none, and the time until which they may be granted.
    pub fn set_agent_lease(&self, lease_ms: u64, may_grant_until: Millis) {
        self.may_grant_until.store(may_grant_until.0, Ordering::SeqCst);
        self.agent_lease_ms.store(lease_ms, Ordering::SeqCst);
    }

    /// Returns the term and the agent lease for the answer to a heartbeat, and passes the heartbeat
    /// to the planner.
    ///
    /// The agent counts the lease from the time at which it sent the heartbeat, the planner from
    /// the later time at which it handles the heartbeat. Therefore the lease expires at the agent
    /// before the planner considers it expired, however late the answer arrives.
    pub fn grant_agent_lease(&self, beat: &Heartbeat) -> (u64, u64) {
        if beat.region != self.settings.region {
            return (0, 0);
        }
        let grant = (self.term(), self.agent_lease_ms.load(Ordering::SeqCst));
        // After a process pause, these may be the values of a planner lease that has expired.
        let expired = self.clock.now().0 >= self.may_grant_until.load(Ordering::SeqCst);
        let grant = if expired { (0, 0) } else { grant };
        self.send_to_planner(PlannerInput::Heartbeat(Box::new(beat.clone())));
        grant
    }

    /// Sets the planner's state that is shown to operators, `None` while this entry does not plan.
    pub fn publish_planner_state(&self, state: Option<Value>) {
        self.planner_state.store(state.map(Arc::new));
    }

    /// Returns the planner's state that is shown to operators.
    pub fn planner_state(&self) -> Option<Arc<Value>> {
        self.planner_state.load_full()
    }

    /// Sends a message to the planner. Has no effect if the entry is stopping and the planner has
    /// ended.
    pub fn send_to_planner(&self, input: PlannerInput) {
        let _ = self.planner.send(input);
    }

    /// Returns the claims of idempotency keys.
    pub const fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Records the revision that an agent has reported as in force.
    pub fn record_in_force(&self, agent: &Name, revision: u64) {
        let mut in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        in_force.insert(agent.clone(), revision);
    }

    /// Returns the revision that an agent last reported as in force.
    pub fn in_force_on(&self, agent: &str) -> Option<u64> {
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner).get(agent).copied()
    }

    /// Removes the state of an agent whose heartbeats have timed out.
    pub fn remove_agent(&self, agent: &Name) {
        self.ejector.lock().unwrap_or_else(PoisonError::into_inner).forget(agent);
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner).remove(agent);
        self.send_to_planner(PlannerInput::AgentLost(agent.clone()));
    }

    /// Applies the customers' limits and the retry budget of the revision in force.
    pub fn adopt_limits(&self) {
        let in_force = self.config.active().load();
        let document = in_force.document();
        let limits = document.customers.iter().map(|(name, c)| (name.clone(), c.max_in_flight));
        self.limits.store(Arc::new(self.limits.load().updated(limits)));
        self.budget.set_permille(u64::from(document.policy.retry_budget_permille));
        self.metrics.config_revision(in_force.revision());
    }
}

/// Returns the name and addresses of this entry for other processes.
fn own_peer(settings: &EntrySettings) -> EntryPeer {
    EntryPeer {
        name: settings.name.clone(),
        region: settings.region.clone(),
        datagrams: settings.datagrams.to_string().into(),
        console: settings.console.to_string().into(),
    }
}
