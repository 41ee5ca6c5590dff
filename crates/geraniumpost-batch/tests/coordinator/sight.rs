//! What the logs tell of tasks that wait, and of minions that cannot be reached.

use geraniumpost_batch::tuning::STORE_OUTAGE_TOLERANCE_MS;
use geraniumpost_batch::{
    Demand, EndKind, FromAgent, MinionInfo, OrderOutcome, OrderVerb, StepSpec,
    lease_expiry_bound_ms,
};

use crate::world::{HOLD_MS, World, agent, minion, standing, step, task, terms};

/// Wait in milliseconds after which a line on a standing task is surely written.
const STANDING_TOLD_MS: u64 = 2_600;
/// Wait in milliseconds after which a line on any other task is surely written.
const OTHERS_TOLD_MS: u64 = 5_600;

fn small(milli_cpus: i64) -> StepSpec {
    StepSpec { demand: Demand { milli_cpus, memory_mb: 100, accelerators: 0 }, ..step(1) }
}

fn lines(world: &World, part: &str) -> Vec<String> {
    world.notes.iter().filter(|line| line.contains(part)).cloned().collect()
}

fn last(world: &World, part: &str) -> String {
    lines(world, part).pop().unwrap_or_default()
}

/// Returns the value of a field of a line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

fn number(line: &str, name: &str) -> u64 {
    let value = field(line, name).unwrap_or_else(|| panic!("no {name} in: {line}"));
    value.parse().unwrap_or_else(|_| panic!("{name} is no number in: {line}"))
}

/// Lets `arrange` make a world in which the standing step 7 finds no place, and returns its line.
fn line_of(arrange: impl Fn(&mut World)) -> String {
    let mut world = World::new();
    arrange(&mut world);
    world.pass(STANDING_TOLD_MS);
    last(&world, "event=not_placed job=0000000000000007")
}

/// Checks that a bound which keeps the only minion out is named, and no other one.
macro_rules! bound_is_named {
    ($($case:ident: $reason:literal, $arrange:expr;)*) => {$(
        #[test]
        fn $case() {
            let line = line_of($arrange);
            let (_, reasons) = line.split_once(" minions=").expect("a line was written");
            assert_eq!(reasons, concat!("1 ", $reason, "=1"), "{line}");
        }
    )*};
}

bound_is_named! {
    no_link_is_named: "not_linked", |world: &mut World| {
        world.join("m1", |info| info);
        world.lose_agent("m1");
        world.submit(7, vec![standing(1)]);
    };
    minion_of_records_is_named: "not_linked", |world: &mut World| {
        world.join("m1", |info| info);
        world.submit(1, vec![step(1)]);
        world.obey();
        world.submit(7, vec![StepSpec { required_label: "b".into(), ..standing(1) }]);
        world.take_over();
    };
    minion_not_heard_of_is_named: "not_reported", |world: &mut World| {
        world.join("m1", |info| info);
        world.submit(1, vec![step(1)]);
        world.obey();
        world.submit(7, vec![StepSpec { required_label: "b".into(), ..standing(1) }]);
        world.take_over();
        world.say("m1", FromAgent::Hello { agent: agent("m1") });
    };
    missing_look_is_named: "not_polled", |world: &mut World| {
        world.say("m1", FromAgent::Hello { agent: agent("m1") });
        world.say("m1", FromAgent::Minion(minion("m1")));
        world.beat("m1");
        world.submit(7, vec![standing(1)]);
    };
    silence_is_named: "no_answer", |world: &mut World| {
        world.join("m1", |info| info);
        world.beat_without_answer("m1");
        world.submit(7, vec![standing(1)]);
    };
    leaving_is_named: "draining", |world: &mut World| {
        world.join("m1", |info| MinionInfo { draining: true, ..info });
        world.submit(7, vec![standing(1)]);
    };
    service_is_named: "other_service", |world: &mut World| {
        world.join("m1", |info| MinionInfo { service: "filing".into(), draining: true, ..info });
        world.submit(7, vec![standing(1)]);
    };
    label_is_named: "label", |world: &mut World| {
        world.join("m1", |info| info);
        world.submit(7, vec![StepSpec { required_label: "b".into(), ..standing(1) }]);
    };
    lack_of_room_is_named: "no_capacity", |world: &mut World| {
        world.join("m1", |info| info);
        world.submit(1, vec![step(16)]);
        world.submit(7, vec![standing(1)]);
    };
    spread_is_named: "spread", |world: &mut World| {
        world.join("m1", |info| info);
        world.submit(7, vec![StepSpec { max_per_minion: 1, ..standing(2) }]);
        world.obey();
    };
    approval_is_named: "no_approval", |world: &mut World| {
        world.join("m1", |info| info);
        let mut terms = terms();
        terms.needs_approval = true;
        world.submit_as(7, vec![standing(1)], terms);
    };
    room_for_short_tasks_is_named: "reserved_for_short", |world: &mut World| {
        world.join("m1", |info| info);
        world.submit(1, vec![small(15_000)]);
        world.obey();
        world.submit(7, vec![StepSpec { persistent: true, ..small(800) }]);
    };
}

