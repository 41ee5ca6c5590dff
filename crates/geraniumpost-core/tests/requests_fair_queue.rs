//! Comparison of the fair queue with a reference queue, and tests of its reserved slot, its memory
//! and its refusals.

mod requests_support;

use geraniumpost_core::requests::{FairQueue, QueueAction, QueueLimits, QueuedRequest, Refusal};
use geraniumpost_core::{Micros, Millis};
use proptest::prelude::*;
use requests_support::id;
use requests_support::reference_queue::{Decision, ReferenceQueue};

#[derive(Debug, Clone)]
enum Step {
    Offer {
        customer: usize,
        timeout_ms: u64,
    },
    Finish {
        nth: usize,
        service_us: u64,
        success: bool,
    },
    Cancel {
        nth: usize,
    },
    Advance {
        ms: u64,
    },
    /// One customer sends three requests, time passes, and all requests that were running end.
    Cycle {
        customer: usize,
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5usize, prop_oneof![0..80u64, 200..9_000u64])
            .prop_map(|(customer, timeout_ms)| Step::Offer { customer, timeout_ms }),
        4 => (0..8usize, 8_000..60_000u64, proptest::bool::weighted(0.9))
            .prop_map(|(nth, service_us, success)| Step::Finish { nth, service_us, success }),
        1 => (0..8usize).prop_map(|nth| Step::Cancel { nth }),
        6 => (0..3usize, 10..60u64).prop_map(|(customer, ms)| Step::Cycle { customer, ms }),
        1 => (0..20u64).prop_map(|ms| Step::Advance { ms }),
        1 => (100..1_200u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

fn decisions(actions: Vec<QueueAction<()>>) -> Vec<Decision> {
    let decision = |action| match action {
        QueueAction::Run(request) => Decision::Run(request.id().sequence),
        QueueAction::Refuse { request, refusal, retry_after_ms } => {
            Decision::Refuse(request.id().sequence, refusal, retry_after_ms)
        }
    };
    actions.into_iter().map(decision).collect()
}

/// A fair queue and a reference queue that get the same calls.
struct QueuePair {
    queue: FairQueue<()>,
    reference: ReferenceQueue,
    now: u64,
    sequence: u64,
}

impl QueuePair {
    fn offer(&mut self, customer: usize, timeout_ms: u64) -> [Vec<Decision>; 2] {
        self.sequence += 1;
        let (sequence, deadline) = (self.sequence, self.now + timeout_ms);
        let weight = customer as u32 % 3 + 1;
        let request =
            QueuedRequest::new(id(sequence), format!("c{customer}"), Millis(deadline), ());
        let actual = self.queue.offer(request.weight(weight), Millis(self.now));
        let expected =
            self.reference.offer(sequence, customer, u64::from(weight), deadline, self.now);
        [decisions(actual), expected]
    }

    fn finish(&mut self, sequence: u64, service_us: u64, success: bool) -> [Vec<Decision>; 2] {
        let actual = self.queue.finish(id(sequence), Micros(service_us), success, Millis(self.now));
        [decisions(actual), self.reference.finish(sequence, service_us, success, self.now)]
    }

    fn advance(&mut self, ms: u64) -> [Vec<Decision>; 2] {
        self.now += ms;
        [decisions(self.queue.tick(Millis(self.now))), self.reference.tick(self.now)]
    }

    fn cancel(&mut self, sequence: u64) -> [Vec<Decision>; 2] {
        let actual = self.queue.cancel(id(sequence)).is_some();
        assert_eq!(actual, self.reference.cancel(sequence));
        [Vec::new(), Vec::new()]
    }

    /// Applies a step to both queues and returns a pair of decisions, actual and expected, for each
    /// call.
    fn step(&mut self, step: &Step) -> Vec<[Vec<Decision>; 2]> {
        let (running, waiting) = (self.reference.running(), self.reference.waiting());
        let nth = |list: &[u64], nth: usize| list.get(nth % list.len().max(1)).copied();
        match *step {
            Step::Offer { customer, timeout_ms } => vec![self.offer(customer, timeout_ms)],
            Step::Finish { nth: n, service_us, success } => nth(&running, n)
                .map(|sequence| self.finish(sequence, service_us, success))
                .into_iter()
                .collect(),
            Step::Cancel { nth: n } => {
                nth(&waiting, n).map(|sequence| self.cancel(sequence)).into_iter().collect()
            }
            Step::Advance { ms } => vec![self.advance(ms)],
            Step::Cycle { customer, ms } => {
                let mut decisions_of_both: Vec<_> =
                    (0..3).map(|_| self.offer(customer, 5_000)).collect();
                decisions_of_both.push(self.advance(ms));
                for sequence in running {
                    decisions_of_both.push(self.finish(sequence, ms * 1000, true));
                }
                decisions_of_both
            }
        }
    }
}

proptest! {
    #[test]
    fn decides_like_the_reference_queue(
        slots in 1..7usize,
        queue_capacity in 0..12usize,
        steps in prop::collection::vec(step(), 1..250),
    ) {
        let queue = FairQueue::new(QueueLimits::new().slots(slots).queue(queue_capacity));
        let reference = ReferenceQueue::new(slots, queue_capacity);
        let mut pair = QueuePair { queue, reference, now: 0, sequence: 0 };
        for step in steps {
            for [actual, expected] in pair.step(&step) {
                prop_assert_eq!(actual, expected, "{:?}", step);
            }
            let counts = (pair.queue.running(), pair.queue.queued());
            prop_assert_eq!(counts, pair.reference.running_and_waiting_counts());
            prop_assert!(counts.0 <= slots && counts.1 <= queue_capacity);
        }
    }
}

/// Keeps `slots` slots busy with requests of customer b for three seconds. In the first half
/// customer a sends a request every 50 ms. Returns how many slots b occupies at the end of each
/// half.
fn slots_of_b_while_a_is_active_and_idle(slots: usize) -> [usize; 2] {
    let mut queue = FairQueue::new(QueueLimits::new().slots(slots));
    let (mut running, mut sequence, mut slots_in_use) = (Vec::new(), 0, [0, 0]);
    for now in (0..3_000).step_by(10) {
        let mut actions = queue.tick(Millis(now));
        for done in std::mem::take(&mut running) {
            actions.extend(queue.finish(done, Micros(10_000), true, Millis(now)));
        }
        let requests_of_a = u64::from(now % 50 == 0 && now < 1_500);
        for n in 0..requests_of_a + slots as u64 {
            sequence += 1;
            let name = if n < requests_of_a { "a" } else { "b" };
            let request = QueuedRequest::new(id(sequence), name, Millis(now + 500), ());
            actions.extend(queue.offer(request, Millis(now)));
        }
        for action in actions {
            if let QueueAction::Run(request) = action {
                running.push(request.id());
                slots_in_use[usize::from(now >= 1_500)] =
                    queue.running() - usize::from(request.customer() == &"a".into());
            }
        }
    }
    slots_in_use
}

/// One slot is kept free of customer b while customer a is active, and released once a has been
/// idle for a second. With fewer than four slots no slot is kept free, because one slot would be
/// too large a share.
#[test]
fn a_reserved_slot_is_released_when_others_are_idle() {
    assert_eq!(slots_of_b_while_a_is_active_and_idle(8), [7, 8]);
    assert_eq!(slots_of_b_while_a_is_active_and_idle(2), [2, 2]);
}

/// If idle customers were never forgotten, the memory of the agent would grow until the agent is
/// killed, and its requests would end as "outcome unknown".
#[test]
fn idle_customers_are_forgotten() {
    let mut queue = FairQueue::new(QueueLimits::new());
    for n in 0..1_000 {
        let request = QueuedRequest::new(id(n), format!("c{n}"), Millis(n + 500), ());
        queue.offer(request, Millis(n));
        queue.finish(id(n), Micros(1_000), true, Millis(n + 1));
    }
    assert_eq!(queue.customer_count(), 1_000);
    let _ = queue.tick(Millis(62_000));
    assert_eq!(queue.customer_count(), 0);
}

/// A request accepted by a draining agent would be cut off when the agent exits. Requests that wait
/// already must still run.
#[test]
fn a_draining_queue_refuses_new_requests_and_runs_waiting_ones() {
    let mut queue = FairQueue::new(QueueLimits::new().slots(1));
    let request = |n| QueuedRequest::new(id(n), "a", Millis(500), ());
    queue.offer(request(1), Millis(0));
    queue.offer(request(2), Millis(0));
    queue.drain();
    let refused = decisions(queue.offer(request(3), Millis(0)));
    assert_eq!(refused, [Decision::Refuse(3, Refusal::Draining, 1)]);
    let next = decisions(queue.finish(id(1), Micros(1_000), true, Millis(1)));
    assert_eq!(next, [Decision::Run(2)]);
    assert!(!queue.is_empty());
}

/// After a run of ten seconds, every request is expected to miss its deadline. If the queue refused
/// requests for that reason while the minion is idle, no run would correct the estimate, and the
/// queue would refuse all requests forever.
#[test]
fn a_free_slot_accepts_a_request_expected_to_miss_its_deadline() {
    let mut queue = FairQueue::new(QueueLimits::new().slots(1));
    let request = |n| QueuedRequest::new(id(n), "a", Millis(20_000), ());
    queue.offer(request(1), Millis(0));
    queue.finish(id(1), Micros(10_000_000), true, Millis(10_000));
    let short_deadline = QueuedRequest::new(id(2), "a", Millis(10_100), ());
    assert_eq!(decisions(queue.offer(short_deadline, Millis(10_000))), [Decision::Run(2)]);
}
