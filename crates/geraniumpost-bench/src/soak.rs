//! Pairs of random faults in real processes while callers send requests and jobs run.

mod fault;

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, ensure};
use geraniumpost_harness::check::{ObservedJob, Summary, check_jobs};
use geraniumpost_harness::{Binaries, Fleet, Load, Plan};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::{Instant, sleep};

use fault::Fault;

/// Length of one round of faults and repairs, before the promises are checked.
const ROUND_LENGTH: Duration = Duration::from_secs(8);
/// Time for which both faults of a pair last together.
const FAULT_DURATION: Duration = Duration::from_millis(2_500);
/// Callers that send requests during a round.
const CALLERS: u64 = 8;
/// Jobs submitted in each round.
const JOBS_PER_ROUND: usize = 4;
/// Time within which all jobs must complete after the repair. A planner that was killed leaves
/// leases whose expiry its successor waits for.
const COMPLETION_TIMEOUT: Duration = Duration::from_mins(1);

/// Builds the command line of `soak`.
pub fn cli() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).value_parser(value_parser!(u64));
        arg.default_value(default).help(help)
    };
    Command::new("soak")
        .about("Run random failures against real processes; the seed replays a run's faults")
        .arg(number("seconds", "60", "Duration of the run"))
        .arg(number("seed", "1", "Seed of the faults and requests"))
}

/// Runs rounds of faults until the duration has passed.
///
/// # Errors
///
/// Fails at the first broken promise; the seed of the round is printed before it.
pub async fn run(m: &ArgMatches) -> Result<()> {
    let seconds = *m.get_one::<u64>("seconds").unwrap_or(&60);
    let seed = *m.get_one::<u64>("seed").unwrap_or(&1);
    let mut rng = StdRng::seed_from_u64(seed);
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let mut round = 0;
    while Instant::now() < deadline {
        round += 1;
        let faults = [Fault::draw(&mut rng), Fault::draw(&mut rng)];
        println!("seed {seed} round {round}: {faults:?}");
        run_round(&faults, rng.random(), round).await?;
    }
    println!("{round} rounds, no promise broken");
    Ok(())
}

async fn run_round(faults: &[Fault], seed: u64, round: usize) -> Result<()> {
    let mut fleet = Fleet::start(&Binaries::beside_current_exe()?, &Plan::default()).await?;
    let load = Load::start(&fleet.callers_addresses(), CALLERS, seed);
    let jobs = submit_jobs(&fleet, round).await?;
    let began = Instant::now();
    for fault in faults {
        fault.inject(&mut fleet).await?;
        sleep(FAULT_DURATION / 4).await;
    }
    sleep(FAULT_DURATION).await;
    for fault in faults.iter().rev() {
        fault.repair(&mut fleet).await?;
    }
    sleep(ROUND_LENGTH.saturating_sub(began.elapsed())).await;
    let observed = load.stop().await;
    let summary: Summary = observed.iter().collect();
    println!("  {summary}");
    fleet.assert_promises_to_callers(&observed).await;
    check_completion(&fleet, &jobs).await
}

async fn submit_jobs(fleet: &Fleet, round: usize) -> Result<Vec<String>> {
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    let mut jobs = Vec::new();
    for number in 0..JOBS_PER_ROUND {
        let id = format!("study-{round}-{number}");
        while !submit_succeeds(fleet, &id).await {
            ensure!(Instant::now() < deadline, "no planner accepted {id}");
            sleep(Duration::from_millis(100)).await;
        }
        jobs.push(id);
    }
    Ok(jobs)
}

async fn submit_succeeds(fleet: &Fleet, id: &str) -> bool {
    let response = fleet.operator(0).submit(id, 1_000, "sleep:3000").await;
    response.is_ok_and(|(status, _)| status.is_success())
}

async fn check_completion(fleet: &Fleet, jobs: &[String]) -> Result<()> {
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    let mut completed = Vec::new();
    for id in jobs {
        loop {
            let response = fleet.operator(0).get(&format!("/api/jobs/{id}")).await;
            let job = response.map(|(_, job)| job).unwrap_or_default();
            if job["state"] == "done" {
                let result = job["result"].as_str().map(str::to_owned);
                completed.push(ObservedJob { id: id.clone(), result });
                break;
            }
            ensure!(Instant::now() < deadline, "{id} did not complete: {job}");
            sleep(Duration::from_millis(100)).await;
        }
    }
    let violations = check_jobs(&fleet.worker_record().await?, &completed, &fleet.lost_vms());
    ensure!(violations.is_empty(), "promises on jobs were broken: {violations:#?}");
    println!("  {} jobs completed once", completed.len());
    Ok(())
}
