//! Submissions while the store does not commit.

use assert_matches::assert_matches;
use geraniumpost_batch::{CallerRequest, CallerResponse, EndKind, JobId};

use crate::cluster::{COMPLETED, Cluster, persistent_step, step};

/// Time after which a store that does not commit is noticed, in milliseconds: a third of the usual
/// deadline of 3 s, and one tick.
const MAX_NOTICE_MS: u64 = 1_100;
/// Response time of a slow store, in milliseconds.
const SLOW_RESPONSE_MS: u64 = 350;

fn assert_refused(cluster: &Cluster, request: u64) {
    assert_matches!(
        cluster.response(request),
        Some(CallerResponse::Refused { retry_after_ms: 1_000.. })
    );
}

fn cluster() -> Cluster {
    Cluster::new().with_admission().with_minions(&["m1", "m2"])
}

/// Returns a cluster whose store is silent; an attempt to write job 1 had no result.
fn cluster_with_silent_store() -> (Cluster, u64) {
    let mut cluster = cluster();
    cluster.confirm_writes = false;
    let request = cluster.submit(1, vec![step(1)]);
    cluster.lose_result_of_first_write();
    (cluster, request)
}

/// The store refuses all writes for four seconds, and jobs arrive each 200 ms.
#[test]
fn submissions_during_a_store_outage_are_refused_at_once() {
    let mut cluster = cluster();
    cluster.refuse_writes_for(60);
    let first = cluster.submit(1, vec![step(1)]);
    cluster.refuse_writes_for(300);
    assert_refused(&cluster, first);
    for job in 2..20 {
        let request = cluster.submit(job, vec![step(1)]);
        assert_refused(&cluster, request);
        cluster.refuse_writes_for(200);
    }
    cluster.confirm_pending_writes();
    let request = cluster.submit(30, vec![step(1)]);
    assert_eq!(cluster.response(request), Some(CallerResponse::Accepted));
    assert_eq!(cluster.coordinator.admission_status().withdrawn, 1);
    assert_eq!(cluster.coordinator.admission_status().not_stored, 18);
}

/// The store is silent, and a job arrives each 100 ms. Those whose write was never sent are refused.
#[test]
fn submissions_to_a_silent_store_are_refused_after_a_third_of_their_deadline() {
    let (mut cluster, first) = cluster_with_silent_store();
    let requests: Vec<u64> = (2..20)
        .map(|job| {
            let request = cluster.submit(job, vec![step(2)]);
            cluster.advance(100);
            request
        })
        .collect();
    assert!(requests.len() as u64 * 100 > MAX_NOTICE_MS);
    for request in &requests {
        assert_refused(&cluster, *request);
    }
    assert_eq!(cluster.response(first), None);
    cluster.confirm_pending_writes();
    assert_eq!(cluster.response(first), Some(CallerResponse::Accepted));
}

/// The store responds after 350 ms. It is slow, and no job is refused.
#[test]
fn slow_store_refuses_nothing() {
    let mut cluster = cluster();
    cluster.confirm_writes = false;
    for job in 1..40 {
        let request = cluster.submit(job, vec![step(1)]);
        cluster.advance(SLOW_RESPONSE_MS);
        let sent_ms = cluster.now.steady_ms - SLOW_RESPONSE_MS;
        cluster.coordinator.record_store_confirmation(sent_ms, cluster.now.steady_ms);
        cluster.confirm_pending_writes();
        cluster.confirm_writes = false;
        assert_eq!(cluster.response(request), Some(CallerResponse::Accepted));
    }
}

/// Each second write is refused. A job waits for the next attempt, and none is refused.
#[test]
fn store_that_refuses_some_writes_refuses_nothing() {
    let mut cluster = cluster();
    for job in 1..40 {
        cluster.confirm_writes = false;
        let request = cluster.submit(job, vec![step(1)]);
        cluster.refuse_pending_writes();
        cluster.advance(60);
        cluster.confirm_pending_writes();
        assert_eq!(cluster.response(request), Some(CallerResponse::Accepted));
    }
}

/// Without the feature, submissions wait until the store commits.
#[test]
fn submissions_wait_for_the_store_without_the_feature() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.confirm_writes = false;
    let request = cluster.submit(1, vec![step(1)]);
    cluster.advance(4_000);
    assert_eq!(cluster.response(request), None);
    cluster.confirm_pending_writes();
    assert_eq!(cluster.response(request), Some(CallerResponse::Accepted));
}

