//! Who goes first, who yields, and where tasks are spread.

mod placement_support;

use std::collections::BTreeSet;

use assert_matches::assert_matches;
use geraniumpost_core::Millis;
use geraniumpost_core::placement::{
    Decision, Fleet, PlacementRequest, Reason, RunOutcome, TaskView,
};
use geraniumpost_schema::{Name, Priority};
use placement_support::{Site, amount, evicted, name, started, urgent, wish, worker};

const FULL: geraniumpost_schema::Resources = amount(8000, 8000);

/// One worker full of two batch tasks, of which `cheap` was checkpointed a moment ago.
fn full_site() -> Site {
    let mut site = Site::new([worker("w1", "r1")]);
    for job in ["dear", "cheap"] {
        site.start(0, &wish(job, "study", FULL), &name("w1"), FULL);
    }
    site.fleet.update_task(&name("cheap"), |task| task.checkpointed(Millis(59_000)));
    site
}

/// An interference check comes while studies fill the VM. Waiting for one to end, field crews would
/// stand beside unlit towers; so the study that loses least yields, and only that one, once.
#[test]
fn an_urgent_job_evicts_the_cheapest_task_once() {
    let mut site = full_site();
    let check = [urgent("check", amount(4000, 1000))];
    assert_eq!(evicted(&site.place(60_000, &check)), [name("cheap")]);
    let decided = site.place(60_500, &check);
    assert_eq!(evicted(&decided), Vec::<Name>::new());
    assert_matches!(decided[0], Decision::Wait { reason: Reason::AwaitsEviction { .. }, .. });
    site.end(61_500, &name("cheap"), RunOutcome::Stopped);
    let batch = wish("late", "study", FULL).submitted(Millis(1));
    let decided = site.place(61_500, &[batch, check[0].clone()]);
    assert_eq!(started(&decided, "check"), Some(name("w1")));
    assert_eq!(started(&decided, "late"), None, "the room made was for the check");
}

/// A large check needs the room of two studies, of which one has stopped and the other has not.
/// Were the first one's room given to a waiting study, both evictions would have been for nothing.
#[test]
fn room_made_for_an_urgent_job_is_not_given_away() {
    let mut site = full_site();
    let check = urgent("check", amount(12_000, 1000));
    assert_eq!(evicted(&site.place(60_000, std::slice::from_ref(&check))).len(), 2);
    site.end(61_000, &name("cheap"), RunOutcome::Stopped);
    let wishes = [wish("late", "study", FULL), check];
    assert_eq!(started(&site.place(61_000, &wishes), "late"), None);
    site.end(61_500, &name("dear"), RunOutcome::Stopped);
    assert_eq!(started(&site.place(61_500, &wishes), "check"), Some(name("w1")));
}

/// Tasks that must not be moved, and other urgent ones, stay whatever comes.
#[test]
fn an_urgent_job_evicts_neither_urgent_nor_fixed_tasks() {
    let mut site = Site::new([worker("w1", "r1")]);
    site.start(0, &urgent("first", FULL), &name("w1"), FULL);
    let fixed = wish("fixed", "study", FULL);
    site.start(0, &fixed, &name("w1"), FULL);
    site.fleet.update_task(&name("fixed"), |task: TaskView| task.evictable(false));
    let decided = site.place(1000, &[urgent("second", amount(1000, 1000))]);
    assert_matches!(decided[..], [Decision::Wait { reason: Reason::NoRoom { .. }, .. }]);
}

/// Urgent jobs pour in. Evictions stay within the policy's bound a minute, else a burst of one
/// customer would empty the fleet of everyone's studies.
#[test]
fn urgent_jobs_keep_to_the_eviction_budget() {
    let racks: Vec<String> = (0..10).map(|i| format!("r{i}")).collect();
    let mut site = Site::new(racks.iter().map(|rack| worker(&format!("on-{rack}"), rack)));
    for rack in &racks {
        let study = wish(&format!("study-{rack}"), "study", amount(16_000, 1000));
        site.start(0, &study, &name(&format!("on-{rack}")), amount(16_000, 1000));
    }
    let checks: Vec<PlacementRequest> =
        (0..10).map(|i| urgent(&format!("check-{i}"), amount(9000, 1000))).collect();
    let first = evicted(&site.place(1000, &checks)).len();
    assert_eq!(first, 4, "the bound of the document");
    assert_eq!(evicted(&site.place(30_000, &checks)).len(), 0);
    assert_eq!(evicted(&site.place(62_000, &checks)).len(), 4);
}

/// Urgent jobs came of late. Some room stays free for the next one, so that it starts at once and
/// evicts nobody.
#[test]
fn room_is_kept_while_urgent_jobs_come() {
    let mut site = Site::new((0..4).map(|i| worker(&format!("w{i}"), "r1")));
    let check = urgent("check-0", amount(2000, 1000));
    assert!(started(&site.place(0, std::slice::from_ref(&check)), "check-0").is_some());
    site.end(1000, check.job(), RunOutcome::Completed);
    let studies: Vec<PlacementRequest> = (0..40)
        .map(|i| wish(&format!("study-{i}"), "study", amount(2000, 1000)).submitted(Millis(i)))
        .collect();
    site.place(2000, &studies);
    let decided = site.place(3000, &[urgent("check-1", amount(2000, 1000))]);
    assert_matches!(decided[..], [Decision::Start { .. }]);
}

