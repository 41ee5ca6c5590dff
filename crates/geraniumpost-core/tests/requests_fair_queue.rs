//! The fair queue decides like a twin that scans everything.

mod requests_support;

use geraniumpost_core::requests::{FairQueue, QueueAction, QueueLimits, Refusal, Waiting};
use geraniumpost_core::{Micros, Millis};
use proptest::prelude::*;
use requests_support::id;
use requests_support::naive_queue::{Decided, NaiveQueue};

#[derive(Debug, Clone)]
enum Step {
    Offer { customer: usize, patience_ms: u64 },
    Finish { nth: usize, took_us: u64, success: bool },
    Cancel { nth: usize },
    Pass { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5usize, prop_oneof![0..40u64, 100..2_000u64])
            .prop_map(|(customer, patience_ms)| Step::Offer { customer, patience_ms }),
        4 => (0..8usize, 4_000..30_000u64, proptest::bool::weighted(0.9))
            .prop_map(|(nth, took_us, success)| Step::Finish { nth, took_us, success }),
        1 => (0..8usize).prop_map(|nth| Step::Cancel { nth }),
        1 => (0..20u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

fn decided(actions: Vec<QueueAction<()>>) -> Vec<Decided> {
    let one = |action| match action {
        QueueAction::Run(waiting) => Decided::Run(waiting.id().sequence),
        QueueAction::Refuse { waiting, refusal, retry_after_ms } => {
            Decided::Refuse(waiting.id().sequence, refusal, retry_after_ms)
        }
    };
    actions.into_iter().map(one).collect()
}

proptest! {
    #[test]
    fn decides_like_a_scan(
        slots in 1..5usize,
        bound in 0..8usize,
        steps in prop::collection::vec(step(), 1..250),
    ) {
        let mut queue = FairQueue::new(QueueLimits::new().slots(slots).queue(bound));
        let mut twin = NaiveQueue::new(slots, bound);
        let (mut now, mut sequence) = (0, 0);
        for step in steps {
            let (ours, theirs) = match step {
                Step::Offer { customer, patience_ms } => {
                    sequence += 1;
                    let (deadline, weight) = (now + patience_ms, customer as u32 % 3 + 1);
                    let name = format!("c{customer}");
                    let waiting = Waiting::new(id(sequence), name, Millis(deadline), ());
                    let ours = queue.offer(waiting.weight(weight), Millis(now));
                    (ours, twin.offer(sequence, customer, u64::from(weight), deadline, now))
                }
                Step::Finish { nth, took_us, success } => {
                    let running = twin.running();
                    let Some(&sequence) = running.get(nth % running.len().max(1)) else { continue };
                    let ours = queue.finish(id(sequence), Micros(took_us), success, Millis(now));
                    (ours, twin.finish(sequence, took_us, success, now))
                }
                Step::Cancel { nth } => {
                    let waiting = twin.waiting();
                    let Some(&sequence) = waiting.get(nth % waiting.len().max(1)) else { continue };
                    prop_assert_eq!(queue.cancel(id(sequence)).is_some(), twin.cancel(sequence));
                    continue;
                }
                Step::Pass { ms } => {
                    now += ms;
                    (queue.tick(Millis(now)), twin.tick(now))
                }
            };
            prop_assert_eq!(decided(ours), theirs);
            prop_assert_eq!((queue.running(), queue.queued()), twin.sizes());
            prop_assert!(queue.running() <= slots && queue.queued() <= bound);
        }
    }
}

/// Customers come and go all day. If each left something behind, an agent would grow until it is
/// killed, and its requests would end as "outcome unknown".
#[test]
fn idle_customers_are_forgotten() {
    let mut queue = FairQueue::new(QueueLimits::new());
    for n in 0..1_000 {
        let waiting = Waiting::new(id(n), format!("c{n}"), Millis(n + 500), ());
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
    let ask = |n| Waiting::new(id(n), "a", Millis(500), ());
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
    let ask = |n| Waiting::new(id(n), "a", Millis(20_000), ());
    queue.offer(ask(1), Millis(0));
    queue.finish(id(1), Micros(10_000_000), true, Millis(10_000));
    let hurried = Waiting::new(id(2), "a", Millis(10_100), ());
    assert_eq!(decided(queue.offer(hurried, Millis(10_000))), [Decided::Run(2)]);
}
