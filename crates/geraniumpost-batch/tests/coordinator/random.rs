//! Random days: whatever is lost, each task runs once at a time and to one end.

use std::collections::BTreeMap;

use geraniumpost_batch::{
    CallerResponse, EndKind, JobState, Order, OrderKind, OrderOutcome, OrderVerb, TaskId,
    lease_expiry_bound_ms,
};
use geraniumpost_schema::Name;
use proptest::collection::vec;
use proptest::prelude::*;

use crate::world::{HOLD_MS, World, agent, step, task};

#[derive(Debug, Clone)]
enum Event {
    Submit {
        count: u32,
    },
    /// A minion takes its next order; its answer may be lost.
    Obey {
        answered: bool,
    },
    /// An order overtakes others and is refused, by the agent or the minion.
    Refuse {
        at: usize,
        outcome: OrderOutcome,
    },
    /// An order overtakes others and is carried out.
    Overtake {
        at: usize,
    },
    /// An agent stands still, while its link stays open and its orders gather.
    Freeze {
        minion: usize,
    },
    /// It goes on. If its lease is over it refuses so many orders before its next beat is answered.
    Thaw {
        minion: usize,
        refused: usize,
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
        2 => (0..4_usize, refusal()).prop_map(|(at, outcome)| Event::Refuse { at, outcome }),
        2 => (0..4_usize).prop_map(|at| Event::Overtake { at }),
        1 => (0..3_usize).prop_map(|minion| Event::Freeze { minion }),
        2 => (0..3_usize, 0..4_usize)
            .prop_map(|(minion, refused)| Event::Thaw { minion, refused }),
        1 => Just(Event::Delay),
        1 => Just(Event::ObeyLate),
        4 => (0..8_usize, proptest::bool::weighted(0.1))
            .prop_map(|(at, failed)| Event::End { at, failed }),
        5 => (0..3_usize).prop_map(|minion| Event::Look { minion }),
        3 => (50..800_u64).prop_map(|ms| Event::Pass { ms }),
        // Longer than a start without a result waits for its next copy.
        1 => (800..3_000_u64).prop_map(|ms| Event::Pass { ms }),
        1 => Just(Event::HoldWrites),
        2 => Just(Event::PassWrites),
        1 => Just(Event::TakeOver),
        1 => (0..3_usize).prop_map(|minion| Event::LoseAgent { minion }),
        3 => (0..3_usize).prop_map(|minion| Event::Join { minion }),
    ]
}

fn refusal() -> impl Strategy<Value = OrderOutcome> {
    prop_oneof![
        Just(OrderOutcome::NotSent),
        Just(OrderOutcome::NoCapacity),
        Just(OrderOutcome::Unhealthy),
        Just(OrderOutcome::BadTicket),
        Just(OrderOutcome::Malformed),
        Just(OrderOutcome::TooLate),
    ]
}

const MINIONS: [&str; 3] = ["m1", "m2", "m3"];

/// How an agent is.
#[derive(Debug, Clone, Copy, Default)]
struct AgentState {
    /// When its last answered beat was sent, on the steady clock.
    beat_ms: u64,
    frozen: bool,
    /// Whether it has no link to the present coordinator.
    away: bool,
    /// Whether what its minion ran has ended with its lease.
    over: bool,
}

/// Minions as they are, and what they must remember to refuse.
struct Day {
    world: World,
    agents: [AgentState; 3],
    delayed: Vec<Order>,
    /// The highest run that was stopped or has ended, by minion and task.
    barred: BTreeMap<(Name, TaskId), u32>,
    /// Tasks whose end as done was acknowledged.
    jobs: u64,
}