/// A large study waits while small jobs come without end. Each takes the room that becomes free,
/// and the study would never start; so after a while a worker is kept for it.
#[test]
fn a_large_job_does_not_starve_behind_small_ones() {
    let mut site = Site::new([worker("w1", "r1"), worker("w2", "r2")]);
    let large = wish("large", "study", amount(16_000, 1000));
    let mut ends: Vec<(u64, Name)> = Vec::new();
    for (turn, now) in (0..1_500_000).step_by(5000).enumerate() {
        for (_, job) in ends.extract_if(.., |(at, _)| *at <= now) {
            site.end(now, &job, RunOutcome::Completed);
        }
        let mut wishes: Vec<PlacementRequest> = (0..8)
            .map(|i| {
                PlacementRequest::new(
                    format!("small-{now}-{i}"),
                    "bitel",
                    "logs",
                    amount(4000, 100),
                )
            })
            .collect();
        if now >= 60_000 {
            wishes.push(large.clone());
        }
        let decided = site.place(now, &wishes);
        if started(&decided, "large").is_some() {
            return;
        }
        // Run times differ, so that a worker is never empty by chance.
        let begun = wishes.iter().filter(|wish| started(&decided, wish.job()).is_some());
        let lasts = |i: usize| 15_000 + (turn + i) as u64 % 4 * 5000;
        ends.extend(begun.enumerate().map(|(i, wish)| (now + lasts(i), wish.job().clone())));
    }
    panic!("the large job never started");
}

/// A scavenger waits behind normal jobs that never cease. Aged, it counts as one of them.
#[test]
fn a_scavenger_does_not_starve() {
    let mut site = Site::new([worker("w1", "r1")]);
    let wishes = [
        PlacementRequest::new("normal", "entel", "study", amount(16_000, 1))
            .submitted(Millis(700_000)),
        PlacementRequest::new("scavenger", "entel", "study", amount(16_000, 1))
            .priority(Priority::Scavenger),
    ];
    assert_eq!(started(&site.clone_place(500_000, &wishes), "scavenger"), None);
    assert_eq!(started(&site.place(700_000, &wishes), "scavenger"), Some(name("w1")));
}

/// Two customers want more than there is, one with three times the weight of the other.
#[test]
fn room_is_shared_by_weight() {
    let mut site = Site::new((0..2).map(|i| worker(&format!("w{i}"), "r1")));
    let wishes: Vec<PlacementRequest> = (0..64)
        .map(|i| {
            let customer = if i % 2 == 0 { "entel" } else { "bitel" };
            PlacementRequest::new(format!("job-{i}"), customer, "study", amount(1000, 1000))
        })
        .collect();
    site.place(0, &wishes[..16]);
    site.place(0, &wishes[16..]);
    assert_eq!(site.fleet.allocated_to(&name("entel")).milli_cpus, 8000);
    assert_eq!(site.fleet.allocated_to(&name("bitel")).milli_cpus, 24_000);
}

/// Replicas of one class land on different racks and domains, so that a lost rack takes one of
/// them and not all.
#[test]
fn replicas_are_spread_over_racks() {
    let places = [("a", "r1"), ("b", "r1"), ("c", "r1"), ("d", "r2"), ("e", "r2"), ("f", "r3")];
    let mut site = Site::new(places.map(|(on, rack)| worker(on, rack)));
    let wishes: Vec<PlacementRequest> =
        (0..3).map(|i| wish(&format!("replica-{i}"), "monitor", amount(1000, 1000))).collect();
    let decided = site.place(0, &wishes);
    let rack = |wish: &PlacementRequest| {
        let on = started(&decided, wish.job()).expect("started");
        places.iter().find(|(worker, _)| on.as_str() == *worker).expect("a place").1
    };
    assert_eq!(wishes.iter().map(rack).collect::<BTreeSet<_>>().len(), 3);
}

/// A class uses twice what it declares. The next job of its like is given that much, or the VM
/// would be filled beyond its memory; but never so much that it could run nowhere.
#[test]
fn sizes_are_learned_but_make_no_job_impossible() {
    let mut site = Site::new([worker("w1", "r1")]);
    for job in ["a", "b", "c", "d"] {
        site.usage(1000, job, amount(1000, 10_000), amount(500, 20_000));
    }
    for (declared, reserved) in [(20_000, 40_000), (50_000, 64_000)] {
        let decided = site.clone_place(2000, &[wish("next", "study", amount(1000, declared))]);
        let need = decided.iter().find_map(|decision| match decision {
            Decision::Start { need, .. } => Some(*need),
            _ => None,
        });
        assert_eq!(need, Some(amount(1000, reserved)));
    }
}

/// The only large worker is taken out of service. A job that waited for it is told that it has
/// become impossible, instead of waiting for ever; while the worker is only silent it goes on waiting.
#[test]
fn a_job_that_becomes_impossible_is_told_so() {
    let large = worker("large", "r2");
    let mut site = Site::new([worker("w1", "r1")]);
    site.fleet = Fleet::default();
    site.fleet.put_worker(geraniumpost_core::placement::WorkerView::new(
        "small",
        "d1",
        "r1",
        amount(4000, 4000),
    ));
    site.fleet.put_worker(large.state(geraniumpost_core::placement::WorkerState::Lost));
    let study = [wish("study", "study", amount(8000, 1000))];
    assert_matches!(site.place(0, &study)[0], Decision::Wait { reason: Reason::NoRoom { .. }, .. });
    site.fleet.remove_worker(&name("large"));
    let decided = site.place(1000, &study);
    assert_matches!(&decided[0], Decision::Impossible { largest, .. } if largest == &name("small"));
    assert!(site.placer.explain(&name("study")).contains("needs 8000 of processors"));
}
