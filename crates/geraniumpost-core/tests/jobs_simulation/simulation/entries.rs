//! The entries and their calls to the store.

use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{
    JobResponse, JobSpec, JobState, LeaseAction, LeaseEvent, LedgerEvent, PlannerAction,
    PlannerEvent, alive_key, bucket_key, term_key,
};
use geraniumpost_core::placement::{Decision, Reason};
use geraniumpost_schema::{Heartbeat, HeartbeatAck, Name, ToAgent};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::message::{Message, StoreCaller};
use super::{STEP_MS, STORE_TIMEOUT_MS, Simulation};
use crate::entry::holder;
use crate::store::{StoreCall, StoreResponse};

impl Simulation {
    pub(super) fn step_entry(&mut self, index: usize) {
        if !self.entries[index].is_up(self.now) {
            return;
        }
        let actions = self.entries[index].handle_lease_event(LeaseEvent::Tick, self.now);
        self.perform_lease_actions(index, actions);
        if self.entries[index].planner.is_none() {
            return;
        }
        self.update_links(index);
        self.report_predecessor_stops(index);
        self.send_requests(index);
        self.handle_planner_event(index, PlannerEvent::Tick);
        if self.now >= self.entries[index].last_placement + 200 {
            self.entries[index].last_placement = self.now;
            self.place(index);
        }
    }

    pub(super) fn update_links(&mut self, index: usize) {
        for agent in 0..self.agents.len() {
            let up = self.now >= self.agents[agent].down_until && !self.is_link_cut(index, agent);
            let incarnation = up.then_some(self.agents[agent].incarnation);
            let old = self.entries[index].links[agent];
            if incarnation == old {
                continue;
            }
            self.entries[index].links[agent] = incarnation;
            let name = self.agents[agent].name.clone();
            if let Some(incarnation) = old {
                self.handle_planner_event(
                    index,
                    PlannerEvent::LinkDown { agent: name.clone(), incarnation },
                );
            }
            if let Some(incarnation) = incarnation {
                self.handle_planner_event(index, PlannerEvent::LinkUp { agent: name, incarnation });
            }
        }
    }

    /// Reports each incarnation of the other entry that has stopped planning: earlier incarnations,
    /// and the current incarnation if it is a follower.
    pub(super) fn report_predecessor_stops(&mut self, index: usize) {
        let other = &self.entries[1 - index];
        if !other.is_up(self.now) {
            return;
        }
        let current = other.incarnation;
        let is_follower = !other.role(self.now).may_grant_leases();
        for incarnation in 1..=current {
            if incarnation < current || is_follower {
                self.handle_planner_event(
                    index,
                    PlannerEvent::PredecessorStopped(holder(1 - index, incarnation)),
                );
            }
        }
    }

    /// Repeats submissions and cancellations until they are confirmed as recorded.
    pub(super) fn send_requests(&mut self, index: usize) {
        if self.now % 400 >= STEP_MS {
            return;
        }
        let unconfirmed: Vec<JobSpec> =
            self.jobs.values().filter(|s| !self.accepted.contains(&s.id)).cloned().collect();
        for spec in unconfirmed {
            let request_id = self.rng.random();
            self.open_requests.insert(request_id, (spec.id.clone(), false));
            self.handle_planner_event(index, PlannerEvent::Submit { spec, request_id });
        }
        for job in self
            .cancel_requests
            .difference(&self.confirmed_cancellations)
            .cloned()
            .collect::<Vec<_>>()
        {
            if !self.accepted.contains(&job) {
                continue;
            }
            let request_id = self.rng.random();
            self.open_requests.insert(request_id, (job.clone(), true));
            self.handle_planner_event(
                index,
                PlannerEvent::Cancel { job, customer: Name::default(), request_id },
            );
        }
    }

