//! Passes messages to the coordinator's state machine and carries out its effects.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumpost_batch::disturbance::DisturbanceStatus;
use geraniumpost_batch::shares::{StopCounts, StopReason};
use geraniumpost_batch::{
    AdmissionStatus, CallerRequest, Coordinator, CopyCounts, Effect, EvacuationReading,
    EvacuationStatus, FromAgent, LongestWait, OrderKind, TaskId, ToAgent, ToEntry, WriteBatch,
};
use geraniumpost_net::LinkSender;
use geraniumpost_platform::ApprovedMinions;
use geraniumpost_schema::Name;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use super::super::entry::ActiveConfiguration;
use super::super::{BootClock, ToPeer};
use super::agent_links::{AgentLinks, LinkClosing, LinkOpening};
use super::process_pause::ProcessPause;
use super::successor_leases::SuccessorLeases;
use super::term_support::TermSupport;
use crate::metrics::Metrics;

/// Interval at which the coordinator checks its timers. The shortest timers run for hundreds of
/// milliseconds.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of inputs that are handled in one round, before the coordinator makes decisions.
const MAX_INPUTS_PER_ROUND: usize = 64;
/// Time to carry out the effects of a round from which it is logged: links, writes and requests are
/// queued, so that a round usually takes a millisecond, and everything else waits meanwhile.
const SLOW_EFFECTS: Duration = Duration::from_millis(200);

/// Minimum interval between two log lines on approval requests that could not be passed on.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The process at the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Peer {
    /// An entry, which relays callers' requests.
    Entry {
        /// Name under which the entry is registered.
        node: Name,
        /// Number of the link in this process.
        link: u64,
    },
    /// An agent, which forwards orders to its minion.
    Agent {
        /// Name of the agent's VM.
        node: Name,
        /// Number of the link in this process.
        link: u64,
    },
}

/// Messages, responses and results that the driver passes to the coordinator.
#[derive(Debug)]
pub enum Input {
    /// A link has opened; messages to the peer are sent through the sender.
    LinkOpened(Peer, LinkSender<ToPeer>),
    /// A link has closed; the peer may already have opened another link.
    LinkClosed(Peer),
    /// An entry relays a caller's request.
    Request {
        /// Number of the entry's link.
        link: u64,
        /// Number by which the entry matches the response to its request.
        request_id: u64,
        /// The caller's request, as relayed by the entry.
        request: CallerRequest,
    },
    /// Message of an agent.
    AgentMessage {
        /// Name of the agent's VM.
        node: Name,
        /// Number of the link over which the message arrived.
        link: u64,
        /// The message.
        message: FromAgent,
    },
    /// The store has committed the batch with this number.
    BatchWritten(u64),
    /// The store has refused the batch with this number and did nothing.
    BatchRefused(u64),
    /// The batch with this number was never sent to the store.
    BatchUnsent(u64),
    /// An attempt to write the batch with this number had no result; it is written again.
    BatchIndeterminate(u64),
    /// Response of the admission service; `None` if it failed to respond.
    ApprovalResponse(ApprovalRequest, Option<ApprovedMinions>),
    /// The store has confirmed the term of this coordinator.
    TermConfirmed {
        /// Time at which the call to the store was sent, on the monotonic clock.
        requested_ms: u64,
        /// Time at which the store's response was received, on the monotonic clock.
        received_ms: u64,
    },
    /// The evacuated failure domains were read from the store.
    EvacuationsRead {
        /// The domains, and the revision of the store.
        reading: EvacuationReading,
        /// Time at which the reading was requested, on the monotonic clock.
        requested_ms: u64,
    },
    /// The silent coordinator at this address has learned that its term has ended.
    PredecessorEnded(SocketAddr),
    /// A silent coordinator cannot extend any lease after `until_ms`.
    PredecessorExtendsUntil {
        /// Address of the silent coordinator.
        address: SocketAddr,
        /// Latest time at which that coordinator can extend a lease, on the monotonic clock.
        until_ms: u64,
    },
}

/// A step, identified by its first task, and the minions for which the admission service's approval
/// is requested.
pub type ApprovalRequest = (TaskId, Vec<Name>);

/// Why the driver has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TermEnd {
    /// A minion has rejected an order of this coordinator because it has seen a higher fencing
    /// token.
    Superseded,
    /// All senders of inputs were dropped.
    Closed,
}

