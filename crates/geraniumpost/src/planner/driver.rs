use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{
    JobState, LeaseAction, LeaseConfig, LeaseEvent, LeaseHolder, LeaseRole, Now, Planner,
    PlannerAction, PlannerConfig, PlannerEvent, PlannerLease, Takeover, bucket_key,
};
use geraniumpost_core::placement::{Observation, Placer};
use geraniumpost_schema::{Heartbeat, Name, ToEntry};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use super::{
    AgentLinks, DecisionLog, PendingCall, PlannerInput, StoreAnswer, calls, lease_calls,
    predecessors, store_calls, summary,
};
use crate::console::{ApiCode, ApiError, job_reply, state_name};
use crate::entry::EntryContext;
use crate::wall_ms;

/// Interval at which the planner and its lease handle the passing of time.
const TICK: Duration = Duration::from_millis(50);
/// Minimum time between two placement rounds, in milliseconds.
const PLACEMENT_INTERVAL_MS: u64 = 200;
/// Minimum time between two latency observations beside the same worker, in milliseconds.
const OBSERVATION_INTERVAL_MS: u64 = 1_000;
/// Minimum time between two updates of the job metrics and the shown state, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 1_000;
/// Minimum duration of an agent lease, in milliseconds. A shorter lease would expire between two
/// heartbeats.
const MIN_AGENT_LEASE_MS: u64 = 2_000;

type AnswerSender = oneshot::Sender<Result<Value, ApiError>>;

/// State of the task that owns the lease and, while this entry plans, the planner.
struct Driver {
    cx: Arc<EntryContext>,
    lease: PlannerLease,
    planner: Option<Planner>,
    takeover: Option<Takeover>,
    placer: Placer,
    log: DecisionLog,
    links: AgentLinks,
    store_answers: mpsc::UnboundedSender<StoreAnswer>,
    /// Calls that wait for an answer of the planner, by request id.
    pending_calls: HashMap<u64, (Name, AnswerSender)>,
    next_request_id: u64,
    placed_at: Millis,
    summarized_at: Millis,
    /// Time of the last latency observation beside each worker.
    observed_at: HashMap<Name, Millis>,
}

/// Runs until the entry's process ends.
pub(super) async fn run(
    cx: Arc<EntryContext>,
    mut inputs: mpsc::UnboundedReceiver<PlannerInput>,
    mut calls: mpsc::UnboundedReceiver<PendingCall>,
    mut stop: watch::Receiver<bool>,
) {
    let (store_answers_tx, mut store_answers) = mpsc::unbounded_channel();
    let mut revisions = cx.config.active().subscribe();
    let mut driver = Driver::new(cx, store_answers_tx);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        // Heartbeats are handled before ticks: each may have extended an agent lease, which must be
        // recorded before a tick looks for expired leases.
        tokio::select! {
            biased;
            Some(input) = inputs.recv() => driver.on_input(input),
            Some(answer) = store_answers.recv() => driver.on_store_answer(answer),
            Ok(()) = revisions.changed() => driver.configure(),
            Some(call) = calls.recv() => driver.on_call(call),
            Ok(()) = stop.changed() => driver.handle_lease_event(LeaseEvent::Resign),
            _ = ticks.tick() => driver.tick(),
            else => return,
        }
    }
}

impl Driver {
    fn new(cx: Arc<EntryContext>, store_answers: mpsc::UnboundedSender<StoreAnswer>) -> Self {
        let me = LeaseHolder::new(cx.me.name.clone(), cx.me.incarnation);
        let placer = Placer::new(cx.config.active().load().document());
        let config = lease_config(&cx);
        Self {
            cx,
            lease: PlannerLease::new(me, config),
            planner: None,
            takeover: None,
            placer,
            log: DecisionLog::default(),
            links: AgentLinks::default(),
            store_answers,
            pending_calls: HashMap::new(),
            next_request_id: 0,
            placed_at: Millis(0),
            summarized_at: Millis(0),
            observed_at: HashMap::new(),
        }
    }

    fn now(&self) -> Now {
        Now::new(self.cx.clock.now(), wall_ms(), rand::random())
    }

    fn configure(&mut self) {
        let in_force = self.cx.config.active().load_full();
        self.placer.configure(in_force.document());
        if let Some(planner) = &mut self.planner {
            planner.configure(in_force.document());
        }
        self.handle_lease_event(LeaseEvent::Configure(lease_config(&self.cx)));
    }

    fn on_input(&mut self, input: PlannerInput) {
        match input {
            PlannerInput::Heartbeat(beat) => self.on_heartbeat(&beat),
            PlannerInput::LinkUp(link) => {
                let events = self.links.add(link);
                self.handle_all(events);
            }
            PlannerInput::LinkDown(link) => {
                let events = self.links.remove(&link);
                self.handle_all(events);
            }
            PlannerInput::Message(link, message) if self.links.is_current(&link) => {
                self.on_message(link.peer().name.clone(), message);
            }
            // The agent's tasks may still run until its lease expires, so the planner is not told.
            PlannerInput::AgentLost(agent) => drop(self.observed_at.remove(&agent)),
            PlannerInput::Message(..) => {}
        }
    }

