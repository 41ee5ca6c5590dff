use geraniumpost_schema::Name;

use super::{
    LeaseAction, LeaseConfig, LeaseEvent, LeaseHolder, LeaseRole, Step, Takeover, Tenure,
    TermRecord,
};
use crate::Millis;

/// Renewals per time to live, so that two may fail before the lease lapses.
const RENEWALS: u64 = 3;

/// The candidate for planning a region, as a state machine over the store.
///
/// A key attached to a store lease says that somebody plans; a second key, which never lapses, holds
/// the growing term. The lease alone would not do: a holder that was paused doesn't know that its
/// lease lapsed. Therefore the holder counts from the moment it *sent* its last successful renewal,
/// on its own clock, and asks [`PlannerLease::role`] before each thing it does.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, jobs::{LeaseHolder, LeaseAction, LeaseConfig, LeaseEvent, PlannerLease}};
/// let mut lease = PlannerLease::new(LeaseHolder::new("entry-1".into(), 7), LeaseConfig::default());
/// assert_eq!(lease.handle(LeaseEvent::Tick, Millis(0)), [LeaseAction::ReadAlive]);
/// let ttl_ms = LeaseConfig::default().ttl_ms;
/// let free = lease.handle(LeaseEvent::AliveRead(None), Millis(2));
/// assert_eq!(free, [LeaseAction::Grant { ttl_ms }]);
/// ```
#[derive(Debug, Clone)]
pub struct PlannerLease {
    me: LeaseHolder,
    config: LeaseConfig,
    step: Option<(Step, Millis)>,
    next: Millis,
    lease: u64,
    valid_until: Millis,
    hold_until: Millis,
    claimed_at: Millis,
    tenure: Option<Tenure>,
    writing: Option<TermRecord>,
    settled: bool,
    configured_at: Millis,
    resigned: bool,
}

impl PlannerLease {
    /// Creates a candidate that doesn't plan yet.
    pub const fn new(me: LeaseHolder, config: LeaseConfig) -> Self {
        Self {
            me,
            config,
            step: None,
            next: Millis(0),
            lease: 0,
            valid_until: Millis(0),
            hold_until: Millis(0),
            claimed_at: Millis(0),
            tenure: None,
            writing: None,
            settled: false,
            configured_at: Millis(0),
            resigned: false,
        }
    }

    /// Returns what this process may do now.
    pub fn role(&self, now: Millis) -> LeaseRole {
        let Some(tenure) = &self.tenure else { return LeaseRole::Follower };
        let term = tenure.record.term;
        if now < self.valid_until {
            LeaseRole::Leader { term }
        } else if now < self.hold_until {
            LeaseRole::Disconnected { term }
        } else {
            LeaseRole::Follower
        }
    }

    /// Returns when this process must stop granting holds if nothing else happens.
    pub fn may_grant_until(&self) -> Millis {
        if self.tenure.is_some() { self.hold_until.max(self.valid_until) } else { Millis(0) }
    }

    /// Returns the longest hold granted of late, by which holds are to be counted.
    ///
    /// An answer to a heartbeat may have gone out just before the configuration was lowered.
    pub fn longest_agent_lease_ms(&self) -> u64 {
        self.tenure.as_ref().map_or(0, |tenure| tenure.record.hold_ms)
    }

    /// Returns the longest hold that may be granted, which the next planner is sure to wait out.
    pub fn agent_lease_ms(&self) -> u64 {
        self.longest_agent_lease_ms().min(self.config.hold_ms)
    }

