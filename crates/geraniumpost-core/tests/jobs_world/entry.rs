use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{
    LeaseAction, LeaseConfig, LeaseEvent, LeaseHolder, LeaseRole, Now, Planner, PlannerAction,
    PlannerConfig, PlannerEvent, PlannerLease, Takeover,
};
use geraniumpost_core::placement::Placer;
use geraniumpost_schema::Document;

use crate::worker::LEASE_MS;

pub const HOLD_MS: u64 = 3_000;
pub const OUTAGE_HOLD_MS: u64 = 8_000;

/// An entry process: a lease, and a planner while it holds it.
pub struct Entry {
    pub at: usize,
    pub incarnation: u64,
    pub lease: PlannerLease,
    pub planner: Option<Planner>,
    pub placer: Placer,
    pub frozen_until: u64,
    pub cut_until: u64,
    pub down_until: u64,
    /// Agents' incarnations that a link is up to.
    pub links: [Option<u64>; 3],
    pub last_place: u64,
}

impl Entry {
    pub fn new(at: usize, incarnation: u64) -> Self {
        Self {
            at,
            incarnation,
            lease: PlannerLease::new(holder(at, incarnation), lease_config()),
            planner: None,
            placer: Placer::new(&document()),
            frozen_until: 0,
            cut_until: 0,
            down_until: 0,
            links: [None; 3],
            last_place: 0,
        }
    }

    pub fn kill(&mut self, now: u64) {
        *self = Self { down_until: now + 1_000, ..Self::new(self.at, self.incarnation + 1) };
    }

    pub const fn is_up(&self, now: u64) -> bool {
        now >= self.down_until && now >= self.frozen_until
    }

    pub fn lease(&mut self, event: LeaseEvent, now: u64) -> Vec<LeaseAction> {
        let actions = self.lease.handle(event, Millis(now));
        for action in &actions {
            match action {
                LeaseAction::Acquired(takeover) => self.plan(takeover),
                LeaseAction::Lost(_) => self.planner = None,
                _ => {}
            }
        }
        actions
    }

    fn plan(&mut self, takeover: &Takeover) {
        let config = PlannerConfig {
            commit_ms: 100,
            worker_lease_ms: LEASE_MS,
            resend_ms: 300,
            drift_margin_ms: 200,
            settling_ms: 1_000,
            finished_retention_ms: 10_000_000,
            backoff_ms: 100,
            store_retry_ms: 200,
            ..PlannerConfig::default()
        };
        let mut planner = Planner::new(takeover, config);
        planner.configure(&document());
        self.planner = Some(planner);
        self.links = [None; 3];
    }

    pub fn role(&self, now: u64) -> LeaseRole {
        self.lease.role(Millis(now))
    }

    pub fn plan_event(&mut self, event: PlannerEvent, moment: Now) -> Vec<PlannerAction> {
        let standing = self.lease.role(moment.clock);
        match &mut self.planner {
            Some(planner) => planner.handle(event, standing, moment),
            None => Vec::new(),
        }
    }
}

pub fn holder(at: usize, incarnation: u64) -> LeaseHolder {
    LeaseHolder::new(format!("entry-{at}").into(), incarnation)
}

fn lease_config() -> LeaseConfig {
    LeaseConfig { ttl_ms: 2_000, poll_ms: 500, outage_hold_ms: OUTAGE_HOLD_MS, hold_ms: HOLD_MS }
}

pub fn document() -> Document {
    serde_json::from_value(serde_json::json!({
        "customers": {"entel": {"token_sha256": "0", "quota": {}}},
        "services": {}, "classes": {"study": {}}, "domains": {}, "operators": {}
    }))
    .expect("a document")
}