impl Day {
    fn new() -> Self {
        let world = World::new().with_minions(&MINIONS);
        let beat_ms = world.now.steady_ms;
        Self {
            world,
            agents: [AgentState { beat_ms, ..AgentState::default() }; 3],
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
                if let Some(order) = self.take_order(0) {
                    self.carry_out(&order, answered);
                }
            }
            Event::Refuse { at, outcome } => {
                if let Some(order) = self.take_order(at) {
                    self.refuse(&order, outcome);
                }
            }
            Event::Overtake { at } => {
                if let Some(order) = self.take_order(at) {
                    self.carry_out(&order, true);
                }
            }
            Event::Freeze { minion } => self.agents[minion].frozen = true,
            Event::Thaw { minion, refused } => self.thaw(minion, refused),
            Event::Delay => {
                if let Some(order) = self.take_order(0) {
                    let verb = OrderVerb::from(&order.kind);
                    self.world.result(&order, verb, OrderOutcome::Unanswered);
                    self.delay(vec![order]);
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
                self.beat(minion);
                if !self.agents[minion].frozen {
                    self.world.look(MINIONS[minion]);
                }
            }
            Event::Pass { ms } => {
                // Agents that are linked renew their leases.
                self.world.pass(ms);
                for minion in 0..MINIONS.len() {
                    self.beat(minion);
                    self.end_with_lease(minion);
                }
            }
            Event::HoldWrites => self.world.writes_pass = false,
            Event::PassWrites => self.world.pass_writes(),
            Event::TakeOver => {
                self.world.pass_writes();
                // The predecessor's orders may still be carried out.
                let orders = std::mem::take(&mut self.world.orders);
                self.delay(orders);
                self.world.take_over();
                for minion in 0..MINIONS.len() {
                    self.agents[minion].away = true;
                    self.join(minion);
                }
            }
            Event::LoseAgent { minion } => {
                let now = self.world.now;
                self.world.coordinator.agent_disconnected(&agent(MINIONS[minion]), now);
                self.world.settle();
                // Its orders are lost with the link, or on their way.
                let lost = self.take_orders_of(minion);
                self.delay(lost);
                self.agents[minion].away = true;
                self.join(minion);
            }
            Event::Join { minion } => self.join(minion),
        }
    }

    /// Takes one of the orders that wait at agents which are not frozen.
    fn take_order(&mut self, at: usize) -> Option<Order> {
        let frozen = |order: &Order| {
            let agents = MINIONS.iter().zip(&self.agents);
            agents.into_iter().any(|(name, agent)| agent.frozen && *name == &*order.minion)
        };
        let mut waiting = (0..self.world.orders.len()).filter(|i| !frozen(&self.world.orders[*i]));
        let index = waiting.nth(at)?;
        Some(self.world.orders.remove(index))
    }

    fn take_orders_of(&mut self, minion: usize) -> Vec<Order> {
        let orders = std::mem::take(&mut self.world.orders);
        let (taken, left) = orders.into_iter().partition(|o| &*o.minion == MINIONS[minion]);
        self.world.orders = left;
        taken
    }

    /// Lets orders be carried out later, except those whose deadline is over.
    fn delay(&mut self, orders: Vec<Order>) {
        let agents = MINIONS.iter().zip(&self.agents);
        let over: Vec<&str> = agents.filter(|(_, a)| a.over).map(|(name, _)| *name).collect();
        self.delayed.extend(orders.into_iter().filter(|order| !over.contains(&&*order.minion)));
    }

    fn beat(&mut self, minion: usize) {
        let agent = &mut self.agents[minion];
        if agent.frozen || agent.away {
            return;
        }
        agent.beat_ms = self.world.now.steady_ms;
        agent.over = false;
        self.world.beat(MINIONS[minion]);
    }

    fn join(&mut self, minion: usize) {
        let agent = &mut self.agents[minion];
        if agent.frozen {
            return;
        }
        agent.away = false;
        agent.over = false;
        agent.beat_ms = self.world.now.steady_ms;
        self.world.join(MINIONS[minion], |info| info);
    }

