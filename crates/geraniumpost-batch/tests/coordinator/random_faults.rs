//! Random sequences of faults, under which each task runs at most once at a time and every job
//! ends.

use std::collections::BTreeMap;

use geraniumpost_batch::{
    CallerResponse, EndKind, Feature, JobState, Order, OrderKind, OrderKindTag, OrderOutcome,
    StepSpec, TaskId, lease_expiry_bound_ms,
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
    /// A minion carries out the next order. If the response is lost, the agent reports the order as
    /// unanswered.
    CarryOut {
        response_arrives: bool,
    },
    /// The order at index `at` overtakes earlier ones, and the agent or the minion refuses it.
    Refuse {
        at: usize,
        outcome: OrderOutcome,
    },
    /// The order at index `at` overtakes earlier ones and is carried out.
    CarryOutOfOrder {
        at: usize,
    },
    /// An agent's process pauses, while its link stays open and orders to it are queued.
    PauseAgent {
        minion: usize,
    },
    /// An agent resumes. If its lease has expired, it refuses `refused` orders before its next
    /// heartbeat extends the lease.
    ResumeAgent {
        minion: usize,
        refused: usize,
    },
    /// The agent reports the next order as unanswered. A later `CarryOutDelayed` carries it out.
    DelayOrder,
    /// The order that was delayed last is carried out, and the response is lost.
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

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (1..4_u32).prop_map(|count| Event::Submit { count }),
        6 => proptest::bool::weighted(0.8)
            .prop_map(|response_arrives| Event::CarryOut { response_arrives }),
        2 => (0..4_usize, any_refusal()).prop_map(|(at, outcome)| Event::Refuse { at, outcome }),
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
        // May exceed `ORDER_RESULT_TIMEOUT_MS`, after which a start without a result is sent again.
        1 => (800..3_000_u64).prop_map(|ms| Event::Advance { ms }),
        1 => Just(Event::HoldWrites),
        2 => Just(Event::ConfirmWrites),
        1 => Just(Event::TakeOver),
        1 => (0..3_usize).prop_map(|minion| Event::DisconnectAgent { minion }),
        3 => (0..3_usize).prop_map(|minion| Event::Join { minion }),
    ]
}

fn any_refusal() -> impl Strategy<Value = OrderOutcome> {
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

/// State of an agent and its lease.
#[derive(Debug, Clone, Copy, Default)]
struct AgentState {
    /// Time at which the heartbeat that last extended the lease was sent, on the monotonic clock.
    last_heartbeat_ms: u64,
    paused: bool,
    /// Whether the agent has no link to the current coordinator.
    disconnected: bool,
    /// Whether the agent's lease has expired and its minion has ended all runs.
    lease_ended: bool,
}

/// A cluster, and the state of agents and minions that [`Cluster`] does not simulate.
struct Scenario {
    cluster: Cluster,
    agents: [AgentState; 3],
    /// Orders in flight that may still be carried out.
    delayed: Vec<Order>,
    /// Highest run number that was stopped or has ended, by minion and task.
    ended_runs: BTreeMap<(Name, TaskId), u32>,
    /// Number of submitted jobs, which is also the id of the last one.
    jobs: u64,
    /// Whether every second job allows copies.
    copies_allowed: bool,
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
            copies_allowed: false,
        }
    }

    /// Returns a scenario in which ended runs have shown how long runs take, so that slow ones get
    /// copies if their jobs allow that.
    fn with_copies() -> Self {
        let mut scenario = Self::new();
        scenario.cluster =
            Cluster::new().with_features(&[Feature::Stragglers]).with_minions(&MINIONS);
        scenario.copies_allowed = true;
        scenario.jobs = 1;
        scenario.cluster.submit(1, vec![step(12)]);
        scenario.cluster.carry_out_orders();
        scenario.cluster.advance(100);
        for (task, minion, run) in scenario.cluster.running_tasks() {
            scenario.ended_runs.insert((minion, task), run);
        }
        scenario.cluster.end_all_runs(EndKind::Done);
        scenario.cluster.default_percent = 0;
        scenario.apply_event(Event::Advance { ms: 100 });
        scenario
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::Submit { count } => {
                self.jobs += 1;
                let id = self.jobs;
                let copies_allowed = self.copies_allowed && id.is_multiple_of(2);
                self.cluster.submit(id, vec![StepSpec { copies_allowed, ..step(count) }]);
            }
            Event::CarryOut { response_arrives } => {
                if let Some(order) = self.take_order(0) {
                    self.carry_out(&order, response_arrives);
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
                    let kind_tag = OrderKindTag::from(&order.kind);
                    self.cluster.report_result(&order, kind_tag, OrderOutcome::NoResponse);
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
                // Agents that are linked and not paused send heartbeats, which extend their leases.
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
                // Orders on the link are lost or still in flight; treat all as in flight.
                let lost = self.take_orders_of(minion);
                self.delay(lost);
                self.agents[minion].disconnected = true;
                self.join(minion);
            }
            Event::Join { minion } => self.join(minion),
        }
    }

    /// Removes the order at index `at` among the orders to agents that are not paused.
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

    /// Keeps orders that are to be carried out later. Drops orders to minions whose lease has
    /// expired, because the deadline of these orders has passed.
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

    /// Resumes an agent. If its lease has expired, the agent refuses the first `refused` orders
    /// and sends a heartbeat, which extends the lease, before it handles the other orders. With an
    /// expired lease it refuses all orders if it is disconnected or the coordinator may consider
    /// its runs ended.
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

    /// Ends the runs on a minion once its lease has expired. Delayed orders are dropped: the minion
    /// would refuse the starts as too late, because their deadline is the end of the lease.
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

    /// Reports an order as refused, with `outcome` as the reason for a start; the only reason for
    /// other orders is that they were not sent.
    fn refuse(&mut self, order: &Order, outcome: OrderOutcome) {
        let kind_tag = OrderKindTag::from(&order.kind);
        let outcome = if kind_tag == OrderKindTag::Start { outcome } else { OrderOutcome::NotSent };
        self.cluster.report_result(order, kind_tag, outcome);
    }

    /// Carries out an order as a minion does: a start is refused if its run has ended, and a stop
    /// also prevents later starts of the same run.
    fn carry_out(&mut self, order: &Order, response_arrives: bool) {
        let key = (order.minion.clone(), order.task);
        let last_ended = self.ended_runs.get(&key).copied().unwrap_or(0);
        let kind_tag = OrderKindTag::from(&order.kind);
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
        let outcome = if response_arrives { outcome } else { OrderOutcome::NoResponse };
        self.cluster.report_result(order, kind_tag, outcome);
    }

    fn check_no_duplicate_runs(&self) {
        let mut seen: BTreeMap<TaskId, Name> = BTreeMap::new();
        for (task, minion, _) in self.cluster.running_tasks() {
            if self.copies_allowed && task.job.0.is_multiple_of(2) {
                continue;
            }
            let other = seen.insert(task, minion.clone());
            assert!(other.is_none(), "{task} runs on {minion} and {other:?}");
        }
    }
}

