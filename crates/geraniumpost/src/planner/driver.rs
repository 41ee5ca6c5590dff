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
    AgentLinks, DecisionLog, PlannerInput, Question, StoreAnswer, calls, lease_calls, predecessors,
    store_calls, summary,
};
use crate::console::{ApiCode, ApiError, job_reply, state_name};
use crate::entry::EntryContext;
use crate::wall_ms;

/// Interval of the planner's clock.
const TICK: Duration = Duration::from_millis(50);
/// Shortest time between two rounds of placement.
const PLACE_MS: u64 = 200;
/// Interval at which the placer learns of the latency beside one worker.
const LEARN_MS: u64 = 1_000;
/// Interval at which jobs are counted for the metrics.
const COUNT_MS: u64 = 1_000;
/// Holds shorter than this would lapse between two heartbeats.
const SHORTEST_HOLD_MS: u64 = 2_000;

type Answer = oneshot::Sender<Result<Value, ApiError>>;

/// The task that owns the lease and, while this entry plans, the planner.
struct Driver {
    cx: Arc<EntryContext>,
    lease: PlannerLease,
    planner: Option<Planner>,
    takeover: Option<Takeover>,
    placer: Placer,
    log: DecisionLog,
    links: AgentLinks,
    answers: mpsc::UnboundedSender<StoreAnswer>,
    replies: HashMap<u64, (Name, Answer)>,
    next_reply: u64,
    placed_at: Millis,
    counted_at: Millis,
    learned_at: HashMap<Name, Millis>,
}

/// Runs until the entry's process ends.
pub(super) async fn run(
    cx: Arc<EntryContext>,
    mut inputs: mpsc::UnboundedReceiver<PlannerInput>,
    mut questions: mpsc::UnboundedReceiver<Question>,
    mut stop: watch::Receiver<bool>,
) {
    let (answers_tx, mut answers) = mpsc::unbounded_channel();
    let mut revisions = cx.config.active().subscribe();
    let mut driver = Driver::new(cx, answers_tx);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        // Heartbeats go first: each has been answered with a hold, which must be counted before a
        // tick judges whose hold has lapsed.
        tokio::select! {
            biased;
            Some(input) = inputs.recv() => driver.on_input(input),
            Some(answer) = answers.recv() => driver.on_answer(answer),
            Ok(()) = revisions.changed() => driver.configure(),
            Some(question) = questions.recv() => driver.on_question(question),
            Ok(()) = stop.changed() => driver.lease(LeaseEvent::Resign),
            _ = ticks.tick() => driver.tick(),
            else => return,
        }
    }
}