/// A write without a result may have reached the store. If its job were refused, the caller would
/// be told that a job never runs which a successor finds and runs.
#[test]
fn job_with_an_indeterminate_write_is_never_refused() {
    let (mut cluster, first) = cluster_with_silent_store();
    cluster.advance(2_000);
    // The next attempt is refused, which says nothing about the first attempt.
    cluster.refuse_writes_for(1_000);
    let copy = cluster.submit(1, vec![step(1)]);
    cluster.refuse_writes_for(1_000);
    assert_eq!((cluster.response(first), cluster.response(copy)), (None, None));
    cluster.confirm_pending_writes();
    let accepted = Some(CallerResponse::Accepted);
    assert_eq!((cluster.response(first), cluster.response(copy)), (accepted, accepted));
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// A refused write contains records of a job that is stored already and of one that is not. Written
/// again unchanged, it would store and run the job that was refused.
#[test]
fn refused_batch_is_written_later_without_the_withdrawn_job() {
    let mut cluster = cluster();
    cluster.submit(1, vec![step(1)]);
    cluster.carry_out_orders();
    cluster.confirm_writes = false;
    let request = cluster.submit(2, vec![step(16)]);
    cluster.end_all_runs(EndKind::Done);
    cluster.refuse_writes_for(400);
    assert_refused(&cluster, request);
    cluster.confirm_pending_writes();
    assert!(!cluster.is_written(2));
    assert_eq!(cluster.job_state(1), COMPLETED);
    assert_eq!(cluster.job_state(2), CallerResponse::Unknown);
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks(), []);
    assert_eq!(cluster.coordinator.job_and_run_counts(), (1, 0));
}

/// The resources of withdrawn jobs must be free again, or the fleet would seem full after an outage.
#[test]
fn withdrawn_jobs_leave_no_reserved_resources() {
    let mut cluster = cluster();
    cluster.refuse_writes_for(60);
    cluster.submit(1, vec![step(20)]);
    cluster.submit(2, vec![persistent_step(12)]);
    cluster.refuse_writes_for(400);
    cluster.confirm_pending_writes();
    cluster.submit(3, vec![step(32)]);
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks().len(), 32);
}

/// All copies of a submission, which arrived through different entries, get the same answer.
#[test]
fn all_copies_of_a_withdrawn_job_are_refused() {
    let mut cluster = cluster();
    cluster.refuse_writes_for(60);
    let requests = [1, 1, 1].map(|job| cluster.submit(job, vec![step(1)]));
    cluster.refuse_writes_for(400);
    for request in &requests {
        assert_refused(&cluster, *request);
    }
}

/// A caller cancels a job that is not stored yet. The job is kept: a late copy of its submission
/// must not run it after the cancellation was confirmed.
#[test]
fn cancelled_job_is_not_withdrawn() {
    let mut cluster = cluster();
    cluster.refuse_writes_for(60);
    cluster.submit(1, vec![step(1)]);
    let cancel = cluster.request(CallerRequest::Cancel(JobId(1)));
    cluster.refuse_writes_for(1_000);
    assert_eq!(cluster.response(cancel), None);
    cluster.confirm_pending_writes();
    assert_eq!(cluster.response(cancel), Some(CallerResponse::Cancelled));
    cluster.submit(1, vec![step(1)]);
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks(), []);
}

/// Cancels and state reads of stored jobs are not refused: a state read needs no write, and a
/// cancel waits for one.
#[test]
fn cancels_and_state_reads_are_not_refused() {
    let mut cluster = cluster();
    cluster.submit(1, vec![step(1)]);
    cluster.confirm_writes = false;
    let cancel = cluster.request(CallerRequest::Cancel(JobId(1)));
    cluster.refuse_writes_for(2_000);
    assert_matches!(cluster.job_state(1), CallerResponse::State(_));
    assert_eq!(cluster.response(cancel), None);
    cluster.confirm_pending_writes();
    assert_eq!(cluster.response(cancel), Some(CallerResponse::Cancelled));
}

/// The coordinator is lost during an outage. A successor must find no record of a refused job, and
/// the records of all jobs that may have been stored.
#[test]
fn successor_finds_no_refused_job_after_a_takeover_during_an_outage() {
    let (mut cluster, unknown) = cluster_with_silent_store();
    let requests = [2, 3, 4].map(|job| cluster.submit(job, vec![step(1)]));
    cluster.advance(MAX_NOTICE_MS);
    for request in &requests {
        assert_refused(&cluster, *request);
    }
    // The store has applied the write without a result.
    let written = cluster.pending_writes[0].put.clone();
    cluster.store.extend(written);
    cluster.take_over();
    assert_eq!(cluster.response(unknown), None);
    assert_eq!(cluster.store.keys().copied().collect::<Vec<_>>(), [JobId(1)]);
    assert_matches!(cluster.job_state(1), CallerResponse::State(_));
    assert_eq!(cluster.job_state(2), CallerResponse::Unknown);
}

/// A caller's connection is lost during the write of its job, and a copy of its submission arrives
/// before the commit. The copy must not wait for the next write of the job, which may be seconds
/// later.
#[test]
fn copy_that_arrives_during_the_write_is_answered_with_the_commit() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.confirm_writes = false;
    cluster.submit(1, vec![step(1)]);
    let copy = cluster.submit(1, vec![step(1)]);
    assert_eq!(cluster.response(copy), None);
    cluster.confirm_pending_writes();
    assert_eq!(cluster.response(copy), Some(CallerResponse::Accepted));
}
