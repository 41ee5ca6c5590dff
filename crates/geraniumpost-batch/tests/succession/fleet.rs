use std::collections::BTreeMap;

use geraniumpost_batch::TermTime;
use geraniumpost_batch::quorum::Voters;
use geraniumpost_schema::Name;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::process::{Process, Term};

/// One step of the clock, in milliseconds.
const STEP_MS: u64 = 10;
/// How long a day goes on after its last trouble.
const AFTER_MS: u64 = 4_000;
/// Pauses between two pings, confirmations, questions for release and rewrites of the key, in milliseconds.
const PING_MS: u64 = 250;
const CONFIRM_MS: u64 = 600;
const ASK_MS: u64 = 300;
const NAME_VOTERS_MS: u64 = 500;
/// One message in so many is lost.
const LOST_ONE_IN: u32 = 12;

/// What happens to the fleet.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// An entry takes the coordinator for lost, for whatever reason.
    TakesOver(usize),
    /// An entry stands still for a while.
    Freezes(usize, u64),
    /// Another process takes an entry's place.
    Restarts(usize),
    /// Nothing passes from one entry to another for a while.
    Cut(usize, usize, u64),
    /// An entry does not reach the store for a while.
    StoreCut(usize, u64),
}

/// What a day has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    /// A coordinator that extended leases after its successor took that for over.
    pub overlap: Option<String>,
    /// Ends of silent coordinators that successors have learnt of.
    pub ends: usize,
    /// Steps in which a coordinator extended leases on the support of entries alone.
    pub without_store: usize,
}

/// What is on its way: to whom, sent by which incarnation of whom.
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
    /// The answer, which names the question by its term.
    Released {
        from: usize,
        incarnation: u64,
        term: u64,
        lasts_ms: u64,
    },
    /// A call as the store carries it out.
    Confirm {
        from: usize,
        asked_ms: u64,
    },
    TakeOver {
        from: usize,
        revision: u64,
        asked_ms: u64,
    },
    NameVoters {
        from: usize,
        list: u64,
        voters: Voters,
    },
    /// The store's answers.
    Confirmed {
        term: u64,
        asked_ms: u64,
    },
    Taken {
        term: u64,
        asked_ms: u64,
        voters: BTreeMap<u64, Voters>,
    },
    Named {
        term: u64,
        list: u64,
    },
    Lost,
}

/// The store's key.
#[derive(Debug, Default)]
struct Key {
    revision: u64,
    term: u64,
    holder: usize,
    /// Number of the list of voters: a write of an earlier one is barred by that of a later one.
    list: u64,
    voters: BTreeMap<u64, Voters>,
}

/// Entries, their store, and what is on its way between them.
pub struct Fleet {
    now_ms: u64,
    rng: StdRng,
    all: Vec<Process>,
    key: Key,
    /// When something arrives: at an entry, or at the store.
    mail: Vec<(u64, Option<usize>, u64, Message)>,
    cuts: Vec<(usize, usize, u64)>,
    outcome: Outcome,
}

fn name(at: usize) -> Name {
    format!("e{at}").into()
}

impl Fleet {
    pub fn new(count: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let all = (0..count).map(|_| Process::new(rng.random_range(-10..=10))).collect();
        let mut fleet = Self {
            now_ms: 10_000,
            rng,
            all,
            key: Key::default(),
            mail: Vec::new(),
            cuts: Vec::new(),
            outcome: Outcome::default(),
        };
        fleet.begin(Trouble::TakesOver(0));
        fleet.pass(4_000);
        fleet
    }

    /// Plays troubles, each so many milliseconds after the one before.
    pub fn play(mut self, troubles: &[(u64, Trouble)]) -> Outcome {
        for (gap_ms, trouble) in troubles {
            self.pass(*gap_ms);
            self.begin(*trouble);
        }
        self.pass(AFTER_MS);
        let terms = self.all.iter().filter_map(|process| process.term.as_ref());
        self.outcome.ends += terms.map(|term| term.ends_ms.len()).sum::<usize>();
        self.outcome
    }

    fn begin(&mut self, trouble: Trouble) {
        let now_ms = self.now_ms;
        match trouble {
            Trouble::TakesOver(at) => {
                let asked_ms = self.all[at].clock(now_ms);
                if self.all[at].term.is_none() {
                    let revision = self.key.revision;
                    self.call(at, Message::TakeOver { from: at, revision, asked_ms });
                }
            }
            Trouble::Freezes(at, ms) => self.all[at].frozen_ms = now_ms + ms,
            Trouble::Restarts(at) => self.all[at].restart(),
            Trouble::Cut(from, to, ms) => self.cuts.push((from, to, now_ms + ms)),
            Trouble::StoreCut(at, ms) => self.all[at].store_cut_ms = now_ms + ms,
        }
    }