impl Driver {
    fn new(cx: Arc<EntryContext>, answers: mpsc::UnboundedSender<StoreAnswer>) -> Self {
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
            answers,
            replies: HashMap::new(),
            next_reply: 0,
            placed_at: Millis(0),
            counted_at: Millis(0),
            learned_at: HashMap::new(),
        }
    }

    fn moment(&self) -> Now {
        Now::new(self.cx.clock.now(), wall_ms(), rand::random())
    }

    fn configure(&mut self) {
        let in_force = self.cx.config.active().load_full();
        self.placer.configure(in_force.document());
        if let Some(planner) = &mut self.planner {
            planner.configure(in_force.document());
        }
        self.lease(LeaseEvent::Configure(lease_config(&self.cx)));
    }

    fn on_input(&mut self, input: PlannerInput) {
        match input {
            PlannerInput::Heartbeat(beat) => self.on_heartbeat(&beat),
            PlannerInput::LinkUp(link) => {
                let news = self.links.up(link);
                self.tell_all(news);
            }
            PlannerInput::LinkDown(link) => {
                let news = self.links.down(&link);
                self.tell_all(news);
            }
            PlannerInput::Told(link, message) if self.links.is_current(&link) => {
                self.on_told(link.peer().name.clone(), message);
            }
            // Silence proves nothing; the lapse of the hold does, and the planner waits for it.
            PlannerInput::Lost(agent) => drop(self.learned_at.remove(&agent)),
            PlannerInput::Told(..) => {}
        }
    }

    fn on_heartbeat(&mut self, beat: &Heartbeat) {
        if !beat.has_worker {
            return;
        }
        let now = self.cx.clock.now();
        let (hold_ms, standing) = (self.lease.longest_agent_lease_ms(), self.lease.role(now));
        if let Some(planner) = &mut self.planner {
            planner.heartbeat(beat, hold_ms, standing, now);
        }
        self.observe_latency(beat, now);
        let news = self.links.seen(&beat.agent);
        self.tell_all(news);
    }

    /// Lets the placer learn how the service beside the worker does, now and then.
    ///
    /// Without requests the percentile is an old one, which says nothing of who runs there now.
    fn observe_latency(&mut self, beat: &Heartbeat, now: Millis) {
        let load = beat.load;
        let due = self.learned_at.get(&beat.agent).is_none_or(|at| now.since(*at) >= LEARN_MS);
        if self.planner.is_none() || !due || load.in_flight == 0 || load.p99_us == 0 {
            return;
        }
        self.learned_at.insert(beat.agent.clone(), now);
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

    fn on_told(&mut self, agent: Name, message: ToEntry) {
        let event = match message {
            ToEntry::Report(report) => PlannerEvent::Report { agent, report },
            ToEntry::Inventory(inventory) => PlannerEvent::Inventory { agent, inventory },
            ToEntry::Leaving => PlannerEvent::Draining { agent },
            _ => return,
        };
        self.tell(event);
    }

    fn on_question(&mut self, question: Question) {
        let Question { call, answer } = question;
        let Some(planner) = &self.planner else {
            let _ = answer.send(Err(ApiCode::NoPlanner.into()));
            return;
        };
        let reply = self.next_reply;
        let Some(event) = calls::event(&call, reply) else {
            // The asker may have left.
            let _ = answer.send(calls::read(&call, planner, &self.placer));
            return;
        };
        self.next_reply += 1;
        if let PlannerEvent::Submit { spec, .. } = &event {
            self.replies.insert(reply, (spec.id.clone(), answer));
        } else if let PlannerEvent::Cancel { job, .. } = &event {
            self.replies.insert(reply, (job.clone(), answer));
        }
        self.tell(event);
    }

    fn on_answer(&mut self, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Lease(event) => self.lease(event),
            StoreAnswer::Planner(term, event) => {
                if self.planner.as_ref().is_some_and(|planner| planner.term() == term) {
                    self.tell(event);
                }
            }
        }
    }

    fn tick(&mut self) {
        self.heed_higher_term();
        self.lease(LeaseEvent::Tick);
        if self.planner.is_none() {
            return self.cx.show_planner(None);
        }
        self.prove_predecessors();
        self.tell(PlannerEvent::Tick);
        let now = self.cx.clock.now();
        if now.since(self.placed_at) >= PLACE_MS {
            self.placed_at = now;
            self.place();
        }
        if now.since(self.counted_at) >= COUNT_MS {
            self.counted_at = now;
            self.count_jobs();
        }
        self.replies.retain(|_, (_, answer)| !answer.is_closed());
    }

    fn count_jobs(&self) {
        let counts = self.planner.as_ref().map(Planner::count_by_state).unwrap_or_default();
        for (state, count) in JobState::ALL.iter().zip(counts) {
            self.cx.metrics.jobs(state_name(*state), count);
        }
        let in_force = self.cx.config.active().load();
        let shown = self.planner.as_ref().map(|p| summary::summary(p, in_force.document()));
        self.cx.show_planner(shown);
    }

    /// Steps down when another entry says that it plans under a higher term.
    ///
    /// A planner cut from the store would otherwise not hear of its successor, and go on answering
    /// operators from records that are no longer true.
    fn heed_higher_term(&mut self) {
        let Some(own) = self.planner.as_ref().map(Planner::term) else { return };
        let now = self.cx.clock.now();
        let highest = self.cx.peers().planner(now).map_or(0, |(term, _)| term);
        if highest > own {
            spdlog::warn!("planner: another entry plans in term {highest}");
            self.lease(LeaseEvent::StepDown);
        }
    }

    fn prove_predecessors(&mut self) {
        let Some(takeover) = &mut self.takeover else { return };
        let gone = predecessors::gone(&self.cx, takeover, self.cx.clock.now());
        takeover.earlier.retain(|holder| !gone.contains(holder));
        for holder in gone {
            spdlog::info!("planner: {holder} has stopped planning");
            self.tell(PlannerEvent::PredecessorStopped(holder));
        }
    }

    fn place(&mut self) {
        let moment = self.moment();
        let standing = self.lease.role(moment.clock);
        let Some(planner) = &mut self.planner else { return };
        let (placer, log, metrics) = (&mut self.placer, &mut self.log, &self.cx.metrics);
        let actions = planner.place(standing, moment, |now, wishes, fleet| {
            let decisions = placer.place(now, wishes, fleet, &mut rand::rng());
            log.write(&decisions, metrics);
            decisions
        });
        self.carry_out(actions);
    }

    fn tell_all(&mut self, events: Vec<PlannerEvent>) {
        for event in events {
            self.tell(event);
        }
    }

    fn tell(&mut self, event: PlannerEvent) {
        let moment = self.moment();
        let standing = self.lease.role(moment.clock);
        let Some(planner) = &mut self.planner else { return };
        let actions = planner.handle(event, standing, moment);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<PlannerAction>) {
        for action in actions {
            self.carry_out_one(action);
        }
    }

    fn carry_out_one(&mut self, action: PlannerAction) {
        let term = self.planner.as_ref().map_or(0, Planner::term);
        let (store, region) = (&self.cx.store, &self.cx.settings.region);
        match action {
            PlannerAction::Commit { bucket, expected, value } => {
                let key = bucket_key(region, bucket);
                store_calls::commit(store, &self.answers, (term, bucket), key, expected, value);
            }
            PlannerAction::Read { bucket } => {
                let key = bucket_key(region, bucket);
                store_calls::read(store, &self.answers, (term, bucket), key);
            }
            PlannerAction::Send { agent, frame } => self.links.send(&agent, frame),
            PlannerAction::Reply { request_id, response } => {
                if let Some((id, asker)) = self.replies.remove(&request_id) {
                    // The asker may have left.
                    let _ = asker.send(job_reply(&id, &response));
                }
            }
            PlannerAction::Observe(observation) => {
                if let Observation::Started { class, .. } = &observation {
                    self.cx.metrics.placement(class);
                }
                self.placer.observe(self.cx.clock.now(), &observation);
            }
            PlannerAction::PredecessorsExpired => self.lease(LeaseEvent::PredecessorsExpired),
            PlannerAction::StepDown(why) => {
                spdlog::error!("planner: steps down in term {term}: {why}");
                self.lease(LeaseEvent::StepDown);
            }
        }
    }

    fn lease(&mut self, event: LeaseEvent) {
        let actions = self.lease.handle(event, self.cx.clock.now());
        for action in actions {
            match action {
                LeaseAction::Acquired(takeover) => self.begin(takeover),
                LeaseAction::Lost(why) => self.end(why),
                call => {
                    let region = &self.cx.settings.region;
                    lease_calls::make(&self.cx.store, &self.answers, region, call);
                }
            }
        }
        self.publish();
    }

    fn begin(&mut self, takeover: Takeover) {
        spdlog::info!("planner: this entry plans in term {}", takeover.term);
        let mut planner = Planner::new(&takeover, PlannerConfig::default());
        planner.configure(self.cx.config.active().load().document());
        self.placer = Placer::new(self.cx.config.active().load().document());
        self.planner = Some(planner);
        self.takeover = Some(takeover);
        let news = self.links.all();
        self.tell_all(news);
    }

    fn end(&mut self, why: &str) {
        spdlog::warn!("planner: this entry no longer plans: {why}");
        self.planner = None;
        self.takeover = None;
        self.replies.clear();
        self.count_jobs();
    }

    /// Lets heartbeats be answered, and others know, as this entry's standing is now.
    fn publish(&self) {
        let now = self.cx.clock.now();
        let term = match self.lease.role(now) {
            LeaseRole::Follower => 0,
            LeaseRole::Leader { term } | LeaseRole::Disconnected { term } => term,
        };
        let hold_ms = if term == 0 { 0 } else { self.lease.agent_lease_ms() };
        self.cx.set_hold(hold_ms, self.lease.may_grant_until());
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
        hold_ms: policy.hold_ms.max(SHORTEST_HOLD_MS),
        ..LeaseConfig::default()
    }
}