/// A minion that failed two jobs in a row gets nothing for a while, which ends before a line on a
/// waiting task is due; one that fails on is named in the line.
#[test]
fn shunned_minion_is_named() {
    let mut world = World::new().with_minions(&["m1"]);
    for round in 0..3 {
        world.submit(10 + round, vec![step(1)]);
        world.submit(20 + round, vec![step(1)]);
        world.obey();
        world.end_all(EndKind::Failed);
        world.pass(200);
        if round == 0 {
            world.submit(7, vec![StepSpec { required_label: "a".into(), ..standing(1) }]);
        }
        world.pass(2_400);
        world.obey();
        world.end_all(EndKind::Failed);
    }
    world.pass(STANDING_TOLD_MS);
    let told = lines(&world, "event=not_placed");
    assert!(told.iter().any(|line| line.ends_with("minions=1 quarantined=1")), "{:?}", world.notes);
}

/// What fills finds only a minion that would work it too slowly.
#[test]
fn slow_place_is_named() {
    let mut world = World::new().with_minions(&["m1"]);
    let filling = |count| StepSpec { best_effort: true, image: "sift".into(), ..step(count) };
    // The job is not idle, so that its next task waits for a place at speed.
    world.submit(7, vec![filling(40)]);
    world.obey();
    world.pass(OTHERS_TOLD_MS);
    let line = last(&world, "event=not_placed");
    assert!(line.ends_with("minions=1 too_slow=1"), "{line}");
}

/// Each kind of minion is counted under the bound that keeps it out.
#[test]
fn minions_are_counted_by_bound() {
    let mut world = World::new().with_minions(&["m1", "m2", "m3"]);
    world.join("m4", |info| MinionInfo { draining: true, ..info });
    world.join("m5", |info| MinionInfo { labels: vec![], ..info });
    let labelled = |step| StepSpec { required_label: "a".into(), ..step };
    world.submit(1, vec![labelled(step(48))]);
    world.obey();
    world.lose_agent("m3");
    world.submit(7, vec![step(1), labelled(standing(3))]);
    world.pass(STANDING_TOLD_MS);
    let line = last(&world, "event=not_placed");
    assert!(
        line.starts_with(
            "event=not_placed job=0000000000000007 step=0.1 first=0 waiting=3 ran=0 waited_ms="
        ),
        "{line}"
    );
    assert!(line.ends_with("minions=5 not_linked=1 label=1 draining=1 no_capacity=2"), "{line}");
}

/// A standing task's line says how long it has been down, counted from the end of its run, and that
/// it ran before.
#[test]
fn wait_counts_from_the_end_of_the_run() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(7, vec![standing(2)]);
    world.obey();
    world.look("m1");
    for _ in 0..4 {
        world.pass(2_500);
        world.beat("m1");
    }
    assert!(lines(&world, "event=not_placed").is_empty());
    world.join("m1", |info| MinionInfo { draining: true, sequence: 2, ..info });
    world.end(&"m1".into(), task(7, 0, 1), EndKind::Failed);
    world.look("m1");
    world.pass(STANDING_TOLD_MS);
    let line = last(&world, "event=not_placed");
    assert_eq!((number(&line, "first"), number(&line, "waiting")), (1, 1), "{line}");
    assert_eq!(number(&line, "ran"), 1, "{line}");
    assert!((2_000..=STANDING_TOLD_MS).contains(&number(&line, "waited_ms")), "{line}");
}

