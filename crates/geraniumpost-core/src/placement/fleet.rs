use std::collections::HashMap;

use geraniumpost_schema::{Name, Resources};
use slotmap::{SecondaryMap, SlotMap, new_key_type};

use super::group::Group;
use super::interner::Interner;
use super::row::{NO_SERVICE, Row};
use super::{TaskView, WorkerState, WorkerView, amounts};

new_key_type! {
    /// Key of a worker in a [`Fleet`].
    pub struct WorkerKey;
}

/// The workers of a region with their tasks, indexed for placement.
///
/// Its owner applies every start, end and report to it; [`super::Placer`] only reads it.
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
    rows: SecondaryMap<WorkerKey, Row>,
    by_name: HashMap<Name, WorkerKey>,
    by_job: HashMap<Name, WorkerKey>,
    holdings: HashMap<Name, Resources>,
    groups: HashMap<(Name, Name), Group>,
    services: Interner,
    places: Interner,
    total: Resources,
    shapes: Vec<(Resources, usize)>,
    version: u64,
    awaiting_workers: bool,
}

impl Fleet {
    /// Sets whether workers may still be about to announce themselves.
    ///
    /// A planner that has just taken over knows no worker yet. Without this every job would look
    /// impossible for a second, and customers would be told so.
    pub const fn set_awaiting_workers(&mut self, awaiting_workers: bool) {
        self.awaiting_workers = awaiting_workers;
    }

    /// Returns whether workers may still be about to announce themselves.
    pub const fn awaiting_workers(&self) -> bool {
        self.awaiting_workers
    }

    /// Adds a worker, or replaces the one of that name together with its tasks.
    pub fn put_worker(&mut self, mut view: WorkerView) -> WorkerKey {
        self.remove_worker(&view.name.clone());
        let tasks = std::mem::take(&mut view.tasks);
        let service = view.service.as_ref().map_or(NO_SERVICE, |name| self.services.intern(name));
        let rack = self.places.intern(&view.rack);
        let domain = self.places.intern(&view.domain);
        self.total = amounts::plus(&self.total, &view.allowance());
        self.add_shape(view.allowance());
        self.version += 1;
        let mut row = Row::new(&view, service, rack, domain);
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

    /// Removes a worker with its tasks; what only it could run becomes impossible.
    pub fn remove_worker(&mut self, worker: &Name) -> Option<WorkerView> {
        let key = *self.by_name.get(worker)?;
        let view = self.workers[key].clone();
        for task in &view.tasks {
            self.remove_task(&task.job);
        }
        self.total = amounts::minus(&self.total, &view.allowance());
        self.remove_shape(&view.allowance());
        self.by_name.remove(worker);
        self.workers.remove(key);
        self.rows.remove(key);
        Some(view)
    }

    /// Adds a task to a worker; false if the worker is unknown or the job already runs.
    pub fn add_task(&mut self, worker: &Name, task: TaskView) -> bool {
        let Some(&key) = self.by_name.get(worker) else { return false };
        if self.by_job.contains_key(&task.job) {
            return false;
        }
        let held = task.allocated();
        let (rack, domain) = (self.rows[key].rack, self.rows[key].domain);
        let holding = self.holdings.entry(task.customer.clone()).or_insert(amounts::NONE);
        *holding = amounts::plus(holding, &held);
        let group = self.groups.entry((task.customer.clone(), task.class.clone())).or_default();
        group.add(rack, domain);
        self.by_job.insert(task.job.clone(), key);
        self.workers[key].tasks.push(task);
        self.refresh(key);
        true
    }

    /// Removes a task after its agent's word that it ended.
    pub fn remove_task(&mut self, job: &Name) -> Option<TaskView> {
        let key = self.by_job.remove(job)?;
        let tasks = &mut self.workers[key].tasks;
        let at = tasks.iter().position(|task| task.job == *job)?;
        let task = tasks.swap_remove(at);
        self.refresh(key);
        let (rack, domain) = (self.rows[key].rack, self.rows[key].domain);
        self.release(&task.customer, &task.allocated());
        let of = (task.customer.clone(), task.class.clone());
        if let Some(group) = self.groups.get_mut(&of) {
            group.remove(rack, domain);
            if group.is_empty() {
                self.groups.remove(&of);
            }
        }
        Some(task)
    }

    /// Takes over a report on a running task; false if the job does not run.
    pub fn update_task(&mut self, job: &Name, change: impl FnOnce(TaskView) -> TaskView) -> bool {
        let Some(&key) = self.by_job.get(job) else { return false };
        let Some(task) = self.workers[key].tasks.iter_mut().find(|task| task.job == *job) else {
            return false;
        };
        let before = task.allocated();
        *task = change(task.clone());
        let (after, customer) = (task.allocated(), task.customer.clone());
        self.release(&customer, &before);
        let holding = self.holdings.entry(customer).or_insert(amounts::NONE);
        *holding = amounts::plus(holding, &after);
        self.refresh(key);
        true
    }

    /// Takes over a worker's state; false if the worker is unknown.
    pub fn set_state(&mut self, worker: &Name, state: WorkerState) -> bool {
        self.update_worker(worker, |view| view.state = state)
    }

    /// Takes over what the agent's ledger holds reserved; false if the worker is unknown.
    pub fn set_reserved(&mut self, worker: &Name, reserved: Resources) -> bool {
        self.update_worker(worker, |view| view.reserved = reserved)
    }

    /// Takes over the service's load and p99; false if the worker is unknown.
    pub fn set_load(&mut self, worker: &Name, load_permille: u32, p99_us: u64) -> bool {
        self.update_worker(worker, |view| {
            view.load_permille = load_permille;
            view.p99_us = p99_us;
        })
    }

    /// Returns a worker.
    pub fn worker(&self, worker: &Name) -> Option<&WorkerView> {
        self.by_name.get(worker).map(|key| &self.workers[*key])
    }

    /// Returns the worker that runs a job.
    pub fn worker_of(&self, job: &Name) -> Option<&WorkerView> {
        self.by_job.get(job).map(|key| &self.workers[*key])
    }

    /// Returns all workers.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerView> {
        self.workers.values()
    }

