use std::collections::BTreeMap;

use geraniumpost_batch::TermTime;
use geraniumpost_batch::quorum::Voters;
use geraniumpost_schema::Name;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::process::{Process, Term};

/// Resolution of the simulated time, in milliseconds.
const TICK_MS: u64 = 10;
/// How long a simulation continues after the last fault, in milliseconds.
const SETTLE_DURATION_MS: u64 = 4_000;
/// Interval between two pings of an entry, in milliseconds.
const PING_INTERVAL_MS: u64 = 250;
/// Interval between two requests for a confirmation by the store, in milliseconds.
const CONFIRM_INTERVAL_MS: u64 = 600;
/// Interval between two release requests to each entry, in milliseconds.
const RELEASE_REQUEST_INTERVAL_MS: u64 = 300;
/// Interval between two attempts to write the voters, in milliseconds.
const VOTER_WRITE_INTERVAL_MS: u64 = 500;
/// On average, one in this many messages is lost.
const MESSAGES_PER_LOSS: u32 = 12;

/// Faults of processes, links and the connection to the store.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// An entry considers the coordinator lost and tries to take over.
    TakeOver(usize),
    /// The process of an entry is frozen, for a time in milliseconds.
    Freeze(usize, u64),
    /// An entry is replaced by a new process.
    Restart(usize),
    /// Messages from one entry to another are dropped, for a time in milliseconds.
    LinkCut(usize, usize, u64),
    /// An entry does not reach the store, for a time in milliseconds.
    StoreCut(usize, u64),
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Description of the first case in which a coordinator extended leases after the time at which
    /// a successor assumes that the coordinator has stopped extending them.
    pub overlap: Option<String>,
    /// Number of silent coordinators for which a successor determined when they stop extending
    /// leases.
    pub extension_ends_determined: usize,
    /// Number of ticks in which a coordinator extended leases without the store, on the support of
    /// entries.
    pub ticks_without_store: usize,
}

/// A message between entries, or between an entry and the store.
#[derive(Debug, Clone)]
enum Message {
    Ping {
        from: usize,
        incarnation: u64,
        supports: Option<TermTime>,
    },
    Pong(TermTime),
    Release {
        from: usize,
        term: u64,
    },
    /// Response to `Release`, with the term of the request.
    Released {
        from: usize,
        incarnation: u64,
        term: u64,
        remaining_ms: u64,
    },
    /// Request to the store to confirm that the sender holds the key.
    Confirm {
        from: usize,
        requested_ms: u64,
    },
    /// Request to the store to take over the key, if the key still has this revision.
    TakeOver {
        from: usize,
        revision: u64,
        requested_ms: u64,
    },
    /// Request to the store to replace the voters of the sender's term.
    WriteVoters {
        from: usize,
        write: u64,
        voters: Voters,
    },
    /// Response of the store to `Confirm`.
    Confirmed {
        term: u64,
        requested_ms: u64,
    },
    /// Response of the store to `TakeOver`, with the voters of all terms in the key.
    TookOver {
        term: u64,
        requested_ms: u64,
        voters: BTreeMap<u64, Voters>,
    },
    /// Response of the store to `WriteVoters`.
    VotersWritten {
        term: u64,
        write: u64,
    },
    /// Response of the store to a sender that does not hold the key or knows an old revision.
    Superseded,
}

/// Value of the coordinator's key in the store.
#[derive(Debug, Default)]
struct CoordinatorKey {
    revision: u64,
    term: u64,
    holder: usize,
    /// Highest number of an applied write of voters in this term. The store rejects writes with
    /// lower numbers.
    write: u64,
    voters: BTreeMap<u64, Voters>,
}

/// Simulated entries, their store and the messages in flight.
pub struct Fleet {
    now_ms: u64,
    rng: StdRng,
    processes: Vec<Process>,
    key: CoordinatorKey,
    /// Messages in flight: time of arrival, receiving entry or `None` for the store, incarnation of
    /// the entry, and content.
    in_flight: Vec<(u64, Option<usize>, u64, Message)>,
    /// Interrupted links: sender, receiver and end of the interruption.
    cuts: Vec<(usize, usize, u64)>,
    outcome: Outcome,
}

