//! Drives the coordinator's decisions: messages in, effects out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_batch::{
    CallerRequest, Coordinator, Effect, FromAgent, LongestWait, OrderKind, TaskId, ToAgent,
    ToEntry, WriteBatch,
};
use geraniumpost_net::LinkSender;
use geraniumpost_platform::ApprovedMinions;
use geraniumpost_schema::Name;
use tokio::sync::mpsc;

use super::super::{BootClock, ToPeer};
use super::process_pause::ProcessPause;
use super::successor_leases::SuccessorLeases;
use super::term_support::TermSupport;
use crate::metrics::Metrics;

/// Pause between two ticks: timeouts are hundreds of milliseconds.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Messages taken in before decisions are made on all of them.
const MAX_INPUTS_PER_ROUND: usize = 64;

/// A process at the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Peer {
    /// An entry.
    Entry {
        /// Its name.
        node: Name,
        /// The link.
        link: u64,
    },
    /// An agent.
    Agent {
        /// Its name.
        node: Name,
        /// The link.
        link: u64,
    },
}

/// What reaches the driver.
#[derive(Debug)]
pub enum Input {
    /// A link has opened.
    LinkOpened(Peer, LinkSender<ToPeer>),
    /// A link has closed.
    LinkClosed(Peer),
    /// An entry asks for a caller.
    Request {
        /// The entry's link.
        link: u64,
        /// Its ticket.
        ticket: u64,
        /// What it asks.
        ask: CallerRequest,
    },
    /// An agent says something.
    AgentMessage(Name, FromAgent),
    /// A batch is written.
    BatchWritten(u64),
    /// The admission service has answered on a step, or not.
    ApprovalResponse(ApprovalRequest, Option<ApprovedMinions>),
    /// The store has confirmed that this entry coordinates.
    TermConfirmed {
        /// When it was asked, on the boot clock.
        requested_ms: u64,
        /// When its answer was read, on the boot clock.
        received_ms: u64,
    },
    /// The term of a coordinator that was silent at this address has ended.
    PredecessorEnded(SocketAddr),
    /// A coordinator that was silent extends no lease after a time.
    PredecessorExtendsUntil {
        /// Where it was.
        address: SocketAddr,
        /// That time, on the boot clock.
        until_ms: u64,
    },
}

/// A question for the admission service: which of these minions may run the step?
pub type ApprovalRequest = (TaskId, Vec<Name>);

/// Why a coordinator's term ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TermEnd {
    /// A minion has obeyed a newer coordinator.
    Superseded,
    /// All inputs have closed.
    Closed,
}

/// The driver of one term.
pub struct Driver {
    coordinator: Coordinator,
    metrics: Arc<Metrics>,
    writes: mpsc::Sender<WriteBatch>,
    approval_requests: mpsc::Sender<ApprovalRequest>,
    entries: HashMap<u64, LinkSender<ToPeer>>,
    agents: HashMap<Name, (u64, LinkSender<ToPeer>)>,
    /// Who is owed an answer: the entry's link, and its ticket.
    pending_replies: HashMap<u64, (u64, u64)>,
    next_ticket: u64,
    /// What a successor has to know of leases.
    successor_leases: Arc<SuccessorLeases>,
    support: Arc<TermSupport>,
    process_pause: ProcessPause,
}

