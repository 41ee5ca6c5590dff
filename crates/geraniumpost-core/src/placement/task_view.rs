use geraniumpost_schema::{Name, Priority, Resources};

use super::amounts;
use crate::Millis;

/// Full speed of a task, in thousandths of its processors.
pub(super) const FULL_SPEED: u32 = 1000;

/// A task that runs, or is being started or stopped, on a worker.
///
/// It counts against the worker until the agent's word that it has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskView {
    pub(super) job: Name,
    pub(super) customer: Name,
    pub(super) class: Name,
    pub(super) need: Resources,
    pub(super) reserved: Resources,
    pub(super) usage: Resources,
    pub(super) priority: Priority,
    pub(super) started: Millis,
    pub(super) checkpointed: Millis,
    pub(super) evictable: bool,
    pub(super) permille: u32,
}

impl TaskView {
    /// Creates an evictable task of normal priority at full speed.
    pub fn new(
        job: impl Into<Name>,
        customer: impl Into<Name>,
        class: impl Into<Name>,
        need: Resources,
        started: Millis,
    ) -> Self {
        Self {
            job: job.into(),
            customer: customer.into(),
            class: class.into(),
            need,
            reserved: need,
            usage: amounts::NONE,
            priority: Priority::Normal,
            started,
            checkpointed: started,
            evictable: true,
            permille: FULL_SPEED,
        }
    }

    /// Sets what the planner reserved, which is the `need` of the start decision.
    #[must_use]
    pub const fn reserved(mut self, reserved: Resources) -> Self {
        self.reserved = reserved;
        self
    }

    /// Sets the lagged measured usage.
    #[must_use]
    pub const fn usage(mut self, usage: Resources) -> Self {
        self.usage = usage;
        self
    }

    /// Sets the priority.
    #[must_use]
    pub const fn priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets when the latest checkpoint was made; work since then is lost by an eviction.
    #[must_use]
    pub const fn checkpointed(mut self, at: Millis) -> Self {
        self.checkpointed = at;
        self
    }

    /// Sets whether the task may be checkpointed and moved.
    #[must_use]
    pub const fn evictable(mut self, evictable: bool) -> Self {
        self.evictable = evictable;
        self
    }

    /// Sets the share of its processors that the task may use, in thousandths.
    #[must_use]
    pub const fn permille(mut self, permille: u32) -> Self {
        self.permille = permille;
        self
    }

    /// Returns the job's id.
    pub const fn job(&self) -> &Name {
        &self.job
    }

    /// Returns the customer.
    pub const fn customer(&self) -> &Name {
        &self.customer
    }

    /// Returns when the task began.
    pub const fn started_at(&self) -> Millis {
        self.started
    }

    /// Returns the processors it takes at full speed, in thousandths.
    pub(super) fn full_milli_cpus(&self) -> u64 {
        let seen = self.need.milli_cpus.max(self.usage.milli_cpus);
        if self.permille < FULL_SPEED || self.usage.milli_cpus == 0 {
            return seen.max(self.reserved.milli_cpus);
        }
        seen
    }

    /// Returns the processors it would take in addition at another speed, in thousandths.
    pub(super) fn more_milli_cpus(&self, permille: u32) -> u64 {
        let faster = permille.saturating_sub(self.permille);
        self.full_milli_cpus() * u64::from(faster) / u64::from(FULL_SPEED)
    }

    /// Returns the processors it may use at its present speed, in thousandths.
    pub(super) fn active_milli_cpus(&self) -> f64 {
        self.full_milli_cpus() as f64 * f64::from(self.permille) / f64::from(FULL_SPEED)
    }

    /// Returns what the task counts for: never below what it was seen to use.
    ///
    /// Declared sizes are far off. A task that outgrew its size would otherwise let a second one
    /// in, and the VM would hold more than it has.
    pub fn allocated(&self) -> Resources {
        let held = amounts::component_max(
            &amounts::component_max(&self.need, &self.reserved),
            &self.usage,
        );
        let milli_cpus = if self.permille < FULL_SPEED {
            held.milli_cpus * u64::from(self.permille) / u64::from(FULL_SPEED)
        } else if self.usage.milli_cpus > 0 {
            self.need.milli_cpus
        } else {
            held.milli_cpus
        };
        Resources { milli_cpus: milli_cpus.max(self.usage.milli_cpus), ..held }
    }
}
