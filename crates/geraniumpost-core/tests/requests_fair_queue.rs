//! The fair queue decides like a twin that scans everything.

mod requests_support;

use geraniumpost_core::requests::{FairQueue, QueueAction, QueueLimits, QueuedRequest, Refusal};
use geraniumpost_core::{Micros, Millis};
use proptest::prelude::*;
use requests_support::id;
use requests_support::naive_queue::{Decided, NaiveQueue};

#[derive(Debug, Clone)]
enum Step {
    Offer {
        customer: usize,
        patience_ms: u64,
    },
    Finish {
        nth: usize,
        took_us: u64,
        success: bool,
    },
    Cancel {
        nth: usize,
    },
    Pass {
        ms: u64,
    },
    /// One customer sends three requests, and time goes on until all that runs has ended.
    Cycle {
        customer: usize,
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5usize, prop_oneof![0..80u64, 200..9_000u64])
            .prop_map(|(customer, patience_ms)| Step::Offer { customer, patience_ms }),
        4 => (0..8usize, 8_000..60_000u64, proptest::bool::weighted(0.9))
            .prop_map(|(nth, took_us, success)| Step::Finish { nth, took_us, success }),
        1 => (0..8usize).prop_map(|nth| Step::Cancel { nth }),
        6 => (0..3usize, 10..60u64).prop_map(|(customer, ms)| Step::Cycle { customer, ms }),
        1 => (0..20u64).prop_map(|ms| Step::Pass { ms }),
        1 => (100..1_200u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

fn decided(actions: Vec<QueueAction<()>>) -> Vec<Decided> {
    let one = |action| match action {
        QueueAction::Run(waiting) => Decided::Run(waiting.id().sequence),
        QueueAction::Refuse { request: waiting, refusal, retry_after_ms } => {
            Decided::Refuse(waiting.id().sequence, refusal, retry_after_ms)
        }
    };
    actions.into_iter().map(one).collect()
}

/// The queue and its twin, asked the same.
struct Both {
    queue: FairQueue<()>,
    twin: NaiveQueue,
    now: u64,
    sequence: u64,
}

impl Both {
    fn offer(&mut self, customer: usize, patience_ms: u64) -> [Vec<Decided>; 2] {
        self.sequence += 1;
        let (sequence, deadline) = (self.sequence, self.now + patience_ms);
        let weight = customer as u32 % 3 + 1;
        let waiting =
            QueuedRequest::new(id(sequence), format!("c{customer}"), Millis(deadline), ());
        let ours = self.queue.offer(waiting.weight(weight), Millis(self.now));
        let theirs = self.twin.offer(sequence, customer, u64::from(weight), deadline, self.now);
        [decided(ours), theirs]
    }

    fn finish(&mut self, sequence: u64, took_us: u64, success: bool) -> [Vec<Decided>; 2] {
        let ours = self.queue.finish(id(sequence), Micros(took_us), success, Millis(self.now));
        [decided(ours), self.twin.finish(sequence, took_us, success, self.now)]
    }

    fn pass(&mut self, ms: u64) -> [Vec<Decided>; 2] {
        self.now += ms;
        [decided(self.queue.tick(Millis(self.now))), self.twin.tick(self.now)]
    }

    fn cancel(&mut self, sequence: u64) -> [Vec<Decided>; 2] {
        let ours = self.queue.cancel(id(sequence)).is_some();
        assert_eq!(ours, self.twin.cancel(sequence));
        [Vec::new(), Vec::new()]
    }

    /// Takes a step and returns what both decided, one pair for each call.
    fn step(&mut self, step: &Step) -> Vec<[Vec<Decided>; 2]> {
        let (running, waiting) = (self.twin.running(), self.twin.waiting());
        let nth = |list: &[u64], nth: usize| list.get(nth % list.len().max(1)).copied();
        match *step {
            Step::Offer { customer, patience_ms } => vec![self.offer(customer, patience_ms)],
            Step::Finish { nth: n, took_us, success } => {
                nth(&running, n).map(|one| self.finish(one, took_us, success)).into_iter().collect()
            }
            Step::Cancel { nth: n } => {
                nth(&waiting, n).map(|one| self.cancel(one)).into_iter().collect()
            }
            Step::Pass { ms } => vec![self.pass(ms)],
            Step::Cycle { customer, ms } => {
                let mut pairs: Vec<_> = (0..3).map(|_| self.offer(customer, 5_000)).collect();
                pairs.push(self.pass(ms));
                for one in running {
                    pairs.push(self.finish(one, ms * 1000, true));
                }
                pairs
            }
        }
    }
}

proptest! {
    #[test]
    fn decides_like_a_scan(
        slots in 1..7usize,
        bound in 0..12usize,
        steps in prop::collection::vec(step(), 1..250),
    ) {
        let queue = FairQueue::new(QueueLimits::new().slots(slots).queue(bound));
        let twin = NaiveQueue::new(slots, bound);
        let mut both = Both { queue, twin, now: 0, sequence: 0 };
        for step in steps {
            for [ours, theirs] in both.step(&step) {
                prop_assert_eq!(ours, theirs, "{:?}", step);
            }
            let sizes = (both.queue.running(), both.queue.queued());
            prop_assert_eq!(sizes, both.twin.sizes());
            prop_assert!(sizes.0 <= slots && sizes.1 <= bound);
        }
    }
}

/// Keeps `slots` busy with customer b for three seconds, beside a request of customer a every 50 ms
/// in the first half, and returns how many slots b holds at the end of each half.
fn held_by_b(slots: usize) -> [usize; 2] {
    let mut queue = FairQueue::new(QueueLimits::new().slots(slots));
    let (mut running, mut sequence, mut held) = (Vec::new(), 0, [0, 0]);
    for now in (0..3_000).step_by(10) {
        let mut actions = queue.tick(Millis(now));
        for done in std::mem::take(&mut running) {
            actions.extend(queue.finish(done, Micros(10_000), true, Millis(now)));
        }
        let from_a = u64::from(now % 50 == 0 && now < 1_500);
        for n in 0..from_a + slots as u64 {
            sequence += 1;
            let name = if n < from_a { "a" } else { "b" };
            let waiting = QueuedRequest::new(id(sequence), name, Millis(now + 500), ());
            actions.extend(queue.offer(waiting, Millis(now)));
        }
        for action in actions {
            if let QueueAction::Run(waiting) = action {
                running.push(waiting.id());
                held[usize::from(now >= 1_500)] =
                    queue.running() - usize::from(waiting.customer() == &"a".into());
            }
        }
    }
    held
}

/// One slot is spared while another customer is active, and given back when that one has been idle
/// for a second; of fewer than four slots none is spared, because one would be too great a part.
#[test]
fn a_spared_slot_is_given_back() {
    assert_eq!(held_by_b(8), [7, 8]);
    assert_eq!(held_by_b(2), [2, 2]);
}

/// Customers come and go all day. If each left something behind, an agent would grow until it is
/// killed, and its requests would end as "outcome unknown".
#[test]
fn idle_customers_are_forgotten() {
    let mut queue = FairQueue::new(QueueLimits::new());
    for n in 0..1_000 {
        let waiting = QueuedRequest::new(id(n), format!("c{n}"), Millis(n + 500), ());
        queue.offer(waiting, Millis(n));
        queue.finish(id(n), Micros(1_000), true, Millis(n + 1));
    }
    assert_eq!(queue.customers(), 1_000);
    let _ = queue.tick(Millis(62_000));
    assert_eq!(queue.customers(), 0);
}

/// A leaving agent is asked to run one more request. Taken in, it would be cut off when the agent
/// ends; those that wait already must still run.
#[test]
fn a_draining_queue_refuses_newcomers_and_runs_the_rest() {
    let mut queue = FairQueue::new(QueueLimits::new().slots(1));
    let ask = |n| QueuedRequest::new(id(n), "a", Millis(500), ());
    queue.offer(ask(1), Millis(0));
    queue.offer(ask(2), Millis(0));
    queue.drain();
    let refused = decided(queue.offer(ask(3), Millis(0)));
    assert_eq!(refused, [Decided::Refuse(3, Refusal::Draining, 1)]);
    let next = decided(queue.finish(id(1), Micros(1_000), true, Millis(1)));
    assert_eq!(next, [Decided::Run(2)]);
    assert!(!queue.is_empty());
}

/// One run took ten seconds, and every later request looks as if it would miss its deadline. If the
/// queue believed that while the minion is idle, it would refuse everything for good, because no
/// run would ever correct the figure.
#[test]
fn a_free_slot_takes_what_looks_hopeless() {
    let mut queue = FairQueue::new(QueueLimits::new().slots(1));
    let ask = |n| QueuedRequest::new(id(n), "a", Millis(20_000), ());
    queue.offer(ask(1), Millis(0));
    queue.finish(id(1), Micros(10_000_000), true, Millis(10_000));
    let hurried = QueuedRequest::new(id(2), "a", Millis(10_100), ());
    assert_eq!(decided(queue.offer(hurried, Millis(10_000))), [Decided::Run(2)]);
}