fn entry_name(entry: usize) -> Name {
    format!("e{entry}").into()
}

impl Fleet {
    pub fn new(count: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let processes = (0..count).map(|_| Process::new(rng.random_range(-10..=10))).collect();
        let mut fleet = Self {
            now_ms: 10_000,
            rng,
            processes,
            key: CoordinatorKey::default(),
            in_flight: Vec::new(),
            cuts: Vec::new(),
            outcome: Outcome::default(),
        };
        fleet.inject(Fault::TakeOver(0));
        fleet.advance(4_000);
        fleet
    }

    /// Injects faults, each the given number of milliseconds after the previous fault.
    pub fn run(mut self, faults: &[(u64, Fault)]) -> Outcome {
        for (gap_ms, fault) in faults {
            self.advance(*gap_ms);
            self.inject(*fault);
        }
        self.advance(SETTLE_DURATION_MS);
        let terms = self.processes.iter().filter_map(|process| process.term.as_ref());
        self.outcome.extension_ends_determined +=
            terms.map(|term| term.extension_ends_ms.len()).sum::<usize>();
        self.outcome
    }

    fn inject(&mut self, fault: Fault) {
        let now_ms = self.now_ms;
        match fault {
            Fault::TakeOver(entry) => {
                let requested_ms = self.processes[entry].clock_ms(now_ms);
                if self.processes[entry].term.is_none() {
                    let revision = self.key.revision;
                    self.send_to_store(
                        entry,
                        Message::TakeOver { from: entry, revision, requested_ms },
                    );
                }
            }
            Fault::Freeze(entry, ms) => self.processes[entry].frozen_until_ms = now_ms + ms,
            Fault::Restart(entry) => self.processes[entry].restart(),
            Fault::LinkCut(from, to, ms) => self.cuts.push((from, to, now_ms + ms)),
            Fault::StoreCut(entry, ms) => self.processes[entry].store_cut_until_ms = now_ms + ms,
        }
    }

    fn delay_ms(&mut self) -> u64 {
        match self.rng.random_range(0..10) {
            0 => self.rng.random_range(100..1_500),
            _ => self.rng.random_range(1..30),
        }
    }

    fn draw_loss(&mut self) -> bool {
        self.rng.random_ratio(1, MESSAGES_PER_LOSS)
    }

