//! Requests to the admission service, which handles one request at a time.

use geraniumpost_batch::{
    CallerRequest, Demand, EndKind, JobId, MinionInfo, OrderKind, OrderKindTag, OrderOutcome,
    QueueTerms, StepSpec, TaskId,
};
use geraniumpost_schema::Name;

use crate::cluster::{COMPLETED, Cluster, step, task, terms};

const MINIONS: [&str; 3] = ["m1", "m2", "m3"];
/// Time that the service takes for a request, in milliseconds.
const REQUEST_MS: u64 = 50;

type Request = (TaskId, Vec<Name>);

fn terms_of(queue: &str) -> QueueTerms {
    QueueTerms { queue: queue.into(), needs_approval: true, ..terms() }
}

fn submit(cluster: &mut Cluster, id: u64, steps: Vec<StepSpec>) {
    cluster.submit_with_terms(id, steps, terms_of("studies"));
}

/// Lets the service respond to the oldest request with the approval of all minions, lets all tasks
/// start and end, and returns the request.
fn respond(cluster: &mut Cluster) -> Option<Request> {
    if cluster.approval_requests.is_empty() {
        return None;
    }
    let request = cluster.approval_requests.remove(0);
    cluster.respond_to_approval_request(&request, Some(&MINIONS));
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Done);
    Some(request)
}

/// Returns the jobs of the next `count` requests, each of which gets a response.
fn next_jobs(cluster: &mut Cluster, count: usize) -> Vec<u64> {
    (0..count)
        .map(|_| {
            cluster.advance(REQUEST_MS);
            respond(cluster).expect("a request is in flight").0.job.0
        })
        .collect()
}

/// The terms of the queue require approval. Tasks start only on approved minions, with the ticket
/// of the admission service, and one approval request covers all tasks of a step.
#[test]
fn tasks_start_only_on_approved_minions() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    let terms = terms_of("studies");
    cluster.submit_with_terms(1, vec![step(3)], terms);
    assert!(cluster.orders.is_empty());
    assert_eq!(cluster.approval_requests.len(), 1);
    let request = cluster.approval_requests.remove(0);
    assert_eq!(request.1.len(), 2);
    cluster.respond_to_approval_request(&request, Some(&["m2"]));
    assert_eq!(cluster.orders.len(), 3);
    for order in &cluster.orders {
        assert_eq!(&*order.minion, "m2");
        assert!(matches!(&order.kind, OrderKind::Start { ticket, .. } if &**ticket == "t-1"));
    }
    assert!(cluster.approval_requests.is_empty());
}

/// A ticket expires before the minion receives the start. The start is refused, and approval is
/// requested again.
#[test]
fn approval_is_requested_again_after_a_ticket_expires() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let terms = terms_of("studies");
    cluster.submit_with_terms(1, vec![step(1)], terms);
    let request = cluster.approval_requests.remove(0);
    cluster.respond_to_approval_request(&request, Some(&["m1"]));
    let order = cluster.orders.remove(0);
    cluster.report_result(&order, OrderKindTag::Start, OrderOutcome::BadTicket);
    cluster.advance(300);
    assert!(cluster.orders.is_empty());
    assert_eq!(cluster.approval_requests.len(), 1);
}

/// The admission service is slow. A second request, which includes a minion that has just joined,
/// is sent before the response to the first. That late response rejects the first minion, and does
/// not cover the new one. If the new minion counted as refused, approval for it would never be
/// requested again, and the job would wait forever although a minion is free.
#[test]
fn late_approval_response_covers_only_the_requested_minions() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let terms = terms_of("studies");
    cluster.submit_with_terms(1, vec![step(1)], terms);
    let first = cluster.approval_requests.remove(0);
    cluster.join("m2", |info| info);
    cluster.advance(2_100);
    let second = cluster.approval_requests.remove(0);
    assert_eq!((first.1.len(), second.1.len()), (1, 2));
    cluster.respond_to_approval_request(&first, Some(&[]));
    cluster.respond_to_approval_request(&second, None);
    cluster.advance(2_100);
    let third = cluster.approval_requests.remove(0);
    assert_eq!(third.1, ["m2".into()]);
    cluster.respond_to_approval_request(&third, Some(&["m2"]));
    assert!(matches!(&cluster.orders[..], [order] if &*order.minion == "m2"));
}

/// The response to the second approval request arrives first and approves both minions. The late
/// response to the first request, which did not include m2, must not withdraw the approval of m2.
#[test]
fn late_approval_response_withdraws_no_approval() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let terms = terms_of("studies");
    cluster.submit_with_terms(1, vec![step(18)], terms);
    let first = cluster.approval_requests.remove(0);
    cluster.join("m2", |info| info);
    cluster.advance(2_100);
    let second = cluster.approval_requests.remove(0);
    cluster.respond_to_approval_request(&second, Some(&["m1", "m2"]));
    cluster.respond_to_approval_request(&first, Some(&["m1"]));
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks().len(), 18);
}

