//! A deterministic discrete-event model of one minion behind a queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use geraniumpost_core::requests::{FairQueue, QueueAction, QueueLimits, QueuedRequest};
use geraniumpost_core::{Micros, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::id;

pub const SLOTS: usize = 8;
pub const MEAN_US: u64 = 10_000;
/// Requests a second that the slots can answer.
pub const CAPACITY: f64 = SLOTS as f64 * 1e6 / MEAN_US as f64;

/// One customer's open-loop arrivals.
#[derive(Debug, Clone, Copy)]
pub struct Source {
    pub name: &'static str,
    pub per_second: f64,
    pub weight: u32,
    pub deadline_ms: u64,
    /// First arrival, so that a customer can wake later than the others.
    pub from_us: u64,
    /// Mean service time of its requests.
    pub mean_us: u64,
    /// Whether each request takes just the mean, instead of a time drawn around it.
    pub even: bool,
}

impl Source {
    pub const fn new(name: &'static str, per_second: f64) -> Self {
        Self {
            name,
            per_second,
            weight: 1,
            deadline_ms: 2_000,
            from_us: 0,
            mean_us: MEAN_US,
            even: false,
        }
    }
}

/// Which queue stands before the minion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discipline {
    Fair,
    /// First come, first served, bounded, without regard to customers or deadlines.
    Fifo,
}

/// What one customer saw.
#[derive(Debug, Default)]
pub struct Seen {
    pub latencies_us: Vec<u64>,
    pub waits_us: Vec<u64>,
    pub answered_in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub refused_after_us: Vec<u64>,
    pub slot_us: u64,
}

impl Seen {
    /// Latency of the answers in microseconds at `quantile`.
    pub fn latency(&self, quantile: f64) -> u64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * quantile) as usize;
        sorted.get(rank.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finish(u64, u64),
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Job {
    source: usize,
    sequence: u64,
    arrived_us: u64,
    took_us: u64,
}

/// A naive queue: nothing but a bound.
#[derive(Debug, Default)]
struct Fifo {
    waiting: VecDeque<Job>,
    running: usize,
}

enum Queue {
    Fair(Box<FairQueue<Job>>),
    Fifo(Fifo),
}

struct Model<'a> {
    sources: &'a [Source],
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    jobs: BTreeMap<u64, Job>,
    queue: Queue,
    bound: usize,
    seen: Vec<Seen>,
    now_us: u64,
    warm_us: u64,
}

/// Runs `sources` for `seconds` after a second of warming up and returns what each customer saw.
pub fn run(
    sources: &[Source],
    discipline: Discipline,
    bound: usize,
    seconds: u64,
    seed: u64,
) -> Vec<Seen> {
    let queue = match discipline {
        Discipline::Fair => {
            Queue::Fair(Box::new(FairQueue::new(QueueLimits::new().slots(SLOTS).queue(bound))))
        }
        Discipline::Fifo => Queue::Fifo(Fifo::default()),
    };
    let mut model = Model {
        sources,
        rng: SmallRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        order: 0,
        jobs: BTreeMap::new(),
        queue,
        bound,
        seen: sources.iter().map(|_| Seen::default()).collect(),
        now_us: 0,
        warm_us: 1_000_000,
    };
    for (index, source) in sources.iter().enumerate() {
        model.push(source.from_us, Event::Arrive(index));
    }
    model.push(0, Event::Tick);
    model.run((seconds + 1) * 1_000_000);
    model.seen
}

impl Model<'_> {
    fn push(&mut self, at_us: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at_us, self.order, event)));
    }

    fn run(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > until_us {
                return;
            }
            self.now_us = at_us;
            match event {
                Event::Arrive(source) => self.arrive(source),
                Event::Finish(sequence, took_us) => self.finish(sequence, took_us),
                Event::Tick => self.tick(),
            }
        }
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.rng.random();
        (-(1.0 - uniform).ln() * mean) as u64 + 1
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / 1000)
    }

    fn arrive(&mut self, index: usize) {
        let source = self.sources[index];
        let gap = self.exponential(1e6 / source.per_second);
        let drawn_us = self.exponential(source.mean_us as f64);
        let took_us = if source.even { source.mean_us } else { drawn_us };
        self.push(self.now_us + gap, Event::Arrive(index));
        let job = Job { source: index, sequence: self.order, arrived_us: self.now_us, took_us };
        self.jobs.insert(job.sequence, job);
        let now = self.now();
        let deadline = now.plus(source.deadline_ms);
        let actions = match &mut self.queue {
            Queue::Fair(queue) => {
                let waiting = QueuedRequest::new(id(job.sequence), source.name, deadline, job);
                queue.offer(waiting.weight(source.weight), now)
            }
            Queue::Fifo(_) => return self.arrive_fifo(job),
        };
        self.act(actions);
    }

    fn arrive_fifo(&mut self, job: Job) {
        let Queue::Fifo(fifo) = &mut self.queue else { return };
        if fifo.running < SLOTS {
            fifo.running += 1;
            self.push(self.now_us + job.took_us, Event::Finish(job.sequence, job.took_us));
        } else if fifo.waiting.len() < self.bound {
            fifo.waiting.push_back(job);
        } else {
            self.refused(job);
        }
    }

    fn finish(&mut self, sequence: u64, took_us: u64) {
        let Some(job) = self.jobs.remove(&sequence) else { return };
        self.answered(job);
        let now = self.now();
        match &mut self.queue {
            Queue::Fair(queue) => {
                let actions = queue.finish(id(sequence), Micros(took_us), true, now);
                self.act(actions);
            }
            Queue::Fifo(fifo) => match fifo.waiting.pop_front() {
                Some(next) => {
                    self.push(
                        self.now_us + next.took_us,
                        Event::Finish(next.sequence, next.took_us),
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
            self.act(actions);
        }
        self.push(self.now_us + 10_000, Event::Tick);
    }

    fn act(&mut self, actions: Vec<QueueAction<Job>>) {
        for action in actions {
            match action {
                QueueAction::Run(waiting) => {
                    let job = waiting.into_payload();
                    self.push(self.now_us + job.took_us, Event::Finish(job.sequence, job.took_us));
                }
                QueueAction::Refuse { request: waiting, retry_after_ms, .. } => {
                    assert!(retry_after_ms > 0, "a refusal names the time to come back");
                    let job = waiting.into_payload();
                    self.jobs.remove(&job.sequence);
                    self.refused(job);
                }
            }
        }
    }

    fn answered(&mut self, job: Job) {
        if job.arrived_us < self.warm_us {
            return;
        }
        let latency = self.now_us - job.arrived_us;
        let in_time = latency <= self.sources[job.source].deadline_ms * 1000;
        let seen = &mut self.seen[job.source];
        seen.latencies_us.push(latency);
        seen.waits_us.push(latency.saturating_sub(job.took_us));
        seen.answered_in_time += u64::from(in_time);
        seen.late += u64::from(!in_time);
        seen.slot_us += job.took_us;
    }

    fn refused(&mut self, job: Job) {
        if job.arrived_us < self.warm_us {
            return;
        }
        let seen = &mut self.seen[job.source];
        seen.refused += 1;
        seen.refused_after_us.push(self.now_us - job.arrived_us);
    }
}