    /// Sends a message from one entry to another, with a random delay. The message may be lost.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.cuts.retain(|(.., until_ms)| *until_ms > self.now_ms);
        let cut = self.cuts.iter().any(|(a, b, _)| (*a, *b) == (from, to));
        let at_ms = self.now_ms + self.delay_ms();
        if !self.draw_loss() && !cut {
            let incarnation = self.processes[to].incarnation;
            self.in_flight.push((at_ms, Some(to), incarnation, message));
        }
    }

    /// Sends a request from an entry to the store. The store may execute it seconds later, and its
    /// response may be lost.
    fn send_to_store(&mut self, from: usize, message: Message) {
        let at_ms = self.now_ms + self.delay_ms();
        if self.processes[from].store_cut_until_ms <= self.now_ms {
            let incarnation = self.processes[from].incarnation;
            self.in_flight.push((at_ms, None, incarnation, message));
        }
    }

    /// Sends a response from the store to an entry, with a random delay. The response may be lost.
    fn respond(&mut self, to: usize, incarnation: u64, message: Message) {
        let at_ms = self.now_ms + self.delay_ms();
        if !self.draw_loss() && self.processes[to].store_cut_until_ms <= self.now_ms {
            self.in_flight.push((at_ms, Some(to), incarnation, message));
        }
    }

    fn advance(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while self.now_ms < until_ms {
            self.now_ms += TICK_MS;
            self.deliver();
            for entry in 0..self.processes.len() {
                if self.processes[entry].frozen_until_ms <= self.now_ms {
                    self.run_due_actions(entry);
                }
            }
            self.check_lease_overlap();
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let frozen: Vec<bool> =
            self.processes.iter().map(|process| process.frozen_until_ms > now_ms).collect();
        let due = |(at_ms, to, ..): &mut (u64, Option<usize>, u64, Message)| {
            *at_ms <= now_ms && !to.is_some_and(|to| frozen[to])
        };
        for (_, to, incarnation, message) in self.in_flight.extract_if(.., due).collect::<Vec<_>>()
        {
            match to {
                None => self.execute_in_store(incarnation, message),
                // Messages to an earlier process are lost with the connections of that process.
                Some(to) if self.processes[to].incarnation == incarnation => {
                    self.receive(to, message);
                }
                Some(_) => {}
            }
        }
    }

    /// Executes a request that has reached the store. Only the holder of the key may write voters.
    fn execute_in_store(&mut self, incarnation: u64, message: Message) {
        match message {
            Message::TakeOver { from, revision, requested_ms } => {
                if revision != self.key.revision {
                    return self.respond(from, incarnation, Message::Superseded);
                }
                let last_voters = self.key.voters.get(&self.key.term).cloned().unwrap_or_default();
                let (revision, term) = (revision + 1, revision + 1);
                let mut voters = std::mem::take(&mut self.key.voters);
                voters.insert(term, last_voters.without(&entry_name(from)));
                self.key = CoordinatorKey {
                    revision,
                    term,
                    holder: from,
                    write: 0,
                    voters: voters.clone(),
                };
                self.respond(from, incarnation, Message::TookOver { term, requested_ms, voters });
            }
            Message::Confirm { from, requested_ms } if self.key.holder == from => {
                let term = self.key.term;
                self.respond(from, incarnation, Message::Confirmed { term, requested_ms });
            }
            Message::WriteVoters { from, write, voters } => {
                let term = self.processes[from].term.as_ref().map(|term| term.number);
                let holds = self.key.holder == from && term == Some(self.key.term);
                if holds && write >= self.key.write {
                    self.key.revision += 1;
                    self.key.write = write;
                    self.key.voters.insert(self.key.term, voters);
                    self.respond(
                        from,
                        incarnation,
                        Message::VotersWritten { term: self.key.term, write },
                    );
                }
            }
            Message::Confirm { from, .. } => self.respond(from, incarnation, Message::Superseded),
            _ => {}
        }
    }

    /// Handles a message that has reached an entry; confirmations and releases for an earlier term
    /// are ignored.
    fn receive(&mut self, entry: usize, message: Message) {
        let process = &mut self.processes[entry];
        let clock_ms = process.clock_ms(self.now_ms);
        match message {
            Message::Ping { from, incarnation, supports } => {
                let Some(term) = &mut process.term else { return };
                if let Some(sent) = supports.filter(|sent| sent.term == term.number) {
                    term.support.record_promise(&entry_name(from), incarnation, sent.steady_ms);
                }
                let sent = TermTime { term: term.number, steady_ms: clock_ms };
                self.send(entry, from, Message::Pong(sent));
            }
            Message::Pong(sent) => process.last_pong = Some((sent, clock_ms)),
            Message::Release { from, term } => {
                let remaining_ms = process.promises.release(term, clock_ms);
                let incarnation = process.incarnation;
                self.send(
                    entry,
                    from,
                    Message::Released { from: entry, incarnation, term, remaining_ms },
                );
            }
            Message::Released { from, incarnation, term, remaining_ms } => {
                let own = process.term.as_mut().filter(|own| own.number == term);
                let Some(term) = own else { return };
                for releases in term.releases.values_mut() {
                    releases.record(&entry_name(from), incarnation, remaining_ms, clock_ms);
                }
            }
            Message::Confirmed { term, requested_ms } => {
                let own = process.term.as_mut().filter(|own| own.number == term);
                if let Some(own) = own {
                    own.requested_ms = own.requested_ms.max(requested_ms);
                }
            }
            Message::TookOver { term, requested_ms, voters } => {
                process.term = Some(Term::new(term, requested_ms, clock_ms, &voters));
                self.release_own_promises(entry);
            }
            Message::VotersWritten { term, write } => {
                let current = |own: &&mut Term| own.number == term && own.voter_writes == write;
                let own = process.term.as_mut().filter(current);
                if let Some(own) = own {
                    own.support.complete_voter_change();
                    own.pending_voters = None;
                }
            }
            Message::Superseded => process.term = None,
            _ => {}
        }
    }

    /// Releases a new coordinator's own promises to its predecessors.
    fn release_own_promises(&mut self, entry: usize) {
        let process = &mut self.processes[entry];
        let clock_ms = process.clock_ms(self.now_ms);
        let Some(term) = &mut process.term else { return };
        let remaining_ms = process.promises.release(term.number, clock_ms);
        for releases in term.releases.values_mut() {
            releases.record(&entry_name(entry), process.incarnation, remaining_ms, clock_ms);
        }
    }

    /// Runs the periodic actions of an entry that are due.
    fn run_due_actions(&mut self, entry: usize) {
        let due = |every_ms: u64| (self.now_ms + 40 * entry as u64).is_multiple_of(every_ms);
        let (pings, confirms) = (due(PING_INTERVAL_MS), due(CONFIRM_INTERVAL_MS));
        let (requests, writes) = (due(RELEASE_REQUEST_INTERVAL_MS), due(VOTER_WRITE_INTERVAL_MS));
        if pings {
            self.send_pings(entry);
        }
        let clock_ms = self.processes[entry].clock_ms(self.now_ms);
        let Some(term) = &mut self.processes[entry].term else { return };
        term.record_extension_ends();
        let number = term.number;
        if writes
            && term.pending_voters.is_none()
            && let Some(voters) = term.support.voters_to_write(clock_ms)
        {
            term.support.begin_voter_change(voters.clone(), clock_ms);
            term.pending_voters = Some(voters);
            term.voter_writes += 1;
        }
        if writes && let Some(voters) = term.pending_voters.clone() {
            let write = term.voter_writes;
            self.send_to_store(entry, Message::WriteVoters { from: entry, write, voters });
        }
        if confirms {
            self.send_to_store(entry, Message::Confirm { from: entry, requested_ms: clock_ms });
        }
        if requests {
            for to in (0..self.processes.len()).filter(|to| *to != entry) {
                self.send(entry, to, Message::Release { from: entry, term: number });
            }
        }
    }

    /// Sends pings from an entry to the holder of the key and to every other coordinator.
    fn send_pings(&mut self, entry: usize) {
        let holder = self.key.holder;
        let process = &mut self.processes[entry];
        let incarnation = process.incarnation;
        let promise = |(sent, heard_ms): (TermTime, u64)| {
            process.promises.promise(sent.term, heard_ms).then_some(sent)
        };
        let supports = process.last_pong.and_then(promise);
        for to in (0..self.processes.len()).filter(|to| *to != entry) {
            // Entries that do not know of a successor still ping the earlier coordinator.
            if to == holder || self.processes[to].term.is_some() {
                self.send(entry, to, Message::Ping { from: entry, incarnation, supports });
            }
        }
    }

    /// Checks that no coordinator extends leases after the time at which a successor assumes that
    /// the coordinator has stopped extending them.
    fn check_lease_overlap(&mut self) {
        let now_ms = self.now_ms;
        for process in &self.processes {
            let Some(term) = &process.term else { continue };
            let clock_ms = process.clock_ms(now_ms);
            let running = process.frozen_until_ms <= now_ms;
            if running && term.is_supported(clock_ms) && process.store_cut_until_ms > now_ms {
                self.outcome.ticks_without_store += 1;
            }
            if !running || !term.may_extend_leases(clock_ms) {
                continue;
            }
            let ended = |other: &&Process| {
                let end_ms =
                    other.term.as_ref().and_then(|other| other.extension_ends_ms.get(&term.number));
                end_ms.is_some_and(|end_ms| other.clock_ms(now_ms) > *end_ms)
            };
            if let Some(other) = self.processes.iter().find(ended) {
                let successor = other.term.as_ref().map(|term| term.number);
                self.outcome.overlap.get_or_insert(format!(
                    "term {} extends leases at {now_ms} ms, later than its successor {successor:?} assumes",
                    term.number
                ));
            }
        }
    }
}
