//! A randomized driver of planners, leases and ledgers over a fake store and fake workers.

mod agent;
mod entry;
mod fault;
mod store;
mod worker;
mod world;

use std::collections::BTreeSet;

use fault::{Fault, faults};
use geraniumpost_core::jobs::JobState;
use proptest::prelude::*;
use world::{Point, World};

/// Time within which all must be over once the faults have ended, in milliseconds.
const PATIENCE_MS: u64 = 150_000;

fn drive(seed: u64, jobs: usize, faults: &[(u64, Fault)]) -> World {
    let mut world = World::new(seed);
    world.want(jobs);
    for (at, fault) in faults {
        while world.now < 1_500 + at {
            world.step();
        }
        world.break_with(fault);
    }
    let healed = world.now + 15_000;
    while world.now < healed {
        world.step();
    }
    world.heal();
    while !world.is_over() && world.now < healed + PATIENCE_MS {
        world.step();
    }
    world
}

fn check_ends(world: &World) {
    for job in world.wanted.keys() {
        let end = world.finals.get(job);
        assert!(end.is_some(), "{job} was lost: {:?}", world.accepted.contains(job));
        if world.cancelled.contains(job) {
            assert_eq!(end.map(|end| end.0), Some(JobState::Cancelled), "{job}");
        } else if !world.cancels.contains(job) {
            assert_eq!(end.map(|end| end.0), Some(JobState::Done), "{job}: {end:?}");
        }
    }
    for agent in &world.agents {
        let distinct: BTreeSet<_> = agent.worker.starts.iter().collect();
        assert_eq!(distinct.len(), agent.worker.starts.len(), "a run was started twice");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), max_shrink_iters: 200, ..ProptestConfig::default() })]

    // Entries, agents, VMs, links and the store fail in any order while jobs run, and replies are
    // lost or late. A user would see a study lost, done twice, running on two VMs, or done although
    // its cancellation had been confirmed.
    #[test]
    fn every_job_ends_once_whatever_fails(seed in any::<u64>(), faults in faults()) {
        let world = drive(seed, 10, &faults);
        check_ends(&world);
    }
}

fn cases() -> u32 {
    std::env::var("JOBS_WORLD_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(48)
}

// A store outage outlives the holds of the one planner while its rewriting of the term is under way.
// The planner began anew under its old term and wrote empty records over all jobs: everything that
// had been accepted was lost.
#[test]
fn a_term_never_comes_back() {
    let world = drive(10_401_606_922_207_304_795, 10, &[(602, Fault::StoreOutage(6_221))]);
    check_ends(&world);
}

/// Lets one fault strike at the first sight of one step of the protocol.
fn strike(point: Point, fault: fn(usize, usize) -> Fault) {
    let mut struck = false;
    for seed in 0..4 {
        let mut world = World::new(seed);
        world.want(6);
        world.trap = Some((point, fault));
        for step in 0..1_500 {
            world.step();
            match step {
                150 => world.break_with(&Fault::Evict),
                200 => world.break_with(&Fault::Cancel(seed)),
                _ => {}
            }
        }
        world.heal();
        while !world.is_over() && world.now < PATIENCE_MS {
            world.step();
        }
        check_ends(&world);
        struck |= world.trap.is_none();
    }
    assert!(struck, "{point:?} was never seen");
}

macro_rules! gaps {
    ($($name:ident: $point:ident;)*) => {$(
        mod $name {
            use super::{Fault, Point, strike};
            #[test]
            fn with_replies_lost() { strike(Point::$point, |_, _| Fault::RepliesLost(3_000)); }
            #[test]
            fn with_the_store_down() { strike(Point::$point, |_, _| Fault::StoreOutage(5_000)); }
            #[test]
            fn with_a_long_outage() { strike(Point::$point, |_, _| Fault::StoreOutage(14_000)); }
            #[test]
            fn with_the_planner_killed() { strike(Point::$point, |e, _| Fault::EntryKilled(e)); }
            #[test]
            fn with_the_planner_paused() {
                strike(Point::$point, |e, _| Fault::EntryFrozen(e, 6_000));
            }
            #[test]
            fn with_the_planner_cut_off() {
                strike(Point::$point, |e, _| Fault::EntryCut(e, 12_000));
            }
            #[test]
            fn with_the_agent_restarted() {
                strike(Point::$point, |_, a| Fault::AgentRestarted(a));
            }
            #[test]
            fn with_the_agent_paused() {
                strike(Point::$point, |_, a| Fault::AgentFrozen(a, 7_000));
            }
            #[test]
            fn with_the_link_cut() { strike(Point::$point, |e, a| Fault::LinkCut(e, a, 9_000)); }
            #[test]
            fn with_the_vm_lost() { strike(Point::$point, |_, a| Fault::VmLost(a)); }
        }
    )*};
}

// Between any two steps of the protocol a process may die or pause, a reply may be lost, and the
// store or a link may be out. Whoever takes over sees only what had been written by then. A user
// would see a study lost, run in two places, or completed twice.
gaps! {
    submission_being_committed: SubmitCommit;
    assignment_being_committed: AssignCommit;
    start_ordered: StartOrder;
    start_at_the_worker: StartCall;
    run_reported: RunningReport;
    eviction_ordered: EvictOrder;
    checkpoint_being_written: CheckpointCall;
    eviction_reported: EvictedReport;
    cancellation_being_committed: CancelCommit;
    stop_ordered: StopOrder;
    completion_reported: DoneReport;
    completion_being_committed: DoneCommit;
    settlement_sent: SettledOrder;
    takeover_inventory_asked: Supersede;
}

// A stop overtakes the start it is for. The worker says that there is no such task, and begins it a
// moment later; its word arrives after the one on the start, and the study runs in two places.
#[test]
fn a_stop_does_not_overtake_its_start() {
    let world = drive(9_631_381_433_693_569_758, 10, &[]);
    check_ends(&world);
}
