//! Log lines about tasks that wait for a minion, and about minions that cannot be reached.

use geraniumpost_batch::tuning::STORE_OUTAGE_TOLERANCE_MS;
use geraniumpost_batch::{
    Demand, EndKind, FromAgent, MinionInfo, OrderKindTag, OrderOutcome, StepSpec,
    lease_expiry_bound_ms,
};

use crate::cluster::{
    Cluster, LEASE_MS, agent_name, minion_info, persistent_step, step, task, terms,
};

/// Waiting time after which a persistent task must have been logged, in milliseconds.
const PERSISTENT_TASK_LOGGED_AFTER_MS: u64 = 2_600;
/// Waiting time after which a task with an end must have been logged, in milliseconds.
const OTHER_TASK_LOGGED_AFTER_MS: u64 = 5_600;

fn small_step(milli_cpus: i64) -> StepSpec {
    StepSpec { demand: Demand { milli_cpus, memory_mb: 100, accelerators: 0 }, ..step(1) }
}

fn log_lines_with(cluster: &Cluster, part: &str) -> Vec<String> {
    cluster.log_lines.iter().filter(|line| line.contains(part)).cloned().collect()
}

fn last_log_line_with(cluster: &Cluster, part: &str) -> String {
    log_lines_with(cluster, part).pop().unwrap_or_default()
}

/// Returns the value of `name=value` in a log line, or `None` if the line has no such field.
fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

fn number_field(line: &str, name: &str) -> u64 {
    let value = field_value(line, name).unwrap_or_else(|| panic!("no {name} in: {line}"));
    value.parse().unwrap_or_else(|_| panic!("{name} is not a number in: {line}"))
}

/// Calls `arrange` to set up a cluster in which the persistent step of job 7 cannot be placed, and
/// returns the log line about that step.
fn not_placed_line(arrange: impl Fn(&mut Cluster)) -> String {
    let mut cluster = Cluster::new();
    arrange(&mut cluster);
    cluster.advance(PERSISTENT_TASK_LOGGED_AFTER_MS);
    last_log_line_with(&cluster, "event=not_placed job=0000000000000007")
}

/// Checks that the log line names the expected reason for rejecting the only minion, and no other
/// reason.
macro_rules! rejection_is_named {
    ($($case:ident: $reason:literal, $arrange:expr;)*) => {$(
        #[test]
        fn $case() {
            let line = not_placed_line($arrange);
            let (_, reasons) = line.split_once(" minions=").expect("a line was written");
            assert_eq!(reasons, concat!("1 ", $reason, "=1"), "{line}");
        }
    )*};
}

