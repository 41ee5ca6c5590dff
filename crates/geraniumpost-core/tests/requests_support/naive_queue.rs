//! A queue that scans everything for each decision, as a twin of `FairQueue`.

use geraniumpost_core::requests::Refusal;

/// What the twin decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decided {
    Run(u64),
    Refuse(u64, Refusal, u64),
}

#[derive(Debug, Clone, Copy, Default)]
struct Times {
    mean: u64,
    deviation: u64,
}

#[derive(Debug, Clone, Copy)]
struct Customer {
    number: usize,
    weight: u64,
    virtual_time: u64,
    times: Times,
    used_us: u64,
    busy_milli: u64,
    used_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    sequence: u64,
    customer: usize,
    deadline_ms: u64,
}

#[derive(Debug, Default)]
pub struct NaiveQueue {
    slots: usize,
    bound: usize,
    customers: Vec<Customer>,
    waiting: Vec<Waiting>,
    running: Vec<(u64, usize, u64)>,
    virtual_time: u64,
    latest: u64,
    times: Times,
    measured_ms: u64,
    now_ms: u64,
}

impl Times {
    fn record(&mut self, sample: u64) {
        if self.mean == 0 {
            self.mean = sample.max(1);
            return;
        }
        let sample = sample.min(self.mean * 4);
        self.deviation = (self.deviation * 15 + sample.abs_diff(self.mean)) / 16;
        self.mean = ((self.mean * 15 + sample) / 16).max(1);
    }
}

impl Customer {
    fn cost(&self, us: u64) -> u64 {
        us.max(1) * 1024 / self.weight
    }

    fn misses(&self, deadline_ms: u64, now_ms: u64) -> bool {
        let needed_ms = (self.times.mean + self.times.deviation) / 1000;
        now_ms >= deadline_ms || now_ms + needed_ms > deadline_ms
    }
}

impl NaiveQueue {
    pub fn new(slots: usize, bound: usize) -> Self {
        Self { slots, bound, ..Self::default() }
    }

    pub fn sizes(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    pub fn running(&self) -> Vec<u64> {
        self.running.iter().map(|one| one.0).collect()
    }

    pub fn waiting(&self) -> Vec<u64> {
        self.waiting.iter().map(|one| one.sequence).collect()
    }

    pub fn offer(
        &mut self,
        sequence: u64,
        number: usize,
        weight: u64,
        deadline_ms: u64,
        now_ms: u64,
    ) -> Vec<Decided> {
        if now_ms >= deadline_ms {
            return vec![Decided::Refuse(sequence, Refusal::Deadline, 1)];
        }
        self.now_ms = now_ms;
        let customer = self.customer(number, weight);
        self.customers[customer].used_ms = now_ms;
        let request = Waiting { sequence, customer, deadline_ms };
        if self.queued(customer) == 0 && self.may_take(customer) {
            self.wake(customer);
            return vec![self.run(request)];
        }
        let wait_us = self.wait_us(customer);
        if self.customers[customer].misses(deadline_ms, now_ms + wait_us / 1000) {
            return vec![refuse(sequence, Refusal::Deadline, wait_us)];
        }
        let mut decided = Vec::new();
        if self.waiting.len() >= self.bound {
            let Some(victim) = self.displaced_by(customer) else {
                return vec![refuse(sequence, Refusal::Overloaded, self.drain_us())];
            };
            self.waiting.retain(|one| one.sequence != victim);
            decided.push(refuse(victim, Refusal::Displaced, wait_us));
        }
        if self.queued(customer) == 0 {
            self.wake(customer);
        }
        self.waiting.push(request);
        decided
    }

    pub fn finish(&mut self, sequence: u64, took: u64, success: bool, now_ms: u64) -> Vec<Decided> {
        let Some(at) = self.running.iter().position(|one| one.0 == sequence) else {
            return Vec::new();
        };
        let (_, customer, charged) = self.running.remove(at);
        let one = &mut self.customers[customer];
        one.virtual_time = one.virtual_time.saturating_sub(charged) + one.cost(took);
        one.used_us += took;
        self.latest = self.latest.max(one.virtual_time);
        if success {
            one.times.record(took);
            self.times.record(took);
        }
        let decided = self.fill(now_ms);
        if self.running.is_empty() && self.waiting.is_empty() {
            self.virtual_time = self.latest;
        }
        decided
    }

    pub fn cancel(&mut self, sequence: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|one| one.sequence != sequence);
        self.waiting.len() < before
    }