    fn delay_ms(&mut self) -> u64 {
        match self.rng.random_range(0..10) {
            0 => self.rng.random_range(100..1_500),
            _ => self.rng.random_range(1..30),
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_ratio(1, LOST_ONE_IN)
    }

    /// Sends a message from one entry to another; an answer that comes later counts as a message too.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.cuts.retain(|(.., until_ms)| *until_ms > self.now_ms);
        let cut = self.cuts.iter().any(|(a, b, _)| (*a, *b) == (from, to));
        let at_ms = self.now_ms + self.delay_ms();
        if !self.is_lost() && !cut {
            let incarnation = self.all[to].incarnation;
            self.mail.push((at_ms, Some(to), incarnation, message));
        }
    }

    /// An entry calls the store. The call may be carried out seconds later, whether it is answered or not.
    fn call(&mut self, from: usize, message: Message) {
        let at_ms = self.now_ms + self.delay_ms();
        if self.all[from].store_cut_ms <= self.now_ms {
            let incarnation = self.all[from].incarnation;
            self.mail.push((at_ms, None, incarnation, message));
        }
    }

    fn answer(&mut self, to: usize, incarnation: u64, message: Message) {
        let at_ms = self.now_ms + self.delay_ms();
        if !self.is_lost() && self.all[to].store_cut_ms <= self.now_ms {
            self.mail.push((at_ms, Some(to), incarnation, message));
        }
    }

    fn pass(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.deliver();
            for at in 0..self.all.len() {
                if self.all[at].frozen_ms <= self.now_ms {
                    self.work(at);
                }
            }
            self.check();
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let frozen: Vec<bool> = self.all.iter().map(|process| process.frozen_ms > now_ms).collect();
        let due = |(at_ms, to, ..): &mut (u64, Option<usize>, u64, Message)| {
            *at_ms <= now_ms && !to.is_some_and(|to| frozen[to])
        };
        for (_, to, incarnation, message) in self.mail.extract_if(.., due).collect::<Vec<_>>() {
            match to {
                None => self.carry_out(incarnation, message),
                // What was sent to an earlier process is lost with its connections.
                Some(to) if self.all[to].incarnation == incarnation => self.read(to, message),
                Some(_) => {}
            }
        }
    }

    /// The store carries a call out.
    fn carry_out(&mut self, incarnation: u64, message: Message) {
        match message {
            Message::TakeOver { from, revision, asked_ms } => {
                if revision != self.key.revision {
                    return self.answer(from, incarnation, Message::Lost);
                }
                let own = self.key.voters.get(&self.key.term).cloned().unwrap_or_default();
                let (revision, term) = (revision + 1, revision + 1);
                let mut voters = std::mem::take(&mut self.key.voters);
                voters.insert(term, own.without(&name(from)));
                self.key = Key { revision, term, holder: from, list: 0, voters: voters.clone() };
                self.answer(from, incarnation, Message::Taken { term, asked_ms, voters });
            }
            Message::Confirm { from, asked_ms } if self.key.holder == from => {
                let term = self.key.term;
                self.answer(from, incarnation, Message::Confirmed { term, asked_ms });
            }
            Message::NameVoters { from, list, voters } => {
                let term = self.all[from].term.as_ref().map(|term| term.number);
                let holds = self.key.holder == from && term == Some(self.key.term);
                if holds && list >= self.key.list {
                    self.key.revision += 1;
                    self.key.list = list;
                    self.key.voters.insert(self.key.term, voters);
                    self.answer(from, incarnation, Message::Named { term: self.key.term, list });
                }
            }
            Message::Confirm { from, .. } => self.answer(from, incarnation, Message::Lost),
            _ => {}
        }
    }

