use std::collections::HashMap;

use geraniumpost_schema::{Name, Resources};
use slotmap::{SecondaryMap, SlotMap, new_key_type};

use super::interner::Interner;
use super::location_counts::LocationCounts;
use super::worker_row::{NO_SERVICE, WorkerRow};
use super::{TaskView, WorkerState, WorkerView, amounts};

new_key_type! {
    /// Key of a worker in a [`Fleet`], invalid once the worker is removed or replaced.
    pub struct WorkerKey;
}

/// The workers of a region with their tasks, indexed for placement.
///
/// The planner applies every start, end and report to the fleet; [`super::Placer`] only reads the
/// fleet.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, placement::{Fleet, TaskView, WorkerView}};
/// use geraniumpost_schema::{Name, Resources};
/// let capacity = Resources { milli_cpus: 8000, memory_mb: 8192, accelerators: 0 };
/// let need = Resources { milli_cpus: 1000, memory_mb: 1024, accelerators: 0 };
/// let mut fleet = Fleet::default();
/// fleet.put_worker(WorkerView::new("w1", "surco", "rack-1", capacity));
/// let worker = Name::from("w1");
/// assert!(fleet.add_task(&worker, TaskView::new("j1", "entel", "study", need, Millis(0))));
/// assert_eq!(fleet.allocated_to(&Name::from("entel")), need);
/// assert!(fleet.remove_task(&Name::from("j1")).is_some());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    workers: SlotMap<WorkerKey, WorkerView>,
    rows: SecondaryMap<WorkerKey, WorkerRow>,
    by_name: HashMap<Name, WorkerKey>,
    by_job: HashMap<Name, WorkerKey>,
    /// Resources allocated to the tasks of each customer.
    allocations: HashMap<Name, Resources>,
    /// Locations of the tasks of each customer and class.
    location_counts: HashMap<(Name, Name), LocationCounts>,
    services: Interner,
    /// Names of racks and failure domains.
    locations: Interner,
    /// Sum of all allowances.
    total: Resources,
    /// Distinct allowances, each with its number of workers.
    allowances: Vec<(Resources, usize)>,
    /// Number of changes so far, which is the version of the row that changed last.
    version: u64,
    awaiting_workers: bool,
}

impl Fleet {
    /// Sets whether more workers are expected to announce themselves.
    ///
    /// A planner that has just taken over knows no workers yet. Without this flag the planner would
    /// reject every job as impossible during its first second.
    pub const fn set_awaiting_workers(&mut self, awaiting_workers: bool) {
        self.awaiting_workers = awaiting_workers;
    }

    /// Returns whether more workers are expected. If so, no job is rejected as too large.
    pub const fn awaiting_workers(&self) -> bool {
        self.awaiting_workers
    }

    /// Adds a worker. A worker of the same name is replaced, including its tasks.
    pub fn put_worker(&mut self, mut view: WorkerView) -> WorkerKey {
        self.remove_worker(&view.name.clone());
        let tasks = std::mem::take(&mut view.tasks);
        let service = view.service.as_ref().map_or(NO_SERVICE, |name| self.services.intern(name));
        let rack = self.locations.intern(&view.rack);
        let domain = self.locations.intern(&view.domain);
        self.total = amounts::plus(&self.total, &view.allowance());
        self.add_allowance(view.allowance());
        self.version += 1;
        let mut row = WorkerRow::new(&view, service, rack, domain);
        row.version = self.version;
        let name = view.name.clone();
        let key = self.workers.insert(view);
        self.rows.insert(key, row);
        self.by_name.insert(name.clone(), key);
        for task in tasks {
            self.add_task(&name, task);
        }
        key
    }

    /// Removes a worker and its tasks, and returns them. Jobs that fit on no other worker become
    /// impossible. Returns `None` if the worker is unknown.
    pub fn remove_worker(&mut self, worker: &Name) -> Option<WorkerView> {
        let key = *self.by_name.get(worker)?;
        let view = self.workers[key].clone();
        for task in &view.tasks {
            self.remove_task(&task.job);
        }
        self.total = amounts::minus(&self.total, &view.allowance());
        self.remove_allowance(&view.allowance());
        self.by_name.remove(worker);
        self.workers.remove(key);
        self.rows.remove(key);
        Some(view)
    }

    /// Adds a task to a worker. Returns false if the worker is unknown or the job already runs.
    pub fn add_task(&mut self, worker: &Name, task: TaskView) -> bool {
        let Some(&key) = self.by_name.get(worker) else { return false };
        if self.by_job.contains_key(&task.job) {
            return false;
        }
        let allocated = task.allocated();
        let (rack, domain) = (self.rows[key].rack, self.rows[key].domain);
        let allocation = self.allocations.entry(task.customer.clone()).or_insert(amounts::NONE);
        *allocation = amounts::plus(allocation, &allocated);
        let counts =
            self.location_counts.entry((task.customer.clone(), task.class.clone())).or_default();
        counts.add(rack, domain);
        self.by_job.insert(task.job.clone(), key);
        self.workers[key].tasks.push(task);
        self.refresh_row(key);
        true
    }

    /// Removes and returns the task of `job`, whose end the agent has reported. Returns `None` if
    /// the job does not run.
    pub fn remove_task(&mut self, job: &Name) -> Option<TaskView> {
        let key = self.by_job.remove(job)?;
        let tasks = &mut self.workers[key].tasks;
        let index = tasks.iter().position(|task| task.job == *job)?;
        let task = tasks.swap_remove(index);
        self.refresh_row(key);
        let (rack, domain) = (self.rows[key].rack, self.rows[key].domain);
        self.release_allocation(&task.customer, &task.allocated());
        let counts_key = (task.customer.clone(), task.class.clone());
        if let Some(counts) = self.location_counts.get_mut(&counts_key) {
            counts.remove(rack, domain);
            if counts.is_empty() {
                self.location_counts.remove(&counts_key);
            }
        }
        Some(task)
    }