rejection_is_named! {
    missing_link_is_logged: "not_linked", |cluster: &mut Cluster| {
        cluster.join("m1", |info| info);
        cluster.disconnect_agent("m1");
        cluster.submit(7, vec![persistent_step(1)]);
    };
    minion_known_only_from_records_is_logged: "not_linked", |cluster: &mut Cluster| {
        cluster.join("m1", |info| info);
        cluster.submit(1, vec![step(1)]);
        cluster.carry_out_orders();
        cluster.submit(7, vec![StepSpec { required_label: "b".into(), ..persistent_step(1) }]);
        cluster.take_over();
    };
    unreported_minion_is_logged: "not_reported", |cluster: &mut Cluster| {
        cluster.join("m1", |info| info);
        cluster.submit(1, vec![step(1)]);
        cluster.carry_out_orders();
        cluster.submit(7, vec![StepSpec { required_label: "b".into(), ..persistent_step(1) }]);
        cluster.take_over();
        cluster.send("m1", FromAgent::Hello { agent: agent_name("m1") });
    };
    missing_poll_is_logged: "not_polled", |cluster: &mut Cluster| {
        cluster.send("m1", FromAgent::Hello { agent: agent_name("m1") });
        cluster.send("m1", FromAgent::Minion(minion_info("m1")));
        cluster.heartbeat("m1");
        cluster.submit(7, vec![persistent_step(1)]);
    };
    unresponsive_minion_is_logged_as_reason: "no_answer", |cluster: &mut Cluster| {
        cluster.join("m1", |info| info);
        cluster.heartbeat_with_unresponsive_minion("m1");
        cluster.submit(7, vec![persistent_step(1)]);
    };
    draining_is_logged: "draining", |cluster: &mut Cluster| {
        cluster.join("m1", |info| MinionInfo { draining: true, ..info });
        cluster.submit(7, vec![persistent_step(1)]);
    };
    other_service_is_logged: "other_service", |cluster: &mut Cluster| {
        cluster.join("m1", |info| MinionInfo { service: "filing".into(), draining: true, ..info });
        cluster.submit(7, vec![persistent_step(1)]);
    };
    missing_label_is_logged: "label", |cluster: &mut Cluster| {
        cluster.join("m1", |info| info);
        cluster.submit(7, vec![StepSpec { required_label: "b".into(), ..persistent_step(1) }]);
    };
    lack_of_capacity_is_logged: "no_capacity", |cluster: &mut Cluster| {
        cluster.join("m1", |info| info);
        cluster.submit(1, vec![step(16)]);
        cluster.submit(7, vec![persistent_step(1)]);
    };
    spread_limit_is_logged: "spread", |cluster: &mut Cluster| {
        cluster.join("m1", |info| info);
        cluster.submit(7, vec![StepSpec { max_per_minion: 1, ..persistent_step(2) }]);
        cluster.carry_out_orders();
    };
    missing_approval_is_logged: "no_approval", |cluster: &mut Cluster| {
        cluster.join("m1", |info| info);
        let mut terms = terms();
        terms.needs_approval = true;
        cluster.submit_with_terms(7, vec![persistent_step(1)], terms);
    };
    capacity_reserved_for_short_tasks_is_logged: "reserved_for_short", |cluster: &mut Cluster| {
        cluster.join("m1", |info| info);
        cluster.submit(1, vec![small_step(15_000)]);
        cluster.carry_out_orders();
        cluster.submit(7, vec![StepSpec { persistent: true, ..small_step(800) }]);
    };
}

/// A minion on which two jobs in a row failed is quarantined. The first quarantine ends before a
/// line about a waiting task is due, so only a minion that fails repeatedly is logged as
/// quarantined.
#[test]
fn quarantined_minion_is_logged() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    for round in 0..3 {
        cluster.submit(10 + round, vec![step(1)]);
        cluster.submit(20 + round, vec![step(1)]);
        cluster.carry_out_orders();
        cluster.end_all_runs(EndKind::Failed);
        cluster.advance(200);
        if round == 0 {
            cluster.submit(7, vec![StepSpec { required_label: "a".into(), ..persistent_step(1) }]);
        }
        cluster.advance(2_400);
        cluster.carry_out_orders();
        cluster.end_all_runs(EndKind::Failed);
    }
    cluster.advance(PERSISTENT_TASK_LOGGED_AFTER_MS);
    let logged = log_lines_with(&cluster, "event=not_placed");
    assert!(
        logged.iter().any(|line| line.ends_with("minions=1 quarantined=1")),
        "{:?}",
        cluster.log_lines
    );
}

/// The only minion would run a best-effort task too slowly.
#[test]
fn minion_that_is_too_slow_is_logged() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let best_effort = |count| StepSpec { best_effort: true, image: "sift".into(), ..step(count) };
    // Other tasks of the job are running, so the next one waits for a minion at full speed.
    cluster.submit(7, vec![best_effort(40)]);
    cluster.carry_out_orders();
    cluster.advance(OTHER_TASK_LOGGED_AFTER_MS);
    let line = last_log_line_with(&cluster, "event=not_placed");
    assert!(line.ends_with("minions=1 too_slow=1"), "{line}");
}

/// The line gives the number of minions for each reason of rejection.
#[test]
fn minions_are_counted_by_rejection() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2", "m3"]);
    cluster.join("m4", |info| MinionInfo { draining: true, ..info });
    cluster.join("m5", |info| MinionInfo { labels: vec![], ..info });
    let labelled = |step| StepSpec { required_label: "a".into(), ..step };
    cluster.submit(1, vec![labelled(step(48))]);
    cluster.carry_out_orders();
    cluster.disconnect_agent("m3");
    cluster.submit(7, vec![step(1), labelled(persistent_step(3))]);
    cluster.advance(PERSISTENT_TASK_LOGGED_AFTER_MS);
    let line = last_log_line_with(&cluster, "event=not_placed");
    assert!(
        line.starts_with(
            "event=not_placed job=0000000000000007 step=0.1 first=0 waiting=3 ran=0 waited_ms="
        ),
        "{line}"
    );
    assert!(line.ends_with("minions=5 not_linked=1 label=1 draining=1 no_capacity=2"), "{line}");
}

