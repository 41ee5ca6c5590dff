use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{
    LeaseAction, LeaseConfig, LeaseEvent, LeaseHolder, LeaseRole, Now, Planner, PlannerAction,
    PlannerConfig, PlannerEvent, PlannerLease, Takeover,
};
use geraniumpost_core::placement::Placer;
use geraniumpost_schema::Document;

use crate::worker::WORKER_LEASE_MS;

pub const AGENT_LEASE_MS: u64 = 3_000;
pub const STORE_OUTAGE_TOLERANCE_MS: u64 = 8_000;

/// An entry process with its planner lease, and a planner while it holds the lease.
pub struct Entry {
    pub index: usize,
    pub incarnation: u64,
    pub lease: PlannerLease,
    pub planner: Option<Planner>,
    pub placer: Placer,
    pub paused_until: u64,
    pub store_cut_until: u64,
    pub down_until: u64,
    /// For each agent, the incarnation to which a link is up.
    pub links: [Option<u64>; 3],
    pub last_placement: u64,
}

impl Entry {
    pub fn new(index: usize, incarnation: u64) -> Self {
        Self {
            index,
            incarnation,
            lease: PlannerLease::new(holder(index, incarnation), lease_config()),
            planner: None,
            placer: Placer::new(&config_document()),
            paused_until: 0,
            store_cut_until: 0,
            down_until: 0,
            links: [None; 3],
            last_placement: 0,
        }
    }

    /// Replaces the process by a new incarnation, which is down for 1 s.
    pub fn kill(&mut self, now: u64) {
        *self = Self { down_until: now + 1_000, ..Self::new(self.index, self.incarnation + 1) };
    }

    pub const fn is_up(&self, now: u64) -> bool {
        now >= self.down_until && now >= self.paused_until
    }

    pub fn handle_lease_event(&mut self, event: LeaseEvent, now: u64) -> Vec<LeaseAction> {
        let actions = self.lease.handle(event, Millis(now));
        for action in &actions {
            match action {
                LeaseAction::Acquired(takeover) => self.start_planner(takeover),
                LeaseAction::Lost(_) => self.planner = None,
                _ => {}
            }
        }
        actions
    }

    fn start_planner(&mut self, takeover: &Takeover) {
        let config = PlannerConfig {
            commit_interval_ms: 100,
            worker_lease_ms: WORKER_LEASE_MS,
            resend_interval_ms: 300,
            drift_margin_ms: 200,
            settling_ms: 1_000,
            finished_retention_ms: 10_000_000,
            backoff_ms: 100,
            store_retry_interval_ms: 200,
            ..PlannerConfig::default()
        };
        let mut planner = Planner::new(takeover, config);
        planner.configure(&config_document());
        self.planner = Some(planner);
        self.links = [None; 3];
    }

    pub fn role(&self, now: u64) -> LeaseRole {
        self.lease.role(Millis(now))
    }

    pub fn handle_planner_event(&mut self, event: PlannerEvent, clocks: Now) -> Vec<PlannerAction> {
        let role = self.lease.role(clocks.clock);
        match &mut self.planner {
            Some(planner) => planner.handle(event, role, clocks),
            None => Vec::new(),
        }
    }
}

pub fn holder(index: usize, incarnation: u64) -> LeaseHolder {
    LeaseHolder::new(format!("entry-{index}").into(), incarnation)
}

fn lease_config() -> LeaseConfig {
    LeaseConfig {
        ttl_ms: 2_000,
        poll_interval_ms: 500,
        outage_hold_ms: STORE_OUTAGE_TOLERANCE_MS,
        hold_ms: AGENT_LEASE_MS,
    }
}

pub fn config_document() -> Document {
    serde_json::from_value(serde_json::json!({
        "customers": {"entel": {"token_sha256": "0", "quota": {}}},
        "services": {}, "classes": {"study": {}}, "domains": {}, "operators": {}
    }))
    .expect("a valid document")
}