    /// An entry reads a message.
    fn read(&mut self, at: usize, message: Message) {
        let process = &mut self.all[at];
        let clock_ms = process.clock(self.now_ms);
        match message {
            Message::Ping { from, incarnation, supports } => {
                let Some(term) = &mut process.term else { return };
                if let Some(sent) = supports.filter(|sent| sent.term == term.number) {
                    term.support.record_promise(&name(from), incarnation, sent.steady_ms);
                }
                let sent = TermTime { term: term.number, steady_ms: clock_ms };
                self.send(at, from, Message::Pong(sent));
            }
            Message::Pong(sent) => process.heard = Some((sent, clock_ms)),
            Message::Release { from, term } => {
                let lasts_ms = process.promises.release(term, clock_ms);
                let incarnation = process.incarnation;
                self.send(at, from, Message::Released { from: at, incarnation, term, lasts_ms });
            }
            Message::Released { from, incarnation, term, lasts_ms } => {
                let own = process.term.as_mut().filter(|own| own.number == term);
                let Some(term) = own else { return };
                for releases in term.releases.values_mut() {
                    releases.record(&name(from), incarnation, lasts_ms, clock_ms);
                }
            }
            Message::Confirmed { term, asked_ms } => {
                let own = process.term.as_mut().filter(|own| own.number == term);
                if let Some(own) = own {
                    own.asked_ms = own.asked_ms.max(asked_ms);
                }
            }
            Message::Taken { term, asked_ms, voters } => {
                process.term = Some(Term::new(term, asked_ms, clock_ms, &voters));
                self.release_own(at);
            }
            Message::Named { term, list } => {
                let current = |own: &&mut Term| own.number == term && own.lists == list;
                let own = process.term.as_mut().filter(current);
                if let Some(own) = own {
                    own.support.complete_voter_change();
                    own.naming = None;
                }
            }
            Message::Lost => process.term = None,
            _ => {}
        }
    }

    /// A coordinator releases its own promises to those before it.
    fn release_own(&mut self, at: usize) {
        let process = &mut self.all[at];
        let clock_ms = process.clock(self.now_ms);
        let Some(term) = &mut process.term else { return };
        let lasts_ms = process.promises.release(term.number, clock_ms);
        for releases in term.releases.values_mut() {
            releases.record(&name(at), process.incarnation, lasts_ms, clock_ms);
        }
    }

    /// An entry does what is due.
    fn work(&mut self, at: usize) {
        let due = |every_ms: u64| (self.now_ms + 40 * at as u64).is_multiple_of(every_ms);
        let (pings, confirms) = (due(PING_MS), due(CONFIRM_MS));
        let (asks, names) = (due(ASK_MS), due(NAME_VOTERS_MS));
        if pings {
            self.ping(at);
        }
        let clock_ms = self.all[at].clock(self.now_ms);
        let Some(term) = &mut self.all[at].term else { return };
        term.note_ends();
        let number = term.number;
        if names
            && term.naming.is_none()
            && let Some(wanted) = term.support.voters_to_write(clock_ms)
        {
            term.support.begin_voter_change(wanted.clone(), clock_ms);
            term.naming = Some(wanted);
            term.lists += 1;
        }
        if names && let Some(voters) = term.naming.clone() {
            let list = term.lists;
            self.call(at, Message::NameVoters { from: at, list, voters });
        }
        if confirms {
            self.call(at, Message::Confirm { from: at, asked_ms: clock_ms });
        }
        if asks {
            for to in (0..self.all.len()).filter(|to| *to != at) {
                self.send(at, to, Message::Release { from: at, term: number });
            }
        }
    }

    /// An entry pings whoever the key names, or whom it was told of before.
    fn ping(&mut self, at: usize) {
        let holder = self.key.holder;
        let process = &mut self.all[at];
        let incarnation = process.incarnation;
        let promise = |(sent, heard_ms): (TermTime, u64)| {
            process.promises.promise(sent.term, heard_ms).then_some(sent)
        };
        let supports = process.heard.and_then(promise);
        for to in (0..self.all.len()).filter(|to| *to != at) {
            // A cut-off coordinator is still pinged by those that know of no other.
            if to == holder || self.all[to].term.is_some() {
                self.send(at, to, Message::Ping { from: at, incarnation, supports });
            }
        }
    }

    /// Checks that nobody extends leases whom a successor takes for ended.
    fn check(&mut self) {
        let now_ms = self.now_ms;
        for process in &self.all {
            let Some(term) = &process.term else { continue };
            let clock_ms = process.clock(now_ms);
            let running = process.frozen_ms <= now_ms;
            if running && term.is_supported(clock_ms) && process.store_cut_ms > now_ms {
                self.outcome.without_store += 1;
            }
            if !running || !term.extends(clock_ms) {
                continue;
            }
            let over = |other: &&Process| {
                let end_ms = other.term.as_ref().and_then(|other| other.ends_ms.get(&term.number));
                end_ms.is_some_and(|end_ms| other.clock(now_ms) > *end_ms)
            };
            if let Some(other) = self.all.iter().find(over) {
                let successor = other.term.as_ref().map(|term| term.number);
                self.outcome.overlap.get_or_insert(format!(
                    "term {} extends leases at {now_ms} ms beside {successor:?}",
                    term.number
                ));
            }
        }
    }
}