    /// Returns what a customer's tasks hold.
    pub fn allocated_to(&self, customer: &Name) -> Resources {
        self.holdings.get(customer).copied().unwrap_or(amounts::NONE)
    }

    /// Returns what batch work may hold on all workers together.
    pub const fn total(&self) -> &Resources {
        &self.total
    }

    pub(super) const fn rows(&self) -> &SecondaryMap<WorkerKey, Row> {
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

    /// Returns how many racks and domains there are.
    pub(super) fn places(&self) -> usize {
        self.places.names().len()
    }

    pub(super) fn group(&self, customer: &Name, class: &Name) -> Option<&Group> {
        self.groups.get(&(customer.clone(), class.clone()))
    }

    /// Returns whether some worker could hold a need if it were empty.
    pub(super) fn could_hold(&self, need: &Resources) -> bool {
        self.shapes.iter().any(|(shape, _)| amounts::fits(need, shape))
    }

    /// Returns the most that any worker could ever give to a task of a need, if one could.
    pub(super) fn largest_for(&self, need: &Resources) -> Option<Resources> {
        let holders = self.shapes.iter().filter(|(shape, _)| amounts::fits(need, shape));
        holders.map(|(shape, _)| *shape).max_by_key(|shape| (shape.memory_mb, shape.milli_cpus))
    }

    fn add_shape(&mut self, allowance: Resources) {
        match self.shapes.iter_mut().find(|(shape, _)| *shape == allowance) {
            Some((_, count)) => *count += 1,
            None => self.shapes.push((allowance, 1)),
        }
    }

    fn remove_shape(&mut self, allowance: &Resources) {
        let Some(at) = self.shapes.iter().position(|(shape, _)| shape == allowance) else { return };
        self.shapes[at].1 -= 1;
        if self.shapes[at].1 == 0 {
            self.shapes.swap_remove(at);
        }
    }

    fn refresh(&mut self, key: WorkerKey) {
        self.version += 1;
        self.rows[key].refresh(&self.workers[key], self.version);
    }

    fn update_worker(&mut self, worker: &Name, change: impl FnOnce(&mut WorkerView)) -> bool {
        let Some(&key) = self.by_name.get(worker) else { return false };
        change(&mut self.workers[key]);
        self.refresh(key);
        true
    }

    fn release(&mut self, customer: &Name, held: &Resources) {
        let Some(holding) = self.holdings.get_mut(customer) else { return };
        *holding = amounts::minus(holding, held);
        if *holding == amounts::NONE {
            self.holdings.remove(customer);
        }
    }
}
