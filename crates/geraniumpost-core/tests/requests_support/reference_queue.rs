//! Reference implementation of `FairQueue`, which is slow and simple: it searches all requests and
//! customers for each decision and keeps no index. It omits the slots reserved for short requests.

use geraniumpost_core::requests::Refusal;

/// Action on a request, identified by its sequence number. A refusal has a reason and a retry delay
/// in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    Run(u64),
    Refuse(u64, Refusal, u64),
}

#[derive(Debug, Clone, Copy, Default)]
struct ServiceTimes {
    mean_us: u64,
    deviation_us: u64,
}

#[derive(Debug, Clone, Copy)]
struct Customer {
    id: usize,
    weight: u64,
    virtual_time: u64,
    service_times: ServiceTimes,
    used_us: u64,
    busy_milli_slots: u64,
    last_request_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    sequence: u64,
    customer: usize,
    deadline_ms: u64,
}

#[derive(Debug, Default)]
pub struct ReferenceQueue {
    slots: usize,
    queue_capacity: usize,
    customers: Vec<Customer>,
    waiting: Vec<QueuedRequest>,
    running: Vec<(u64, usize, u64)>,
    virtual_time: u64,
    max_virtual_time: u64,
    service_times: ServiceTimes,
    measured_at_ms: u64,
    now_ms: u64,
}

impl ServiceTimes {
    fn record(&mut self, sample_us: u64) {
        if self.mean_us == 0 {
            self.mean_us = sample_us.max(1);
            return;
        }
        let sample_us = sample_us.min(self.mean_us * 4);
        self.deviation_us = (self.deviation_us * 15 + sample_us.abs_diff(self.mean_us)) / 16;
        self.mean_us = ((self.mean_us * 15 + sample_us) / 16).max(1);
    }
}

impl Customer {
    fn virtual_cost(&self, us: u64) -> u64 {
        us.max(1) * 1024 / self.weight
    }

    fn misses_deadline(&self, deadline_ms: u64, now_ms: u64) -> bool {
        let needed_ms = (self.service_times.mean_us + self.service_times.deviation_us) / 1000;
        now_ms >= deadline_ms || now_ms + needed_ms > deadline_ms
    }
}

impl ReferenceQueue {
    pub fn new(slots: usize, queue_capacity: usize) -> Self {
        Self { slots, queue_capacity, ..Self::default() }
    }

    pub fn running_and_waiting_counts(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    pub fn running(&self) -> Vec<u64> {
        self.running.iter().map(|run| run.0).collect()
    }

    pub fn waiting(&self) -> Vec<u64> {
        self.waiting.iter().map(|request| request.sequence).collect()
    }

    pub fn offer(
        &mut self,
        sequence: u64,
        customer_id: usize,
        weight: u64,
        deadline_ms: u64,
        now_ms: u64,
    ) -> Vec<Decision> {
        if now_ms >= deadline_ms {
            return vec![Decision::Refuse(sequence, Refusal::Deadline, 1)];
        }
        self.now_ms = now_ms;
        let customer = self.find_or_add_customer(customer_id, weight);
        self.customers[customer].last_request_ms = now_ms;
        let request = QueuedRequest { sequence, customer, deadline_ms };
        if self.queued(customer) == 0 && self.may_start(customer) {
            self.activate(customer);
            return vec![self.start(request)];
        }
        let wait_us = self.expected_wait_us(customer);
        if self.customers[customer].misses_deadline(deadline_ms, now_ms + wait_us / 1000) {
            return vec![refuse(sequence, Refusal::Deadline, wait_us)];
        }
        let mut decisions = Vec::new();
        if self.waiting.len() >= self.queue_capacity {
            let Some(victim) = self.displaced_by(customer) else {
                return vec![refuse(sequence, Refusal::Overloaded, self.queue_drain_us())];
            };
            self.waiting.retain(|request| request.sequence != victim);
            decisions.push(refuse(victim, Refusal::Displaced, wait_us));
        }
        if self.queued(customer) == 0 {
            self.activate(customer);
        }
        self.waiting.push(request);
        decisions
    }

    pub fn finish(
        &mut self,
        sequence: u64,
        service_us: u64,
        success: bool,
        now_ms: u64,
    ) -> Vec<Decision> {
        let Some(index) = self.running.iter().position(|run| run.0 == sequence) else {
            return Vec::new();
        };
        let (_, customer, charged) = self.running.remove(index);
        let state = &mut self.customers[customer];
        state.virtual_time =
            state.virtual_time.saturating_sub(charged) + state.virtual_cost(service_us);
        state.used_us += service_us;
        self.max_virtual_time = self.max_virtual_time.max(state.virtual_time);
        if success {
            state.service_times.record(service_us);
            self.service_times.record(service_us);
        }
        let decisions = self.dispatch(now_ms);
        if self.running.is_empty() && self.waiting.is_empty() {
            self.virtual_time = self.max_virtual_time;
        }
        decisions
    }

    pub fn cancel(&mut self, sequence: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|request| request.sequence != sequence);
        self.waiting.len() < before
    }

