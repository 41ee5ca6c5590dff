//! Randomized simulation of planners, leases and ledgers with a fake store and fake workers.

mod agent;
mod entry;
mod fault;
mod simulation;
mod store;
mod worker;

use std::collections::BTreeSet;

use fault::{Fault, fault_schedule};
use geraniumpost_core::jobs::JobState;
use proptest::prelude::*;
use simulation::{ProtocolStep, Simulation};

/// Time within which all jobs must finish once the faults have ended, in milliseconds.
const COMPLETION_LIMIT_MS: u64 = 150_000;

/// Injects the faults, clears them 15 s after the last one, and waits until all jobs have finished.
fn simulate(seed: u64, jobs: usize, faults: &[(u64, Fault)]) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.add_jobs(jobs);
    for (at, fault) in faults {
        while simulation.now < 1_500 + at {
            simulation.step();
        }
        simulation.inject(fault);
    }
    let clear_at = simulation.now + 15_000;
    while simulation.now < clear_at {
        simulation.step();
    }
    simulation.clear_faults();
    while !simulation.all_jobs_finished() && simulation.now < clear_at + COMPLETION_LIMIT_MS {
        simulation.step();
    }
    simulation
}

/// Checks that every job finished as requested, and that no run started twice on one VM.
fn check_outcomes(simulation: &Simulation) {
    for job in simulation.jobs.keys() {
        let end = simulation.final_states.get(job);
        assert!(end.is_some(), "{job} was lost, accepted: {:?}", simulation.accepted.contains(job));
        if simulation.confirmed_cancellations.contains(job) {
            assert_eq!(end.map(|end| end.0), Some(JobState::Cancelled), "{job}");
        } else if !simulation.cancel_requests.contains(job) {
            assert_eq!(end.map(|end| end.0), Some(JobState::Done), "{job}: {end:?}");
        }
    }
    for agent in &simulation.agents {
        let distinct: BTreeSet<_> = agent.worker.starts.iter().collect();
        assert_eq!(distinct.len(), agent.worker.starts.len(), "a run was started twice");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: case_count(),
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })]

    // Entries, agents, VMs, links and the store fail in any order while jobs run, and responses are
    // lost or late. A flaw in the protocol shows as a job that is lost, completed twice, running on
    // two VMs, or completed after its cancellation was confirmed.
    #[test]
    fn every_job_finishes_exactly_once_under_random_faults(
        seed in any::<u64>(),
        faults in fault_schedule(),
    ) {
        let simulation = simulate(seed, 10, &faults);
        check_outcomes(&simulation);
    }
}

fn case_count() -> u32 {
    std::env::var("JOBS_WORLD_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(48)
}

// A store outage outlasts the time in which the only planner may grant agent leases, while that
// planner rewrites its term. If its process started a planner under the old term again, that
// planner would overwrite all records with empty ones, and every accepted job would be lost.
#[test]
fn a_store_outage_during_a_term_rewrite_loses_no_job() {
    let simulation = simulate(10_401_606_922_207_304_795, 10, &[(602, Fault::StoreOutage(6_221))]);
    check_outcomes(&simulation);
}

/// Injects a fault when a message of the protocol step is first sent.
fn inject_fault_at_step(step: ProtocolStep, fault: fn(usize, usize) -> Fault) {
    let mut injected = false;
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed);
        simulation.add_jobs(6);
        simulation.trigger = Some((step, fault));
        for round in 0..1_500 {
            simulation.step();
            match round {
                150 => simulation.inject(&Fault::Evict),
                200 => simulation.inject(&Fault::Cancel(seed)),
                _ => {}
            }
        }
        simulation.clear_faults();
        while !simulation.all_jobs_finished() && simulation.now < COMPLETION_LIMIT_MS {
            simulation.step();
        }
        check_outcomes(&simulation);
        injected |= simulation.trigger.is_none();
    }
    assert!(injected, "{step:?} was never reached");
}

macro_rules! fault_cases {
    ($($name:ident: $step:ident;)*) => {$(
        mod $name {
            use super::{Fault, ProtocolStep, inject_fault_at_step};
            #[test]
            fn survives_lost_responses() {
                inject_fault_at_step(ProtocolStep::$step, |_, _| Fault::ResponsesLost(3_000));
            }
            #[test]
            fn survives_a_store_outage() {
                inject_fault_at_step(ProtocolStep::$step, |_, _| Fault::StoreOutage(5_000));
            }
            #[test]
            fn survives_a_long_store_outage() {
                inject_fault_at_step(ProtocolStep::$step, |_, _| Fault::StoreOutage(14_000));
            }
            #[test]
            fn survives_the_death_of_the_planner() {
                inject_fault_at_step(ProtocolStep::$step, |e, _| Fault::EntryKilled(e));
            }
            #[test]
            fn survives_a_pause_of_the_planner() {
                inject_fault_at_step(ProtocolStep::$step, |e, _| Fault::EntryPaused(e, 6_000));
            }
            #[test]
            fn survives_a_planner_without_the_store() {
                inject_fault_at_step(ProtocolStep::$step, |e, _| Fault::EntryCutFromStore(e, 12_000));
            }
            #[test]
            fn survives_a_restart_of_the_agent() {
                inject_fault_at_step(ProtocolStep::$step, |_, a| Fault::AgentRestarted(a));
            }
            #[test]
            fn survives_a_pause_of_the_agent() {
                inject_fault_at_step(ProtocolStep::$step, |_, a| Fault::AgentPaused(a, 7_000));
            }
            #[test]
            fn survives_a_cut_link() {
                inject_fault_at_step(ProtocolStep::$step, |e, a| Fault::LinkCut(e, a, 9_000));
            }
            #[test]
            fn survives_the_loss_of_the_vm() {
                inject_fault_at_step(ProtocolStep::$step, |_, a| Fault::VmLost(a));
            }
        }
    )*};
}

// Between any two steps of the protocol a process may crash or pause, a response may be lost, and
// the store or a link may fail. The next planner knows only the records written until then: a flaw
// in the protocol shows as a job that is lost, runs in two places, or completes twice.
fault_cases! {
    submission_commit: SubmitCommit;
    assignment_commit: AssignCommit;
    start_order: StartOrder;
    start_call_to_the_worker: StartCall;
    running_report: RunningReport;
    eviction_order: EvictOrder;
    checkpoint_call: CheckpointCall;
    eviction_report: EvictedReport;
    cancellation_commit: CancelCommit;
    stop_order: StopOrder;
    completion_report: DoneReport;
    completion_commit: DoneCommit;
    settlement_order: SettledOrder;
    takeover_inventory_request: Supersede;
}

// A run is stopped while the call that starts it is in transit. If the stop overtook the start, the
// worker would report that there is no such task, and start the task a moment later. If in addition
// the response to the start arrived before the response to the stop, the job would run on two VMs.
#[test]
fn a_stop_does_not_overtake_its_start() {
    let simulation = simulate(9_631_381_433_693_569_758, 10, &[]);
    check_outcomes(&simulation);
}