/// Runs the coordinator's state machine during one term.
pub struct Driver {
    coordinator: Coordinator,
    metrics: Arc<Metrics>,
    writes: mpsc::Sender<WriteBatch>,
    approval_requests: mpsc::Sender<ApprovalRequest>,
    /// Time of the last log line on a request that could not be passed on.
    approval_failure_logged: Option<Instant>,
    /// Links of entries, by the number of the link.
    entries: HashMap<u64, LinkSender<ToPeer>>,
    agents: AgentLinks<LinkSender<ToPeer>>,
    /// Link of the entry that waits for each response and the entry's id of the request, by the
    /// driver's own id of the request.
    pending_replies: HashMap<u64, (u64, u64)>,
    next_request_id: u64,
    /// Leases that a successor has to wait for, as shared with the writer.
    successor_leases: Arc<SuccessorLeases>,
    support: Arc<TermSupport>,
    process_pause: ProcessPause,
    /// Configuration of this entry, from which the coordinator takes the weights of queues.
    configuration: Arc<ActiveConfiguration>,
    /// Version of the configuration whose weights the coordinator has; 0 for none.
    weights_version: u64,
    // The metrics contain the counts of the following fields already.
    evacuation_status: EvacuationStatus,
    admission_status: AdmissionStatus,
    preemption_counts: StopCounts,
    copy_counts: CopyCounts,
    quarantine_count: u64,
    disturbance_status: DisturbanceStatus,
}

