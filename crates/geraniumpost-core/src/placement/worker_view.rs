use geraniumpost_schema::{Name, Resources};

use super::{TaskView, WorkerState, amounts};

/// A worker with the state that its agent reported last, and its tasks.
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
    /// Part of the capacity that is reserved for the service.
    pub(super) reserve: Resources,
    pub(super) service: Option<Name>,
    pub(super) load_permille: u32,
    pub(super) p99_us: u64,
    /// Resources that the agent's ledger has reserved.
    pub(super) reserved: Resources,
    pub(super) state: WorkerState,
    pub(super) tasks: Vec<TaskView>,
}

impl WorkerView {
    /// Creates a healthy worker without a service or tasks. `capacity` is that of its VM.
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

    /// Sets the service of the minion on the worker's VM.
    #[must_use]
    pub fn service(mut self, service: impl Into<Name>) -> Self {
        self.service = Some(service.into());
        self
    }

    /// Sets the part of the capacity that is reserved for the service.
    #[must_use]
    pub const fn reserve(mut self, reserve: Resources) -> Self {
        self.reserve = reserve;
        self
    }

    /// Sets the busy share of the minion's slots, in thousandths, and its recent p99 in
    /// microseconds.
    #[must_use]
    pub const fn load(mut self, load_permille: u32, p99_us: u64) -> Self {
        self.load_permille = load_permille;
        self.p99_us = p99_us;
        self
    }

    /// Sets the resources that the agent's ledger has reserved, according to its latest heartbeat.
    ///
    /// The ledger may reserve more for a throttled or measured task than the planner allocates. For
    /// each resource, the larger amount is subtracted from the free capacity. Otherwise the ledger
    /// would refuse starts, and the jobs would have to wait for a back-off.
    #[must_use]
    pub const fn reserved(mut self, reserved: Resources) -> Self {
        self.reserved = reserved;
        self
    }

    /// Sets the state, which decides whether jobs may be started on the worker.
    #[must_use]
    pub const fn state(mut self, state: WorkerState) -> Self {
        self.state = state;
        self
    }

    /// Sets the tasks that are started, run or are being stopped on the worker.
    #[must_use]
    pub fn tasks(mut self, tasks: Vec<TaskView>) -> Self {
        self.tasks = tasks;
        self
    }

    /// Returns the name, which is unique within a [`Fleet`](super::Fleet).
    pub const fn name(&self) -> &Name {
        &self.name
    }

    /// Returns all tasks on the worker, including those that are being started or stopped.
    pub fn all_tasks(&self) -> &[TaskView] {
        &self.tasks
    }

    /// Returns the resources for batch work: the capacity minus the reserve for the service.
    pub const fn allowance(&self) -> Resources {
        amounts::minus(&self.capacity, &self.reserve)
    }

    /// Returns the sum of [`TaskView::allocated`] over all tasks.
    pub fn allocated(&self) -> Resources {
        self.tasks.iter().fold(amounts::NONE, |sum, task| amounts::plus(&sum, &task.allocated()))
    }

    /// Returns the allowance minus, for each resource, the larger of the planner's allocation and
    /// the ledger's reservation.
    pub fn free(&self) -> Resources {
        amounts::minus(
            &self.allowance(),
            &amounts::component_max(&self.allocated(), &self.reserved),
        )
    }
}
