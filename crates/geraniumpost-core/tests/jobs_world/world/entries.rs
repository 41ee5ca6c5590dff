//! The entries' side.

use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{
    JobResponse, JobSpec, JobState, LeaseAction, LeaseEvent, LedgerEvent, PlannerAction,
    PlannerEvent, alive_key, bucket_key, term_key,
};
use geraniumpost_core::placement::{Decision, Reason};
use geraniumpost_schema::{Heartbeat, HeartbeatAck, Name, ToAgent};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::flight::{Caller, Flight};
use super::{STEP_MS, TIMEOUT_MS, World};
use crate::entry::holder;
use crate::store::{Answer, Call};

impl World {
    pub(super) fn run_entry(&mut self, at: usize) {
        if !self.entries[at].is_up(self.now) {
            return;
        }
        let actions = self.entries[at].lease(LeaseEvent::Tick, self.now);
        self.do_lease(at, actions);
        if self.entries[at].planner.is_none() {
            return;
        }
        self.update_links(at);
        self.prove_others(at);
        self.ask(at);
        self.plan(at, PlannerEvent::Tick);
        if self.now >= self.entries[at].last_place + 200 {
            self.entries[at].last_place = self.now;
            self.place(at);
        }
    }

    pub(super) fn update_links(&mut self, at: usize) {
        for agent in 0..self.agents.len() {
            let up = self.now >= self.agents[agent].down_until && !self.is_cut(at, agent);
            let incarnation = up.then_some(self.agents[agent].incarnation);
            let old = self.entries[at].links[agent];
            if incarnation == old {
                continue;
            }
            self.entries[at].links[agent] = incarnation;
            let name = self.agents[agent].name.clone();
            if let Some(incarnation) = old {
                self.plan(at, PlannerEvent::LinkDown { agent: name.clone(), incarnation });
            }
            if let Some(incarnation) = incarnation {
                self.plan(at, PlannerEvent::LinkUp { agent: name, incarnation });
            }
        }
    }

    /// The other entry's beats prove that it does not plan, or that it restarted.
    pub(super) fn prove_others(&mut self, at: usize) {
        let other = &self.entries[1 - at];
        if !other.is_up(self.now) {
            return;
        }
        let current = other.incarnation;
        let follows = !other.role(self.now).may_grant_leases();
        for incarnation in 1..=current {
            if incarnation < current || follows {
                self.plan(at, PlannerEvent::PredecessorStopped(holder(1 - at, incarnation)));
            }
        }
    }

    /// Submitters and cancellers come back until they are told that it is recorded.
    pub(super) fn ask(&mut self, at: usize) {
        if self.now % 400 >= STEP_MS {
            return;
        }
        let open: Vec<JobSpec> =
            self.wanted.values().filter(|s| !self.accepted.contains(&s.id)).cloned().collect();
        for spec in open {
            let reply = self.rng.random();
            self.replies.insert(reply, (spec.id.clone(), false));
            self.plan(at, PlannerEvent::Submit { spec, reply });
        }
        for job in self.cancels.difference(&self.cancelled).cloned().collect::<Vec<_>>() {
            if !self.accepted.contains(&job) {
                continue;
            }
            let reply = self.rng.random();
            self.replies.insert(reply, (job.clone(), true));
            self.plan(at, PlannerEvent::Cancel { job, customer: Name::default(), reply });
        }
    }

    pub(super) fn place(&mut self, at: usize) {
        let moment = self.moment();
        let evict = std::mem::take(&mut self.evict_wanted);
        let pick = self.rng.random::<u64>() as usize;
        let mut rng = StdRng::seed_from_u64(moment.random);
        let entry = &mut self.entries[at];
        let standing = entry.role(moment.clock.0);
        let Some(planner) = &mut entry.planner else { return };
        let running: Vec<Name> = planner
            .records()
            .filter(|record| record.state() == JobState::Assigned)
            .map(|record| record.id().clone())
            .collect();
        let placer = &mut entry.placer;
        let actions = planner.place(standing, moment, |now, wishes, fleet| {
            let mut decisions = placer.place(now, wishes, fleet, &mut rng);
            if evict && !running.is_empty() {
                decisions.push(Decision::Evict {
                    job: running[pick % running.len()].clone(),
                    worker: Name::default(),
                    for_job: Name::default(),
                    reason: Reason::AwaitingWorkers,
                });
            }
            decisions
        });
        self.do_planner(at, actions);
    }

