use geraniumpost_schema::{Name, Priority, Resources};

use crate::Millis;

/// A job that waits for a worker, with what it needs.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, placement::PlacementRequest};
/// use geraniumpost_schema::{Name, Priority, Resources};
/// let need = Resources { milli_cpus: 4000, memory_mb: 8192, accelerators: 0 };
/// let request = PlacementRequest::new("study-7", "entel", "coordination", need)
///     .priority(Priority::Urgent)
///     .submitted(Millis(5));
/// assert_eq!(request.job(), &Name::from("study-7"));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementRequest {
    pub(super) job: Name,
    pub(super) customer: Name,
    pub(super) class: Name,
    pub(super) need: Resources,
    pub(super) priority: Priority,
    pub(super) submitted: Millis,
    pub(super) not_before: Millis,
    pub(super) excluded: Vec<Name>,
}

impl PlacementRequest {
    /// Creates a request of normal priority that has waited since time 0 and may start immediately.
    pub fn new(
        job: impl Into<Name>,
        customer: impl Into<Name>,
        class: impl Into<Name>,
        need: Resources,
    ) -> Self {
        Self {
            job: job.into(),
            customer: customer.into(),
            class: class.into(),
            need,
            priority: Priority::Normal,
            submitted: Millis(0),
            not_before: Millis(0),
            excluded: Vec::new(),
        }
    }

    /// Sets the priority, normally that of the job's class.
    #[must_use]
    pub const fn priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the time of submission, from which waiting times count. Older jobs of a customer come
    /// first.
    #[must_use]
    pub const fn submitted(mut self, at: Millis) -> Self {
        self.submitted = at;
        self
    }

    /// Sets the time before which the job must not start, for retries that back off.
    #[must_use]
    pub const fn not_before(mut self, at: Millis) -> Self {
        self.not_before = at;
        self
    }

    /// Sets the names of workers on which the job must not start.
    #[must_use]
    pub fn excluded(mut self, workers: Vec<Name>) -> Self {
        self.excluded = workers;
        self
    }

    /// Returns the job's id.
    pub const fn job(&self) -> &Name {
        &self.job
    }

    /// Returns the resources that the job declares.
    pub const fn need(&self) -> &Resources {
        &self.need
    }

    /// Returns the customer that owns the job.
    pub const fn customer(&self) -> &Name {
        &self.customer
    }

    /// Returns the name of the job's class in the configuration document.
    pub const fn class(&self) -> &Name {
        &self.class
    }

    /// Returns the priority before aging.
    pub const fn requested_priority(&self) -> Priority {
        self.priority
    }

    /// Returns the time of submission, from which waiting times count.
    pub const fn submitted_at(&self) -> Millis {
        self.submitted
    }

    /// Returns the time before which the job must not start.
    pub const fn earliest_start(&self) -> Millis {
        self.not_before
    }
}
