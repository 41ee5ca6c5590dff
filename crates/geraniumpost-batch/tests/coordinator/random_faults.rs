//! Random sequences of faults: each task runs at most once at a time, and every job ends.

use std::collections::BTreeMap;

use geraniumpost_batch::{
    CallerResponse, EndKind, JobState, Order, OrderKind, OrderKindTag, OrderOutcome, TaskId,
    lease_expiry_bound_ms,
};
use geraniumpost_schema::Name;
use proptest::collection::vec;
use proptest::prelude::*;

use crate::cluster::{Cluster, LEASE_MS, agent_name, step, task};

#[derive(Debug, Clone)]
enum Event {
    Submit {
        count: u32,
    },
    /// A minion carries out its next order; the result may be lost.
    CarryOut {
        answered: bool,
    },
    /// An order arrives ahead of others, and the agent or the minion refuses it.
    Refuse {
        at: usize,
        outcome: OrderOutcome,
    },
    /// An order arrives ahead of others and is carried out.
    CarryOutOfOrder {
        at: usize,
    },
    /// An agent's process pauses, while its link stays open and its orders queue up.
    PauseAgent {
        minion: usize,
    },
    /// The agent resumes. If its lease has expired, it refuses this many orders before its next
    /// heartbeat is answered.
    ResumeAgent {
        minion: usize,
        refused: usize,
    },
    /// An order gets no answer, and is carried out by a later `CarryOutDelayed`.
    DelayOrder,
    CarryOutDelayed,
    EndTask {
        at: usize,
        failed: bool,
    },
    Poll {
        minion: usize,
    },
    Advance {
        ms: u64,
    },
    HoldWrites,
    ConfirmWrites,
    TakeOver,
    DisconnectAgent {
        minion: usize,
    },
    Join {
        minion: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (1..4_u32).prop_map(|count| Event::Submit { count }),
        6 => proptest::bool::weighted(0.8).prop_map(|answered| Event::CarryOut { answered }),
        2 => (0..4_usize, refusal()).prop_map(|(at, outcome)| Event::Refuse { at, outcome }),
        2 => (0..4_usize).prop_map(|at| Event::CarryOutOfOrder { at }),
        1 => (0..3_usize).prop_map(|minion| Event::PauseAgent { minion }),
        2 => (0..3_usize, 0..4_usize)
            .prop_map(|(minion, refused)| Event::ResumeAgent { minion, refused }),
        1 => Just(Event::DelayOrder),
        1 => Just(Event::CarryOutDelayed),
        4 => (0..8_usize, proptest::bool::weighted(0.1))
            .prop_map(|(at, failed)| Event::EndTask { at, failed }),
        5 => (0..3_usize).prop_map(|minion| Event::Poll { minion }),
        3 => (50..800_u64).prop_map(|ms| Event::Advance { ms }),
        // Longer than the time after which a start without a result is repeated.
        1 => (800..3_000_u64).prop_map(|ms| Event::Advance { ms }),
        1 => Just(Event::HoldWrites),
        2 => Just(Event::ConfirmWrites),
        1 => Just(Event::TakeOver),
        1 => (0..3_usize).prop_map(|minion| Event::DisconnectAgent { minion }),
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

/// State of an agent.
#[derive(Debug, Clone, Copy, Default)]
struct AgentState {
    /// When its last answered heartbeat was sent, on the steady clock.
    last_heartbeat_ms: u64,
    paused: bool,
    /// Whether it has no link to the current coordinator.
    disconnected: bool,
    /// Whether its minion's runs have ended with its lease.
    lease_ended: bool,
}

/// A cluster, and the state of agents and minions that its model does not hold.
struct Scenario {
    cluster: Cluster,
    agents: [AgentState; 3],
    delayed: Vec<Order>,
    /// The highest run that was stopped or has ended, by minion and task.
    ended_runs: BTreeMap<(Name, TaskId), u32>,
    /// Number of submitted jobs.
    jobs: u64,
}

impl Scenario {
    fn new() -> Self {
        let cluster = Cluster::new().with_minions(&MINIONS);
        let last_heartbeat_ms = cluster.now.steady_ms;
        Self {
            cluster,
            agents: [AgentState { last_heartbeat_ms, ..AgentState::default() }; 3],
            delayed: Vec::new(),
            ended_runs: BTreeMap::new(),
            jobs: 0,
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Submit { count } => {
                self.jobs += 1;
                let id = self.jobs;
                self.cluster.submit(id, vec![step(count)]);
            }
            Event::CarryOut { answered } => {
                if let Some(order) = self.take_order(0) {
                    self.carry_out(&order, answered);
                }
            }
            Event::Refuse { at, outcome } => {
                if let Some(order) = self.take_order(at) {
                    self.refuse(&order, outcome);
                }
            }
            Event::CarryOutOfOrder { at } => {
                if let Some(order) = self.take_order(at) {
                    self.carry_out(&order, true);
                }
            }
            Event::PauseAgent { minion } => self.agents[minion].paused = true,
            Event::ResumeAgent { minion, refused } => self.resume_agent(minion, refused),
            Event::DelayOrder => {
                if let Some(order) = self.take_order(0) {
                    let verb = OrderKindTag::from(&order.kind);
                    self.cluster.report_result(&order, verb, OrderOutcome::NoResponse);
                    self.delay(vec![order]);
                }
            }
            Event::CarryOutDelayed => {
                if let Some(order) = self.delayed.pop() {
                    self.carry_out(&order, false);
                }
            }
            Event::EndTask { at, failed } => {
                let running = self.cluster.running_tasks();
                if let Some((task, minion, run)) = running.get(at) {
                    let kind = if failed { EndKind::Failed } else { EndKind::Done };
                    self.ended_runs.insert((minion.clone(), *task), *run);
                    self.cluster.end_run(minion, *task, kind);
                }
            }
            Event::Poll { minion } => {
                self.heartbeat(minion);
                if !self.agents[minion].paused {
                    self.cluster.poll(MINIONS[minion]);
                }
            }
            Event::Advance { ms } => {
                // Linked agents renew their leases.
                self.cluster.advance(ms);
                for minion in 0..MINIONS.len() {
                    self.heartbeat(minion);
                    self.expire_lease(minion);
                }
            }
            Event::HoldWrites => self.cluster.confirm_writes = false,
            Event::ConfirmWrites => self.cluster.confirm_pending_writes(),
            Event::TakeOver => {
                self.cluster.confirm_pending_writes();
                // The predecessor's orders may still be carried out.
                let orders = std::mem::take(&mut self.cluster.orders);
                self.delay(orders);
                self.cluster.take_over();
                for minion in 0..MINIONS.len() {
                    self.agents[minion].disconnected = true;
                    self.join(minion);
                }
            }
            Event::DisconnectAgent { minion } => {
                let now = self.cluster.now;
                self.cluster
                    .coordinator
                    .handle_agent_disconnected(&agent_name(MINIONS[minion]), now);
                self.cluster.process_effects();
                // Its orders are lost with the link, or still on their way.
                let lost = self.take_orders_of(minion);
                self.delay(lost);
                self.agents[minion].disconnected = true;
                self.join(minion);
            }
            Event::Join { minion } => self.join(minion),
        }
    }

    /// Removes one of the orders that wait at agents which are not paused.
    fn take_order(&mut self, at: usize) -> Option<Order> {
        let paused = |order: &Order| {
            let agents = MINIONS.iter().zip(&self.agents);
            agents.into_iter().any(|(name, agent)| agent.paused && *name == &*order.minion)
        };
        let mut waiting =
            (0..self.cluster.orders.len()).filter(|i| !paused(&self.cluster.orders[*i]));
        let index = waiting.nth(at)?;
        Some(self.cluster.orders.remove(index))
    }

    fn take_orders_of(&mut self, minion: usize) -> Vec<Order> {
        let orders = std::mem::take(&mut self.cluster.orders);
        let (taken, kept) = orders.into_iter().partition(|o| &*o.minion == MINIONS[minion]);
        self.cluster.orders = kept;
        taken
    }

    /// Keeps orders to be carried out later, except those whose deadline has passed.
    fn delay(&mut self, orders: Vec<Order>) {
        let agents = MINIONS.iter().zip(&self.agents);
        let lease_ended: Vec<&str> =
            agents.filter(|(_, a)| a.lease_ended).map(|(name, _)| *name).collect();
        self.delayed
            .extend(orders.into_iter().filter(|order| !lease_ended.contains(&&*order.minion)));
    }

    fn heartbeat(&mut self, minion: usize) {
        let agent = &mut self.agents[minion];
        if agent.paused || agent.disconnected {
            return;
        }
        agent.last_heartbeat_ms = self.cluster.now.steady_ms;
        agent.lease_ended = false;
        self.cluster.heartbeat(MINIONS[minion]);
    }

    fn join(&mut self, minion: usize) {
        let agent = &mut self.agents[minion];
        if agent.paused {
            return;
        }
        agent.disconnected = false;
        agent.lease_ended = false;
        agent.last_heartbeat_ms = self.cluster.now.steady_ms;
        self.cluster.join(MINIONS[minion], |info| info);
    }

    /// Resumes an agent. If its lease has expired, it refuses the first orders that it reads, and
    /// its next heartbeat is answered before it handles the others. Once the coordinator treats its
    /// runs as ended, it refuses all earlier orders.
    fn resume_agent(&mut self, minion: usize, refused: usize) {
        let agent = self.agents[minion];
        if !agent.paused {
            return;
        }
        self.expire_lease(minion);
        self.agents[minion].paused = false;
        let now_ms = self.cluster.now.steady_ms;
        let lease_expired = now_ms >= agent.last_heartbeat_ms + lease_expiry_bound_ms(LEASE_MS);
        if now_ms >= agent.last_heartbeat_ms + LEASE_MS {
            let count = if lease_expired || agent.disconnected { usize::MAX } else { refused };
            let orders = self.take_orders_of(minion);
            let mut orders = orders.into_iter();
            for order in orders.by_ref().take(count) {
                self.refuse(&order, OrderOutcome::NotSent);
            }
            self.cluster.orders.extend(orders);
        }
        if agent.disconnected {
            self.join(minion);
        } else {
            self.heartbeat(minion);
            self.cluster.poll(MINIONS[minion]);
        }
    }

    /// Ends the runs on a minion whose lease has expired. Starts that it has not carried out by
    /// then are refused as too late, because their deadline is the end of that lease.
    fn expire_lease(&mut self, minion: usize) {
        let agent = &mut self.agents[minion];
        if agent.lease_ended || self.cluster.now.steady_ms < agent.last_heartbeat_ms + LEASE_MS {
            return;
        }
        agent.lease_ended = true;
        let name = Name::from(MINIONS[minion]);
        for (task, run) in self.cluster.running.get(&name).cloned().unwrap_or_default() {
            self.ended_runs.insert((name.clone(), task), run);
            self.cluster.end_run(&name, task, EndKind::LeaseExpired);
        }
        self.delayed.retain(|order| order.minion != name);
    }

    /// Reports an order as not carried out; only starts have specific reasons.
    fn refuse(&mut self, order: &Order, outcome: OrderOutcome) {
        let verb = OrderKindTag::from(&order.kind);
        let outcome = if verb == OrderKindTag::Start { outcome } else { OrderOutcome::NotSent };
        self.cluster.report_result(order, verb, outcome);
    }

    /// Carries out an order as a minion does.
    fn carry_out(&mut self, order: &Order, answered: bool) {
        let key = (order.minion.clone(), order.task);
        let last_ended = self.ended_runs.get(&key).copied().unwrap_or(0);
        let verb = OrderKindTag::from(&order.kind);
        let mut outcome = OrderOutcome::Done;
        let runs = self.cluster.running.entry(order.minion.clone()).or_default();
        match order.kind {
            OrderKind::Start { .. } if order.run <= last_ended => outcome = OrderOutcome::RunIsOver,
            OrderKind::Start { .. } => {
                runs.insert(order.task, order.run);
            }
            OrderKind::Stop => {
                self.ended_runs.insert(key, last_ended.max(order.run));
                if runs.get(&order.task).is_some_and(|run| *run <= order.run) {
                    self.cluster.end_run(&order.minion, order.task, EndKind::Stopped);
                }
            }
            OrderKind::Pace { .. } => {}
        }
        let outcome = if answered { outcome } else { OrderOutcome::NoResponse };
        self.cluster.report_result(order, verb, outcome);
    }

    fn check_no_duplicate_runs(&self) {
        let mut seen: BTreeMap<TaskId, Name> = BTreeMap::new();
        for (task, minion, _) in self.cluster.running_tasks() {
            let other = seen.insert(task, minion.clone());
            assert!(other.is_none(), "{task} runs on {minion} and {other:?}");
        }
    }
}

/// Applies events, lets everything pending finish, and checks that all jobs have ended.
fn run_to_completion(events: Vec<Event>) {
    let mut scenario = Scenario::new();
    for event in events {
        scenario.apply(event);
        scenario.check_no_duplicate_runs();
    }
    scenario.cluster.confirm_pending_writes();
    for minion in 0..MINIONS.len() {
        scenario.apply(Event::ResumeAgent { minion, refused: 1 });
        scenario.check_no_duplicate_runs();
    }
    for _ in 0..60 {
        while !scenario.cluster.orders.is_empty() {
            scenario.apply(Event::CarryOut { answered: true });
            scenario.check_no_duplicate_runs();
        }
        for (at, (task, minion, run)) in scenario.cluster.running_tasks().into_iter().enumerate() {
            if at < 8 {
                scenario.ended_runs.insert((minion.clone(), task), run);
                scenario.cluster.end_run(&minion, task, EndKind::Done);
            }
        }
        for minion in 0..MINIONS.len() {
            scenario.apply(Event::Poll { minion });
        }
        scenario.apply(Event::Advance { ms: 700 });
        scenario.check_no_duplicate_runs();
    }
    for id in 1..=scenario.jobs {
        let state = scenario.cluster.job_state(id);
        assert!(
            matches!(state, CallerResponse::State(JobState::Completed | JobState::Failed)),
            "job {id} is {state:?}; task {:?}",
            task(id, 0, 0)
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Orders are lost, refused, delayed and reordered, agents pause for longer than their leases,
    /// writes are delayed, links break, and coordinators take over. No task ever runs on two
    /// minions at once, and all jobs end.
    #[test]
    fn no_task_runs_twice_at_once_and_all_jobs_end(events in vec(event(), 1..120)) {
        run_to_completion(events);
    }
}

/// Shortest sequences of events that once made a task run on two minions at once.
macro_rules! scenarios {
    ($($(#[$doc:meta])* $name:ident: [$($event:expr),* $(,)?])*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run_to_completion(vec![$($event),*]);
        }
    )*};
}

scenarios! {
    /// A start without a result is repeated. The first copy is refused and the task placed
    /// elsewhere, and then the second copy is carried out: the task runs twice at once.
    one_copy_is_refused_and_the_other_is_carried_out: [
        Event::Submit { count: 1 },
        Event::Advance { ms: 2_500 },
        Event::Refuse { at: 0, outcome: OrderOutcome::NotSent },
        Event::Advance { ms: 150 },
    ]
    /// The same with agents that pause until their leases have expired. Each refuses the first copy
    /// that it reads, and carries out the others once its next heartbeat is answered.
    paused_agent_refuses_one_copy: [
        Event::Submit { count: 1 },
        Event::PauseAgent { minion: 0 },
        Event::PauseAgent { minion: 1 },
        Event::PauseAgent { minion: 2 },
        Event::Advance { ms: 2_550 },
        Event::Advance { ms: 2_550 },
        Event::ResumeAgent { minion: 0, refused: 1 },
        Event::ResumeAgent { minion: 1, refused: 1 },
        Event::ResumeAgent { minion: 2, refused: 1 },
        Event::Advance { ms: 150 },
    ]
}
