//! Loss of coordinators, and takeover by other entries.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use geraniumpost_batch::{Coordinator, PredecessorLeases};

use super::Simulation;
use super::action::Action;
use super::coordinator_loss::CoordinatorLoss;
use crate::cluster::LEASE_MS;

/// Time without a response after which agents consider the coordinator lost, in milliseconds.
const COORDINATOR_TIMEOUT_MS: u64 = 700;
/// Interval between two queries of a coordinator to its silent predecessors, in milliseconds.
const PREDECESSOR_QUERY_INTERVAL_MS: u64 = 300;

/// State of the present takeover, if there is one, and of earlier coordinators.
#[derive(Debug, Default)]
pub(super) struct Succession {
    /// The present vacancy, or `None` if there is a coordinator.
    vacancy: Option<Vacancy>,
    /// Number of coordinators lost so far, including entries that were lost before they took over.
    /// The n-th that is lost has loss number n, from which its address follows.
    losses: u64,
    /// Predecessor leases in the coordinator's store key, from which its successor reads them.
    predecessor_leases: PredecessorLeases,
    /// Time at which the coordinator next queries silent predecessors, on the monotonic clock.
    next_query_ms: u64,
    /// Loss numbers of earlier coordinators that respond again and confirm the end of their terms.
    responding: BTreeSet<u64>,
    /// An isolated coordinator, and the index of the machine of the only agent that it reaches.
    pub(super) isolated: Option<(Coordinator, usize)>,
}

/// A time without a coordinator.
#[derive(Debug)]
struct Vacancy {
    /// Earliest time at which another entry takes over, on the monotonic clock.
    until_ms: u64,
    loss: CoordinatorLoss,
    /// Loss number of the coordinator that the store key names.
    loss_number: u64,
    /// Earliest time at which agents link to the next coordinator, on the monotonic clock.
    relink_ms: u64,
}

impl Succession {
    /// Returns whether there is no coordinator.
    pub(super) const fn is_vacant(&self) -> bool {
        self.vacancy.is_some()
    }

    /// Returns whether a machine's agent is still linked to the isolated coordinator.
    pub(super) fn agent_follows_isolated_coordinator(&self, at: usize) -> bool {
        self.isolated.as_ref().is_some_and(|(_, machine)| *machine == at)
    }

    /// Records that the coordinator with loss number `loss_number` responds again.
    pub(super) fn mark_responding(&mut self, loss_number: u64) {
        self.responding.insert(loss_number);
    }

    /// Starts a vacancy, or prolongs the present one.
    fn open_vacancy(&mut self, loss: CoordinatorLoss, now_ms: u64) {
        let until_ms = now_ms + loss.vacancy_ms();
        let relink_ms =
            if loss.is_silent() { until_ms.max(now_ms + COORDINATOR_TIMEOUT_MS) } else { until_ms };
        // If there is already a vacancy, the entry about to take over is lost, and the store key
        // still names the coordinator that was lost first.
        let (loss, loss_number) = match &self.vacancy {
            Some(before) => (before.loss, before.loss_number),
            None => (loss, self.losses),
        };
        self.vacancy = Some(Vacancy { until_ms, loss, loss_number, relink_ms });
    }
}

impl Simulation {
    /// Makes the coordinator fail or step down, or, during a vacancy, the entry about to take over.
    pub(super) fn lose_coordinator(&mut self, loss: CoordinatorLoss) {
        let now = self.cluster.now;
        self.succession.losses += 1;
        self.trace(&format!("coordinator is lost: {loss:?}"));
        // Without the store, the coordinator cannot record the end of its term in its key.
        let unannounced = loss == CoordinatorLoss::Planned && !self.cluster.store_confirms;
        let loss = if unannounced { CoordinatorLoss::Killed } else { loss };
        let unavailable_until_ms = now.steady_ms + loss.unavailable_ms();
        self.entries.mark_lost(
            unavailable_until_ms,
            matches!(loss, CoordinatorLoss::Paused | CoordinatorLoss::Isolated),
        );
        if let Some(responds_after_ms) = loss.responds_after_ms() {
            let responds = Action::EntryResponds(self.succession.losses);
            self.scheduled_actions.push((now.steady_ms + responds_after_ms, 0, responds));
        }
        if loss == CoordinatorLoss::Planned && !self.succession.is_vacant() {
            self.succession.predecessor_leases = self.cluster.coordinator.leases_for_successor(now);
        }
        self.succession.open_vacancy(loss, now.steady_ms);
        for machine in &mut self.machines {
            machine.linked = false;
            machine.coordinator_sees_link = false;
        }
        self.cluster.orders.clear();
    }