    fn on_heartbeat(&mut self, beat: &Heartbeat) {
        if !beat.has_worker {
            return;
        }
        let now = self.cx.clock.now();
        let (lease_ms, role) = (self.lease.longest_agent_lease_ms(), self.lease.role(now));
        if let Some(planner) = &mut self.planner {
            planner.heartbeat(beat, lease_ms, role, now);
        }
        self.observe_latency(beat, now);
        let events = self.links.mark_schedulable(&beat.agent);
        self.handle_all(events);
    }

    /// Reports the latency of the service beside the worker to the placer, at most once per
    /// [`OBSERVATION_INTERVAL_MS`].
    ///
    /// Without requests in flight the percentile is outdated and does not reflect the tasks that
    /// run there now.
    fn observe_latency(&mut self, beat: &Heartbeat, now: Millis) {
        let load = beat.load;
        let due = self
            .observed_at
            .get(&beat.agent)
            .is_none_or(|at| now.since(*at) >= OBSERVATION_INTERVAL_MS);
        if self.planner.is_none() || !due || load.in_flight == 0 || load.p99_us == 0 {
            return;
        }
        self.observed_at.insert(beat.agent.clone(), now);
        let load_permille = load.in_flight * 1000 / beat.slots.max(1);
        let observation = Observation::Latency {
            worker: beat.agent.clone(),
            service: beat.service.clone(),
            load_permille,
            p99_us: load.p99_us,
            at: now,
        };
        self.placer.observe(now, &observation);
    }

    fn on_message(&mut self, agent: Name, message: ToEntry) {
        let event = match message {
            ToEntry::Report(report) => PlannerEvent::Report { agent, report },
            ToEntry::Inventory(inventory) => PlannerEvent::Inventory { agent, inventory },
            ToEntry::Leaving => PlannerEvent::Draining { agent },
            _ => return,
        };
        self.handle(event);
    }

    fn on_call(&mut self, call: PendingCall) {
        let PendingCall { call, answer } = call;
        let Some(planner) = &self.planner else {
            let _ = answer.send(Err(ApiCode::NoPlanner.into()));
            return;
        };
        let request_id = self.next_request_id;
        let Some(event) = calls::event(&call, request_id) else {
            // Fails if the caller no longer waits.
            let _ = answer.send(calls::read(&call, planner, &self.placer));
            return;
        };
        self.next_request_id += 1;
        if let PlannerEvent::Submit { spec, .. } = &event {
            self.pending_calls.insert(request_id, (spec.id.clone(), answer));
        } else if let PlannerEvent::Cancel { job, .. } = &event {
            self.pending_calls.insert(request_id, (job.clone(), answer));
        }
        self.handle(event);
    }

