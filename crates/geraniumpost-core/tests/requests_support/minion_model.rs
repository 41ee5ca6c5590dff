//! Deterministic discrete-event model of one minion with a queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use geraniumpost_core::requests::{FairQueue, QueueAction, QueueLimits, QueuedRequest};
use geraniumpost_core::{Micros, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::id;

pub const SLOTS: usize = 8;
pub const MEAN_US: u64 = 10_000;
/// Number of requests with the mean service time that all slots together can run per second.
pub const CAPACITY_PER_SECOND: f64 = SLOTS as f64 * 1e6 / MEAN_US as f64;

/// Requests of one customer, which arrive at random times regardless of the answers.
#[derive(Debug, Clone, Copy)]
pub struct Source {
    pub name: &'static str,
    pub per_second: f64,
    pub weight: u32,
    pub deadline_ms: u64,
    /// Time of the first arrival, which lets a customer start later than the others.
    pub first_arrival_us: u64,
    /// Mean service time of the requests.
    pub mean_us: u64,
    /// Whether each request takes exactly the mean time instead of a random one.
    pub fixed_time: bool,
}

impl Source {
    pub const fn new(name: &'static str, per_second: f64) -> Self {
        Self {
            name,
            per_second,
            weight: 1,
            deadline_ms: 2_000,
            first_arrival_us: 0,
            mean_us: MEAN_US,
            fixed_time: false,
        }
    }
}

/// How requests for the slots of the minion are queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discipline {
    Fair,
    /// First come, first served, with a bounded length, regardless of customers and deadlines.
    Fifo,
}

/// Results of the requests that one customer sent after the warm-up.
#[derive(Debug, Default)]
pub struct CustomerStats {
    pub latencies_us: Vec<u64>,
    pub waits_us: Vec<u64>,
    pub answered_in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub refused_after_us: Vec<u64>,
    pub slot_us: u64,
}

impl CustomerStats {
    /// Quantile `quantile`, from 0 to 1, of the latencies of the answers, in microseconds.
    pub fn latency_quantile_us(&self, quantile: f64) -> u64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * quantile) as usize;
        sorted.get(rank.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request of the source with this index arrives.
    Arrive(usize),
    /// The request with this sequence number ends; the second value is its service time in
    /// microseconds.
    Finish(u64, u64),
    Tick,
}

/// A request that waits or runs in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ModelRequest {
    source: usize,
    sequence: u64,
    arrived_us: u64,
    service_us: u64,
}

/// First-in, first-out queue of limited length.
#[derive(Debug, Default)]
struct Fifo {
    waiting: VecDeque<ModelRequest>,
    running: usize,
}

enum Queue {
    Fair(Box<FairQueue<ModelRequest>>),
    Fifo(Fifo),
}

struct Model<'a> {
    sources: &'a [Source],
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    requests: BTreeMap<u64, ModelRequest>,
    queue: Queue,
    queue_capacity: usize,
    stats: Vec<CustomerStats>,
    now_us: u64,
    warm_up_end_us: u64,
}

/// Runs requests of `sources` for `seconds` seconds after a warm-up of one second, and returns the
/// results by customer.
pub fn run(
    sources: &[Source],
    discipline: Discipline,
    queue_capacity: usize,
    seconds: u64,
    seed: u64,
) -> Vec<CustomerStats> {
    let queue = match discipline {
        Discipline::Fair => Queue::Fair(Box::new(FairQueue::new(
            QueueLimits::new().slots(SLOTS).queue(queue_capacity),
        ))),
        Discipline::Fifo => Queue::Fifo(Fifo::default()),
    };
    let mut model = Model {
        sources,
        rng: SmallRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        event_count: 0,
        requests: BTreeMap::new(),
        queue,
        queue_capacity,
        stats: sources.iter().map(|_| CustomerStats::default()).collect(),
        now_us: 0,
        warm_up_end_us: 1_000_000,
    };
    for (index, source) in sources.iter().enumerate() {
        model.schedule(source.first_arrival_us, Event::Arrive(index));
    }
    model.schedule(0, Event::Tick);
    model.run((seconds + 1) * 1_000_000);
    model.stats
}

