//! Steps: their order, gangs, spread, labels and repetitions.

use geraniumpost_batch::{
    CallerRequest, CallerResponse, EndKind, JobId, JobSpec, OrderKind, OrderOutcome, OrderVerb,
    StepSpec,
};

use crate::world::{COMPLETED, World, step, task, terms};

#[test]
fn steps_follow_their_predecessors() {
    let mut world = World::new().with_minions(&["m1"]);
    let second = StepSpec { after: vec![0], ..step(1) };
    world.submit(1, vec![step(2), second]);
    world.obey();
    world.end(&"m1".into(), task(1, 0, 0), EndKind::Done);
    world.look("m1");
    assert!(world.orders.is_empty());
    world.end(&"m1".into(), task(1, 0, 1), EndKind::Done);
    world.look("m1");
    assert_eq!(world.orders.len(), 1);
    assert_eq!(world.orders[0].task, task(1, 1, 0));
    world.obey();
    world.end_all(EndKind::Done);
    assert_eq!(world.state(1), COMPLETED);
}

/// Some members of a gang are started, and the others find no room. Those that wait would hold
/// their room in vain, so none is started before all fit.
#[test]
fn gang_starts_whole_or_not_at_all() {
    let mut world = World::new().with_minions(&["m1"]);
    let gang = StepSpec { gang: true, ..step(20) };
    world.submit(1, vec![gang]);
    assert!(world.orders.is_empty());
    world.join("m2", |info| info);
    world.pass(200);
    assert_eq!(world.orders.len(), 20);
    assert!(world.orders.iter().all(|order| order.run == 1));
}

/// One member of a gang fails, which breaks the others. All start again with one common number.
#[test]
fn broken_gang_starts_again_together() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.submit(1, vec![StepSpec { gang: true, ..step(3) }]);
    world.obey();
    let places = world.places();
    for (at, (task, minion, _)) in places.iter().enumerate() {
        world.end(minion, *task, if at == 0 { EndKind::Failed } else { EndKind::GangMemberEnded });
    }
    world.look("m1");
    world.look("m2");
    world.pass(300);
    let starts = world.orders.iter().filter(|order| order.kind != OrderKind::Stop);
    let starts: Vec<_> = starts.map(|order| order.run).collect();
    assert_eq!(starts, [2, 2, 2]);
}

#[test]
fn spread_bound_holds_per_minion() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.submit(1, vec![StepSpec { max_per_minion: 2, ..step(6) }]);
    world.obey();
    assert_eq!(world.running["m1"].len(), 2);
    assert_eq!(world.running["m2"].len(), 2);
}

#[test]
fn label_is_required() {
    let mut world = World::new().with_minions(&["m1"]);
    world.join("m2", |mut info| {
        info.labels = vec!["b".into(), "r2".into()];
        info
    });
    world.submit(1, vec![StepSpec { required_label: "b".into(), ..step(1) }]);
    assert_eq!(&*world.orders[0].minion, "m2");
}

#[test]
fn work_goes_to_the_rack_of_its_data() {
    let mut world = World::new().with_minions(&["m1"]);
    world.join("m2", |mut info| {
        info.labels = vec!["a".into(), "r2".into()];
        info
    });
    world.submit(1, vec![StepSpec { data_rack: "r2".into(), ..step(3) }]);
    assert!(world.orders.iter().all(|order| &*order.minion == "m2"));
}

#[test]
fn no_minion_is_given_more_than_it_holds() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(40)]);
    assert_eq!(world.orders.len(), 16);
}

/// Repetitions begin when they are due, not before, and the job is complete after the last.
#[test]
fn repetitions_begin_when_due() {
    let mut world = World::new().with_minions(&["m1"]);
    let spec = JobSpec {
        payload: "work".into(),
        steps: vec![step(1)],
        repeat: 2,
        first_due_ms: world.now.wall_ms + 1_000,
        interval_ms: 2_000,
    };
    world.ask(CallerRequest::Submit { job: JobId(1), spec, terms: terms() });
    world.pass(900);
    assert!(world.orders.is_empty());
    world.pass(200);
    assert_eq!(world.orders.len(), 1);
    world.obey();
    world.end_all(EndKind::Done);
    assert_ne!(world.state(1), COMPLETED);
    world.pass(2_000);
    assert_eq!(world.orders.len(), 1);
    assert_eq!(world.orders[0].task.occurrence, 1);
    world.obey();
    world.end_all(EndKind::Done);
    assert_eq!(world.state(1), COMPLETED);
}

/// A step that waits for itself could never begin, and its caller would wait for ever.
#[test]
fn impossible_order_of_steps_is_refused() {
    let mut world = World::new();
    let ticket = world.submit(1, vec![StepSpec { after: vec![0], ..step(1) }]);
    assert_eq!(world.answer(ticket), Some(CallerResponse::Invalid));
    assert_eq!(world.state(1), CallerResponse::Unknown);
}

