use geraniumpost_schema::Name;

use super::{
    HeldTerm, LeaseAction, LeaseConfig, LeaseEvent, LeaseHolder, LeaseRole, StoreCall, Takeover,
    TermRecord,
};
use crate::Millis;

/// Renewals within the time to live, so that two may fail before the lease expires.
const RENEWALS_PER_TTL: u64 = 3;

/// State of a process in the election of the planner, as a state machine over the store.
///
/// A key attached to a store lease indicates that there is a planner. A second key, which never
/// expires, holds the increasing term. The lease alone is not sufficient, because a holder that was
/// paused does not know that its lease expired. Therefore the holder counts from the instant at
/// which it *sent* its last successful renewal, on its own clock, and checks [`PlannerLease::role`]
/// before each action.
///
/// # Example
///
/// ```
/// use geraniumpost_core::Millis;
/// use geraniumpost_core::jobs::{LeaseAction, LeaseConfig, LeaseEvent, LeaseHolder, PlannerLease};
/// let holder = LeaseHolder::new("entry-1".into(), 7);
/// let mut lease = PlannerLease::new(holder, LeaseConfig::default());
/// assert_eq!(lease.handle(LeaseEvent::Tick, Millis(0)), [LeaseAction::ReadAlive]);
/// let ttl_ms = LeaseConfig::default().ttl_ms;
/// let free = lease.handle(LeaseEvent::AliveRead(None), Millis(2));
/// assert_eq!(free, [LeaseAction::Grant { ttl_ms }]);
/// ```
#[derive(Debug, Clone)]
pub struct PlannerLease {
    holder: LeaseHolder,
    config: LeaseConfig,
    open_call: Option<(StoreCall, Millis)>,
    next_call_at: Millis,
    lease: u64,
    /// Expiry of the store lease, counted from the sending of the last successful renewal.
    valid_until: Millis,
    /// End of the time in which agent leases may be granted without the store.
    grants_until: Millis,
    lease_requested_at: Millis,
    held: Option<HeldTerm>,
    /// Term record of the open write, or of a write with an unknown outcome.
    pending_record: Option<TermRecord>,
    predecessors_expired: bool,
    configured_at: Millis,
    resigned: bool,
}

impl PlannerLease {
    /// Creates the state of a process that is not the planner.
    pub const fn new(holder: LeaseHolder, config: LeaseConfig) -> Self {
        Self {
            holder,
            config,
            open_call: None,
            next_call_at: Millis(0),
            lease: 0,
            valid_until: Millis(0),
            grants_until: Millis(0),
            lease_requested_at: Millis(0),
            held: None,
            pending_record: None,
            predecessors_expired: false,
            configured_at: Millis(0),
            resigned: false,
        }
    }

    /// Returns the role at `now`, by which the caller decides whether it may act as planner.
    pub fn role(&self, now: Millis) -> LeaseRole {
        let Some(held) = &self.held else { return LeaseRole::Follower };
        let term = held.record.term;
        if now < self.valid_until {
            LeaseRole::Leader { term }
        } else if now < self.grants_until {
            LeaseRole::Disconnected { term }
        } else {
            LeaseRole::Follower
        }
    }

    /// Returns the time at which this process must stop granting agent leases unless it renews its
    /// store lease, 0 if it holds no term.
    pub fn may_grant_until(&self) -> Millis {
        if self.held.is_some() { self.grants_until.max(self.valid_until) } else { Millis(0) }
    }

