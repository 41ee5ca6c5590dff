//! Coordinators that are lost, and entries that take over from them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use geraniumpost_batch::{Coordinator, PredecessorLeases};

use super::Site;
use super::act::Act;
use super::loss::Loss;
use crate::world::HOLD_MS;

/// Silence of the coordinator after which agents look for another one, in milliseconds.
const SILENCE_MS: u64 = 700;
/// Pause between two looks at a predecessor, in milliseconds.
const DOUBT_MS: u64 = 300;

/// Who coordinated before, and what is left of them.
#[derive(Debug, Default)]
pub(super) struct Succession {
    vacancy: Option<Vacancy>,
    /// Losses of coordinators so far.
    losses: u64,
    /// What the coordinator's key leaves to the next one.
    left: PredecessorLeases,
    /// When the coordinator next asks silent ones for a word.
    ask_ms: u64,
    /// Losses whose coordinators answer again, and know who coordinates.
    back: BTreeSet<u64>,
    /// A coordinator that is cut off from all but one agent, and the machine of that agent.
    pub(super) cut_off: Option<(Coordinator, usize)>,
}

/// Nobody coordinates.
#[derive(Debug)]
struct Vacancy {
    until_ms: u64,
    loss: Loss,
    /// Number of the loss of the coordinator that the key names.
    number: u64,
    /// When agents look for another link at the earliest.
    found_ms: u64,
}

impl Succession {
    /// Returns whether nobody coordinates.
    pub(super) const fn is_vacant(&self) -> bool {
        self.vacancy.is_some()
    }

    /// Returns whether a machine's agent still takes the coordinator that is cut off for the present
    /// one.
    pub(super) fn binds(&self, at: usize) -> bool {
        self.cut_off.as_ref().is_some_and(|(_, bound)| *bound == at)
    }

    /// Takes note that an entry answers again.
    pub(super) fn answers_again(&mut self, number: u64) {
        self.back.insert(number);
    }

    /// Opens a vacancy, or prolongs the one there is.
    fn vacate(&mut self, loss: Loss, now_ms: u64) {
        let until_ms = now_ms + loss.gap_ms();
        let found_ms = if loss.is_silent() { until_ms.max(now_ms + SILENCE_MS) } else { until_ms };
        // Whoever was about to take over is lost as well; the key still names the one before.
        let (loss, number) = match &self.vacancy {
            Some(before) => (before.loss, before.number),
            None => (loss, self.losses),
        };
        self.vacancy = Some(Vacancy { until_ms, loss, number, found_ms });
    }
}

impl Site {
    /// Loses the coordinator, or the entry that was about to take over.
    pub(super) fn lose_coordinator(&mut self, loss: Loss) {
        let now = self.world.now;
        self.succession.losses += 1;
        self.trace(&format!("coordinator is lost: {loss:?}"));
        // One that cannot write to the store does not say so in its key either.
        let unsaid = loss == Loss::Planned && !self.world.store_confirms;
        let loss = if unsaid { Loss::Killed } else { loss };
        let away_ms = now.steady_ms + loss.away_ms();
        self.entries.lose(away_ms, matches!(loss, Loss::Frozen | Loss::CutOff));
        if let Some(word_ms) = loss.word_ms() {
            let word = Act::Word(self.succession.losses);
            self.agenda.push((now.steady_ms + word_ms, 0, word));
        }
        if loss == Loss::Planned && !self.succession.is_vacant() {
            self.succession.left = self.world.coordinator.leases_for_successor(now);
        }
        self.succession.vacate(loss, now.steady_ms);
        for machine in &mut self.machines {
            machine.linked = false;
            machine.known_linked = false;
        }
        self.world.orders.clear();
    }

    /// Cuts the coordinator off from all but a machine's agent; it goes on beside its successor.
    pub(super) fn cut_coordinator_off(&mut self, at: usize) {
        if self.succession.is_vacant() || self.succession.cut_off.is_some() {
            return;
        }
        let none = Coordinator::new(0, self.world.now);
        let coordinator = std::mem::replace(&mut self.world.coordinator, none);
        self.succession.cut_off = Some((coordinator, at));
        self.lose_coordinator(Loss::CutOff);
    }

    /// Ends the coordinator that was cut off; its agent looks for the present one.
    pub(super) fn end_cut_off(&mut self) {
        if let Some((_, at)) = self.succession.cut_off.take() {
            self.machines[at].link_at_ms = self.world.now.steady_ms + 300;
        }
    }

    /// Lets another entry take over when the vacancy ends; none can without the store.
    pub(super) fn take_over_if_due(&mut self) {
        let (now_ms, store) = (self.world.now.steady_ms, self.world.store_confirms);
        let due = |vacancy: &mut Vacancy| store && vacancy.until_ms <= now_ms;
        if let Some(vacancy) = self.succession.vacancy.take_if(due) {
            if self.entries.elect(now_ms) {
                self.take_over(&vacancy);
            } else {
                self.succession.vacancy = Some(vacancy);
            }
        }
    }

    /// Entries promise support to the coordinator, which names those that do in its key.
    pub(super) fn support_coordinator(&mut self) {
        if self.succession.is_vacant() {
            return;
        }
        let now_ms = self.world.now.steady_ms;
        let until_ms = self.entries.support(self.world.coordinator.fence(), now_ms);
        self.world.coordinator.set_supported_until(until_ms, 0);
        if self.world.store_confirms {
            self.entries.name_voters(now_ms);
        }
    }

    fn take_over(&mut self, vacancy: &Vacancy) {
        let silent =
            (vacancy.loss != Loss::Planned).then(|| (address(vacancy.number), vacancy.number));
        let own = address(self.succession.losses + 1);
        let left = std::mem::take(&mut self.succession.left);
        let inheritance = left.after_takeover(silent, own, HOLD_MS);
        self.world.take_over_with(&inheritance);
        self.entries.take_over(silent.map(|(address, _)| address), self.world.now.steady_ms);
        self.succession.left = inheritance.while_coordinating();
        self.succession.ask_ms = self.world.now.steady_ms + DOUBT_MS;
        self.trace(&format!("taken over, after {:?}", vacancy.loss));
        let mut link_at_ms = vacancy.found_ms.max(self.world.now.steady_ms) + 200;
        for machine in &mut self.machines {
            machine.link_at_ms = link_at_ms;
            link_at_ms += vacancy.loss.links_apart_ms();
        }
    }

    /// The coordinator asks those that fell silent whether their terms have ended, and all entries whether
    /// they still support them.
    pub(super) fn ask_silent(&mut self) {
        let now = self.world.now;
        if self.succession.is_vacant() {
            return;
        }
        let fence = self.world.coordinator.fence();
        for (address, until_ms) in self.entries.ask(fence, now.steady_ms) {
            if self.world.coordinator.leases_for_successor(now).silent.contains_key(&address) {
                self.world.coordinator.predecessor_extends_until(address, until_ms);
            }
        }
        if now.steady_ms < self.succession.ask_ms {
            return;
        }
        self.succession.ask_ms = now.steady_ms + DOUBT_MS;
        for number in self.succession.back.iter().copied() {
            let at = address(number);
            if self.world.coordinator.leases_for_successor(now).silent.contains_key(&at) {
                self.world.coordinator.predecessor_ended(at, now);
            }
        }
    }
}

/// Returns where the coordinator was whose loss has a number.
fn address(number: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number as u16))
}