    /// Refuses what is late, customer by customer.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Decided> {
        let wait_us = self.drain_us();
        let mut decided = Vec::new();
        for customer in 0..self.customers.len() {
            let late = |one: &Waiting| {
                one.customer == customer && self.customers[customer].misses(one.deadline_ms, now_ms)
            };
            let (gone, kept) = self.waiting.iter().partition(|one| late(one));
            self.waiting = kept;
            let gone: Vec<Waiting> = gone;
            decided.extend(gone.iter().map(|g| refuse(g.sequence, Refusal::Deadline, wait_us)));
        }
        self.measure(now_ms);
        decided.extend(self.fill(now_ms));
        decided
    }

    /// Smooths the slots that each customer used, in windows of 200 ms or more.
    fn measure(&mut self, now_ms: u64) {
        let window_ms = now_ms - self.measured_ms;
        if window_ms < 200 {
            return;
        }
        self.measured_ms = now_ms;
        for one in &mut self.customers {
            one.busy_milli = (one.busy_milli * 3 + one.used_us / window_ms) / 4;
            one.used_us = 0;
        }
    }

    fn customer(&mut self, number: usize, weight: u64) -> usize {
        let known = self.customers.iter().position(|one| one.number == number);
        known.unwrap_or_else(|| {
            let times = self.times;
            let (virtual_time, used_us, busy_milli, used_ms) = (0, 0, 0, 0);
            self.customers.push(Customer {
                number,
                weight,
                virtual_time,
                times,
                used_us,
                busy_milli,
                used_ms,
            });
            self.customers.len() - 1
        })
    }

    fn wake(&mut self, customer: usize) {
        let most = 4 * self.slots as u64 * self.times.mean;
        let one = &mut self.customers[customer];
        let recent = 8 * one.busy_milli * self.times.mean / 1000;
        let present = self.virtual_time.saturating_sub(one.cost(recent.min(most)));
        one.virtual_time = one.virtual_time.max(present);
    }

    fn run(&mut self, request: Waiting) -> Decided {
        let one = &mut self.customers[request.customer];
        self.virtual_time = self.virtual_time.max(one.virtual_time);
        let charged = one.cost(one.times.mean);
        one.virtual_time += charged;
        self.latest = self.latest.max(one.virtual_time);
        self.running.push((request.sequence, request.customer, charged));
        Decided::Run(request.sequence)
    }

    fn fill(&mut self, now_ms: u64) -> Vec<Decided> {
        self.now_ms = now_ms;
        let mut decided = Vec::new();
        loop {
            let behind = |one: &&Waiting| (self.customers[one.customer].virtual_time, one.customer);
            let may = self.waiting.iter().filter(|one| self.may_take(one.customer));
            let Some(first) = may.min_by_key(behind).copied() else { return decided };
            self.waiting.retain(|one| one.sequence != first.sequence);
            if self.customers[first.customer].misses(first.deadline_ms, now_ms) {
                decided.push(refuse(first.sequence, Refusal::Deadline, self.drain_us()));
            } else {
                decided.push(self.run(first));
            }
        }
    }

    /// Whether a slot is free, and not the last one while the customer is over its share.
    fn may_take(&self, customer: usize) -> bool {
        let left = self.slots - self.running.len().min(self.slots);
        if left != 1 || self.slots < 4 {
            return left > 0;
        }
        let one = self.customers[customer];
        let active = self.customers.iter().filter(|one| self.now_ms - one.used_ms <= 1_000);
        let weights: u64 = active.map(|one| one.weight).sum();
        let share = self.slots as u64 * one.weight;
        let running = self.running.iter().filter(|run| run.1 == customer).count() as u64;
        running * weights < share || one.busy_milli * weights < share * 1000
    }

    fn queued(&self, customer: usize) -> u64 {
        self.waiting.iter().filter(|one| one.customer == customer).count() as u64
    }

    fn occupancy(&self, customer: usize, more: u64) -> u64 {
        let running = self.running.iter().filter(|one| one.1 == customer).count() as u64;
        (self.queued(customer) + running + more) * 1024 / self.customers[customer].weight
    }

    fn displaced_by(&self, comer: usize) -> Option<u64> {
        let most = (0..self.customers.len())
            .filter(|&customer| self.queued(customer) > 0)
            .max_by_key(|&customer| (self.occupancy(customer, 0), customer))?;
        if self.occupancy(most, 0) <= self.occupancy(comer, 1) {
            return None;
        }
        self.waiting.iter().rfind(|one| one.customer == most).map(|one| one.sequence)
    }

    fn wait_us(&self, customer: usize) -> u64 {
        let has_queue = |&other: &usize| other == customer || self.queued(other) > 0;
        let all = (0..self.customers.len()).filter(has_queue);
        let weights: u64 = all.map(|other| self.customers[other].weight).sum();
        let one = self.customers[customer];
        let ahead = (self.queued(customer) + 1) * one.times.mean;
        (ahead * weights / one.weight / self.slots as u64).min(self.drain_us())
    }

    fn drain_us(&self) -> u64 {
        (self.waiting.len() as u64 + 1) * self.times.mean / self.slots as u64
    }
}

fn refuse(sequence: u64, refusal: Refusal, wait_us: u64) -> Decided {
    Decided::Refuse(sequence, refusal, wait_us.div_ceil(1000).max(1))
}
