use geraniumpost_schema::{Name, Resources};

use super::{TaskView, WorkerState, amounts};

/// A worker as its agent last described it.
///
/// # Example
///
/// ```
/// use geraniumpost_core::placement::WorkerView;
/// use geraniumpost_schema::Resources;
/// let capacity = Resources { milli_cpus: 64_000, memory_mb: 250_000, accelerators: 0 };
/// let worker = WorkerView::new("w1", "surco", "rack-1", capacity).service("filing");
/// assert_eq!(worker.free(), capacity);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerView {
    pub(super) name: Name,
    pub(super) domain: Name,
    pub(super) rack: Name,
    pub(super) capacity: Resources,
    pub(super) reserve: Resources,
    pub(super) service: Option<Name>,
    pub(super) load_permille: u32,
    pub(super) p99_us: u64,
    pub(super) reserved: Resources,
    pub(super) state: WorkerState,
    pub(super) tasks: Vec<TaskView>,
}

impl WorkerView {
    /// Creates a healthy worker without a service or tasks.
    pub fn new(
        name: impl Into<Name>,
        domain: impl Into<Name>,
        rack: impl Into<Name>,
        capacity: Resources,
    ) -> Self {
        Self {
            name: name.into(),
            domain: domain.into(),
            rack: rack.into(),
            capacity,
            reserve: amounts::NONE,
            service: None,
            load_permille: 0,
            p99_us: 0,
            reserved: amounts::NONE,
            state: WorkerState::Healthy,
            tasks: Vec::new(),
        }
    }

    /// Sets the service of the minion beside the worker.
    #[must_use]
    pub fn service(mut self, service: impl Into<Name>) -> Self {
        self.service = Some(service.into());
        self
    }

    /// Sets the resources that are kept free of batch work for the service.
    #[must_use]
    pub const fn reserve(mut self, reserve: Resources) -> Self {
        self.reserve = reserve;
        self
    }

    /// Sets the busy share of the minion's slots in thousandths and its recent p99.
    #[must_use]
    pub const fn load(mut self, load_permille: u32, p99_us: u64) -> Self {
        self.load_permille = load_permille;
        self.p99_us = p99_us;
        self
    }

    /// Sets what the agent's ledger has reserved according to its latest heartbeat.
    ///
    /// The ledger may count a throttled or a measured task for more than the planner does. A start
    /// that it would refuse is not proposed, as the job would have to wait for a back-off in vain.
    #[must_use]
    pub const fn reserved(mut self, reserved: Resources) -> Self {
        self.reserved = reserved;
        self
    }

    /// Sets whether the worker accepts jobs.
    #[must_use]
    pub const fn state(mut self, state: WorkerState) -> Self {
        self.state = state;
        self
    }

    /// Sets the tasks on the worker.
    #[must_use]
    pub fn tasks(mut self, tasks: Vec<TaskView>) -> Self {
        self.tasks = tasks;
        self
    }

    /// Returns the worker's name.
    pub const fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the tasks on the worker.
    pub fn all_tasks(&self) -> &[TaskView] {
        &self.tasks
    }

    /// Returns the resources that the worker offers to batch work.
    pub const fn allowance(&self) -> Resources {
        amounts::minus(&self.capacity, &self.reserve)
    }

    /// Returns the resources allocated to the tasks.
    pub fn allocated(&self) -> Resources {
        self.tasks.iter().fold(amounts::NONE, |sum, task| amounts::plus(&sum, &task.allocated()))
    }

    /// Returns what is free for batch work, by both the planner's and the ledger's count.
    pub fn free(&self) -> Resources {
        amounts::minus(
            &self.allowance(),
            &amounts::component_max(&self.allocated(), &self.reserved),
        )
    }
}