/// A task that waits only for its pause is told as such, with the minions that would take it.
#[test]
fn pause_is_named() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(7, vec![standing(1)]);
    // The minion refuses for lack of room again and again, and each time the task pauses.
    for _ in 0..STANDING_TOLD_MS / 100 {
        while let Some(order) = world.orders.pop() {
            world.result(&order, OrderVerb::Start, OrderOutcome::NoCapacity);
        }
        world.pass(100);
    }
    let line = last(&world, "event=not_placed");
    assert!((1..=150).contains(&number(&line, "pause_ms")), "{line}");
    assert!(line.ends_with("minions=1 fits=1"), "{line}");
}

/// A gang for which there is room for some members only waits beside minions that take one.
#[test]
fn gang_is_told_with_its_size() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(7, vec![StepSpec { gang: true, ..step(20) }]);
    world.pass(OTHERS_TOLD_MS);
    let line = last(&world, "event=not_placed");
    assert_eq!((number(&line, "waiting"), number(&line, "gang_size")), (20, 20), "{line}");
    assert_eq!(number(&line, "fits"), 1, "{line}");
}

/// Waiting is ordinary for tasks that end, so that their lines come later; and each step has a line
/// once in five seconds only.
#[test]
fn lines_come_late_and_seldom() {
    let mut world = World::new();
    world.submit(1, vec![step(1)]);
    world.submit(2, vec![standing(1)]);
    world.pass(1_900);
    assert!(lines(&world, "event=not_placed").is_empty());
    world.pass(700);
    assert_eq!(lines(&world, "event=not_placed").len(), 1);
    world.pass(2_000);
    assert_eq!(lines(&world, "event=not_placed").len(), 1);
    world.pass(1_000);
    assert_eq!(lines(&world, "job=0000000000000001 step").len(), 1);
    world.pass(20_000);
    assert_eq!(lines(&world, "job=0000000000000001 step").len(), 5);
    assert_eq!(lines(&world, "job=0000000000000002 step").len(), 5);
}

/// Hundreds of steps wait under overload. Lines stay at four a second, standing steps come first,
/// every step has its turn, and the lines say how many more were due.
#[test]
fn lines_stay_bounded() {
    let mut world = World::new();
    for id in 1..=300 {
        world.submit(id, vec![step(1)]);
    }
    for id in 301..=303 {
        world.submit(id, vec![standing(1)]);
    }
    world.pass(10_000);
    let told = lines(&world, "event=not_placed");
    let first: Vec<u64> = told[..3].iter().map(|line| job_number(line)).collect();
    assert_eq!(first, [301, 302, 303]);
    assert!((20..=40).contains(&told.len()), "{}", told.len());
    let most = told.iter().filter_map(|line| field(line, "omitted")).map(|n| n.parse().unwrap());
    assert!((295..=300).contains(&most.max().unwrap_or(0)));
    world.notes.clear();
    world.pass(100_000);
    let told = lines(&world, "event=not_placed");
    assert!((350..=400).contains(&told.len()), "{}", told.len());
    let seen: std::collections::BTreeSet<u64> = told.iter().map(|line| job_number(line)).collect();
    assert!(seen.len() >= 303, "only {} steps had a line", seen.len());
}

fn job_number(line: &str) -> u64 {
    u64::from_str_radix(field(line, "job").expect("a job"), 16).expect("a hexadecimal number")
}

/// A step whose tasks find places one after the other makes progress, and is not told as waiting.
#[test]
fn progress_is_no_wait() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(64)]);
    for _ in 0..3 {
        world.obey();
        world.pass(3_000);
        world.beat("m1");
        world.end_all(EndKind::Done);
    }
    assert!(lines(&world, "event=not_placed").is_empty(), "{:?}", world.notes);
}