    /// Takes one event in and returns what is to be done, in order.
    pub fn handle(&mut self, event: LeaseEvent, now: Millis) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        self.notice_lapse(now, &mut actions);
        match event {
            LeaseEvent::Tick => self.on_tick(now, &mut actions),
            LeaseEvent::PredecessorsExpired => self.settled = true,
            LeaseEvent::Configure(config) => self.configure(config, now),
            LeaseEvent::StepDown => self.step_down(now, &mut actions),
            LeaseEvent::Resign => self.resign(&mut actions),
            answer => self.on_answer(answer, now, &mut actions),
        }
        actions
    }

    fn configure(&mut self, config: LeaseConfig, now: Millis) {
        if config != self.config {
            self.config = config;
            self.configured_at = now;
        }
    }

    /// Ends a tenure whose holds have run out without word from the store.
    fn notice_lapse(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        if self.tenure.is_some() && now >= self.hold_until.max(self.valid_until) {
            self.lose("the store was out of reach for too long", actions);
        }
    }

    fn lose(&mut self, why: &'static str, actions: &mut Vec<LeaseAction>) {
        if self.tenure.take().is_some() {
            actions.push(LeaseAction::Lost(why));
        }
        // A term must not come back: a planner that began anew under it would take the records that
        // its forerunner wrote for its own, and write its empty ones over them.
        self.writing = None;
        self.settled = false;
        self.valid_until = Millis(0);
        self.hold_until = Millis(0);
    }

    /// Lets the planner go, and leaves the lease to run out, so that another process goes first.
    fn step_down(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        self.lose("the planner stepped down", actions);
        self.next = now.plus(2 * self.config.ttl_ms);
    }

    fn resign(&mut self, actions: &mut Vec<LeaseAction>) {
        self.resigned = true;
        let held = self.tenure.is_some();
        self.lose("this process leaves", actions);
        if held {
            actions.push(LeaseAction::Revoke { lease: self.lease });
        }
    }

    fn on_tick(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        if self.step.is_some() || now < self.next || self.resigned {
            return;
        }
        if !self.role(now).may_assign() {
            self.call(Step::Look, LeaseAction::ReadAlive, now, actions);
        } else if let Some(record) = self.rewritten(now) {
            self.rewrite(record, now, actions);
        } else {
            self.call(Step::KeepAlive, LeaseAction::KeepAlive { lease: self.lease }, now, actions);
        }
    }

    fn call(&mut self, step: Step, action: LeaseAction, now: Millis, out: &mut Vec<LeaseAction>) {
        self.step = Some((step, now));
        out.push(action);
    }

    /// Returns the record to write over this tenure's, if the two should differ.
    ///
    /// Times are raised before they are used, and lowered only when every hold granted under the
    /// longer ones has run out, because the next planner waits as long as the record says.
    fn rewritten(&self, now: Millis) -> Option<TermRecord> {
        let record = &self.tenure.as_ref()?.record;
        let config = &self.config;
        if record.hold_ms < config.hold_ms || record.outage_hold_ms < config.outage_hold_ms {
            return Some(record.raised(config));
        }
        if !self.settled {
            return None;
        }
        if record.has_earlier() {
            return Some(record.settled());
        }
        let longest = record.hold_ms.max(config.ttl_ms);
        let may_lower = now >= self.configured_at.plus(longest);
        let longer =
            record.hold_ms > config.hold_ms || record.outage_hold_ms > config.outage_hold_ms;
        (may_lower && longer).then(|| record.lowered(config))
    }

    fn rewrite(&mut self, record: TermRecord, now: Millis, actions: &mut Vec<LeaseAction>) {
        let expected = self.tenure.as_ref().map(|tenure| tenure.revision);
        self.writing = Some(record.clone());
        self.call(Step::Rewrite, LeaseAction::WriteTerm { expected, record }, now, actions);
    }

    fn on_answer(&mut self, answer: LeaseEvent, now: Millis, actions: &mut Vec<LeaseAction>) {
        let Some((step, sent)) = self.step.take() else { return };
        if self.resigned {
            return;
        }
        match (step, answer) {
            (Step::Look, LeaseEvent::AliveRead(found)) => self.on_looked(found, now, actions),
            (Step::Grant, LeaseEvent::Granted(lease)) => {
                self.on_granted(lease, sent, now, actions);
            }
            (Step::Claim, LeaseEvent::Claimed(true)) => self.on_claimed(now, actions),
            (Step::Claim, LeaseEvent::CallFailed) => {
                self.call(Step::CheckClaim, LeaseAction::ReadAlive, now, actions);
            }
            (Step::CheckClaim, LeaseEvent::AliveRead(Some(value))) if value == self.token() => {
                self.on_claimed(now, actions);
            }
            (Step::ReadTerm, LeaseEvent::TermRead(found)) => {
                self.on_term_read(found, now, actions);
            }
            (Step::WriteTerm, LeaseEvent::TermWritten(Some(revision))) => {
                self.on_term_written(revision, now, actions);
            }
            (Step::WriteTerm, LeaseEvent::CallFailed | LeaseEvent::TermWritten(None)) => {
                self.call(Step::ReadTerm, LeaseAction::ReadTerm, now, actions);
            }
            (Step::KeepAlive, LeaseEvent::KeptAlive(true)) => self.on_renewed(sent),
            (Step::KeepAlive, LeaseEvent::KeptAlive(false)) => self.valid_until = Millis(0),
            (Step::Rewrite, LeaseEvent::TermWritten(Some(revision))) => {
                self.on_rewritten(revision);
            }
            (Step::Rewrite, LeaseEvent::CallFailed | LeaseEvent::TermWritten(None)) => {
                self.call(Step::CheckRewrite, LeaseAction::ReadTerm, now, actions);
            }
            (Step::CheckRewrite, LeaseEvent::TermRead(found)) => {
                self.on_rewrite_checked(found, actions);
            }
            _ => self.rest(now),
        }
    }

    /// Waits before the next try; a holder retries its renewal sooner than others look.
    fn rest(&mut self, now: Millis) {
        let wait = if self.role(now).may_assign() {
            self.config.ttl_ms / (RENEWALS * 4)
        } else {
            self.config.poll_ms
        };
        self.next = now.plus(wait);
    }

    fn on_looked(&mut self, found: Option<Vec<u8>>, now: Millis, actions: &mut Vec<LeaseAction>) {
        match found {
            None => {
                let ttl_ms = self.config.ttl_ms;
                self.call(Step::Grant, LeaseAction::Grant { ttl_ms }, now, actions);
            }
            Some(value) if self.tenure.is_some() && value == self.token() => {
                let lease = self.lease;
                self.call(Step::KeepAlive, LeaseAction::KeepAlive { lease }, now, actions);
            }
            Some(value) => {
                if !self.is_own(&value) {
                    self.lose("another process plans", actions);
                }
                self.rest(now);
            }
        }
    }

    /// A lease counts from when it was asked for: that is before the store starts its own count.
    fn on_granted(
        &mut self,
        lease: u64,
        sent: Millis,
        now: Millis,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.lease = lease;
        self.claimed_at = sent;
        let value = self.token();
        self.call(Step::Claim, LeaseAction::Claim { lease, value }, now, actions);
    }

    fn on_claimed(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        self.call(Step::ReadTerm, LeaseAction::ReadTerm, now, actions);
    }

    fn on_term_read(
        &mut self,
        found: Option<(u64, Vec<u8>)>,
        now: Millis,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some((revision, value)) = found else {
            let record = TermRecord::first(self.me.clone(), &self.config);
            return self.write_term(None, record, now, actions);
        };
        let Ok(record) = serde_json::from_slice::<TermRecord>(&value) else {
            return self.rest(now);
        };
        if self.writing.as_ref() == Some(&record) {
            return self.on_term_written(revision, now, actions);
        }
        let own = self.tenure.as_ref().is_some_and(|own| own.record.term == record.term);
        let next = if own {
            record.raised(&self.config)
        } else {
            record.next(self.me.clone(), &self.config)
        };
        self.write_term(Some(revision), next, now, actions);
    }

    fn write_term(
        &mut self,
        expected: Option<u64>,
        record: TermRecord,
        now: Millis,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.writing = Some(record.clone());
        self.call(Step::WriteTerm, LeaseAction::WriteTerm { expected, record }, now, actions);
    }

    /// Begins a tenure, or resumes the one that only a store outage had interrupted.
    fn on_term_written(&mut self, revision: u64, now: Millis, actions: &mut Vec<LeaseAction>) {
        let Some(record) = self.writing.take() else { return self.rest(now) };
        if now >= self.claimed_at.plus(self.config.ttl_ms) {
            return self.rest(now);
        }
        let resumed = self.tenure.as_ref().is_some_and(|own| own.record.term == record.term);
        if !resumed {
            self.lose("another process has planned", actions);
            actions.push(LeaseAction::Acquired(Takeover::new(&record, now)));
        }
        self.tenure = Some(Tenure { record, revision });
        self.on_renewed(self.claimed_at);
    }

    fn on_renewed(&mut self, sent: Millis) {
        let Some(tenure) = &self.tenure else { return };
        let outage = tenure.record.outage_hold_ms.min(self.config.outage_hold_ms);
        self.valid_until = self.valid_until.max(sent.plus(self.config.ttl_ms));
        self.hold_until = sent.plus(outage.max(self.config.ttl_ms));
        self.next = sent.plus(self.config.ttl_ms / RENEWALS);
    }

    fn on_rewritten(&mut self, revision: u64) {
        let Some(record) = self.writing.take() else { return };
        self.tenure = Some(Tenure { record, revision });
    }

    fn on_rewrite_checked(
        &mut self,
        found: Option<(u64, Vec<u8>)>,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some((revision, value)) = found else { return };
        let Ok(record) = serde_json::from_slice::<TermRecord>(&value) else { return };
        let Some(tenure) = &mut self.tenure else { return };
        if record.term == tenure.record.term {
            *tenure = Tenure { record, revision };
        } else {
            self.lose("another process has planned", actions);
        }
    }

    fn token(&self) -> Vec<u8> {
        format!("{} {}", self.me, self.lease).into_bytes()
    }

    /// Returns whether an alive key was written by this process, maybe under an older lease.
    fn is_own(&self, value: &[u8]) -> bool {
        value.starts_with(format!("{} ", self.me).as_bytes())
    }

    /// Returns whether this event answers the store call that is open.
    pub const fn awaits(&self, event: &LeaseEvent) -> bool {
        let Some((step, _)) = self.step else { return false };
        match event {
            LeaseEvent::AliveRead(_) => matches!(step, Step::Look | Step::CheckClaim),
            LeaseEvent::Granted(_) => matches!(step, Step::Grant),
            LeaseEvent::Claimed(_) => matches!(step, Step::Claim),
            LeaseEvent::TermRead(_) => matches!(step, Step::ReadTerm | Step::CheckRewrite),
            LeaseEvent::TermWritten(_) => matches!(step, Step::WriteTerm | Step::Rewrite),
            LeaseEvent::KeptAlive(_) => matches!(step, Step::KeepAlive),
            LeaseEvent::CallFailed => true,
            _ => false,
        }
    }

    /// Returns this process as a holder.
    pub const fn holder(&self) -> &LeaseHolder {
        &self.me
    }

    /// Returns the name under which this process plans.
    pub const fn name(&self) -> &Name {
        &self.me.name
    }
}