/// Applies events, lets all pending orders and tasks finish, and checks that all jobs have ended.
fn run_to_completion(events: Vec<Event>) {
    complete_scenario(Scenario::new(), events);
}

/// Does the same with a scenario, and returns it.
fn complete_scenario(mut scenario: Scenario, events: Vec<Event>) -> Scenario {
    for event in events {
        scenario.apply_event(event);
        scenario.check_no_duplicate_runs();
    }
    scenario.cluster.confirm_pending_writes();
    for minion in 0..MINIONS.len() {
        scenario.apply_event(Event::ResumeAgent { minion, refused: 1 });
        scenario.check_no_duplicate_runs();
    }
    for _ in 0..60 {
        while !scenario.cluster.orders.is_empty() {
            scenario.apply_event(Event::CarryOut { response_arrives: true });
            scenario.check_no_duplicate_runs();
        }
        for (at, (task, minion, run)) in scenario.cluster.running_tasks().into_iter().enumerate() {
            if at < 8 {
                scenario.ended_runs.insert((minion.clone(), task), run);
                scenario.cluster.end_run(&minion, task, EndKind::Done);
            }
        }
        for minion in 0..MINIONS.len() {
            scenario.apply_event(Event::Poll { minion });
        }
        scenario.apply_event(Event::Advance { ms: 700 });
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
    scenario
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Orders are lost, refused, delayed and reordered, agents pause for longer than their leases,
    /// writes are delayed, links break, and coordinators take over. No task ever runs on two
    /// minions at once, and all jobs end.
    #[test]
    fn no_task_runs_twice_at_once_and_all_jobs_end(events in vec(any_event(), 1..120)) {
        run_to_completion(events);
    }

    /// The same faults happen while slow runs have copies. Tasks of jobs that forbid copies never
    /// run on two minions at once, all jobs end, and no run remains accounted.
    #[test]
    fn copies_end_under_faults(events in vec(any_event(), 1..120)) {
        let scenario = complete_scenario(Scenario::with_copies(), events);
        prop_assert_eq!(scenario.cluster.running_tasks(), []);
        prop_assert_eq!(scenario.cluster.coordinator.job_and_run_counts().1, 0);
        let counts = scenario.cluster.coordinator.copy_counts();
        let ended = counts.won + counts.promoted + counts.wasted;
        prop_assert_eq!(counts.started, ended);
    }
}

/// The property above tests nothing if its scenarios have no copies.
#[test]
fn scenarios_with_copies_have_copies() {
    let mut scenario = Scenario::with_copies();
    let events = vec![
        Event::Submit { count: 1 },
        Event::CarryOut { response_arrives: true },
        Event::Advance { ms: 1_000 },
    ];
    for event in events {
        scenario.apply_event(event);
    }
    assert_eq!(scenario.cluster.coordinator.copy_counts().started, 1);
}

/// Defines regression tests from minimal sequences of events that made a task run on two minions at
/// once.
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
    /// A start without a result is repeated, and the first copy is refused. If the task were placed
    /// elsewhere then, it would run twice at once when the second copy is carried out.
    one_copy_is_refused_and_the_other_is_carried_out: [
        Event::Submit { count: 1 },
        Event::Advance { ms: 2_500 },
        Event::Refuse { at: 0, outcome: OrderOutcome::NotSent },
        Event::Advance { ms: 150 },
    ]
    /// Agents pause until their leases have expired, while starts are repeated. Each agent refuses
    /// the first copy of a start, and carries out the others after its next heartbeat.
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
