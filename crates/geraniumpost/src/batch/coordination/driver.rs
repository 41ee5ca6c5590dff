//! Drives the coordinator's decisions: messages in, effects out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_batch::{
    Ask, Coordinator, Effect, FromAgent, LongestWait, OrderKind, TaskId, ToAgent, ToEntry,
    WriteBatch,
};
use geraniumpost_net::LinkSender;
use geraniumpost_platform::ApprovedMinions;
use geraniumpost_schema::Name;
use tokio::sync::mpsc;

use super::super::{BootClock, ToPeer};
use super::left::Left;
use super::standstill::Standstill;
use super::term_support::TermSupport;
use crate::metrics::Metrics;

/// Pause between two ticks: timeouts are hundreds of milliseconds.
const TICK: Duration = Duration::from_millis(100);
/// Messages taken in before decisions are made on all of them.
const TOGETHER: usize = 64;

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
    Opened(Peer, LinkSender<ToPeer>),
    /// A link has closed.
    Closed(Peer),
    /// An entry asks for a caller.
    Ask {
        /// The entry's link.
        link: u64,
        /// Its ticket.
        ticket: u64,
        /// What it asks.
        ask: Ask,
    },
    /// An agent says something.
    Agent(Name, FromAgent),
    /// A batch is written.
    Written(u64),
    /// The admission service has answered on a step, or not.
    Approved(Question, Option<ApprovedMinions>),
    /// The store has confirmed that this entry coordinates.
    Confirmed {
        /// When it was asked, on the boot clock.
        asked_ms: u64,
        /// When its answer was read, on the boot clock.
        heard_ms: u64,
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
pub type Question = (TaskId, Vec<Name>);

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
    questions: mpsc::Sender<Question>,
    entries: HashMap<u64, LinkSender<ToPeer>>,
    agents: HashMap<Name, (u64, LinkSender<ToPeer>)>,
    /// Who is owed an answer: the entry's link, and its ticket.
    owed: HashMap<u64, (u64, u64)>,
    next_ticket: u64,
    /// What a successor has to know of leases.
    left: Arc<Left>,
    support: Arc<TermSupport>,
    standstill: Standstill,
}

impl Driver {
    /// Returns a driver that hands records to `writes`, and questions for the admission service to
    /// `questions`.
    pub fn new(
        coordinator: Coordinator,
        writes: mpsc::Sender<WriteBatch>,
        questions: mpsc::Sender<Question>,
        left: Arc<Left>,
        support: Arc<TermSupport>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            left,
            support,
            standstill: Standstill::new(BootClock.now_ms()),
            metrics,
            coordinator,
            writes,
            questions,
            entries: HashMap::new(),
            agents: HashMap::new(),
            owed: HashMap::new(),
            next_ticket: 1,
        }
    }

    /// Decides until the term ends.
    pub async fn run(mut self, inputs: &mut mpsc::Receiver<Input>) -> TermEnd {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(TOGETHER);
        loop {
            tokio::select! {
                count = inputs.recv_many(&mut batch, TOGETHER) => if count == 0 {
                    return TermEnd::Closed;
                },
                _ = ticks.tick() => self.tick(),
            }
            self.begin_round();
            for input in batch.drain(..) {
                self.take(input);
            }
            let effects = self.coordinator.take_effects(BootClock.now());
            self.note_left();
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
        let (until_ms, supporters) = self.support.present();
        self.coordinator.set_supported_until(until_ms, supporters);
        if let Some(gap_ms) = self.standstill.round(BootClock.now_ms()) {
            spdlog::warn!("event=stood_still gap_ms={gap_ms}");
        }
    }

    /// Tells the writer what a successor has to know of leases, before what was decided leaves.
    fn note_left(&mut self) {
        if self.coordinator.take_leases_for_successor_changed() {
            let now = BootClock.now();
            self.left.set(self.coordinator.leases_for_successor(now), now.steady_ms);
        }
    }

    fn tick(&mut self) {
        let now = BootClock.now();
        self.coordinator.tick(now);
        let LongestWait { persistent_ms, other_ms } = self.coordinator.longest_wait(now);
        let [standing, others] = [persistent_ms, other_ms].map(Duration::from_millis);
        self.metrics.longest_wait(standing, others);
        self.metrics.lease_supporters(self.support.present().1 as u64);
    }

    fn take(&mut self, input: Input) {
        let now = BootClock.now();
        match input {
            Input::Opened(Peer::Entry { link, .. }, tx) => {
                self.entries.insert(link, tx);
            }
            Input::Opened(Peer::Agent { node, link }, tx) => {
                // A link that replaces another one is a new beginning, whatever the old one still
                // carries.
                if self.agents.insert(node.clone(), (link, tx)).is_some() {
                    self.coordinator.agent_disconnected(&node, now);
                }
                let hello = FromAgent::Hello { agent: node.clone() };
                self.coordinator.handle_agent_message(&node, hello, now);
            }
            Input::Closed(Peer::Entry { link, .. }) => {
                self.entries.remove(&link);
            }
            Input::Closed(Peer::Agent { node, link }) => {
                if self.agents.get(&node).is_some_and(|(present, _)| *present == link) {
                    self.agents.remove(&node);
                    self.coordinator.agent_disconnected(&node, now);
                }
            }
            Input::Ask { link, ticket, ask } => {
                let own = self.next_ticket;
                self.next_ticket += 1;
                self.owed.insert(own, (link, ticket));
                self.coordinator.handle_request(own, ask, now);
            }
            Input::Agent(node, said) => self.coordinator.handle_agent_message(&node, said, now),
            Input::Written(batch) => self.coordinator.batch_written(batch, now),
            Input::Approved((step, asked), answer) => {
                let answer = answer.map(|answer| (answer.tickets, answer.valid_ms));
                self.coordinator.handle_approval(step, &asked, answer, now);
            }
            Input::Confirmed { asked_ms, heard_ms } => {
                self.coordinator.store_confirmed(asked_ms, heard_ms);
                for (agent, message) in self.standstill.confirmed(asked_ms) {
                    self.tell(&agent, message);
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
                let Some((link, ticket)) = self.owed.remove(&ticket) else { return };
                if let Some(tx) = self.entries.get(&link) {
                    // An entry whose link is gone asks again on the next one.
                    let _ = tx.send(ToPeer::Entry(ToEntry::Answer { ticket, answer }));
                }
            }
            Effect::Send { agent, message } => {
                if let Some((agent, message)) = self.standstill.pass(agent, message) {
                    self.tell(&agent, message);
                }
            }
            Effect::RequestApproval { step, minions } => {
                // Without a service the step waits; the configuration names none that exists.
                if self.questions.send((step, minions)).await.is_err() {
                    spdlog::warn!("event=no_admission_service step={step}");
                }
            }
            Effect::Log(line) => spdlog::info!("{line}"),
            Effect::Superseded => {}
        }
    }

    fn tell(&self, agent: &Name, message: ToAgent) {
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