impl Model<'_> {
    fn schedule(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn run(&mut self, end_us: u64) {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > end_us {
                return;
            }
            self.now_us = at_us;
            match event {
                Event::Arrive(source) => self.arrive(source),
                Event::Finish(sequence, service_us) => self.finish(sequence, service_us),
                Event::Tick => self.tick(),
            }
        }
    }

    fn draw_exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.rng.random();
        (-(1.0 - uniform).ln() * mean) as u64 + 1
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / 1000)
    }

    fn arrive(&mut self, index: usize) {
        let source = self.sources[index];
        let gap_us = self.draw_exponential(1e6 / source.per_second);
        let drawn_us = self.draw_exponential(source.mean_us as f64);
        let service_us = if source.fixed_time { source.mean_us } else { drawn_us };
        self.schedule(self.now_us + gap_us, Event::Arrive(index));
        let model_request = ModelRequest {
            source: index,
            sequence: self.event_count,
            arrived_us: self.now_us,
            service_us,
        };
        self.requests.insert(model_request.sequence, model_request);
        let now = self.now();
        let deadline = now.plus(source.deadline_ms);
        let actions = match &mut self.queue {
            Queue::Fair(queue) => {
                let request = QueuedRequest::new(
                    id(model_request.sequence),
                    source.name,
                    deadline,
                    model_request,
                );
                queue.offer(request.weight(source.weight), now)
            }
            Queue::Fifo(_) => return self.arrive_fifo(model_request),
        };
        self.apply(actions);
    }

    fn arrive_fifo(&mut self, model_request: ModelRequest) {
        let Queue::Fifo(fifo) = &mut self.queue else { return };
        if fifo.running < SLOTS {
            fifo.running += 1;
            self.schedule(
                self.now_us + model_request.service_us,
                Event::Finish(model_request.sequence, model_request.service_us),
            );
        } else if fifo.waiting.len() < self.queue_capacity {
            fifo.waiting.push_back(model_request);
        } else {
            self.record_refusal(model_request);
        }
    }

    fn finish(&mut self, sequence: u64, service_us: u64) {
        let Some(model_request) = self.requests.remove(&sequence) else { return };
        self.record_answer(model_request);
        let now = self.now();
        match &mut self.queue {
            Queue::Fair(queue) => {
                let actions = queue.finish(id(sequence), Micros(service_us), true, now);
                self.apply(actions);
            }
            Queue::Fifo(fifo) => match fifo.waiting.pop_front() {
                Some(next) => {
                    self.schedule(
                        self.now_us + next.service_us,
                        Event::Finish(next.sequence, next.service_us),
                    );
                }
                None => fifo.running -= 1,
            },
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        if let Queue::Fair(queue) = &mut self.queue {
            let actions = queue.tick(now);
            self.apply(actions);
        }
        self.schedule(self.now_us + 10_000, Event::Tick);
    }

    fn apply(&mut self, actions: Vec<QueueAction<ModelRequest>>) {
        for action in actions {
            match action {
                QueueAction::Run(request) => {
                    let model_request = request.into_payload();
                    self.schedule(
                        self.now_us + model_request.service_us,
                        Event::Finish(model_request.sequence, model_request.service_us),
                    );
                }
                QueueAction::Refuse { request, retry_after_ms, .. } => {
                    assert!(retry_after_ms > 0, "a refusal names a retry delay");
                    let model_request = request.into_payload();
                    self.requests.remove(&model_request.sequence);
                    self.record_refusal(model_request);
                }
            }
        }
    }

    fn record_answer(&mut self, model_request: ModelRequest) {
        if model_request.arrived_us < self.warm_up_end_us {
            return;
        }
        let latency_us = self.now_us - model_request.arrived_us;
        let in_time = latency_us <= self.sources[model_request.source].deadline_ms * 1000;
        let stats = &mut self.stats[model_request.source];
        stats.latencies_us.push(latency_us);
        stats.waits_us.push(latency_us.saturating_sub(model_request.service_us));
        stats.answered_in_time += u64::from(in_time);
        stats.late += u64::from(!in_time);
        stats.slot_us += model_request.service_us;
    }

    fn record_refusal(&mut self, model_request: ModelRequest) {
        if model_request.arrived_us < self.warm_up_end_us {
            return;
        }
        let stats = &mut self.stats[model_request.source];
        stats.refused += 1;
        stats.refused_after_us.push(self.now_us - model_request.arrived_us);
    }
}
