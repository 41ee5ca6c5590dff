use std::collections::HashMap;

use geraniumpost_schema::{Name, Resources};

use super::reservations::Reservation;
use super::task_group::TaskGroup;
use super::{Decision, Fleet, PlacementRequest, WorkerKey, amounts};

/// The fleet's free capacity and allocations as they are once the decisions of this call are
/// carried out.
#[derive(Debug, Default)]
pub struct PlannedFleet {
    /// The workers that accept work.
    pub rows: Vec<PlannedWorker>,
    /// Capacity that each worker with [`PlannedWorker::keeps_urgent_capacity`] keeps free.
    pub urgent_capacity: Resources,
    allocations: HashMap<Name, Resources>,
    groups: HashMap<(Name, Name), TaskGroup>,
    slopes: HashMap<Name, Vec<f64>>,
    unfit_needs: Vec<Resources>,
}

/// A worker of a [`PlannedFleet`].
#[derive(Debug, Clone, Copy)]
pub struct PlannedWorker {
    pub key: WorkerKey,
    /// Resources that are free for batch work.
    pub free: Resources,
    /// Number of its service.
    pub service: u32,
    /// Number of its rack.
    pub rack: u32,
    /// Number of its failure domain.
    pub domain: u32,
    /// Busy share of the minion's slots.
    pub load: f64,
    /// Predicted p99 of its service, in targets.
    pub forecast: f64,
    /// Number of jobs that it may still be given.
    pub job_limit: u32,
    /// Capacity that is reserved for one job.
    pub reserved: Resources,
    /// Whether it keeps capacity free for urgent jobs.
    pub keeps_urgent_capacity: bool,
}

impl PlannedWorker {
    /// Returns whether capacity is reserved for a job.
    pub fn is_reserved(&self) -> bool {
        self.reserved != amounts::NONE
    }
}

impl PlannedFleet {
    /// Keeps capacity for urgent jobs free on the workers that lack least of it.
    pub fn reserve_for_urgent(&mut self, workers: usize, capacity: Resources) {
        self.urgent_capacity = capacity;
        let available =
            self.rows.iter().enumerate().filter(|(_, row)| !row.is_reserved() && row.job_limit > 0);
        let mut shortfalls: Vec<(u64, usize)> = available
            .map(|(index, row)| (amounts::minus(&capacity, &row.free).milli_cpus, index))
            .collect();
        shortfalls.sort_unstable();
        for (_, index) in shortfalls.into_iter().take(workers) {
            self.rows[index].keeps_urgent_capacity = true;
        }
    }

    /// Subtracts the processors that tasks take back when they are sped up. Otherwise a start in
    /// the same call could be given them as well.
    pub fn apply_speed_ups(&mut self, decisions: &[Decision], fleet: &Fleet) {
        for decision in decisions {
            let Decision::Throttle { job, worker, permille, .. } = decision else { continue };
            let Some(key) = fleet.key(worker) else { continue };
            let task = fleet.view(key).tasks.iter().find(|task| task.job == *job);
            let Some(row) = self.rows.iter_mut().find(|row| row.key == key) else { continue };
            let added_milli_cpus = task.map_or(0, |task| task.additional_milli_cpus(*permille));
            row.free.milli_cpus = row.free.milli_cpus.saturating_sub(added_milli_cpus);
        }
    }

    /// Applies a job's start.
    pub fn start(
        &mut self,
        index: usize,
        request: &PlacementRequest,
        need: &Resources,
        added: f64,
    ) {
        let row = &mut self.rows[index];
        row.free = amounts::minus(&row.free, need);
        row.forecast += added;
        row.job_limit -= 1;
        let (rack, domain) = (row.rack, row.domain);
        self.add_allocation(&request.customer, need);
        let group_key = (request.customer.clone(), request.class.clone());
        self.groups.entry(group_key).or_default().add(rack, domain);
    }

    /// Reserves capacity for one job on a worker and within the quota of its customer.
    ///
    /// Without the reservation within the quota, smaller jobs of the same customer could use it up
    /// while tasks are being evicted, and those evictions would be in vain.
    pub fn reserve(&mut self, reservation: &Reservation) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.key == reservation.worker) {
            row.reserved = reservation.need;
        }
        self.add_allocation(&reservation.customer, &reservation.need);
    }

    /// Releases what is reserved for a job.
    pub fn release(&mut self, reservation: &Reservation) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.key == reservation.worker) {
            row.reserved = amounts::NONE;
        }
        if let Some(allocation) = self.allocations.get_mut(&reservation.customer) {
            *allocation = amounts::minus(allocation, &reservation.need);
        }
    }

    fn add_allocation(&mut self, customer: &Name, need: &Resources) {
        let allocation = self.allocations.entry(customer.clone()).or_insert(amounts::NONE);
        *allocation = amounts::plus(allocation, need);
    }

    /// Returns the resources allocated to a customer, including the planned ones.
    pub fn allocated_to(&self, customer: &Name, fleet: &Fleet) -> Resources {
        let planned = self.allocations.get(customer).copied().unwrap_or(amounts::NONE);
        amounts::plus(&fleet.allocated_to(customer), &planned)
    }

    /// Returns where this call starts tasks of the same customer and class.
    pub fn group(&self, request: &PlacementRequest) -> Option<&TaskGroup> {
        if self.groups.is_empty() {
            return None;
        }
        self.groups.get(&(request.customer.clone(), request.class.clone()))
    }

    /// Returns the slopes of a class by service number, computing them once per call.
    pub fn slopes(&mut self, class: &Name, compute: impl FnOnce() -> Vec<f64>) -> &[f64] {
        self.slopes.entry(class.clone()).or_insert_with(compute)
    }

    /// Returns whether no worker has capacity for a need, as a smaller one already fitted nowhere.
    pub fn cannot_fit(&self, need: &Resources) -> bool {
        self.unfit_needs.iter().any(|smaller| amounts::fits(smaller, need))
    }

    /// Records that no worker has capacity for a need. Capacity only shrinks during a call.
    pub fn record_unfit(&mut self, need: &Resources) {
        self.unfit_needs.retain(|larger| !amounts::fits(need, larger));
        self.unfit_needs.push(*need);
    }
}
