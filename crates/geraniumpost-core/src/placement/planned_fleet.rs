use std::collections::HashMap;

use geraniumpost_schema::{Name, Resources};

use super::location_counts::LocationCounts;
use super::reservations::Reservation;
use super::{Decision, Fleet, PlacementRequest, WorkerKey, amounts};

/// Free capacity and allocations as they will be after the decisions made so far by one call of
/// [`Placer::place`](super::Placer::place).
#[derive(Debug, Default)]
pub struct PlannedFleet {
    /// The workers that accept work.
    pub rows: Vec<PlannedWorker>,
    /// Capacity that workers with [`PlannedWorker::keeps_urgent_capacity`] keep free for urgent
    /// jobs.
    pub urgent_capacity: Resources,
    /// Resources of planned starts and of reservations, by customer.
    allocations: HashMap<Name, Resources>,
    /// Locations of the planned starts of each customer and class.
    location_counts: HashMap<(Name, Name), LocationCounts>,
    /// Interference slopes by class, each vector by service index.
    slopes: HashMap<Name, Vec<f64>>,
    /// Needs for which no worker has capacity. None of them fits within another.
    unfit_needs: Vec<Resources>,
}

/// A worker that accepts work, with the planned starts and reservations.
#[derive(Debug, Clone, Copy)]
pub struct PlannedWorker {
    pub key: WorkerKey,
    /// Resources that are free for batch work after planned starts and speed-ups.
    pub free: Resources,
    /// Index of the worker's service, or `NO_SERVICE`.
    pub service: u32,
    /// Index of the worker's rack in
    /// [`WeightedLocationCounts`](super::weighted_location_counts::WeightedLocationCounts).
    pub rack: u32,
    /// Index of the worker's failure domain, in the same range as racks.
    pub domain: u32,
    /// Busy share of the minion's slots, from 0 to 1.
    pub load: f64,
    /// Predicted p99 of the worker's service with planned starts, as a multiple of the target.
    pub forecast_p99: f64,
    /// Maximum number of further jobs to start on the worker; `u32::MAX` if there is no limit.
    pub remaining_job_starts: u32,
    /// Capacity that is reserved for one waiting job; 0 of each resource if there is none.
    pub reserved: Resources,
    /// Whether the worker keeps [`PlannedFleet::urgent_capacity`] free.
    pub keeps_urgent_capacity: bool,
}

impl PlannedWorker {
    /// Returns whether capacity is reserved for a waiting job.
    pub fn is_reserved(&self) -> bool {
        self.reserved != amounts::NONE
    }
}

impl PlannedFleet {
    /// Keeps `capacity` free for urgent jobs on up to `workers` workers, namely those with the
    /// smallest shortfall of processors.
    pub fn reserve_for_urgent(&mut self, workers: usize, capacity: Resources) {
        self.urgent_capacity = capacity;
        let available = self
            .rows
            .iter()
            .enumerate()
            .filter(|(_, row)| !row.is_reserved() && row.remaining_job_starts > 0);
        let mut shortfalls: Vec<(u64, usize)> = available
            .map(|(index, row)| (amounts::minus(&capacity, &row.free).milli_cpus, index))
            .collect();
        shortfalls.sort_unstable();
        for (_, index) in shortfalls.into_iter().take(workers) {
            self.rows[index].keeps_urgent_capacity = true;
        }
    }

    /// Subtracts the processors that tasks get back when they are sped up, so that they are not
    /// also assigned to a job that the same `place` call starts.
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

    /// Subtracts a job's resources from the row at `index`, and adds its interference `added_p99`
    /// to the forecast and its task to the customer's allocation and to the location counts.
    pub fn apply_start(
        &mut self,
        index: usize,
        request: &PlacementRequest,
        need: &Resources,
        added_p99: f64,
    ) {
        let row = &mut self.rows[index];
        row.free = amounts::minus(&row.free, need);
        row.forecast_p99 += added_p99;
        row.remaining_job_starts -= 1;
        let (rack, domain) = (row.rack, row.domain);
        self.add_allocation(&request.customer, need);
        let counts_key = (request.customer.clone(), request.class.clone());
        self.location_counts.entry(counts_key).or_default().add(rack, domain);
    }

    /// Reserves resources for one job, both on its worker and within its customer's quota.
    ///
    /// Without the reservation within the quota, smaller jobs of the same customer could use up the
    /// quota while tasks are being evicted. The evicted work would be lost without a benefit.
    pub fn reserve(&mut self, reservation: &Reservation) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.key == reservation.worker) {
            row.reserved = reservation.need;
        }
        self.add_allocation(&reservation.customer, &reservation.need);
    }

    /// Releases the resources of a reservation, on its worker and within its customer's quota.
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

    /// Returns the resources of a customer's tasks, planned starts and reservations.
    pub fn allocated_to(&self, customer: &Name, fleet: &Fleet) -> Resources {
        let planned = self.allocations.get(customer).copied().unwrap_or(amounts::NONE);
        amounts::plus(&fleet.allocated_to(customer), &planned)
    }

    /// Returns the planned starts of the request's customer and class, counted by location.
    pub fn location_counts(&self, request: &PlacementRequest) -> Option<&LocationCounts> {
        if self.location_counts.is_empty() {
            return None;
        }
        self.location_counts.get(&(request.customer.clone(), request.class.clone()))
    }

    /// Returns the interference slopes of a class by service index. They are computed on first use
    /// and cached for the rest of the `place` call.
    pub fn slopes(&mut self, class: &Name, compute: impl FnOnce() -> Vec<f64>) -> &[f64] {
        self.slopes.entry(class.clone()).or_insert_with(compute)
    }

    /// Returns whether no worker has capacity for `need` because no worker had capacity for a need
    /// that is no larger in any resource.
    pub fn is_known_unfit(&self, need: &Resources) -> bool {
        self.unfit_needs.iter().any(|smaller| amounts::fits(smaller, need))
    }

    /// Records that no worker has capacity for `need`. This stays true for the rest of the `place`
    /// call, in which capacity only shrinks.
    pub fn record_unfit_need(&mut self, need: &Resources) {
        self.unfit_needs.retain(|larger| !amounts::fits(need, larger));
        self.unfit_needs.push(*need);
    }
}