#[test]
fn pending_counts_jobs_that_have_not_begun() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(1)]);
    world.submit(2, vec![step(40)]);
    world.submit(3, vec![step(1)]);
    let pending = |world: &mut World| {
        let ticket = world.ask(CallerRequest::Pending("studies".into()));
        world.answer(ticket)
    };
    assert_eq!(pending(&mut world), Some(CallerResponse::Pending(3)));
    world.obey();
    assert_eq!(pending(&mut world), Some(CallerResponse::Pending(1)));
}

/// A queue whose steps need approval: tasks begin only where the admission service allows it, with
/// its ticket, and one question serves all of them.
#[test]
fn tasks_begin_only_where_they_are_approved() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    let terms = geraniumpost_batch::QueueTerms { needs_approval: true, ..terms() };
    world.submit_as(1, vec![step(3)], terms);
    assert!(world.orders.is_empty());
    assert_eq!(world.questions.len(), 1);
    let question = world.questions.remove(0);
    assert_eq!(question.1.len(), 2);
    world.approve(&question, Some(&["m2"]));
    assert_eq!(world.orders.len(), 3);
    for order in &world.orders {
        assert_eq!(&*order.minion, "m2");
        assert!(matches!(&order.kind, OrderKind::Start { ticket, .. } if &**ticket == "t-1"));
    }
    assert!(world.questions.is_empty());
}

/// A ticket has run out before the minion got the start. Nothing began, and the step is asked for
/// again.
#[test]
fn expired_ticket_is_asked_for_again() {
    let mut world = World::new().with_minions(&["m1"]);
    let terms = geraniumpost_batch::QueueTerms { needs_approval: true, ..terms() };
    world.submit_as(1, vec![step(1)], terms);
    let question = world.questions.remove(0);
    world.approve(&question, Some(&["m1"]));
    let order = world.orders.remove(0);
    world.result(&order, OrderVerb::Start, OrderOutcome::BadTicket);
    world.pass(300);
    assert!(world.orders.is_empty());
    assert_eq!(world.questions.len(), 1);
}

/// The admission service is slow: a question is put again, now with a minion that has joined since, before
/// the first one is answered. That answer approves nothing, and says nothing of the minion that it was not
/// asked about. Were that one taken for refused, it would never be asked about again, and the caller's job
/// would wait for ever beside a free minion.
#[test]
fn late_answer_speaks_only_for_the_minions_that_it_was_asked_about() {
    let mut world = World::new().with_minions(&["m1"]);
    let terms = geraniumpost_batch::QueueTerms { needs_approval: true, ..terms() };
    world.submit_as(1, vec![step(1)], terms);
    let first = world.questions.remove(0);
    world.join("m2", |info| info);
    world.pass(2_100);
    let second = world.questions.remove(0);
    assert_eq!((first.1.len(), second.1.len()), (1, 2));
    world.approve(&first, Some(&[]));
    world.approve(&second, None);
    world.pass(2_100);
    let third = world.questions.remove(0);
    assert_eq!(third.1, ["m2".into()]);
    world.approve(&third, Some(&["m2"]));
    assert!(matches!(&world.orders[..], [order] if &*order.minion == "m2"));
}

/// The question that was put again is answered first, and approves both minions. The late answer to the
/// first one must not take a minion's approval back.
#[test]
fn late_answer_takes_no_approval_back() {
    let mut world = World::new().with_minions(&["m1"]);
    let terms = geraniumpost_batch::QueueTerms { needs_approval: true, ..terms() };
    world.submit_as(1, vec![step(18)], terms);
    let first = world.questions.remove(0);
    world.join("m2", |info| info);
    world.pass(2_100);
    let second = world.questions.remove(0);
    world.approve(&second, Some(&["m1", "m2"]));
    world.approve(&first, Some(&["m1"]));
    world.obey();
    assert_eq!(world.places().len(), 18);
}

/// Two members of a gang fail in the same run. That is one failed attempt of the gang, and its queue
/// allows two; the job goes on.
#[test]
fn gang_fails_once_a_run() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.submit(1, vec![StepSpec { gang: true, ..step(3) }]);
    world.obey();
    for (at, (task, minion, _)) in world.places().iter().enumerate() {
        world.end(minion, *task, if at < 2 { EndKind::Failed } else { EndKind::GangMemberEnded });
    }
    world.look("m1");
    world.look("m2");
    world.pass(300);
    assert_eq!(world.state(1), CallerResponse::State(geraniumpost_batch::JobState::Running));
    world.obey();
    let running = world.places();
    assert_eq!(running.iter().map(|(.., run)| *run).collect::<Vec<_>>(), [2, 2, 2]);
    let (task, minion, _) = running[0].clone();
    world.end(&minion, task, EndKind::Failed);
    world.look(&minion);
    assert_eq!(world.state(1), CallerResponse::State(geraniumpost_batch::JobState::Failed));
}