/// The line of a persistent task says how long it has been down, counted from the end of its run,
/// and that it ran before.
#[test]
fn logged_wait_counts_from_the_end_of_the_run() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(7, vec![persistent_step(2)]);
    cluster.carry_out_orders();
    cluster.poll("m1");
    for _ in 0..4 {
        cluster.advance(2_500);
        cluster.heartbeat("m1");
    }
    assert!(log_lines_with(&cluster, "event=not_placed").is_empty());
    cluster.join("m1", |info| MinionInfo { draining: true, sequence: 2, ..info });
    cluster.end_run(&"m1".into(), task(7, 0, 1), EndKind::Failed);
    cluster.poll("m1");
    cluster.advance(PERSISTENT_TASK_LOGGED_AFTER_MS);
    let line = last_log_line_with(&cluster, "event=not_placed");
    assert_eq!((number_field(&line, "first"), number_field(&line, "waiting")), (1, 1), "{line}");
    assert_eq!(number_field(&line, "ran"), 1, "{line}");
    assert!(
        (2_000..=PERSISTENT_TASK_LOGGED_AFTER_MS).contains(&number_field(&line, "waited_ms")),
        "{line}"
    );
}

/// If a task waits only for the backoff after a refused start, its line gives the remaining backoff
/// (`pause_ms`) and the number of minions with capacity for the task (`fits`).
#[test]
fn backoff_is_logged() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(7, vec![persistent_step(1)]);
    // The minion refuses each start for lack of capacity, and each refusal starts a new backoff.
    for _ in 0..PERSISTENT_TASK_LOGGED_AFTER_MS / 100 {
        while let Some(order) = cluster.orders.pop() {
            cluster.report_result(&order, OrderKindTag::Start, OrderOutcome::NoCapacity);
        }
        cluster.advance(100);
    }
    let line = last_log_line_with(&cluster, "event=not_placed");
    assert!((1..=150).contains(&number_field(&line, "pause_ms")), "{line}");
    assert!(line.ends_with("minions=1 fits=1"), "{line}");
}

/// If only some members of a gang fit, its line gives the size of the gang and the number of
/// minions that have capacity for at least one member.
#[test]
fn gang_is_logged_with_its_size() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(7, vec![StepSpec { gang: true, ..step(20) }]);
    cluster.advance(OTHER_TASK_LOGGED_AFTER_MS);
    let line = last_log_line_with(&cluster, "event=not_placed");
    assert_eq!(
        (number_field(&line, "waiting"), number_field(&line, "gang_size")),
        (20, 20),
        "{line}"
    );
    assert_eq!(number_field(&line, "fits"), 1, "{line}");
}

/// Tasks with an end often wait in normal operation, so they are logged after a longer wait than
/// persistent tasks. Each step is logged at most once in five seconds.
#[test]
fn lines_on_a_step_are_delayed_and_rate_limited() {
    let mut cluster = Cluster::new();
    cluster.submit(1, vec![step(1)]);
    cluster.submit(2, vec![persistent_step(1)]);
    cluster.advance(1_900);
    assert!(log_lines_with(&cluster, "event=not_placed").is_empty());
    cluster.advance(700);
    assert_eq!(log_lines_with(&cluster, "event=not_placed").len(), 1);
    cluster.advance(2_000);
    assert_eq!(log_lines_with(&cluster, "event=not_placed").len(), 1);
    cluster.advance(1_000);
    assert_eq!(log_lines_with(&cluster, "job=0000000000000001 step").len(), 1);
    cluster.advance(20_000);
    assert_eq!(log_lines_with(&cluster, "job=0000000000000001 step").len(), 5);
    assert_eq!(log_lines_with(&cluster, "job=0000000000000002 step").len(), 5);
}

