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

/// Retries that may be made in a row; it covers the requests at one agent when it dies.
const RETRY_BURST: u64 = 200;

/// What the tasks of an entry share.
#[derive(Debug)]
pub struct EntryContext {
    /// The settings, checked.
    pub settings: EntrySettings,
    /// Name and incarnation.
    pub me: Identity,
    /// The key shared with agents and entries.
    pub key: SharedKey,
    /// The clock of all deadlines.
    pub clock: Clock,
    /// The platform's key-value service.
    pub store: Store,
    /// The configuration in force.
    pub config: Arc<ConfigUpdater>,
    /// Meters.
    pub metrics: Arc<Metrics>,
    /// Agents as routing sees them.
    pub snapshot: ArcSwap<Snapshot>,
    /// Links to agents.
    pub links: Links,
    /// Bounds of customers.
    pub limits: ArcSwap<EntryLimits>,
    /// Retries that may still be made.
    pub budget: RetryBudget,
    /// The routing rule.
    pub router: Router,
    membership: Mutex<Membership>,
    ejector: Mutex<Ejector>,
    peers: Mutex<Peers>,
    sequence: AtomicU64,
    draining: AtomicBool,
    /// Turns true when all requests must have a response.
    response_due: watch::Sender<bool>,
    term: AtomicU64,
    claims: Claims,
    in_force: Mutex<HashMap<Name, u64>>,
    planner: mpsc::UnboundedSender<PlannerInput>,
    hold_ms: AtomicU64,
    shown: ArcSwapOption<Value>,
    hold_until: AtomicU64,
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
            hold_ms: AtomicU64::new(0),
            shown: ArcSwapOption::empty(),
            hold_until: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns an id for the next attempt.
    pub fn next_id(&self) -> RequestId {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        RequestId { entry: self.me.incarnation, sequence }
    }

    /// Changes the membership and publishes a new snapshot if `change` says that one is needed.
    pub fn change_membership<T>(&self, change: impl FnOnce(&mut Membership) -> (T, bool)) -> T {
        let mut membership = self.membership();
        let (result, publish) = change(&mut membership);
        if publish {
            // Published under the lock, so that an older snapshot never follows a newer one.
            self.snapshot.store(Arc::new(membership.snapshot()));
        }
        result
    }

    /// Locks the membership for reading; never held across an await.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the other entries' list.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in whether an attempt at an agent succeeded, and ejects one that fails too much.
    pub fn note(&self, agent: &AgentView, success: bool) {
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

    /// Begins to leave.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the entry leaves.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Ends the waiting of all requests, which are responded to at once.
    pub fn require_responses(&self) {
        self.response_due.send_replace(true);
    }

    /// Waits until all requests must have a response; see [`Self::require_responses`].
    ///
    /// A caller may be willing to wait for longer than a stopping process may run. Whatever a
    /// request waits for is therefore limited by this as well as by the caller's deadline.
    pub async fn response_due(&self) {
        // The sender belongs to `self`, so that waiting cannot fail.
        let _ = self.response_due.subscribe().wait_for(|due| *due).await;
    }

    /// Returns the term under which this entry plans for its region, 0 if it does not.
    pub fn term(&self) -> u64 {
        self.term.load(Ordering::SeqCst)
    }

    /// Notes the term under which this entry plans, 0 for none.
    pub fn set_term(&self, term: u64) {
        self.term.store(term, Ordering::SeqCst);
        self.metrics.planner_term(term);
    }

    /// Sets how long agents may go on with their tasks after a heartbeat, 0 for no word on it, and
    /// until when that may be granted.
    pub fn set_hold(&self, hold_ms: u64, until: Millis) {
        self.hold_until.store(until.0, Ordering::SeqCst);
        self.hold_ms.store(hold_ms, Ordering::SeqCst);
    }

    /// Returns term and hold for the answer to a heartbeat, and tells the planner of it first.
    ///
    /// The planner counts the hold from when it is told, which is before the answer is sent, and the
    /// agent from when it sent the heartbeat, which is earlier still. So the agent's hold always ends
    /// before the planner takes it to have ended, however long the answer is on its way.
    pub fn planner_hold(&self, beat: &Heartbeat) -> (u64, u64) {
        if beat.region != self.settings.region {
            return (0, 0);
        }
        let hold = (self.term(), self.hold_ms.load(Ordering::SeqCst));
        // A process that was paused may still find the figures of a lease that has long lapsed.
        let lapsed = self.clock.now().0 >= self.hold_until.load(Ordering::SeqCst);
        let hold = if lapsed { (0, 0) } else { hold };
        self.tell_planner(PlannerInput::Heartbeat(Box::new(beat.clone())));
        hold
    }

    /// Shows the planner's state to operators, `None` while this entry does not plan.
    pub fn show_planner(&self, state: Option<Value>) {
        self.shown.store(state.map(Arc::new));
    }

    /// Returns the planner's state as last shown.
    pub fn planner_shown(&self) -> Option<Arc<Value>> {
        self.shown.load_full()
    }

    /// Tells the planner something; an entry that is stopping has none any more.
    pub fn tell_planner(&self, input: PlannerInput) {
        let _ = self.planner.send(input);
    }

    /// Returns the access to the claims of idempotency keys.
    pub const fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Notes that an agent has said which revision it has in force.
    pub fn note_in_force(&self, agent: &Name, revision: u64) {
        let mut in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        in_force.insert(agent.clone(), revision);
    }

    /// Returns the revision that an agent has said last.
    pub fn in_force_on(&self, agent: &str) -> Option<u64> {
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner).get(agent).copied()
    }

    /// Forgets an agent that is gone.
    pub fn forget_agent(&self, agent: &Name) {
        self.ejector.lock().unwrap_or_else(PoisonError::into_inner).forget(agent);
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner).remove(agent);
        self.tell_planner(PlannerInput::Lost(agent.clone()));
    }

    /// Puts the figures of the revision in force in place.
    pub fn adopt_limits(&self) {
        let in_force = self.config.active().load();
        let document = in_force.document();
        let bounds = document.customers.iter().map(|(name, c)| (name.clone(), c.max_in_flight));
        self.limits.store(Arc::new(self.limits.load().updated(bounds)));
        self.budget.set_permille(u64::from(document.policy.retry_budget_permille));
        self.metrics.config_revision(in_force.revision());
    }
}

/// Returns where this entry is reached.
fn own_peer(settings: &EntrySettings) -> EntryPeer {
    EntryPeer {
        name: settings.name.clone(),
        region: settings.region.clone(),
        datagrams: settings.datagrams.to_string().into(),
        console: settings.console.to_string().into(),
    }
}
