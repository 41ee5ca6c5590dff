//! Decisions of a new placer on a fleet of two idle workers.

use assert_matches::assert_matches;
use geraniumpost_core::Millis;
use geraniumpost_core::placement::{
    Decision, Fleet, PlacementRequest, Placer, Reason, TaskView, WorkerView,
};
use geraniumpost_schema::{Document, Name, Priority, Resources};
use rand::SeedableRng;
use rand::rngs::StdRng;

const fn amount(milli_cpus: u64, memory_mb: u64) -> Resources {
    Resources { milli_cpus, memory_mb, accelerators: 0 }
}

fn document() -> Document {
    serde_json::from_value(serde_json::json!({
        "customers": {
            "entel": {"token_sha256": "0", "quota": {}},
            "claro": {"token_sha256": "0", "quota": {"milli_cpus": 4000}},
        },
        "services": {}, "classes": {}, "domains": {}, "operators": {}, "policy": {},
    }))
    .expect("a document")
}

/// A fleet of two idle workers. `w1` is larger than `w2`.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.put_worker(WorkerView::new("w1", "surco", "r1", amount(8000, 16000)));
    fleet.put_worker(WorkerView::new("w2", "ate", "r2", amount(4000, 8000)));
    fleet
}

fn place(requests: &[PlacementRequest], fleet: &Fleet) -> Vec<Decision> {
    let mut rng = StdRng::seed_from_u64(1);
    Placer::new(&document()).place(Millis(1000), requests, fleet, &mut rng)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $requests:expr => $check:expr;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            let check: fn(&[Decision]) = $check;
            check(&place(&$requests, &fleet()));
        })*
    };
}

cases! {
    starts_job_that_fits: [PlacementRequest::new("j", "entel", "study", amount(6000, 100))]
        => |decided| {
        assert_matches!(&decided[0], Decision::Start { worker, .. } if worker.as_str() == "w1");
    };
    waits_during_back_off: [
        PlacementRequest::new("j", "entel", "study", amount(1, 1)).not_before(Millis(1001)),
    ] => |decided| {
        assert_matches!(decided[0], Decision::Wait { reason: Reason::BackOff { .. }, .. });
    };
    respects_customer_quota: [
        PlacementRequest::new("a", "claro", "study", amount(3000, 1)),
        PlacementRequest::new("b", "claro", "study", amount(3000, 1)).submitted(Millis(1)),
    ] => |decided| {
        assert_matches!(decided[0], Decision::Start { .. });
        assert_matches!(decided[1], Decision::Wait { reason: Reason::QuotaReached { .. }, .. });
    };
    starts_urgent_before_normal: [
        PlacementRequest::new("normal", "entel", "study", amount(8000, 1)),
        PlacementRequest::new("urgent", "entel", "study", amount(8000, 1))
            .priority(Priority::Urgent).submitted(Millis(9)),
    ] => |decided| {
        assert_matches!(&decided[0], Decision::Start { job, .. } if job.as_str() == "urgent");
        assert_matches!(decided[1], Decision::Wait { .. });
    };
    avoids_excluded_workers: [
        PlacementRequest::new("j", "entel", "study", amount(6000, 1))
            .excluded(vec![Name::from("w1")]),
    ] => |decided| {
        assert_matches!(decided[0], Decision::Wait { .. });
    };
    /// A job needs more memory than any VM has. If it were not rejected it would wait forever, and
    /// the customer would notice only after the job's deadline.
    rejects_job_larger_than_any_worker: [
        PlacementRequest::new("j", "entel", "study", amount(1, 16001)),
    ] => |decided| {
        let text = decided[0].to_string();
        assert_matches!(decided[0], Decision::Impossible { .. });
        assert!(text.contains("needs 16001 of memory, the largest worker w1 offers 16000"), "{text}");
    };
    rejects_job_larger_than_quota: [PlacementRequest::new("j", "claro", "study", amount(4001, 1))]
        => |decided| {
        assert_matches!(
            decided[0],
            Decision::Impossible { reason: Reason::ExceedsQuota { .. }, .. }
        );
    };
}

/// A planner that has just taken over knows only some of the workers. Jobs that fit only on the
/// others must not be rejected as impossible.
#[test]
fn rejects_no_job_while_workers_announce_themselves() {
    let mut fleet = fleet();
    fleet.set_awaiting_workers(true);
    let decided = place(&[PlacementRequest::new("j", "entel", "study", amount(9000, 1))], &fleet);
    assert_matches!(decided[0], Decision::Wait { reason: Reason::AwaitingWorkers, .. });
}

/// A task uses more than it declared. If only the declared need counted, another job would be
/// started on the VM, which would be overcommitted.
#[test]
fn counts_measured_usage_above_declared_need() {
    let mut fleet = fleet();
    let task = TaskView::new("big", "entel", "study", amount(1000, 1), Millis(0));
    assert!(fleet.add_task(&Name::from("w1"), task.usage(amount(7000, 1))));
    let decided = place(&[PlacementRequest::new("j", "entel", "study", amount(5000, 1))], &fleet);
    assert_matches!(decided[0], Decision::Wait { reason: Reason::NoCapacity { .. }, .. });
}

/// The agent's ledger has reserved more than the planner allocated. The ledger would refuse a
/// start, and the job would have to wait for a back-off, so the planner starts no job there.
#[test]
fn respects_ledger_reservations() {
    let mut fleet = fleet();
    assert!(fleet.set_reserved(&Name::from("w1"), amount(6000, 1)));
    let decided = place(&[PlacementRequest::new("j", "entel", "study", amount(5000, 1))], &fleet);
    assert_matches!(decided[0], Decision::Wait { reason: Reason::NoCapacity { .. }, .. });
}

/// Guards against jobs that are started in an evacuated failure domain, although its worker would be
/// the best or the only place.
#[test]
fn evacuated_domain_gets_no_job() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut document = document();
    let domain = |evacuated| geraniumpost_schema::Domain { evacuated, region: "lima".into() };
    document.domains.insert("surco".into(), domain(Some(true)));
    document.domains.insert("ate".into(), domain(Some(false)));
    let small = PlacementRequest::new("j1", "entel", "study", amount(1000, 1000));
    let large = PlacementRequest::new("j2", "entel", "study", amount(6000, 1000));
    let mut placer = Placer::new(&document);
    let decisions = placer.place(Millis(1000), &[small, large.clone()], &fleet(), &mut rng);
    let starts = decisions.iter().filter_map(|decision| match decision {
        Decision::Start { job, worker, .. } => Some((&**job, &**worker)),
        _ => None,
    });
    assert_eq!(starts.collect::<Vec<_>>(), [("j1", "w2")]);
    document.domains.insert("surco".into(), domain(None));
    placer.configure(&document);
    let decisions = placer.place(Millis(2000), &[large], &fleet(), &mut rng);
    assert_matches!(&decisions[..], [Decision::Start { worker, .. }] if &**worker == "w1");
}