    fn on_store_answer(&mut self, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Lease(event) => self.handle_lease_event(event),
            StoreAnswer::Planner(term, event) => {
                if self.planner.as_ref().is_some_and(|planner| planner.term() == term) {
                    self.handle(event);
                }
            }
        }
    }

    fn tick(&mut self) {
        self.step_down_for_higher_term();
        self.handle_lease_event(LeaseEvent::Tick);
        if self.planner.is_none() {
            return self.cx.publish_planner_state(None);
        }
        self.report_stopped_predecessors();
        self.handle(PlannerEvent::Tick);
        let now = self.cx.clock.now();
        if now.since(self.placed_at) >= PLACEMENT_INTERVAL_MS {
            self.placed_at = now;
            self.place();
        }
        if now.since(self.summarized_at) >= SUMMARY_INTERVAL_MS {
            self.summarized_at = now;
            self.publish_summary();
        }
        self.pending_calls.retain(|_, (_, answer)| !answer.is_closed());
    }

    /// Updates the job metrics and the state that is shown to operators.
    fn publish_summary(&self) {
        let counts = self.planner.as_ref().map(Planner::count_by_state).unwrap_or_default();
        for (state, count) in JobState::ALL.iter().zip(counts) {
            self.cx.metrics.jobs(state_name(*state), count);
        }
        let in_force = self.cx.config.active().load();
        let state = self.planner.as_ref().map(|p| summary::summary(p, in_force.document()));
        self.cx.publish_planner_state(state);
    }

    /// Steps down when another entry reports a higher term.
    ///
    /// Otherwise a planner that cannot reach the store would not learn of its successor, and would
    /// continue to answer operators from outdated records.
    fn step_down_for_higher_term(&mut self) {
        let Some(own) = self.planner.as_ref().map(Planner::term) else { return };
        let now = self.cx.clock.now();
        let highest = self.cx.peers().planner(now).map_or(0, |(term, _)| term);
        if highest > own {
            spdlog::warn!(
                "planner: another entry plans in term {highest}; stepping down in term {own}"
            );
            self.handle_lease_event(LeaseEvent::StepDown);
        }
    }

    fn report_stopped_predecessors(&mut self) {
        let Some(takeover) = &mut self.takeover else { return };
        let stopped = predecessors::stopped(&self.cx, takeover, self.cx.clock.now());
        takeover.earlier.retain(|holder| !stopped.contains(holder));
        for holder in stopped {
            spdlog::info!("planner: {holder} has stopped planning");
            self.handle(PlannerEvent::PredecessorStopped(holder));
        }
    }

    fn place(&mut self) {
        let now = self.now();
        let role = self.lease.role(now.clock);
        let Some(planner) = &mut self.planner else { return };
        let (placer, log, metrics) = (&mut self.placer, &mut self.log, &self.cx.metrics);
        let actions = planner.place(role, now, |now, requests, fleet| {
            let decisions = placer.place(now, requests, fleet, &mut rand::rng());
            log.write(&decisions, metrics);
            decisions
        });
        self.execute_all(actions);
    }

    fn handle_all(&mut self, events: Vec<PlannerEvent>) {
        for event in events {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: PlannerEvent) {
        let now = self.now();
        let role = self.lease.role(now.clock);
        let Some(planner) = &mut self.planner else { return };
        let actions = planner.handle(event, role, now);
        self.execute_all(actions);
    }

    fn execute_all(&mut self, actions: Vec<PlannerAction>) {
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: PlannerAction) {
        let term = self.planner.as_ref().map_or(0, Planner::term);
        let (store, region) = (&self.cx.store, &self.cx.settings.region);
        match action {
            PlannerAction::Commit { bucket, expected, value } => {
                let key = bucket_key(region, bucket);
                store_calls::commit(
                    store,
                    &self.store_answers,
                    (term, bucket),
                    key,
                    expected,
                    value,
                );
            }
            PlannerAction::Read { bucket } => {
                let key = bucket_key(region, bucket);
                store_calls::read(store, &self.store_answers, (term, bucket), key);
            }
            PlannerAction::Send { agent, frame } => self.links.send(&agent, frame),
            PlannerAction::Reply { request_id, response } => {
                if let Some((id, answer)) = self.pending_calls.remove(&request_id) {
                    // Fails if the caller no longer waits.
                    let _ = answer.send(job_reply(&id, &response));
                }
            }
            PlannerAction::Observe(observation) => {
                if let Observation::Started { class, .. } = &observation {
                    self.cx.metrics.placement(class);
                }
                self.placer.observe(self.cx.clock.now(), &observation);
            }
            PlannerAction::PredecessorsExpired => {
                self.handle_lease_event(LeaseEvent::PredecessorsExpired);
            }
            PlannerAction::StepDown(why) => {
                spdlog::error!("planner: steps down in term {term}: {why}");
                self.handle_lease_event(LeaseEvent::StepDown);
            }
        }
    }

    fn handle_lease_event(&mut self, event: LeaseEvent) {
        let actions = self.lease.handle(event, self.cx.clock.now());
        for action in actions {
            match action {
                LeaseAction::Acquired(takeover) => self.start_planning(takeover),
                LeaseAction::Lost(why) => self.stop_planning(why),
                call => {
                    let region = &self.cx.settings.region;
                    lease_calls::make(&self.cx.store, &self.store_answers, region, call);
                }
            }
        }
        self.publish_role();
    }

    fn start_planning(&mut self, takeover: Takeover) {
        spdlog::info!("planner: this entry plans in term {}", takeover.term);
        let mut planner = Planner::new(&takeover, PlannerConfig::default());
        planner.configure(self.cx.config.active().load().document());
        self.placer = Placer::new(self.cx.config.active().load().document());
        self.planner = Some(planner);
        self.takeover = Some(takeover);
        let events = self.links.report_all();
        self.handle_all(events);
    }

    fn stop_planning(&mut self, why: &str) {
        spdlog::warn!("planner: this entry no longer plans: {why}");
        self.planner = None;
        self.takeover = None;
        self.pending_calls.clear();
        self.publish_summary();
    }

    /// Publishes the current term and agent lease for the answers to agents' heartbeats, and the
    /// term for this entry's own heartbeats.
    fn publish_role(&self) {
        let now = self.cx.clock.now();
        let term = match self.lease.role(now) {
            LeaseRole::Follower => 0,
            LeaseRole::Leader { term } | LeaseRole::Disconnected { term } => term,
        };
        let lease_ms = if term == 0 { 0 } else { self.lease.agent_lease_ms() };
        self.cx.set_agent_lease(lease_ms, self.lease.may_grant_until());
        if self.cx.term() != term {
            self.cx.set_term(term);
        }
    }
}

fn lease_config(cx: &EntryContext) -> LeaseConfig {
    let in_force = cx.config.active().load();
    let policy = &in_force.document().policy;
    LeaseConfig {
        outage_hold_ms: policy.outage_hold_s * 1_000,
        hold_ms: policy.hold_ms.max(MIN_AGENT_LEASE_MS),
        ..LeaseConfig::default()
    }
}
