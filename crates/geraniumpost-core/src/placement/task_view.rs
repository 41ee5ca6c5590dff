use geraniumpost_schema::{Name, Priority, Resources};

use super::amounts;
use crate::Millis;

/// Full speed of a task, in thousandths of its processors.
pub(super) const FULL_SPEED: u32 = 1000;

/// A task that is being started, runs or is being stopped on a worker.
///
/// Its resources are allocated until the agent reports its end.
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
    /// Creates an evictable task of normal priority at full speed, without measured usage or
    /// checkpoints.
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

    /// Sets the resources that the planner reserved, which are the `need` of
    /// [`Decision::Start`](super::Decision::Start).
    #[must_use]
    pub const fn reserved(mut self, reserved: Resources) -> Self {
        self.reserved = reserved;
        self
    }

    /// Sets the resources that the task was last measured to use; 0 if there is no measurement yet.
    #[must_use]
    pub const fn usage(mut self, usage: Resources) -> Self {
        self.usage = usage;
        self
    }

    /// Sets the priority, which is that of the job's class.
    #[must_use]
    pub const fn priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the time of the latest checkpoint. An eviction loses the work since then if no further
    /// checkpoint succeeds.
    #[must_use]
    pub const fn checkpointed(mut self, at: Millis) -> Self {
        self.checkpointed = at;
        self
    }

    /// Sets whether the task may be checkpointed and stopped to free its resources.
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

    /// Returns the id of the job that the task runs.
    pub const fn job(&self) -> &Name {
        &self.job
    }

    /// Returns the customer that owns the job.
    pub const fn customer(&self) -> &Name {
        &self.customer
    }

    /// Returns the start time given to [`new`](Self::new), by the planner's clock. If the planner
    /// took over a run, this is the time of the takeover.
    pub const fn started_at(&self) -> Millis {
        self.started
    }

    /// Returns the processors that the task is expected to use at full speed, in thousandths.
    pub(super) fn full_milli_cpus(&self) -> u64 {
        let expected = self.need.milli_cpus.max(self.usage.milli_cpus);
        if self.permille < FULL_SPEED || self.usage.milli_cpus == 0 {
            return expected.max(self.reserved.milli_cpus);
        }
        expected
    }

    /// Returns the additional processors, in thousandths, that the task would use at a speed of
    /// `permille`; 0 if that is no higher than its current speed.
    pub(super) fn additional_milli_cpus(&self, permille: u32) -> u64 {
        let faster = permille.saturating_sub(self.permille);
        self.full_milli_cpus() * u64::from(faster) / u64::from(FULL_SPEED)
    }

    /// Returns the processors that the task is expected to use at its current speed, in
    /// thousandths.
    pub(super) fn active_milli_cpus(&self) -> f64 {
        self.full_milli_cpus() as f64 * f64::from(self.permille) / f64::from(FULL_SPEED)
    }

    /// Returns the resources by which the task reduces the free capacity: at least its measured
    /// usage.
    ///
    /// Declared needs are often far too low. If usage above the need did not count, further tasks
    /// would be started on the VM, which would be overcommitted.
    pub fn allocated(&self) -> Resources {
        let reserved = amounts::component_max(
            &amounts::component_max(&self.need, &self.reserved),
            &self.usage,
        );
        let milli_cpus = if self.permille < FULL_SPEED {
            reserved.milli_cpus * u64::from(self.permille) / u64::from(FULL_SPEED)
        } else if self.usage.milli_cpus > 0 {
            self.need.milli_cpus
        } else {
            reserved.milli_cpus
        };
        Resources { milli_cpus: milli_cpus.max(self.usage.milli_cpus), ..reserved }
    }
}