/// An agent is cut off. Its minion's tasks are kept until its own lease has lapsed, which the line
/// says once; the end of the wait is told as before.
#[test]
fn lease_of_a_lost_agent_is_told() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![standing(2), step(1)]);
    world.obey();
    world.look("m1");
    world.pass(3_000);
    world.beat("m1");
    world.lose_agent("m1");
    world.pass(600);
    let told = lines(&world, "event=unreachable");
    assert_eq!(told.len(), 1, "{:?}", world.notes);
    assert!(told[0].starts_with(
        "minion=m1 agent=agent-m1 event=unreachable linked=false runs=3 persistent=2 wait_ms="
    ));
    assert_eq!(field(&told[0], "lease_of"), Some("coordinator"));
    let left_ms = number(&told[0], "wait_ms");
    assert!(
        (lease_expiry_bound_ms(HOLD_MS) - 600..lease_expiry_bound_ms(HOLD_MS)).contains(&left_ms)
    );
    world.pass(left_ms - 600);
    assert!(lines(&world, "event=lease_expired").is_empty());
    world.pass(1_200);
    assert_eq!(lines(&world, "event=lease_expired").len(), 1);
    assert_eq!(lines(&world, "event=unreachable").len(), 1);
}

/// A minion does not answer its agent, whose link is open: its lease is not extended either.
#[test]
fn silent_minion_is_told() {
    let mut world = World::at_work(&["m1"], standing(1));
    world.look("m1");
    world.pass(1_500);
    world.beat_without_answer("m1");
    world.pass(600);
    let line = last(&world, "event=unreachable");
    assert_eq!(
        (field(&line, "linked"), field(&line, "lease_of")),
        (Some("true"), Some("coordinator"))
    );
}

/// The agent comes back and is lost again, which is told again.
#[test]
fn each_loss_is_told() {
    let mut world = World::at_work(&["m1"], standing(1));
    world.pass(1_000);
    for _ in 0..2 {
        world.lose_agent("m1");
        world.pass(1_000);
        world.join("m1", |info| info);
        world.pass(1_000);
    }
    assert_eq!(lines(&world, "event=unreachable").len(), 2);
}

/// A successor takes over from a silent predecessor, and one agent does not link. The lines say how
/// long the inherited wait is, that it decides, and which minion is missing.
#[test]
fn inherited_wait_is_told() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.submit(1, vec![StepSpec { max_per_minion: 1, ..standing(2) }]);
    world.obey();
    world.take_over_from_silent();
    world.pass(100);
    let first = last(&world, "event=predecessor_lease_wait");
    let inherited_ms = lease_expiry_bound_ms(HOLD_MS) + STORE_OUTAGE_TOLERANCE_MS;
    assert_eq!(number(&first, "wait_ms"), inherited_ms - 100);
    assert_eq!((number(&first, "minions_with_runs"), number(&first, "not_linked")), (2, 2));
    world.join("m2", |info| info);
    assert!(lines(&world, "event=unreachable").is_empty());
    world.pass(1_200);
    let told = lines(&world, "event=predecessor_lease_wait");
    assert_eq!((told.len(), number(&told[1], "not_linked")), (2, 1));
    let told = lines(&world, "event=unreachable");
    assert_eq!(told.len(), 1, "{told:?}");
    assert_eq!((field(&told[0], "minion"), field(&told[0], "runs")), (Some("m1"), Some("1")));
    assert_eq!(field(&told[0], "lease_of"), Some("predecessor"));
    let left_ms = number(&told[0], "wait_ms");
    assert!((inherited_ms - 1_300..=inherited_ms - 1_000).contains(&left_ms));
}

/// After a takeover no agent links. The lines stay bounded, tell minions with standing tasks first,
/// and say how many were left out.
#[test]
fn lines_on_lost_minions_stay_bounded() {
    let names: Vec<String> = (10..60).map(|n| format!("m{n}")).collect();
    let mut world = World::new();
    for name in &names {
        world.join(name, |info| info);
    }
    world.submit(1, vec![StepSpec { max_per_minion: 1, ..step(50) }]);
    world.submit(2, vec![standing(1)]);
    world.obey();
    world.take_over();
    world.pass(2_000);
    let told = lines(&world, "event=unreachable");
    assert!((2..=6).contains(&told.len()), "{}", told.len());
    assert_eq!(field(&told[0], "persistent"), Some("1"));
    assert_eq!(field(&told[0], "omitted"), Some("48"));
}