    /// Isolates the coordinator from all processes except a machine's agent. It continues to run
    /// while another entry takes over.
    pub(super) fn isolate_coordinator(&mut self, at: usize) {
        if self.succession.is_vacant() || self.succession.isolated.is_some() {
            return;
        }
        let placeholder = Coordinator::new(0, self.cluster.now);
        let coordinator = std::mem::replace(&mut self.cluster.coordinator, placeholder);
        self.succession.isolated = Some((coordinator, at));
        self.lose_coordinator(CoordinatorLoss::Isolated);
    }

    /// Ends the isolated coordinator. Its agent then links to the current coordinator.
    pub(super) fn end_isolation(&mut self) {
        if let Some((_, at)) = self.succession.isolated.take() {
            self.machines[at].next_link_ms = self.cluster.now.steady_ms + 300;
        }
    }

    /// Lets another entry take over if the vacancy has ended and the store and an entry are
    /// available.
    pub(super) fn take_over_if_due(&mut self) {
        let (now_ms, store) = (self.cluster.now.steady_ms, self.cluster.store_confirms);
        let due = |vacancy: &mut Vacancy| store && vacancy.until_ms <= now_ms;
        if let Some(vacancy) = self.succession.vacancy.take_if(due) {
            if self.entries.elect(now_ms) {
                self.take_over(&vacancy);
            } else {
                self.succession.vacancy = Some(vacancy);
            }
        }
    }

    /// Lets entries promise support to the coordinator and, if the store is available, writes
    /// changed voters to the coordinator's store key.
    pub(super) fn support_coordinator(&mut self) {
        if self.succession.is_vacant() {
            return;
        }
        let now_ms = self.cluster.now.steady_ms;
        let until_ms = self.entries.renew_support(self.cluster.coordinator.fence(), now_ms);
        self.cluster.coordinator.set_supported_until(until_ms, 0);
        if self.cluster.store_confirms {
            self.entries.update_voters(now_ms);
        }
    }

    fn take_over(&mut self, vacancy: &Vacancy) {
        let silent = (vacancy.loss != CoordinatorLoss::Planned)
            .then(|| (coordinator_address(vacancy.loss_number), vacancy.loss_number));
        let own_address = coordinator_address(self.succession.losses + 1);
        let predecessor_leases = std::mem::take(&mut self.succession.predecessor_leases);
        let leases = predecessor_leases.after_takeover(silent, own_address, LEASE_MS);
        self.cluster.take_over_with(&leases);
        self.entries.take_over(silent.map(|(address, _)| address), self.cluster.now.steady_ms);
        self.succession.predecessor_leases = leases.without_unreached();
        self.succession.next_query_ms = self.cluster.now.steady_ms + PREDECESSOR_QUERY_INTERVAL_MS;
        self.trace(&format!("coordinator has taken over after {:?}", vacancy.loss));
        let mut next_link_ms = vacancy.relink_ms.max(self.cluster.now.steady_ms) + 200;
        for machine in &mut self.machines {
            machine.next_link_ms = next_link_ms;
            next_link_ms += vacancy.loss.relink_interval_ms();
        }
    }

    /// Queries voters of silent predecessors for the end of their support, and silent predecessors
    /// for the end of their terms.
    pub(super) fn query_predecessors(&mut self) {
        let now = self.cluster.now;
        if self.succession.is_vacant() {
            return;
        }
        let fence = self.cluster.coordinator.fence();
        for (address, until_ms) in self.entries.query_voters(fence, now.steady_ms) {
            if self.cluster.coordinator.leases_for_successor(now).silent.contains_key(&address) {
                self.cluster.coordinator.limit_predecessor_leases(address, until_ms);
            }
        }
        if now.steady_ms < self.succession.next_query_ms {
            return;
        }
        self.succession.next_query_ms = now.steady_ms + PREDECESSOR_QUERY_INTERVAL_MS;
        for loss_number in self.succession.responding.iter().copied() {
            let address = coordinator_address(loss_number);
            if self.cluster.coordinator.leases_for_successor(now).silent.contains_key(&address) {
                self.cluster.coordinator.record_predecessor_term_end(address, now);
            }
        }
    }
}

/// Returns the address of the coordinator with loss number `loss_number`.
fn coordinator_address(loss_number: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], loss_number as u16))
}