/// Hundreds of steps wait under overload. At most four lines are written per second, persistent
/// steps are logged first, every step is logged eventually, and the field `omitted` gives the
/// number of steps that were due but not logged.
#[test]
fn lines_on_waiting_tasks_are_rate_limited() {
    let mut cluster = Cluster::new();
    for id in 1..=300 {
        cluster.submit(id, vec![step(1)]);
    }
    for id in 301..=303 {
        cluster.submit(id, vec![persistent_step(1)]);
    }
    cluster.advance(10_000);
    let logged = log_lines_with(&cluster, "event=not_placed");
    let first: Vec<u64> = logged[..3].iter().map(|line| job_field(line)).collect();
    assert_eq!(first, [301, 302, 303]);
    assert!((20..=40).contains(&logged.len()), "{}", logged.len());
    let omitted =
        logged.iter().filter_map(|line| field_value(line, "omitted")).map(|n| n.parse().unwrap());
    assert!((295..=300).contains(&omitted.max().unwrap_or(0)));
    cluster.log_lines.clear();
    cluster.advance(100_000);
    let logged = log_lines_with(&cluster, "event=not_placed");
    assert!((350..=400).contains(&logged.len()), "{}", logged.len());
    let seen: std::collections::BTreeSet<u64> = logged.iter().map(|line| job_field(line)).collect();
    assert!(seen.len() >= 303, "only {} steps were logged", seen.len());
}

fn job_field(line: &str) -> u64 {
    u64::from_str_radix(field_value(line, "job").expect("a job"), 16).expect("a hexadecimal number")
}

/// A step does not count as waiting while some of its tasks are placed every few seconds.
#[test]
fn step_that_makes_progress_is_not_logged() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(64)]);
    for _ in 0..3 {
        cluster.carry_out_orders();
        cluster.advance(3_000);
        cluster.heartbeat("m1");
        cluster.end_all_runs(EndKind::Done);
    }
    assert!(log_lines_with(&cluster, "event=not_placed").is_empty(), "{:?}", cluster.log_lines);
}

/// Tasks of a disconnected agent's minion count as running until the agent's lease has expired. One
/// line gives the remaining wait, and the expiry is logged as well.
#[test]
fn lease_of_a_disconnected_agent_is_logged() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![persistent_step(2), step(1)]);
    cluster.carry_out_orders();
    cluster.poll("m1");
    cluster.advance(3_000);
    cluster.heartbeat("m1");
    cluster.disconnect_agent("m1");
    cluster.advance(600);
    let logged = log_lines_with(&cluster, "event=unreachable");
    assert_eq!(logged.len(), 1, "{:?}", cluster.log_lines);
    assert!(logged[0].starts_with(
        "minion=m1 agent=agent-m1 event=unreachable linked=false runs=3 persistent=2 wait_ms="
    ));
    assert_eq!(field_value(&logged[0], "lease_of"), Some("coordinator"));
    let remaining_ms = number_field(&logged[0], "wait_ms");
    assert!(
        (lease_expiry_bound_ms(LEASE_MS) - 600..lease_expiry_bound_ms(LEASE_MS))
            .contains(&remaining_ms)
    );
    cluster.advance(remaining_ms - 600);
    assert!(log_lines_with(&cluster, "event=lease_expired").is_empty());
    cluster.advance(1_200);
    assert_eq!(log_lines_with(&cluster, "event=lease_expired").len(), 1);
    assert_eq!(log_lines_with(&cluster, "event=unreachable").len(), 1);
}

/// The lease of a minion that does not respond to its agent is not extended, although the agent's
/// link is open. The line says that the lease was extended by the current coordinator.
#[test]
fn lease_of_an_unresponsive_minion_is_logged() {
    let mut cluster = Cluster::with_running_job(&["m1"], persistent_step(1));
    cluster.poll("m1");
    cluster.advance(1_500);
    cluster.heartbeat_with_unresponsive_minion("m1");
    cluster.advance(600);
    let line = last_log_line_with(&cluster, "event=unreachable");
    assert_eq!(
        (field_value(&line, "linked"), field_value(&line, "lease_of")),
        (Some("true"), Some("coordinator"))
    );
}

/// An agent that links again and is disconnected a second time is logged a second time.
#[test]
fn each_disconnection_is_logged() {
    let mut cluster = Cluster::with_running_job(&["m1"], persistent_step(1));
    cluster.advance(1_000);
    for _ in 0..2 {
        cluster.disconnect_agent("m1");
        cluster.advance(1_000);
        cluster.join("m1", |info| info);
        cluster.advance(1_000);
    }
    assert_eq!(log_lines_with(&cluster, "event=unreachable").len(), 2);
}

