use geraniumpost_schema::{Name, Resources};

use super::RunGoal;
use crate::Millis;

/// State of a job's current run in addition to its record.
///
/// This state is not stored, because a new planner receives it with the agent's inventory.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) agent: Name,
    pub(super) epoch: u64,
    /// Resources that the agent has to allocate, at least the declared need.
    pub(super) need: Resources,
    /// Whether the assignment is in the store, so that the start may be sent.
    pub(super) committed: bool,
    pub(super) goal: RunGoal,
    /// Incarnation of the agent to which a start was sent.
    pub(super) start_sent_to: Option<u64>,
    /// Whether an earlier planner assigned the run and may have sent a start.
    pub(super) from_predecessor: bool,
    /// Whether the agent has reported the run as starting or running.
    pub(super) reported: bool,
    /// Whether a start order, which contains the size of the run, was sent since the agent's last
    /// inventory.
    pub(super) size_sent: bool,
    pub(super) last_order_at: Option<Millis>,
}

impl Run {
    pub(super) const fn new(agent: Name, epoch: u64, need: Resources) -> Self {
        Self {
            agent,
            epoch,
            need,
            committed: false,
            goal: RunGoal::Run,
            start_sent_to: None,
            from_predecessor: false,
            reported: false,
            size_sent: true,
            last_order_at: None,
        }
    }

    pub(super) const fn from_predecessor(agent: Name, epoch: u64, need: Resources) -> Self {
        let mut run = Self::new(agent, epoch, need);
        run.committed = true;
        run.from_predecessor = true;
        run
    }

    /// Returns whether the agent runs the task as intended, so that no order is needed.
    pub(super) const fn is_settled(&self) -> bool {
        self.reported && self.size_sent && matches!(self.goal, RunGoal::Run)
    }

    /// Returns whether a start may still be sent to this incarnation of the agent.
    ///
    /// After a start was sent to an earlier incarnation, or by an earlier planner, the run may have
    /// begun and ended without a report. A second start could run the same epoch twice. Such a run
    /// is blocked at the agent instead, and the job gets a new epoch.
    pub(super) fn may_start(&self, incarnation: u64) -> bool {
        !self.from_predecessor
            && self.start_sent_to.is_none_or(|start_sent_to| start_sent_to == incarnation)
    }
}