    /// Refuses waiting requests that can no longer meet their deadlines, in the order of their
    /// customers.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Decision> {
        let wait_us = self.queue_drain_us();
        let mut decisions = Vec::new();
        for customer in 0..self.customers.len() {
            let misses_its_deadline = |request: &QueuedRequest| {
                request.customer == customer
                    && self.customers[customer].misses_deadline(request.deadline_ms, now_ms)
            };
            let (removed, kept) =
                self.waiting.iter().partition(|request| misses_its_deadline(request));
            self.waiting = kept;
            let removed: Vec<QueuedRequest> = removed;
            decisions.extend(
                removed.iter().map(|request| refuse(request.sequence, Refusal::Deadline, wait_us)),
            );
        }
        self.measure_slot_use(now_ms);
        decisions.extend(self.dispatch(now_ms));
        decisions
    }

    /// Updates the smoothed use of slots of each customer, at intervals of at least 200 ms.
    fn measure_slot_use(&mut self, now_ms: u64) {
        let window_ms = now_ms - self.measured_at_ms;
        if window_ms < 200 {
            return;
        }
        self.measured_at_ms = now_ms;
        for state in &mut self.customers {
            state.busy_milli_slots = (state.busy_milli_slots * 3 + state.used_us / window_ms) / 4;
            state.used_us = 0;
        }
    }

    fn find_or_add_customer(&mut self, id: usize, weight: u64) -> usize {
        let known = self.customers.iter().position(|other| other.id == id);
        known.unwrap_or_else(|| {
            let service_times = self.service_times;
            let (virtual_time, used_us, busy_milli_slots, last_request_ms) = (0, 0, 0, 0);
            self.customers.push(Customer {
                id,
                weight,
                virtual_time,
                service_times,
                used_us,
                busy_milli_slots,
                last_request_ms,
            });
            self.customers.len() - 1
        })
    }

    fn activate(&mut self, customer: usize) {
        let max_us = 4 * self.slots as u64 * self.service_times.mean_us;
        let state = &mut self.customers[customer];
        let recent_us = 8 * state.busy_milli_slots * self.service_times.mean_us / 1000;
        let virtual_time =
            self.virtual_time.saturating_sub(state.virtual_cost(recent_us.min(max_us)));
        state.virtual_time = state.virtual_time.max(virtual_time);
    }

    fn start(&mut self, request: QueuedRequest) -> Decision {
        let state = &mut self.customers[request.customer];
        self.virtual_time = self.virtual_time.max(state.virtual_time);
        let charged = state.virtual_cost(state.service_times.mean_us);
        state.virtual_time += charged;
        self.max_virtual_time = self.max_virtual_time.max(state.virtual_time);
        self.running.push((request.sequence, request.customer, charged));
        Decision::Run(request.sequence)
    }

    fn dispatch(&mut self, now_ms: u64) -> Vec<Decision> {
        self.now_ms = now_ms;
        let mut decisions = Vec::new();
        loop {
            let by_virtual_time = |request: &&QueuedRequest| {
                (self.customers[request.customer].virtual_time, request.customer)
            };
            let candidates = self.waiting.iter().filter(|request| self.may_start(request.customer));
            let Some(first) = candidates.min_by_key(by_virtual_time).copied() else {
                return decisions;
            };
            self.waiting.retain(|request| request.sequence != first.sequence);
            if self.customers[first.customer].misses_deadline(first.deadline_ms, now_ms) {
                decisions.push(refuse(first.sequence, Refusal::Deadline, self.queue_drain_us()));
            } else {
                decisions.push(self.start(first));
            }
        }
    }

    /// Whether a slot is free that the customer may use: the last free one only if the customer is
    /// below its share.
    fn may_start(&self, customer: usize) -> bool {
        let free_slots = self.slots - self.running.len().min(self.slots);
        if free_slots != 1 || self.slots < 4 {
            return free_slots > 0;
        }
        let state = self.customers[customer];
        let active =
            self.customers.iter().filter(|other| self.now_ms - other.last_request_ms <= 1_000);
        let weights: u64 = active.map(|other| other.weight).sum();
        let share = self.slots as u64 * state.weight;
        let running = self.running.iter().filter(|run| run.1 == customer).count() as u64;
        running * weights < share || state.busy_milli_slots * weights < share * 1000
    }

    fn queued(&self, customer: usize) -> u64 {
        self.waiting.iter().filter(|request| request.customer == customer).count() as u64
    }

    fn weighted_request_count(&self, customer: usize, additional: u64) -> u64 {
        let running = self.running.iter().filter(|run| run.1 == customer).count() as u64;
        (self.queued(customer) + running + additional) * 1024 / self.customers[customer].weight
    }

    fn displaced_by(&self, newcomer: usize) -> Option<u64> {
        let furthest_above = (0..self.customers.len())
            .filter(|&customer| self.queued(customer) > 0)
            .max_by_key(|&customer| (self.weighted_request_count(customer, 0), customer))?;
        if self.weighted_request_count(furthest_above, 0)
            <= self.weighted_request_count(newcomer, 1)
        {
            return None;
        }
        self.waiting
            .iter()
            .rfind(|request| request.customer == furthest_above)
            .map(|request| request.sequence)
    }

    fn expected_wait_us(&self, customer: usize) -> u64 {
        let is_counted = |&other: &usize| other == customer || self.queued(other) > 0;
        let all = (0..self.customers.len()).filter(is_counted);
        let weights: u64 = all.map(|other| self.customers[other].weight).sum();
        let state = self.customers[customer];
        let work_ahead_us = (self.queued(customer) + 1) * state.service_times.mean_us;
        (work_ahead_us * weights / state.weight / self.slots as u64).min(self.queue_drain_us())
    }

    fn queue_drain_us(&self) -> u64 {
        (self.waiting.len() as u64 + 1) * self.service_times.mean_us / self.slots as u64
    }
}

fn refuse(sequence: u64, refusal: Refusal, wait_us: u64) -> Decision {
    Decision::Refuse(sequence, refusal, wait_us.div_ceil(1000).max(1))
}
