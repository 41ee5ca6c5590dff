//! What a placement must do in the plainest cases.

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

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.put_worker(WorkerView::new("w1", "surco", "r1", amount(8000, 16000)));
    fleet.put_worker(WorkerView::new("w2", "ate", "r2", amount(4000, 8000)));
    fleet
}

fn place(wishes: &[PlacementRequest], fleet: &Fleet) -> Vec<Decision> {
    let mut rng = StdRng::seed_from_u64(1);
    Placer::new(&document()).place(Millis(1000), wishes, fleet, &mut rng)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $wishes:expr => $check:expr;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            let check: fn(&[Decision]) = $check;
            check(&place(&$wishes, &fleet()));
        })*
    };
}

cases! {
    starts_what_fits: [PlacementRequest::new("j", "entel", "study", amount(6000, 100))] => |decided| {
        assert_matches!(&decided[0], Decision::Start { worker, .. } if worker.as_str() == "w1");
    };
    waits_out_a_back_off: [PlacementRequest::new("j", "entel", "study", amount(1, 1)).not_before(Millis(1001))]
        => |decided| {
        assert_matches!(decided[0], Decision::Wait { reason: Reason::BackOff { .. }, .. });
    };
    keeps_a_quota: [
        PlacementRequest::new("a", "claro", "study", amount(3000, 1)),
        PlacementRequest::new("b", "claro", "study", amount(3000, 1)).submitted(Millis(1)),
    ] => |decided| {
        assert_matches!(decided[0], Decision::Start { .. });
        assert_matches!(decided[1], Decision::Wait { reason: Reason::OverQuota { .. }, .. });
    };
    starts_urgent_before_normal: [
        PlacementRequest::new("normal", "entel", "study", amount(8000, 1)),
        PlacementRequest::new("urgent", "entel", "study", amount(8000, 1))
            .priority(Priority::Urgent).submitted(Millis(9)),
    ] => |decided| {
        assert_matches!(&decided[0], Decision::Start { job, .. } if job.as_str() == "urgent");
        assert_matches!(decided[1], Decision::Wait { .. });
    };
    keeps_away_from_excluded_workers: [
        PlacementRequest::new("j", "entel", "study", amount(6000, 1)).excluded(vec![Name::from("w1")]),
    ] => |decided| {
        assert_matches!(decided[0], Decision::Wait { .. });
    };
    /// A customer asks for more memory than any VM has. Without a refusal the job would wait for
    /// ever and the customer would learn of it at the auction's deadline.
    refuses_what_no_worker_can_hold: [PlacementRequest::new("j", "entel", "study", amount(1, 16001))]
        => |decided| {
        let text = decided[0].to_string();
        assert_matches!(decided[0], Decision::Impossible { .. });
        assert!(text.contains("needs 16001 of memory, the largest worker w1 offers 16000"), "{text}");
    };
    refuses_what_the_quota_forbids: [PlacementRequest::new("j", "claro", "study", amount(4001, 1))]
        => |decided| {
        assert_matches!(decided[0], Decision::Impossible { reason: Reason::BeyondQuota { .. }, .. });
    };
}

/// A planner has just taken over and has heard of no worker yet. Were it to judge now, every job
/// would be refused as impossible.
#[test]
fn judges_nothing_impossible_while_workers_announce_themselves() {
    let mut fleet = fleet();
    fleet.set_awaiting_workers(true);
    let decided = place(&[PlacementRequest::new("j", "entel", "study", amount(9000, 1))], &fleet);
    assert_matches!(decided[0], Decision::Wait { reason: Reason::AwaitingWorkers, .. });
}

/// A task outgrows its declared size. Counting only the declaration, a second task would be let in
/// and the VM would hold more than it has.
#[test]
fn counts_a_task_for_what_it_uses() {
    let mut fleet = fleet();
    let task = TaskView::new("big", "entel", "study", amount(1000, 1), Millis(0));
    assert!(fleet.add_task(&Name::from("w1"), task.usage(amount(7000, 1))));
    let decided = place(&[PlacementRequest::new("j", "entel", "study", amount(5000, 1))], &fleet);
    assert_matches!(decided[0], Decision::Wait { reason: Reason::NoRoom { .. }, .. });
}

/// The agent's ledger holds more than the planner knows of. A start there would be refused and the
/// job would wait out a back-off, so it is not proposed.
#[test]
fn proposes_nothing_that_the_ledger_would_refuse() {
    let mut fleet = fleet();
    assert!(fleet.set_reserved(&Name::from("w1"), amount(6000, 1)));
    let decided = place(&[PlacementRequest::new("j", "entel", "study", amount(5000, 1))], &fleet);
    assert_matches!(decided[0], Decision::Wait { reason: Reason::NoRoom { .. }, .. });
}
