use geraniumpost_schema::{Name, Resources};

use super::Wanted;
use crate::Millis;

/// What the planner knows of the current run of a job beside its record.
///
/// It is not stored: a new planner learns it from the agent's inventory.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) agent: Name,
    pub(super) epoch: u64,
    /// What the agent is to reserve, at least the declared need.
    pub(super) need: Resources,
    /// Whether the assignment is in the store, so that the start may be sent.
    pub(super) committed: bool,
    pub(super) wanted: Wanted,
    /// Incarnation of the agent that a start was sent to.
    pub(super) sent_to: Option<u64>,
    /// Whether an earlier planner assigned it and may have sent a start.
    pub(super) inherited: bool,
    /// Whether the agent has said that it runs.
    pub(super) seen: bool,
    /// Whether the agent's process knows the run's size, which only a start tells.
    pub(super) sized: bool,
    pub(super) last_order: Option<Millis>,
}

impl Run {
    pub(super) const fn new(agent: Name, epoch: u64, need: Resources) -> Self {
        Self {
            agent,
            epoch,
            need,
            committed: false,
            wanted: Wanted::Run,
            sent_to: None,
            inherited: false,
            seen: false,
            sized: true,
            last_order: None,
        }
    }

    pub(super) const fn inherited(agent: Name, epoch: u64, need: Resources) -> Self {
        let mut run = Self::new(agent, epoch, need);
        run.committed = true;
        run.inherited = true;
        run
    }

    /// Returns whether nothing more has to be ordered.
    pub(super) const fn is_settled(&self) -> bool {
        self.seen && self.sized && matches!(self.wanted, Wanted::Run)
    }

    /// Returns whether a start may still be sent to this incarnation of the agent.
    ///
    /// Once a start went to an earlier incarnation, or from an earlier planner, the run may have
    /// begun and ended unseen. A second start would run the same epoch twice, so that such a run is
    /// barred instead and the job gets a new epoch.
    pub(super) fn may_start(&self, incarnation: u64) -> bool {
        !self.inherited && self.sent_to.is_none_or(|sent_to| sent_to == incarnation)
    }
}