/// Guards against requests that are repeated while they wait: a burst of jobs left a backlog that
/// grew forever, although the usual load is well below what the service can decide.
#[test]
fn backlog_of_a_burst_is_worked_off() {
    const JOBS_PER_S: u64 = 13;
    const BURST_PERCENT: u64 = 260;
    const BURST_MS: std::ops::Range<u64> = 1_000..5_000;
    const DURATION_MS: u64 = 16_000;
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    let (mut submitted, mut due_millionths) = (0, 0);
    for at_ms in (0..DURATION_MS).step_by(REQUEST_MS as usize) {
        let percent = if BURST_MS.contains(&at_ms) { BURST_PERCENT } else { 100 };
        due_millionths += REQUEST_MS * JOBS_PER_S * percent * 10;
        while submitted * 1_000_000 < due_millionths {
            submitted += 1;
            submit(&mut cluster, submitted, vec![step(1)]);
        }
        cluster.advance(REQUEST_MS);
        respond(&mut cluster);
        assert!(cluster.approval_requests.len() <= 1, "at {at_ms} ms");
    }
    // The last second's jobs may still wait.
    let unfinished = (1..=submitted - JOBS_PER_S).filter(|id| cluster.job_state(*id) != COMPLETED);
    assert_eq!(unfinished.collect::<Vec<_>>(), Vec::<u64>::new());
}

/// Guards against requests for jobs that no longer need them, which delay all others.
#[test]
fn nothing_is_requested_for_cancelled_jobs() {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    for id in 1..=10 {
        submit(&mut cluster, id, vec![step(1)]);
    }
    for id in 2..10 {
        cluster.request(CallerRequest::Cancel(JobId(id)));
    }
    assert_eq!(next_jobs(&mut cluster, 2), [1, 10]);
    cluster.advance(REQUEST_MS);
    assert_eq!(cluster.approval_requests, []);
}

/// Guards against requests for minions that have left meanwhile.
#[test]
fn minions_are_chosen_when_the_request_is_sent() {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    submit(&mut cluster, 1, vec![step(1)]);
    submit(&mut cluster, 2, vec![step(1)]);
    cluster.crash("m1");
    cluster.join("m4", |info| info);
    respond(&mut cluster);
    let (step, mut minions) = cluster.approval_requests.remove(0);
    minions.sort();
    assert_eq!(step.job, JobId(2));
    assert_eq!(minions, ["m2", "m3", "m4"].map(Name::from));
}

/// Guards against a job of many steps that holds back the other jobs of its queue.
#[test]
fn job_of_many_steps_takes_turns_with_others() {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    submit(&mut cluster, 1, (0..40).map(|_| step(1)).collect());
    cluster.advance(REQUEST_MS);
    submit(&mut cluster, 2, vec![step(1)]);
    submit(&mut cluster, 3, vec![step(1)]);
    assert_eq!(next_jobs(&mut cluster, 5), [1, 1, 2, 3, 1]);
}

/// Guards against a queue with many jobs that holds back the other queues.
#[test]
fn queues_take_turns() {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    for id in 1..=20 {
        cluster.submit_with_terms(id, vec![step(1)], terms_of("long"));
    }
    for id in 21..=22 {
        cluster.submit_with_terms(id, vec![step(1)], terms_of("short"));
    }
    assert_eq!(next_jobs(&mut cluster, 6), [1, 21, 2, 22, 3, 4]);
}

/// Guards against a step without any approved minion that keeps others from being requested.
#[test]
fn refused_step_does_not_hold_back_others() {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    submit(&mut cluster, 1, vec![step(1)]);
    submit(&mut cluster, 2, vec![step(1)]);
    let refused = cluster.approval_requests.remove(0);
    assert_eq!(refused.0, task(1, 0, 0));
    cluster.respond_to_approval_request(&refused, Some(&[]));
    assert_eq!(next_jobs(&mut cluster, 1), [2]);
    cluster.advance(REQUEST_MS);
    assert_eq!(cluster.approval_requests, []);
}

/// Guards against a flood of requests to a service that rejects all, and against a step whose
/// requests fail and that keeps others from being requested.
#[test]
fn failed_requests_are_repeated_in_turn_after_a_pause() {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    for id in 1..=3 {
        submit(&mut cluster, id, vec![step(1)]);
    }
    let mut jobs = Vec::new();
    for _ in 0..40 {
        cluster.advance(REQUEST_MS);
        while let Some(request) = cluster.approval_requests.pop() {
            cluster.respond_to_approval_request(&request, None);
            jobs.push(request.0.job.0);
        }
    }
    assert_eq!(jobs[..4], [1, 2, 3, 1]);
    assert!(jobs.len() <= 8, "{} requests in 2 s", jobs.len());
}

/// Guards against a response for a job that is over, which nobody would know to be in vain, and
/// after which no further request would be sent.
#[test]
fn response_for_a_job_that_is_over_is_logged_and_the_next_request_is_sent() {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    submit(&mut cluster, 1, vec![step(1)]);
    submit(&mut cluster, 2, vec![step(1)]);
    let unused = cluster.approval_requests.remove(0);
    cluster.request(CallerRequest::Cancel(JobId(1)));
    assert_eq!(cluster.approval_requests, []);
    cluster.respond_to_approval_request(&unused, Some(&MINIONS));
    assert_eq!(next_jobs(&mut cluster, 1), [2]);
    assert!(cluster.log_lines.iter().any(|line| line.starts_with("event=approval_unused")));
}

/// Guards against requests for minions without room for the task, which would be in vain.
#[test]
fn minions_without_room_are_not_requested() {
    let mut cluster = Cluster::new();
    cluster.join("m1", |info| MinionInfo {
        capacity: Demand { milli_cpus: 500, ..info.capacity },
        ..info
    });
    cluster.join("m2", |info| info);
    submit(&mut cluster, 1, vec![step(1)]);
    assert_eq!(cluster.approval_requests, [(task(1, 0, 0), vec!["m2".into()])]);
}