    /// Replaces the task of `job` with the result of `change`. Returns false if the job does not
    /// run.
    pub fn update_task(&mut self, job: &Name, change: impl FnOnce(TaskView) -> TaskView) -> bool {
        let Some(&key) = self.by_job.get(job) else { return false };
        let Some(task) = self.workers[key].tasks.iter_mut().find(|task| task.job == *job) else {
            return false;
        };
        let before = task.allocated();
        *task = change(task.clone());
        let (after, customer) = (task.allocated(), task.customer.clone());
        self.release_allocation(&customer, &before);
        let allocation = self.allocations.entry(customer).or_insert(amounts::NONE);
        *allocation = amounts::plus(allocation, &after);
        self.refresh_row(key);
        true
    }

    /// Sets whether a worker accepts new jobs. Returns false if the worker is unknown.
    pub fn set_state(&mut self, worker: &Name, state: WorkerState) -> bool {
        self.update_worker(worker, |view| view.state = state)
    }

    /// Sets the resources that the agent's ledger has reserved, see [`WorkerView::reserved`].
    /// Returns false if the worker is unknown.
    pub fn set_reserved(&mut self, worker: &Name, reserved: Resources) -> bool {
        self.update_worker(worker, |view| view.reserved = reserved)
    }

    /// Sets the busy share of the slots of a worker's minion, in thousandths, and its recent p99.
    /// Returns false if the worker is unknown.
    pub fn set_load(&mut self, worker: &Name, load_permille: u32, p99_us: u64) -> bool {
        self.update_worker(worker, |view| {
            view.load_permille = load_permille;
            view.p99_us = p99_us;
        })
    }

    /// Returns the worker named `worker`, in any state.
    pub fn worker(&self, worker: &Name) -> Option<&WorkerView> {
        self.by_name.get(worker).map(|key| &self.workers[*key])
    }

    /// Returns the worker on which `job` is started, runs or is being stopped.
    pub fn worker_of(&self, job: &Name) -> Option<&WorkerView> {
        self.by_job.get(job).map(|key| &self.workers[*key])
    }

    /// Returns all workers, including those that accept no jobs, in no particular order.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerView> {
        self.workers.values()
    }

    /// Returns the sum of [`TaskView::allocated`] over the tasks of `customer`.
    pub fn allocated_to(&self, customer: &Name) -> Resources {
        self.allocations.get(customer).copied().unwrap_or(amounts::NONE)
    }

    /// Returns the sum of [`WorkerView::allowance`] over all workers, including lost workers.
    pub const fn total(&self) -> &Resources {
        &self.total
    }

    pub(super) const fn rows(&self) -> &SecondaryMap<WorkerKey, WorkerRow> {
        &self.rows
    }

    pub(super) fn view(&self, key: WorkerKey) -> &WorkerView {
        &self.workers[key]
    }

    pub(super) fn key(&self, worker: &Name) -> Option<WorkerKey> {
        self.by_name.get(worker).copied()
    }

    pub(super) fn service_names(&self) -> &[Name] {
        self.services.names()
    }

    /// Returns the number of distinct racks and failure domains, which share one range of indices.
    pub(super) fn location_count(&self) -> usize {
        self.locations.names().len()
    }

    pub(super) fn location_counts(&self, customer: &Name, class: &Name) -> Option<&LocationCounts> {
        self.location_counts.get(&(customer.clone(), class.clone()))
    }

    /// Returns whether `need` would fit on some worker, in any state, if no tasks ran there.
    pub(super) fn could_ever_fit(&self, need: &Resources) -> bool {
        self.allowances.iter().any(|(known, _)| amounts::fits(need, known))
    }

    /// Returns the allowance with most memory among workers on which `need` would fit if no tasks
    /// ran there, or `None` if `need` fits on no worker.
    pub(super) fn largest_allowance_for(&self, need: &Resources) -> Option<Resources> {
        let candidates = self.allowances.iter().filter(|(known, _)| amounts::fits(need, known));
        candidates
            .map(|(known, _)| *known)
            .max_by_key(|allowance| (allowance.memory_mb, allowance.milli_cpus))
    }

    fn add_allowance(&mut self, allowance: Resources) {
        match self.allowances.iter_mut().find(|(known, _)| *known == allowance) {
            Some((_, count)) => *count += 1,
            None => self.allowances.push((allowance, 1)),
        }
    }

    fn remove_allowance(&mut self, allowance: &Resources) {
        let Some(index) = self.allowances.iter().position(|(known, _)| known == allowance) else {
            return;
        };
        self.allowances[index].1 -= 1;
        if self.allowances[index].1 == 0 {
            self.allowances.swap_remove(index);
        }
    }

    fn refresh_row(&mut self, key: WorkerKey) {
        self.version += 1;
        self.rows[key].refresh(&self.workers[key], self.version);
    }

    fn update_worker(&mut self, worker: &Name, change: impl FnOnce(&mut WorkerView)) -> bool {
        let Some(&key) = self.by_name.get(worker) else { return false };
        change(&mut self.workers[key]);
        self.refresh_row(key);
        true
    }

    fn release_allocation(&mut self, customer: &Name, allocated: &Resources) {
        let Some(allocation) = self.allocations.get_mut(customer) else { return };
        *allocation = amounts::minus(allocation, allocated);
        if *allocation == amounts::NONE {
            self.allocations.remove(customer);
        }
    }
}