    pub(super) fn plan(&mut self, at: usize, event: PlannerEvent) {
        let moment = self.moment();
        let actions = self.entries[at].plan_event(event, moment);
        self.do_planner(at, actions);
    }

    pub(super) fn do_planner(&mut self, at: usize, actions: Vec<PlannerAction>) {
        let region = Name::from("lima");
        for action in actions {
            match action {
                PlannerAction::Commit { bucket, expected, value } => {
                    let key = bucket_key(&region, bucket);
                    let call = Call::Put { key, value, expected, lease: None };
                    self.call_store(at, Caller::Commit(bucket), call);
                }
                PlannerAction::Read { bucket } => {
                    let call = Call::Get(bucket_key(&region, bucket));
                    self.call_store(at, Caller::Read(bucket), call);
                }
                PlannerAction::Send { agent, frame } => self.send(at, &agent, frame),
                PlannerAction::Reply { reply, answer } => self.on_reply(reply, &answer),
                PlannerAction::PredecessorsExpired => {
                    let actions = self.entries[at].lease(LeaseEvent::PredecessorsExpired, self.now);
                    self.do_lease(at, actions);
                }
                PlannerAction::StepDown(_) => {
                    let actions = self.entries[at].lease(LeaseEvent::StepDown, self.now);
                    self.do_lease(at, actions);
                }
                PlannerAction::Observe(_) => {}
            }
        }
    }

    pub(super) fn on_reply(&mut self, reply: u64, answer: &JobResponse) {
        let Some((job, cancel)) = self.replies.remove(&reply) else { return };
        if answer.is_ok() && cancel {
            self.cancelled.insert(job);
        } else if answer.is_ok() {
            self.accepted.insert(job);
        } else if cancel && answer.state.is_some() {
            self.cancels.remove(&job);
        }
    }

    pub(super) fn do_lease(&mut self, at: usize, actions: Vec<LeaseAction>) {
        let region = Name::from("lima");
        for action in actions {
            let call = match action {
                LeaseAction::ReadAlive => Call::Get(alive_key(&region)),
                LeaseAction::ReadTerm => Call::Get(term_key(&region)),
                LeaseAction::Grant { ttl_ms } => Call::Grant(ttl_ms),
                LeaseAction::KeepAlive { lease } => Call::KeepAlive(lease),
                LeaseAction::Revoke { lease } => Call::Revoke(lease),
                LeaseAction::Claim { lease, value } => {
                    let key = alive_key(&region);
                    Call::Put { key, value, expected: None, lease: Some(lease) }
                }
                LeaseAction::WriteTerm { expected, record } => {
                    let value = serde_json::to_vec(&record).expect("plain data");
                    Call::Put { key: term_key(&region), value, expected, lease: None }
                }
                LeaseAction::Acquired(_) | LeaseAction::Lost(_) => continue,
            };
            self.call_store(at, Caller::Lease, call);
        }
    }

    pub(super) fn call_store(&mut self, entry: usize, to: Caller, call: Call) {
        let incarnation = self.entries[entry].incarnation;
        let delay = self.delay();
        self.fly(delay, Flight::StoreCall { entry, incarnation, to, call });
    }

    pub(super) fn send(&mut self, entry: usize, agent: &Name, frame: ToAgent) {
        let at = self.agents.iter().position(|one| one.name == *agent);
        let Some((at, incarnation)) = at.and_then(|at| Some((at, self.entries[entry].links[at]?)))
        else {
            return;
        };
        let event = match frame {
            ToAgent::Start(order) => LedgerEvent::Start(order),
            ToAgent::Evict(order) => LedgerEvent::Evict(order),
            ToAgent::Stop(order) => LedgerEvent::Stop(order),
            ToAgent::Settled(order) => LedgerEvent::Settled(order),
            ToAgent::Throttle(order) => LedgerEvent::Throttle(order),
            ToAgent::Supersede(term) => LedgerEvent::Supersede(term),
            _ => return,
        };
        if !self.is_lost() && !self.is_cut(entry, at) {
            let delay = self.delay();
            self.fly(delay, Flight::ToAgent { agent: at, incarnation, event });
        }
    }