/// One agent does not link after a takeover from a silent predecessor. The log lines contain the
/// remaining wait for predecessor leases, name the unreachable minion, and say that a predecessor
/// extended the minion's lease (`lease_of=predecessor`).
#[test]
fn wait_for_predecessor_leases_is_logged() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.submit(1, vec![StepSpec { max_per_minion: 1, ..persistent_step(2) }]);
    cluster.carry_out_orders();
    cluster.take_over_from_silent_coordinator();
    cluster.advance(100);
    let first = last_log_line_with(&cluster, "event=predecessor_lease_wait");
    let predecessor_wait_ms = lease_expiry_bound_ms(LEASE_MS) + STORE_OUTAGE_TOLERANCE_MS;
    assert_eq!(number_field(&first, "wait_ms"), predecessor_wait_ms - 100);
    assert_eq!(
        (number_field(&first, "minions_with_runs"), number_field(&first, "not_linked")),
        (2, 2)
    );
    cluster.join("m2", |info| info);
    assert!(log_lines_with(&cluster, "event=unreachable").is_empty());
    cluster.advance(1_200);
    let logged = log_lines_with(&cluster, "event=predecessor_lease_wait");
    assert_eq!((logged.len(), number_field(&logged[1], "not_linked")), (2, 1));
    let logged = log_lines_with(&cluster, "event=unreachable");
    assert_eq!(logged.len(), 1, "{logged:?}");
    assert_eq!(
        (field_value(&logged[0], "minion"), field_value(&logged[0], "runs")),
        (Some("m1"), Some("1"))
    );
    assert_eq!(field_value(&logged[0], "lease_of"), Some("predecessor"));
    let remaining_ms = number_field(&logged[0], "wait_ms");
    assert!((predecessor_wait_ms - 1_300..=predecessor_wait_ms - 1_000).contains(&remaining_ms));
}

/// No agent links after a takeover. The number of lines is bounded, minions with persistent tasks
/// are logged first, and the field `omitted` gives the number of minions that were not logged.
#[test]
fn lines_on_unreachable_minions_are_rate_limited() {
    let names: Vec<String> = (10..60).map(|n| format!("m{n}")).collect();
    let mut cluster = Cluster::new();
    for name in &names {
        cluster.join(name, |info| info);
    }
    cluster.submit(1, vec![StepSpec { max_per_minion: 1, ..step(50) }]);
    cluster.submit(2, vec![persistent_step(1)]);
    cluster.carry_out_orders();
    cluster.take_over();
    cluster.advance(2_000);
    let logged = log_lines_with(&cluster, "event=unreachable");
    assert!((2..=6).contains(&logged.len()), "{}", logged.len());
    assert_eq!(field_value(&logged[0], "persistent"), Some("1"));
    assert_eq!(field_value(&logged[0], "omitted"), Some("48"));
}

/// Minions lack capacity for a persistent task. A count of such minions does not say whether short
/// runs or other persistent runs are in the way, or how much is missing; the line does.
#[test]
fn missing_capacity_is_logged_with_its_holders() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![persistent_step(4)]);
    cluster.submit(2, vec![step(8)]);
    cluster.carry_out_orders();
    cluster.submit(3, vec![step(2)]);
    let wide = Demand { milli_cpus: 5_000, memory_mb: 2_000, accelerators: 0 };
    cluster.submit(7, vec![StepSpec { demand: wide, ..persistent_step(1) }]);
    cluster.advance(PERSISTENT_TASK_LOGGED_AFTER_MS);
    let line = last_log_line_with(&cluster, "event=not_placed job=0000000000000007");
    assert_eq!(field_value(&line, "nearest"), Some("m1"), "{line}");
    assert_eq!(number_field(&line, "lacks_milli_cpus"), 3_000, "{line}");
    assert_eq!(number_field(&line, "lacks_memory_mb"), 0, "{line}");
    assert_eq!(field_value(&line, "persistent"), Some("4000m/4000MB"), "{line}");
    assert_eq!(field_value(&line, "ending"), Some("8000m/8000MB"), "{line}");
    assert_eq!(field_value(&line, "unstarted"), Some("2000m/2000MB"), "{line}");
    assert_eq!(field_value(&line, "best_effort"), Some("0m/0MB"), "{line}");
}
