//! Random days: whatever is lost, each task runs once at a time and to one end.

use std::collections::BTreeMap;

use geraniumpost_batch::{Answer, EndKind, JobState, OrderKind, OrderOutcome, OrderVerb, TaskId};
use geraniumpost_schema::Name;
use proptest::collection::vec;
use proptest::prelude::*;

use crate::world::{World, agent, step, task};

#[derive(Debug, Clone)]
enum Event {
    Submit {
        count: u32,
    },
    /// A minion takes its next order; its answer may be lost.
    Obey {
        answered: bool,
    },
    /// An order is lost, and carried out by a later `ObeyLate`.
    Delay,
    ObeyLate,
    End {
        at: usize,
        failed: bool,
    },
    Look {
        minion: usize,
    },
    Pass {
        ms: u64,
    },
    HoldWrites,
    PassWrites,
    TakeOver,
    LoseAgent {
        minion: usize,
    },
    Join {
        minion: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (1..4_u32).prop_map(|count| Event::Submit { count }),
        6 => proptest::bool::weighted(0.8).prop_map(|answered| Event::Obey { answered }),
        1 => Just(Event::Delay),
        1 => Just(Event::ObeyLate),
        4 => (0..8_usize, proptest::bool::weighted(0.1))
            .prop_map(|(at, failed)| Event::End { at, failed }),
        5 => (0..3_usize).prop_map(|minion| Event::Look { minion }),
        3 => (50..800_u64).prop_map(|ms| Event::Pass { ms }),
        1 => Just(Event::HoldWrites),
        2 => Just(Event::PassWrites),
        1 => Just(Event::TakeOver),
        1 => (0..3_usize).prop_map(|minion| Event::LoseAgent { minion }),
        3 => (0..3_usize).prop_map(|minion| Event::Join { minion }),
    ]
}

const MINIONS: [&str; 3] = ["m1", "m2", "m3"];

/// Minions as they are, and what they must remember to refuse.
struct Day {
    world: World,
    delayed: Vec<geraniumpost_batch::Order>,
    /// The highest run that was stopped or has ended, by minion and task.
    barred: BTreeMap<(Name, TaskId), u32>,
    /// Tasks whose end as done was acknowledged.
    jobs: u64,
}

impl Day {
    fn new() -> Self {
        Self {
            world: World::new().with_minions(&MINIONS),
            delayed: Vec::new(),
            barred: BTreeMap::new(),
            jobs: 0,
        }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Submit { count } => {
                self.jobs += 1;
                let id = self.jobs;
                self.world.submit(id, vec![step(count)]);
            }
            Event::Obey { answered } => {
                if !self.world.orders.is_empty() {
                    let order = self.world.orders.remove(0);
                    self.carry_out(&order, answered);
                }
            }
            Event::Delay => {
                if !self.world.orders.is_empty() {
                    let order = self.world.orders.remove(0);
                    let verb = OrderVerb::from(&order.kind);
                    self.world.result(&order, verb, OrderOutcome::Unanswered);
                    self.delayed.push(order);
                }
            }
            Event::ObeyLate => {
                if let Some(order) = self.delayed.pop() {
                    self.carry_out(&order, false);
                }
            }
            Event::End { at, failed } => {
                let places = self.world.places();
                if let Some((task, minion, run)) = places.get(at) {
                    let kind = if failed { EndKind::Failed } else { EndKind::Done };
                    self.barred.insert((minion.clone(), *task), *run);
                    self.world.end(minion, *task, kind);
                }
            }
            Event::Look { minion } => {
                self.world.beat(MINIONS[minion]);
                self.world.look(MINIONS[minion]);
            }
            Event::Pass { ms } => {
                // Agents that are linked renew their leases.
                self.world.pass(ms);
                for minion in MINIONS {
                    self.world.beat(minion);
                }
            }
            Event::HoldWrites => self.world.writes_pass = false,
            Event::PassWrites => self.world.pass_writes(),
            Event::TakeOver => {
                self.world.pass_writes();
                self.world.take_over();
                for minion in MINIONS {
                    self.world.join(minion, |info| info);
                }
            }
            Event::LoseAgent { minion } => {
                let now = self.world.now;
                self.world.coordinator.agent_lost(&agent(MINIONS[minion]), now);
                self.world.settle();
                // Its orders are lost with the link, or on their way.
                let lost: Vec<_> = std::mem::take(&mut self.world.orders);
                let (gone, left) = lost.into_iter().partition(|o| &*o.minion == MINIONS[minion]);
                self.world.orders = left;
                self.delayed.extend::<Vec<_>>(gone);
                self.world.join(MINIONS[minion], |info| info);
            }
            Event::Join { minion } => self.world.join(MINIONS[minion], |info| info),
        }
    }

    /// Does to an order what a minion does.
    fn carry_out(&mut self, order: &geraniumpost_batch::Order, answered: bool) {
        let key = (order.minion.clone(), order.task);
        let barred = self.barred.get(&key).copied().unwrap_or(0);
        let verb = OrderVerb::from(&order.kind);
        let mut outcome = OrderOutcome::Done;
        let runs = self.world.running.entry(order.minion.clone()).or_default();
        match order.kind {
            OrderKind::Start { .. } if order.run <= barred => outcome = OrderOutcome::RunIsOver,
            OrderKind::Start { .. } => {
                runs.insert(order.task, order.run);
            }
            OrderKind::Stop => {
                self.barred.insert(key, barred.max(order.run));
                if runs.get(&order.task).is_some_and(|run| *run <= order.run) {
                    self.world.end(&order.minion, order.task, EndKind::Stopped);
                }
            }
            OrderKind::Pace { .. } => {}
        }
        let outcome = if answered { outcome } else { OrderOutcome::Unanswered };
        self.world.result(order, verb, outcome);
    }

    fn check(&self) {
        let mut seen: BTreeMap<TaskId, Name> = BTreeMap::new();
        for (task, minion, _) in self.world.places() {
            let other = seen.insert(task, minion.clone());
            assert!(other.is_none(), "{task} runs on {minion} and {other:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Orders are lost or carried out late, writes are held up, links break and coordinators take
    /// over from each other. No task ever runs at two places, and in the end all jobs are over.
    #[test]
    fn tasks_run_once_at_a_time_and_jobs_end(events in vec(event(), 1..120)) {
        let mut day = Day::new();
        for event in events {
            day.play(event);
            day.check();
        }
        day.world.pass_writes();
        for _ in 0..60 {
            while !day.world.orders.is_empty() {
                day.play(Event::Obey { answered: true });
                day.check();
            }
            for (at, (task, minion, run)) in day.world.places().into_iter().enumerate() {
                if at < 8 {
                    day.barred.insert((minion.clone(), task), run);
                    day.world.end(&minion, task, EndKind::Done);
                }
            }
            for minion in 0..MINIONS.len() {
                day.play(Event::Look { minion });
            }
            day.play(Event::Pass { ms: 700 });
            day.check();
        }
        for id in 1..=day.jobs {
            let state = day.world.state(id);
            prop_assert!(
                matches!(state, Answer::State(JobState::Completed | JobState::Failed)),
                "job {id} is {state:?}; task {:?}",
                task(id, 0, 0)
            );
        }
    }
}