    pub(super) fn place(&mut self, index: usize) {
        let clocks = self.clocks();
        let evict = std::mem::take(&mut self.eviction_requested);
        let pick = self.rng.random::<u64>() as usize;
        let mut rng = StdRng::seed_from_u64(clocks.random);
        let entry = &mut self.entries[index];
        let role = entry.role(clocks.clock.0);
        let Some(planner) = &mut entry.planner else { return };
        let running: Vec<Name> = planner
            .records()
            .filter(|record| record.state() == JobState::Assigned)
            .map(|record| record.id().clone())
            .collect();
        let placer = &mut entry.placer;
        let actions = planner.place(role, clocks, |now, requests, fleet| {
            let mut decisions = placer.place(now, requests, fleet, &mut rng);
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
        self.perform_planner_actions(index, actions);
    }

    pub(super) fn handle_planner_event(&mut self, index: usize, event: PlannerEvent) {
        let clocks = self.clocks();
        let actions = self.entries[index].handle_planner_event(event, clocks);
        self.perform_planner_actions(index, actions);
    }

    pub(super) fn perform_planner_actions(&mut self, index: usize, actions: Vec<PlannerAction>) {
        let region = Name::from("lima");
        for action in actions {
            match action {
                PlannerAction::Commit { bucket, expected, value } => {
                    let key = bucket_key(&region, bucket);
                    let call = StoreCall::Put { key, value, expected, lease: None };
                    self.send_store_call(index, StoreCaller::Commit(bucket), call);
                }
                PlannerAction::Read { bucket } => {
                    let call = StoreCall::Get(bucket_key(&region, bucket));
                    self.send_store_call(index, StoreCaller::Read(bucket), call);
                }
                PlannerAction::Send { agent, frame } => self.send_to_agent(index, &agent, frame),
                PlannerAction::Reply { request_id, response } => {
                    self.on_reply(request_id, &response);
                }
                PlannerAction::PredecessorsExpired => {
                    let actions = self.entries[index]
                        .handle_lease_event(LeaseEvent::PredecessorsExpired, self.now);
                    self.perform_lease_actions(index, actions);
                }
                PlannerAction::StepDown(_) => {
                    let actions =
                        self.entries[index].handle_lease_event(LeaseEvent::StepDown, self.now);
                    self.perform_lease_actions(index, actions);
                }
                PlannerAction::Observe(_) => {}
            }
        }
    }

    pub(super) fn on_reply(&mut self, request_id: u64, response: &JobResponse) {
        let Some((job, cancel)) = self.open_requests.remove(&request_id) else { return };
        if response.is_ok() && cancel {
            self.confirmed_cancellations.insert(job);
        } else if response.is_ok() {
            self.accepted.insert(job);
        } else if cancel && response.state.is_some() {
            self.cancel_requests.remove(&job);
        }
    }

    pub(super) fn perform_lease_actions(&mut self, index: usize, actions: Vec<LeaseAction>) {
        let region = Name::from("lima");
        for action in actions {
            let call = match action {
                LeaseAction::ReadAlive => StoreCall::Get(alive_key(&region)),
                LeaseAction::ReadTerm => StoreCall::Get(term_key(&region)),
                LeaseAction::Grant { ttl_ms } => StoreCall::Grant(ttl_ms),
                LeaseAction::KeepAlive { lease } => StoreCall::KeepAlive(lease),
                LeaseAction::Revoke { lease } => StoreCall::Revoke(lease),
                LeaseAction::Claim { lease, value } => {
                    let key = alive_key(&region);
                    StoreCall::Put { key, value, expected: None, lease: Some(lease) }
                }
                LeaseAction::WriteTerm { expected, record } => {
                    let value = serde_json::to_vec(&record).expect("plain data");
                    StoreCall::Put { key: term_key(&region), value, expected, lease: None }
                }
                LeaseAction::Acquired(_) | LeaseAction::Lost(_) => continue,
            };
            self.send_store_call(index, StoreCaller::Lease, call);
        }
    }

    pub(super) fn send_store_call(&mut self, entry: usize, caller: StoreCaller, call: StoreCall) {
        let incarnation = self.entries[entry].incarnation;
        let delay = self.random_delay_ms();
        self.send(delay, Message::StoreCall { entry, incarnation, caller, call });
    }

    pub(super) fn send_to_agent(&mut self, entry: usize, agent: &Name, frame: ToAgent) {
        let index = self.agents.iter().position(|agent_process| agent_process.name == *agent);
        let Some((index, incarnation)) =
            index.and_then(|index| Some((index, self.entries[entry].links[index]?)))
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
        if !self.is_message_lost() && !self.is_link_cut(entry, index) {
            let delay = self.random_delay_ms();
            self.send(delay, Message::ToAgent { agent: index, incarnation, event });
        }
    }

    pub(super) fn handle_store_call(
        &mut self,
        entry: usize,
        incarnation: u64,
        caller: StoreCaller,
        call: StoreCall,
    ) {
        let now = self.now;
        let cut = now < self.store_down_until || now < self.entries[entry].store_cut_until;
        let response = if cut { StoreResponse::Failed } else { self.store.handle(call, now) };
        let lost = now < self.responses_lost_until || self.is_message_lost();
        let failed = cut || lost;
        let response = if failed { StoreResponse::Failed } else { response };
        let delay = if failed { STORE_TIMEOUT_MS } else { self.random_delay_ms() };
        self.send(delay, Message::StoreResponse { entry, incarnation, caller, response });
        self.record_final_states();
    }

    pub(super) fn handle_store_response(
        &mut self,
        entry: usize,
        incarnation: u64,
        caller: StoreCaller,
        response: StoreResponse,
    ) {
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        if !self.entries[entry].is_up(self.now) {
            return self
                .send(STEP_MS, Message::StoreResponse { entry, incarnation, caller, response });
        }
        match caller {
            StoreCaller::Commit(bucket) => {
                let event = match response {
                    StoreResponse::Written(Some(revision)) => {
                        PlannerEvent::CommitDone { bucket, revision }
                    }
                    StoreResponse::Written(None) => PlannerEvent::CommitConflict { bucket },
                    _ => PlannerEvent::CommitUnknown { bucket },
                };
                self.handle_planner_event(entry, event);
            }
            StoreCaller::Read(bucket) => {
                let event = match response {
                    StoreResponse::Read(found) => PlannerEvent::ReadDone { bucket, found },
                    _ => PlannerEvent::ReadFailed { bucket },
                };
                self.handle_planner_event(entry, event);
            }
            StoreCaller::Lease => {
                let actions = self.handle_lease_response(entry, response);
                self.perform_lease_actions(entry, actions);
            }
        }
    }

    pub(super) fn handle_lease_response(
        &mut self,
        entry: usize,
        response: StoreResponse,
    ) -> Vec<LeaseAction> {
        let now = self.now;
        let entry = &mut self.entries[entry];
        let events = match response {
            StoreResponse::Read(found) => vec![
                LeaseEvent::TermRead(found.clone()),
                LeaseEvent::AliveRead(found.map(|(_, value)| value)),
            ],
            StoreResponse::Granted(lease) => vec![LeaseEvent::Granted(lease)],
            StoreResponse::Written(revision) => {
                vec![LeaseEvent::TermWritten(revision), LeaseEvent::Claimed(revision.is_some())]
            }
            StoreResponse::KeptAlive(known) => vec![LeaseEvent::KeptAlive(known)],
            StoreResponse::Failed => vec![LeaseEvent::CallFailed],
        };
        let event = events.into_iter().find(|event| entry.lease.is_response_to_open_call(event));
        event.map_or_else(Vec::new, |event| entry.handle_lease_event(event, now))
    }

    pub(super) fn on_heartbeat(&mut self, entry: usize, agent: usize, heartbeat: Box<Heartbeat>) {
        let now = self.now;
        if !self.entries[entry].is_up(now) {
            return;
        }
        let hold_ms = self.entries[entry].lease.agent_lease_ms();
        let role = self.entries[entry].role(now);
        let Some(planner) = &mut self.entries[entry].planner else { return };
        let (term, hold_ms) = planner.heartbeat(&heartbeat, hold_ms, role, Millis(now));
        let ack = HeartbeatAck {
            entry: Name::default(),
            sequence: heartbeat.sequence,
            incarnation: heartbeat.incarnation,
            config_revision: 1,
            term,
            hold_ms,
            entries_digest: 0,
            entries: Vec::new(),
        };
        let (incarnation, event) = (heartbeat.incarnation, LedgerEvent::Ack(ack));
        if !self.is_message_lost() && !self.is_link_cut(entry, agent) {
            let delay = self.random_delay_ms();
            self.send(delay, Message::ToAgent { agent, incarnation, event });
        }
    }
}