impl Driver {
    /// Returns a driver without links. It sends batches of records to `writes`, and requests for
    /// the admission service to `approval_requests`.
    pub fn new(
        coordinator: Coordinator,
        writes: mpsc::Sender<WriteBatch>,
        approval_requests: mpsc::Sender<ApprovalRequest>,
        successor_leases: Arc<SuccessorLeases>,
        support: Arc<TermSupport>,
        configuration: Arc<ActiveConfiguration>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            configuration,
            weights_version: 0,
            preemption_counts: StopCounts::new(),
            successor_leases,
            support,
            process_pause: ProcessPause::new(BootClock.now_ms()),
            evacuation_status: EvacuationStatus::default(),
            admission_status: AdmissionStatus::default(),
            copy_counts: CopyCounts::default(),
            quarantine_count: 0,
            disturbance_status: DisturbanceStatus::default(),
            metrics,
            coordinator,
            writes,
            approval_requests,
            approval_failure_logged: None,
            entries: HashMap::new(),
            agents: AgentLinks::default(),
            pending_replies: HashMap::new(),
            next_request_id: 1,
        }
    }

    /// Handles inputs until the term ends.
    pub async fn run(mut self, inputs: &mut mpsc::Receiver<Input>) -> TermEnd {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MAX_INPUTS_PER_ROUND);
        loop {
            tokio::select! {
                count = inputs.recv_many(&mut batch, MAX_INPUTS_PER_ROUND) => if count == 0 {
                    return TermEnd::Closed;
                },
                _ = ticks.tick() => self.tick(),
            }
            self.begin_round();
            for input in batch.drain(..) {
                self.handle(input);
            }
            let effects = self.coordinator.take_effects(BootClock.now());
            self.update_successor_leases();
            let began = Instant::now();
            let count = effects.len();
            for effect in effects {
                if effect == Effect::Superseded {
                    return TermEnd::Superseded;
                }
                self.perform(effect);
            }
            if began.elapsed() >= SLOW_EFFECTS {
                let took_ms = began.elapsed().as_millis();
                spdlog::warn!("event=effects_slow effects={count} took_ms={took_ms}");
            }
        }
    }

    /// Updates the support by other entries and checks for a process pause, before any decision is
    /// made.
    fn begin_round(&mut self) {
        let (until_ms, supporters) = self.support.support_end_and_supporter_count();
        self.coordinator.set_supported_until(until_ms, supporters);
        if let Some(gap_ms) = self.process_pause.begin_round(BootClock.now_ms()) {
            spdlog::warn!("event=process_paused gap_ms={gap_ms}");
        }
    }

    /// Reports changed leases to the writer. Must be called before the effects of a round are
    /// carried out.
    fn update_successor_leases(&mut self) {
        if self.coordinator.take_leases_for_successor_changed() {
            let now = BootClock.now();
            self.successor_leases.set(self.coordinator.leases_for_successor(now), now.steady_ms);
        }
    }

    fn tick(&mut self) {
        let now = BootClock.now();
        self.update_queue_weights();
        self.coordinator.tick(now);
        self.report_shares();
        let LongestWait { persistent_ms, other_ms } = self.coordinator.longest_wait(now);
        let [persistent, other] = [persistent_ms, other_ms].map(Duration::from_millis);
        self.metrics.longest_wait(persistent, other);
        self.report_evacuations(self.coordinator.evacuation_status(now));
        self.report_admission(self.coordinator.admission_status());
        self.report_stragglers();
        self.report_disturbance(self.coordinator.disturbance_status());
        self.metrics.lease_supporters(self.support.support_end_and_supporter_count().1 as u64);
    }

    /// Passes the weights of queues to the coordinator if the active configuration has changed.
    fn update_queue_weights(&mut self) {
        let Some(routes) = self.configuration.routes() else { return };
        if routes.version != self.weights_version {
            self.weights_version = routes.version;
            self.coordinator.set_queue_weights(routes.queue_weights());
        }
    }

    fn report_shares(&mut self) {
        let counts = self.coordinator.preemption_counts();
        let previous = std::mem::replace(&mut self.preemption_counts, counts);
        for reason in StopReason::ALL {
            let new = counts.get(reason) - previous.get(reason);
            if new > 0 {
                self.metrics.preemptions(&reason.to_string(), new);
            }
        }
        for (queue, share) in self.coordinator.queue_shares() {
            self.metrics.queue_share(&queue, share);
        }
    }

    fn report_evacuations(&mut self, status: EvacuationStatus) {
        let EvacuationStatus { domains, age_ms, dropped_starts, held_starts } = status;
        self.metrics.evacuations(domains, Duration::from_millis(age_ms));
        let previous = std::mem::replace(&mut self.evacuation_status, status);
        self.metrics.withheld_starts("evacuated", dropped_starts - previous.dropped_starts);
        self.metrics.withheld_starts("unknown", held_starts - previous.held_starts);
    }

    fn report_admission(&mut self, status: AdmissionStatus) {
        let previous = std::mem::replace(&mut self.admission_status, status);
        let AdmissionStatus { store_not_committing, not_stored, withdrawn } = status;
        self.metrics.store_not_committing(store_not_committing);
        self.metrics.refused_submissions("not_stored", not_stored - previous.not_stored);
        self.metrics.refused_submissions("withdrawn", withdrawn - previous.withdrawn);
    }

    fn report_stragglers(&mut self) {
        let counts = self.coordinator.copy_counts();
        let before = std::mem::replace(&mut self.copy_counts, counts);
        self.metrics.copies("started", counts.started - before.started);
        self.metrics.copies("won", counts.won - before.won);
        self.metrics.copies("promoted", counts.promoted - before.promoted);
        self.metrics.copies("wasted", counts.wasted - before.wasted);
        let quarantines = self.coordinator.quarantine_count();
        let before = std::mem::replace(&mut self.quarantine_count, quarantines);
        self.metrics.quarantines(quarantines - before);
    }

    fn report_disturbance(&mut self, status: DisturbanceStatus) {
        let DisturbanceStatus { steps_over_budget, over_bound_ms, trials } = status;
        let previous = std::mem::replace(&mut self.disturbance_status, status);
        self.metrics.steps_over_disturbance_budget(steps_over_budget);
        self.metrics.disturbance(over_bound_ms - previous.over_bound_ms, trials - previous.trials);
    }

    fn handle(&mut self, input: Input) {
        let now = BootClock.now();
        match input {
            Input::LinkOpened(Peer::Entry { link, .. }, tx) => {
                self.entries.insert(link, tx);
            }
            Input::LinkOpened(Peer::Agent { node, link }, tx) => {
                match self.agents.open(&node, link, tx) {
                    LinkOpening::First => {}
                    LinkOpening::Replacing => {
                        self.coordinator.handle_agent_disconnected(&node, now);
                    }
                    LinkOpening::Outdated => return,
                }
                let hello = FromAgent::Hello { agent: node.clone() };
                self.coordinator.handle_agent_message(&node, hello, now);
            }
            Input::LinkClosed(Peer::Entry { link, .. }) => {
                self.entries.remove(&link);
            }
            Input::LinkClosed(Peer::Agent { node, link }) => match self.agents.close(&node, link) {
                LinkClosing::Disconnected => {
                    self.coordinator.handle_agent_disconnected(&node, now);
                }
                LinkClosing::Replaced { discarded: 0 } => {}
                LinkClosing::Replaced { discarded } => {
                    spdlog::info!("agent={node} event=replaced_link_closed discarded={discarded}");
                }
            },
            Input::Request { link, request_id, request } => {
                let own_request_id = self.next_request_id;
                self.next_request_id += 1;
                self.pending_replies.insert(own_request_id, (link, request_id));
                self.coordinator.handle_request(own_request_id, request, now);
            }
            Input::AgentMessage { node, link, message } => {
                if self.agents.accept_message(&node, link) {
                    self.coordinator.handle_agent_message(&node, message, now);
                }
            }
            Input::BatchWritten(batch) => self.coordinator.handle_batch_written(batch, now),
            Input::BatchRefused(batch) => self.coordinator.handle_batch_refused(batch, now),
            Input::BatchUnsent(batch) => self.coordinator.handle_batch_unsent(batch),
            Input::BatchIndeterminate(batch) => {
                self.coordinator.handle_batch_indeterminate(batch);
            }
            Input::ApprovalResponse((step, requested_minions), response) => {
                let response = response.map(|response| (response.tickets, response.valid_ms));
                self.coordinator.handle_approval(step, &requested_minions, response, now);
            }
            Input::TermConfirmed { requested_ms, received_ms } => {
                self.coordinator.record_store_confirmation(requested_ms, received_ms);
                for (agent, message) in self.process_pause.record_term_confirmation(requested_ms) {
                    self.send_to_agent(&agent, message);
                }
            }
            Input::EvacuationsRead { reading, requested_ms } => {
                self.coordinator.handle_evacuations(reading, requested_ms, now);
            }
            Input::PredecessorEnded(address) => {
                self.coordinator.record_predecessor_term_end(address, now);
            }
            Input::PredecessorExtendsUntil { address, until_ms } => {
                self.coordinator.limit_predecessor_leases(address, until_ms);
            }
        }
    }

    /// Carries out an effect, without waiting: all other decisions would wait too, and a task that
    /// waits for a place in the queue of inputs would never make room for this one.
    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Write(batch) => self.write(batch),
            Effect::Respond { request_id, response } => {
                let Some((link, request_id)) = self.pending_replies.remove(&request_id) else {
                    return;
                };
                if let Some(tx) = self.entries.get(&link) {
                    // An entry whose link has closed sends its request again over the next link.
                    let _ = tx.send(ToPeer::Entry(ToEntry::Response { request_id, response }));
                }
            }
            Effect::Send { agent, message } => {
                if let Some((agent, message)) =
                    self.process_pause.hold_if_unconfirmed(agent, message)
                {
                    self.send_to_agent(&agent, message);
                }
            }
            Effect::RequestApproval { step, minions } => self.request_approval(step, minions),
            Effect::Log(line) => spdlog::info!("{line}"),
            Effect::Superseded => {}
        }
    }

    fn write(&mut self, batch: WriteBatch) {
        match self.writes.try_send(batch) {
            Ok(()) => {}
            // The queue has capacity for all batches that the coordinator has in flight.
            Err(TrySendError::Full(batch)) => {
                spdlog::error!("event=write_queue_full batch={}", batch.number);
                self.coordinator.handle_batch_unsent(batch.number);
            }
            Err(TrySendError::Closed(_)) => spdlog::debug!("event=writer_ended"),
        }
    }

    fn request_approval(&mut self, step: TaskId, minions: Vec<Name>) {
        let (why, (step, minions)) = match self.approval_requests.try_send((step, minions)) {
            Ok(()) => return,
            Err(TrySendError::Full(request)) => ("earlier requests have no response", request),
            Err(TrySendError::Closed(request)) => ("no admission service is configured", request),
        };
        let is_log_due =
            self.approval_failure_logged.is_none_or(|at| at.elapsed() >= FAILURE_LOG_INTERVAL);
        if is_log_due {
            self.approval_failure_logged = Some(Instant::now());
            spdlog::warn!("event=approval_not_requested step={step} why=\"{why}\"");
        }
        self.coordinator.handle_approval(step, &minions, None, BootClock.now());
    }

    fn send_to_agent(&self, agent: &Name, message: ToAgent) {
        self.count_order(&message);
        if let Some(tx) = self.agents.sender(agent) {
            // An order that is lost when its link closes is repeated over the next link.
            let _ = tx.send(ToPeer::Agent(message));
        }
    }

    fn count_order(&self, message: &ToAgent) {
        let ToAgent::Order(order) = message else { return };
        match order.kind {
            OrderKind::Start { .. } => self.metrics.placement("steps"),
            OrderKind::Stop => self.metrics.eviction("stop"),
            OrderKind::Pace { .. } => {}
        }
    }
}