impl Driver {
    /// Returns a driver that hands records to `writes`, and questions for the admission service to
    /// `questions`.
    pub fn new(
        coordinator: Coordinator,
        writes: mpsc::Sender<WriteBatch>,
        approval_requests: mpsc::Sender<ApprovalRequest>,
        successor_leases: Arc<SuccessorLeases>,
        support: Arc<TermSupport>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            successor_leases,
            support,
            process_pause: ProcessPause::new(BootClock.now_ms()),
            metrics,
            coordinator,
            writes,
            approval_requests,
            entries: HashMap::new(),
            agents: HashMap::new(),
            pending_replies: HashMap::new(),
            next_ticket: 1,
        }
    }

    /// Decides until the term ends.
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
            for effect in effects {
                if effect == Effect::Superseded {
                    return TermEnd::Superseded;
                }
                self.perform(effect).await;
            }
        }
    }

    /// Takes note of what holds at this moment, before anything is decided.
    fn begin_round(&mut self) {
        let (until_ms, supporters) = self.support.current();
        self.coordinator.set_supported_until(until_ms, supporters);
        if let Some(gap_ms) = self.process_pause.begin_round(BootClock.now_ms()) {
            spdlog::warn!("event=stood_still gap_ms={gap_ms}");
        }
    }

    /// Tells the writer what a successor has to know of leases, before what was decided leaves.
    fn update_successor_leases(&mut self) {
        if self.coordinator.take_leases_for_successor_changed() {
            let now = BootClock.now();
            self.successor_leases.set(self.coordinator.leases_for_successor(now), now.steady_ms);
        }
    }

    fn tick(&mut self) {
        let now = BootClock.now();
        self.coordinator.tick(now);
        let LongestWait { persistent_ms, other_ms } = self.coordinator.longest_wait(now);
        let [persistent, other] = [persistent_ms, other_ms].map(Duration::from_millis);
        self.metrics.longest_wait(persistent, other);
        self.metrics.lease_supporters(self.support.current().1 as u64);
    }

    fn handle(&mut self, input: Input) {
        let now = BootClock.now();
        match input {
            Input::LinkOpened(Peer::Entry { link, .. }, tx) => {
                self.entries.insert(link, tx);
            }
            Input::LinkOpened(Peer::Agent { node, link }, tx) => {
                // A link that replaces another one is a new beginning, whatever the old one still
                // carries.
                if self.agents.insert(node.clone(), (link, tx)).is_some() {
                    self.coordinator.agent_disconnected(&node, now);
                }
                let hello = FromAgent::Hello { agent: node.clone() };
                self.coordinator.handle_agent_message(&node, hello, now);
            }
            Input::LinkClosed(Peer::Entry { link, .. }) => {
                self.entries.remove(&link);
            }
            Input::LinkClosed(Peer::Agent { node, link }) => {
                if self.agents.get(&node).is_some_and(|(current, _)| *current == link) {
                    self.agents.remove(&node);
                    self.coordinator.agent_disconnected(&node, now);
                }
            }
            Input::Request { link, ticket, ask } => {
                let own_ticket = self.next_ticket;
                self.next_ticket += 1;
                self.pending_replies.insert(own_ticket, (link, ticket));
                self.coordinator.handle_request(own_ticket, ask, now);
            }
            Input::AgentMessage(node, message) => {
                self.coordinator.handle_agent_message(&node, message, now)
            }
            Input::BatchWritten(batch) => self.coordinator.batch_written(batch, now),
            Input::ApprovalResponse((step, asked), answer) => {
                let answer = answer.map(|answer| (answer.tickets, answer.valid_ms));
                self.coordinator.handle_approval(step, &asked, answer, now);
            }
            Input::TermConfirmed { requested_ms, received_ms } => {
                self.coordinator.store_confirmed(requested_ms, received_ms);
                for (agent, message) in self.process_pause.term_confirmed(requested_ms) {
                    self.send_to_agent(&agent, message);
                }
            }
            Input::PredecessorEnded(address) => self.coordinator.predecessor_ended(address, now),
            Input::PredecessorExtendsUntil { address, until_ms } => {
                self.coordinator.predecessor_extends_until(address, until_ms);
            }
        }
    }

    async fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Write(batch) => {
                // The writer has room for every batch that may be under way at once.
                if self.writes.send(batch).await.is_err() {
                    spdlog::debug!("event=writer_ended");
                }
            }
            Effect::Reply { ticket, answer } => {
                let Some((link, ticket)) = self.pending_replies.remove(&ticket) else { return };
                if let Some(tx) = self.entries.get(&link) {
                    // An entry whose link is gone asks again on the next one.
                    let _ = tx.send(ToPeer::Entry(ToEntry::Response { ticket, response: answer }));
                }
            }
            Effect::Send { agent, message } => {
                if let Some((agent, message)) = self.process_pause.hold_if_unconfirmed(agent, message) {
                    self.send_to_agent(&agent, message);
                }
            }
            Effect::RequestApproval { step, minions } => {
                // Without a service the step waits; the configuration names none that exists.
                if self.approval_requests.send((step, minions)).await.is_err() {
                    spdlog::warn!("event=no_admission_service step={step}");
                }
            }
            Effect::Log(line) => spdlog::info!("{line}"),
            Effect::Superseded => {}
        }
    }

    fn send_to_agent(&self, agent: &Name, message: ToAgent) {
        self.count(&message);
        if let Some((_, tx)) = self.agents.get(agent) {
            // An order that is lost with its link is given again on the next one.
            let _ = tx.send(ToPeer::Agent(message));
        }
    }

    fn count(&self, message: &ToAgent) {
        let ToAgent::Order(order) = message else { return };
        match order.kind {
            OrderKind::Start { .. } => self.metrics.placement("steps"),
            OrderKind::Stop => self.metrics.eviction("stop"),
            OrderKind::Pace { .. } => {}
        }
    }
}