    pub(super) fn run_store(&mut self, entry: usize, incarnation: u64, to: Caller, call: Call) {
        let now = self.now;
        let cut = now < self.store_down_until || now < self.entries[entry].cut_until;
        let answer = if cut { Answer::Failed } else { self.store.run(call, now) };
        let lost = now < self.replies_lost_until || self.is_lost();
        let failed = cut || lost;
        let answer = if failed { Answer::Failed } else { answer };
        let delay = if failed { TIMEOUT_MS } else { self.delay() };
        self.fly(delay, Flight::StoreAnswer { entry, incarnation, to, answer });
        self.note_finals();
    }

    pub(super) fn answer(&mut self, entry: usize, incarnation: u64, to: Caller, answer: Answer) {
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        if !self.entries[entry].is_up(self.now) {
            return self.fly(STEP_MS, Flight::StoreAnswer { entry, incarnation, to, answer });
        }
        match to {
            Caller::Commit(bucket) => {
                let event = match answer {
                    Answer::Written(Some(revision)) => {
                        PlannerEvent::CommitDone { bucket, revision }
                    }
                    Answer::Written(None) => PlannerEvent::CommitConflict { bucket },
                    _ => PlannerEvent::CommitUnknown { bucket },
                };
                self.plan(entry, event);
            }
            Caller::Read(bucket) => {
                let event = match answer {
                    Answer::Read(found) => PlannerEvent::ReadDone { bucket, found },
                    _ => PlannerEvent::ReadFailed { bucket },
                };
                self.plan(entry, event);
            }
            Caller::Lease => {
                let actions = self.lease_answer(entry, answer);
                self.do_lease(entry, actions);
            }
        }
    }

    pub(super) fn lease_answer(&mut self, entry: usize, answer: Answer) -> Vec<LeaseAction> {
        let now = self.now;
        let entry = &mut self.entries[entry];
        let events = match answer {
            Answer::Read(found) => vec![
                LeaseEvent::TermRead(found.clone()),
                LeaseEvent::AliveRead(found.map(|(_, value)| value)),
            ],
            Answer::Granted(lease) => vec![LeaseEvent::Granted(lease)],
            Answer::Written(revision) => {
                vec![LeaseEvent::TermWritten(revision), LeaseEvent::Claimed(revision.is_some())]
            }
            Answer::Kept(known) => vec![LeaseEvent::KeptAlive(known)],
            Answer::Failed => vec![LeaseEvent::CallFailed],
        };
        let event = events.into_iter().find(|event| entry.lease.awaits(event));
        event.map_or_else(Vec::new, |event| entry.lease(event, now))
    }

    pub(super) fn on_beat(&mut self, entry: usize, agent: usize, beat: Box<Heartbeat>) {
        let now = self.now;
        if !self.entries[entry].is_up(now) {
            return;
        }
        let hold_ms = self.entries[entry].lease.agent_lease_ms();
        let standing = self.entries[entry].role(now);
        let Some(planner) = &mut self.entries[entry].planner else { return };
        let (term, hold_ms) = planner.heartbeat(&beat, hold_ms, standing, Millis(now));
        let ack = HeartbeatAck {
            entry: Name::default(),
            sequence: beat.sequence,
            incarnation: beat.incarnation,
            config_revision: 1,
            term,
            hold_ms,
            entries_digest: 0,
            entries: Vec::new(),
        };
        let (incarnation, event) = (beat.incarnation, LedgerEvent::Ack(ack));
        if !self.is_lost() && !self.is_cut(entry, agent) {
            let delay = self.delay();
            self.fly(delay, Flight::ToAgent { agent, incarnation, event });
        }
    }
}