    /// Lets an agent go on. If its lease is over it refuses the first orders that it reads; its next beat is
    /// answered before the others are judged. Once the coordinator takes its work for ended, all that it
    /// was given before is refused.
    fn thaw(&mut self, minion: usize, refused: usize) {
        let agent = self.agents[minion];
        if !agent.frozen {
            return;
        }
        self.end_with_lease(minion);
        self.agents[minion].frozen = false;
        let now_ms = self.world.now.steady_ms;
        let lapsed = now_ms >= agent.beat_ms + lease_expiry_bound_ms(HOLD_MS);
        if now_ms >= agent.beat_ms + HOLD_MS {
            let count = if lapsed || agent.away { usize::MAX } else { refused };
            let orders = self.take_orders_of(minion);
            let mut orders = orders.into_iter();
            for order in orders.by_ref().take(count) {
                self.refuse(&order, OrderOutcome::NotSent);
            }
            self.world.orders.extend(orders);
        }
        if agent.away {
            self.join(minion);
        } else {
            self.beat(minion);
            self.world.look(MINIONS[minion]);
        }
    }

    /// Ends what runs on a minion whose lease is over. Starts that it has not carried out by then are too
    /// late for ever, as their deadline is the end of that lease.
    fn end_with_lease(&mut self, minion: usize) {
        let agent = &mut self.agents[minion];
        if agent.over || self.world.now.steady_ms < agent.beat_ms + HOLD_MS {
            return;
        }
        agent.over = true;
        let name = Name::from(MINIONS[minion]);
        for (task, run) in self.world.running.get(&name).cloned().unwrap_or_default() {
            self.barred.insert((name.clone(), task), run);
            self.world.end(&name, task, EndKind::LeaseExpired);
        }
        self.delayed.retain(|order| order.minion != name);
    }

    /// Does nothing to an order and says so; only starts have reasons of their own.
    fn refuse(&mut self, order: &Order, outcome: OrderOutcome) {
        let verb = OrderVerb::from(&order.kind);
        let outcome = if verb == OrderVerb::Start { outcome } else { OrderOutcome::NotSent };
        self.world.result(order, verb, outcome);
    }

    /// Does to an order what a minion does.
    fn carry_out(&mut self, order: &Order, answered: bool) {
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

/// Plays a day, lets everything that is out come to its end, and checks that all jobs are over.
fn play_to_the_end(events: Vec<Event>) {
    let mut day = Day::new();
    for event in events {
        day.play(event);
        day.check();
    }
    day.world.pass_writes();
    for minion in 0..MINIONS.len() {
        day.play(Event::Thaw { minion, refused: 1 });
        day.check();
    }
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
        assert!(
            matches!(state, CallerResponse::State(JobState::Completed | JobState::Failed)),
            "job {id} is {state:?}; task {:?}",
            task(id, 0, 0)
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Orders are lost, refused, carried out late or past each other, agents stand still for longer than
    /// their leases, writes are held up, links break and coordinators take over from each other. No task
    /// ever runs at two places, and in the end all jobs are over.
    #[test]
    fn tasks_run_once_at_a_time_and_jobs_end(events in vec(event(), 1..120)) {
        play_to_the_end(events);
    }
}

/// Days that once showed a task at two places, made as short as they show it.
macro_rules! days {
    ($($(#[$doc:meta])* $name:ident: [$($event:expr),* $(,)?])*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            play_to_the_end(vec![$($event),*]);
        }
    )*};
}

days! {
    /// A start without a result is given again. The first copy is refused, the task is placed elsewhere, and
    /// the second copy is carried out: its user sees the task run twice at once.
    one_copy_is_refused_and_the_other_carried_out: [
        Event::Submit { count: 1 },
        Event::Pass { ms: 2_500 },
        Event::Refuse { at: 0, outcome: OrderOutcome::NotSent },
        Event::Pass { ms: 150 },
    ]
    /// The same at agents that stand still until their leases are over. Each refuses the first copy that it
    /// reads, and carries the others out once its next beat is answered.
    frozen_agent_refuses_one_copy: [
        Event::Submit { count: 1 },
        Event::Freeze { minion: 0 },
        Event::Freeze { minion: 1 },
        Event::Freeze { minion: 2 },
        Event::Pass { ms: 2_550 },
        Event::Pass { ms: 2_550 },
        Event::Thaw { minion: 0, refused: 1 },
        Event::Thaw { minion: 1, refused: 1 },
        Event::Thaw { minion: 2, refused: 1 },
        Event::Pass { ms: 150 },
    ]
}
