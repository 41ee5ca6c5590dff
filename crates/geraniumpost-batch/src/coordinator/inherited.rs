//! Leases that earlier coordinators may have extended, and what is left of them to a successor.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_schema::Name;

use super::{Coordinator, lease_expiry_bound_ms};
use crate::{Now, PredecessorLeases, SilentCoordinator};

/// Age of an agent's last extension, in milliseconds, from which on a successor is told of it: three
/// beats. Others are linked to the successor at once, as a rule.
const UNREACHED_MS: u64 = 1_500;

/// A silent coordinator that is waited for.
#[derive(Debug, Clone, Copy)]
struct Waited {
    term: u64,
    until_ms: u64,
}

/// Until when leases may last that earlier coordinators extended, on the steady clock.
#[derive(Debug, Default)]
pub(super) struct Inherited {
    /// Those that the direct predecessor extended.
    pub(super) predecessor_ms: u64,
    /// Those that silent coordinators may go on extending.
    silent: BTreeMap<SocketAddr, Waited>,
    /// Those of agents that the direct predecessor did not reach when it stepped down.
    unreached: BTreeMap<Name, u64>,
}

impl Inherited {
    fn new(inheritance: &PredecessorLeases, lease_ms: u64, now: Now) -> Self {
        let from_now = |ms: &u64| now.steady_ms + ms;
        let waited = |silent: &SilentCoordinator| Waited {
            term: silent.term,
            until_ms: from_now(&silent.remaining_ms),
        };
        Self {
            predecessor_ms: now.steady_ms + lease_expiry_bound_ms(lease_ms),
            silent: inheritance.silent.iter().map(|(at, silent)| (*at, waited(silent))).collect(),
            unreached: inheritance
                .unreached
                .iter()
                .map(|(a, ms)| (a.clone(), from_now(ms)))
                .collect(),
        }
    }

    /// Returns until when an agent's leases may last.
    pub(super) fn until_ms(&self, agent: &Name) -> u64 {
        self.silent.values().map(|waited| waited.until_ms).fold(self.known_ms(agent), u64::max)
    }

    /// Returns until when the leases may last of an agent of which nothing is known.
    pub(super) fn latest_ms(&self) -> u64 {
        self.silent.values().map(|waited| waited.until_ms).fold(self.predecessor_ms, u64::max)
    }

    /// Returns until when an agent's leases may last that no silent coordinator extends.
    fn known_ms(&self, agent: &Name) -> u64 {
        self.unreached.get(agent).copied().unwrap_or(self.predecessor_ms)
    }
}

impl Coordinator {
    /// Takes over what a predecessor left behind; call it after [`Self::lease_ms`].
    #[must_use]
    pub fn with_predecessor_leases(mut self, inheritance: &PredecessorLeases, now: Now) -> Self {
        self.inherited = Inherited::new(inheritance, self.lease_ms, now);
        self
    }

    /// Takes note that the coordinator that was silent at an address is known to have ended its term, and
    /// extends no lease any more.
    ///
    /// A successor that only knows it as silent waits for as long as that could go on without the store.
    /// Standing tasks whose agents went away meanwhile would stay down all that time; a word from it
    /// leaves only the leases that it had extended. It says nothing of others that fell silent before it.
    pub fn predecessor_ended(&mut self, address: SocketAddr, now: Now) {
        self.predecessor_extends_until(address, now.steady_ms);
    }

    /// Takes note that the coordinator that was silent at an address extends no lease after a time on the
    /// steady clock, as the store has another one and too few entries support it.
    pub fn predecessor_extends_until(&mut self, address: SocketAddr, steady_ms: u64) {
        let until_ms = steady_ms + lease_expiry_bound_ms(self.lease_ms);
        let Some(waited) = self.inherited.silent.get_mut(&address) else { return };
        let earlier_by_ms = waited.until_ms.saturating_sub(until_ms);
        waited.until_ms = until_ms.min(waited.until_ms);
        self.note(format!("event=predecessor_ended at={address} earlier_by_ms={earlier_by_ms}"));
        self.inheritance_changed = true;
    }

    /// Returns what a successor has to know of leases at this moment.
    pub fn leases_for_successor(&self, now: Now) -> PredecessorLeases {
        let left = |until_ms: &u64| until_ms.saturating_sub(now.steady_ms);
        let silent = self.inherited.silent.iter().map(|(at, waited)| {
            (*at, SilentCoordinator { term: waited.term, remaining_ms: left(&waited.until_ms) })
        });
        let unreached = self.unreached.iter().map(|(agent, until)| (agent.clone(), left(until)));
        PredecessorLeases {
            silent: silent.filter(|(_, silent)| silent.remaining_ms > 0).collect(),
            unreached: unreached.collect(),
        }
    }

    /// Returns whether what a successor has to know has changed since this was last asked, other than by
    /// the time that passes.
    ///
    /// The shell tells the store's writer before it sends what was decided: an agent that is reached
    /// again must not be left to a successor as one whose lease ends soon.
    pub const fn take_leases_for_successor_changed(&mut self) -> bool {
        std::mem::replace(&mut self.inheritance_changed, false)
    }

    /// Takes note that an agent is reached, before its lease is extended.
    pub(super) fn agent_reached(&mut self, agent: &Name) {
        self.inheritance_changed |= self.unreached.remove(agent).is_some();
    }

    /// Takes note of the agents that are not reached though something may run beside them.
    pub(super) fn note_unreached(&mut self, now: Now) {
        let extended_ms = now.steady_ms + lease_expiry_bound_ms(self.lease_ms);
        let lapsed_ms = |agent: &Name| self.agents.get(agent).map_or(0, |agent| agent.lapsed_ms);
        let busy = self.minions.values().filter(|minion| !minion.runs.is_empty());
        let unreached: BTreeMap<Name, u64> = busy
            .map(|minion| (&minion.agent, lapsed_ms(&minion.agent)))
            .filter(|(_, lapsed_ms)| lapsed_ms + UNREACHED_MS <= extended_ms)
            .map(|(agent, lapsed_ms)| {
                (agent.clone(), lapsed_ms.max(self.inherited.known_ms(agent)))
            })
            .collect();
        self.inheritance_changed |= unreached != self.unreached;
        self.unreached = unreached;
    }
}