    /// Returns the longest duration in milliseconds of an agent lease that may still be valid, 0 if
    /// this process holds no term. The planner must assume this duration for every agent.
    ///
    /// The configured duration may be shorter, if it was lowered after a lease had been granted.
    pub fn longest_agent_lease_ms(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.record.hold_ms)
    }

    /// Returns the duration of the agent leases to be granted, in milliseconds. It never exceeds
    /// the recorded duration, for which the next planner waits.
    pub fn agent_lease_ms(&self) -> u64 {
        self.longest_agent_lease_ms().min(self.config.hold_ms)
    }

    /// Handles an event and returns the resulting actions in order.
    pub fn handle(&mut self, event: LeaseEvent, now: Millis) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        self.check_expiry(now, &mut actions);
        match event {
            LeaseEvent::Tick => self.on_tick(now, &mut actions),
            LeaseEvent::PredecessorsExpired => self.predecessors_expired = true,
            LeaseEvent::Configure(config) => self.configure(config, now),
            LeaseEvent::StepDown => self.step_down(now, &mut actions),
            LeaseEvent::Resign => self.resign(&mut actions),
            result => self.on_call_result(result, now, &mut actions),
        }
        actions
    }

    fn configure(&mut self, config: LeaseConfig, now: Millis) {
        if config != self.config {
            self.config = config;
            self.configured_at = now;
        }
    }

    /// Ends the term once the store lease has expired and agent leases may no longer be granted.
    fn check_expiry(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        if self.held.is_some() && now >= self.grants_until.max(self.valid_until) {
            self.end_term("the store was unreachable for too long", actions);
        }
    }

    fn end_term(&mut self, reason: &'static str, actions: &mut Vec<LeaseAction>) {
        if self.held.take().is_some() {
            actions.push(LeaseAction::Lost(reason));
        }
        // A term must not be reused. A planner that started again under the same term would
        // consider the records in the store its own writes, and overwrite them with empty ones.
        self.pending_record = None;
        self.predecessors_expired = false;
        self.valid_until = Millis(0);
        self.grants_until = Millis(0);
    }

    /// Ends the term without revoking the lease. The process waits for twice the time to live, so
    /// that another process is elected first.
    fn step_down(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        self.end_term("the planner stepped down", actions);
        self.next_call_at = now.plus(2 * self.config.ttl_ms);
    }

    fn resign(&mut self, actions: &mut Vec<LeaseAction>) {
        self.resigned = true;
        let held_before = self.held.is_some();
        self.end_term("this process is shutting down", actions);
        if held_before {
            actions.push(LeaseAction::Revoke { lease: self.lease });
        }
    }

    fn on_tick(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        if self.open_call.is_some() || now < self.next_call_at || self.resigned {
            return;
        }
        if !self.role(now).may_assign() {
            self.begin_call(StoreCall::Poll, LeaseAction::ReadAlive, now, actions);
        } else if let Some(record) = self.record_update(now) {
            self.update_record(record, now, actions);
        } else {
            self.begin_call(
                StoreCall::KeepAlive,
                LeaseAction::KeepAlive { lease: self.lease },
                now,
                actions,
            );
        }
    }

    fn begin_call(
        &mut self,
        call: StoreCall,
        action: LeaseAction,
        now: Millis,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.open_call = Some((call, now));
        actions.push(action);
    }

    /// Returns the updated record of the held term, if it has to change.
    ///
    /// Times are raised in the record before longer leases are granted. They are lowered only after
    /// every lease granted under the longer times has expired, because the next planner waits as
    /// long as the record says.
    fn record_update(&self, now: Millis) -> Option<TermRecord> {
        let record = &self.held.as_ref()?.record;
        let config = &self.config;
        if record.hold_ms < config.hold_ms || record.outage_hold_ms < config.outage_hold_ms {
            return Some(record.with_raised_times(config));
        }
        if !self.predecessors_expired {
            return None;
        }
        if record.has_earlier_holders() {
            return Some(record.without_earlier_holders());
        }
        let longest = record.hold_ms.max(config.ttl_ms);
        let may_lower = now >= self.configured_at.plus(longest);
        let longer =
            record.hold_ms > config.hold_ms || record.outage_hold_ms > config.outage_hold_ms;
        (may_lower && longer).then(|| record.with_configured_times(config))
    }

    fn update_record(&mut self, record: TermRecord, now: Millis, actions: &mut Vec<LeaseAction>) {
        let expected = self.held.as_ref().map(|held| held.revision);
        self.pending_record = Some(record.clone());
        self.begin_call(
            StoreCall::UpdateTerm,
            LeaseAction::WriteTerm { expected, record },
            now,
            actions,
        );
    }

    fn on_call_result(&mut self, result: LeaseEvent, now: Millis, actions: &mut Vec<LeaseAction>) {
        let Some((call, sent)) = self.open_call.take() else { return };
        if self.resigned {
            return;
        }
        match (call, result) {
            (StoreCall::Poll, LeaseEvent::AliveRead(found)) => self.on_polled(found, now, actions),
            (StoreCall::Grant, LeaseEvent::Granted(lease)) => {
                self.on_granted(lease, sent, now, actions);
            }
            (StoreCall::Claim, LeaseEvent::Claimed(true)) => self.on_claimed(now, actions),
            (StoreCall::Claim, LeaseEvent::CallFailed) => {
                self.begin_call(StoreCall::CheckClaim, LeaseAction::ReadAlive, now, actions);
            }
            (StoreCall::CheckClaim, LeaseEvent::AliveRead(Some(value)))
                if value == self.alive_value() =>
            {
                self.on_claimed(now, actions);
            }
            (StoreCall::ReadTerm, LeaseEvent::TermRead(found)) => {
                self.on_term_read(found, now, actions);
            }
            (StoreCall::WriteTerm, LeaseEvent::TermWritten(Some(revision))) => {
                self.on_term_written(revision, now, actions);
            }
            (StoreCall::WriteTerm, LeaseEvent::CallFailed | LeaseEvent::TermWritten(None)) => {
                self.begin_call(StoreCall::ReadTerm, LeaseAction::ReadTerm, now, actions);
            }
            (StoreCall::KeepAlive, LeaseEvent::KeptAlive(true)) => self.on_renewed(sent),
            (StoreCall::KeepAlive, LeaseEvent::KeptAlive(false)) => self.valid_until = Millis(0),
            (StoreCall::UpdateTerm, LeaseEvent::TermWritten(Some(revision))) => {
                self.on_record_updated(revision);
            }
            (StoreCall::UpdateTerm, LeaseEvent::CallFailed | LeaseEvent::TermWritten(None)) => {
                self.begin_call(StoreCall::CheckUpdate, LeaseAction::ReadTerm, now, actions);
            }
            (StoreCall::CheckUpdate, LeaseEvent::TermRead(found)) => {
                self.on_update_checked(found, actions);
            }
            _ => self.schedule_retry(now),
        }
    }

    /// Schedules the next attempt. A holder retries its renewal sooner than other processes poll.
    fn schedule_retry(&mut self, now: Millis) {
        let wait = if self.role(now).may_assign() {
            self.config.ttl_ms / (RENEWALS_PER_TTL * 4)
        } else {
            self.config.poll_interval_ms
        };
        self.next_call_at = now.plus(wait);
    }

    fn on_polled(&mut self, found: Option<Vec<u8>>, now: Millis, actions: &mut Vec<LeaseAction>) {
        match found {
            None => {
                let ttl_ms = self.config.ttl_ms;
                self.begin_call(StoreCall::Grant, LeaseAction::Grant { ttl_ms }, now, actions);
            }
            Some(value) if self.held.is_some() && value == self.alive_value() => {
                let lease = self.lease;
                self.begin_call(
                    StoreCall::KeepAlive,
                    LeaseAction::KeepAlive { lease },
                    now,
                    actions,
                );
            }
            Some(value) => {
                if !self.is_own_alive_value(&value) {
                    self.end_term("another process holds the planner lease", actions);
                }
                self.schedule_retry(now);
            }
        }
    }

    /// Counts the lease from the time at which it was requested. The store counts it from a later
    /// time, so the holder never considers an expired lease valid.
    fn on_granted(
        &mut self,
        lease: u64,
        sent: Millis,
        now: Millis,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.lease = lease;
        self.lease_requested_at = sent;
        let value = self.alive_value();
        self.begin_call(StoreCall::Claim, LeaseAction::Claim { lease, value }, now, actions);
    }

    fn on_claimed(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        self.begin_call(StoreCall::ReadTerm, LeaseAction::ReadTerm, now, actions);
    }

    fn on_term_read(
        &mut self,
        found: Option<(u64, Vec<u8>)>,
        now: Millis,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some((revision, value)) = found else {
            let record = TermRecord::first(self.holder.clone(), &self.config);
            return self.write_term(None, record, now, actions);
        };
        let Ok(record) = serde_json::from_slice::<TermRecord>(&value) else {
            return self.schedule_retry(now);
        };
        if self.pending_record.as_ref() == Some(&record) {
            return self.on_term_written(revision, now, actions);
        }
        let own = self.held.as_ref().is_some_and(|own| own.record.term == record.term);
        let next = if own {
            record.with_raised_times(&self.config)
        } else {
            record.next(self.holder.clone(), &self.config)
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
        self.pending_record = Some(record.clone());
        self.begin_call(
            StoreCall::WriteTerm,
            LeaseAction::WriteTerm { expected, record },
            now,
            actions,
        );
    }

    /// Begins a new term, or resumes a term that was interrupted only by a store outage.
    fn on_term_written(&mut self, revision: u64, now: Millis, actions: &mut Vec<LeaseAction>) {
        let Some(record) = self.pending_record.take() else { return self.schedule_retry(now) };
        if now >= self.lease_requested_at.plus(self.config.ttl_ms) {
            return self.schedule_retry(now);
        }
        let resumed = self.held.as_ref().is_some_and(|own| own.record.term == record.term);
        if !resumed {
            self.end_term("another process has taken over the term record", actions);
            actions.push(LeaseAction::Acquired(Takeover::new(&record, now)));
        }
        self.held = Some(HeldTerm { record, revision });
        self.on_renewed(self.lease_requested_at);
    }

    fn on_renewed(&mut self, sent: Millis) {
        let Some(held) = &self.held else { return };
        let outage = held.record.outage_hold_ms.min(self.config.outage_hold_ms);
        self.valid_until = self.valid_until.max(sent.plus(self.config.ttl_ms));
        self.grants_until = sent.plus(outage.max(self.config.ttl_ms));
        self.next_call_at = sent.plus(self.config.ttl_ms / RENEWALS_PER_TTL);
    }

    fn on_record_updated(&mut self, revision: u64) {
        let Some(record) = self.pending_record.take() else { return };
        self.held = Some(HeldTerm { record, revision });
    }

    fn on_update_checked(&mut self, found: Option<(u64, Vec<u8>)>, actions: &mut Vec<LeaseAction>) {
        let Some((revision, value)) = found else { return };
        let Ok(record) = serde_json::from_slice::<TermRecord>(&value) else { return };
        let Some(held) = &mut self.held else { return };
        if record.term == held.record.term {
            *held = HeldTerm { record, revision };
        } else {
            self.end_term("another process has taken over the term record", actions);
        }
    }

    fn alive_value(&self) -> Vec<u8> {
        format!("{} {}", self.holder, self.lease).into_bytes()
    }

    /// Returns whether this process wrote the alive key, possibly under an older lease.
    fn is_own_alive_value(&self, value: &[u8]) -> bool {
        value.starts_with(format!("{} ", self.holder).as_bytes())
    }

    /// Returns whether the event is a response to the open store call.
    pub const fn is_response_to_open_call(&self, event: &LeaseEvent) -> bool {
        let Some((call, _)) = self.open_call else { return false };
        match event {
            LeaseEvent::AliveRead(_) => matches!(call, StoreCall::Poll | StoreCall::CheckClaim),
            LeaseEvent::Granted(_) => matches!(call, StoreCall::Grant),
            LeaseEvent::Claimed(_) => matches!(call, StoreCall::Claim),
            LeaseEvent::TermRead(_) => matches!(call, StoreCall::ReadTerm | StoreCall::CheckUpdate),
            LeaseEvent::TermWritten(_) => {
                matches!(call, StoreCall::WriteTerm | StoreCall::UpdateTerm)
            }
            LeaseEvent::KeptAlive(_) => matches!(call, StoreCall::KeepAlive),
            LeaseEvent::CallFailed => true,
            _ => false,
        }
    }

    /// Returns the identity under which this process takes part in the election.
    pub const fn holder(&self) -> &LeaseHolder {
        &self.holder
    }

    /// Returns the name of the entry that this process runs as.
    pub const fn name(&self) -> &Name {
        &self.holder.name
    }
}
