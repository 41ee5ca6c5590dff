//! Random faults, singly and in pairs, against real processes with callers and jobs at work.

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

/// Length of one round: faults, repair, promises checked.
const ROUND: Duration = Duration::from_secs(8);
/// How long a pair of faults lasts.
const FAULTY: Duration = Duration::from_millis(2_500);
/// Callers at work.
const CALLERS: u64 = 8;
/// Jobs submitted in each round.
const JOBS: usize = 4;
/// Longest time for all jobs to complete once everything is repaired. A planner that was killed
/// leaves holds behind that the next one waits out.
const COMPLETION: Duration = Duration::from_mins(1);

/// Builds the command line of `soak`.
pub fn cli() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).value_parser(value_parser!(u64));
        arg.default_value(default).help(help)
    };
    Command::new("soak")
        .about("Run random failures against real processes; the seed replays a run's faults")
        .arg(number("seconds", "60", "How long to go on"))
        .arg(number("seed", "1", "Seed of faults and requests"))
}

/// Runs rounds of faults until the time is over.
///
/// # Errors
///
/// Fails with the first promise that was broken, naming the seed.
pub async fn run(m: &ArgMatches) -> Result<()> {
    let seconds = *m.get_one::<u64>("seconds").unwrap_or(&60);
    let seed = *m.get_one::<u64>("seed").unwrap_or(&1);
    let mut rng = StdRng::seed_from_u64(seed);
    let ends = Instant::now() + Duration::from_secs(seconds);
    let mut round = 0;
    while Instant::now() < ends {
        round += 1;
        let faults = [Fault::draw(&mut rng), Fault::draw(&mut rng)];
        println!("seed {seed} round {round}: {faults:?}");
        one_round(&faults, rng.random(), round).await?;
    }
    println!("{round} rounds, no promise broken");
    Ok(())
}

async fn one_round(faults: &[Fault], seed: u64, round: usize) -> Result<()> {
    let mut fleet = Fleet::start(&Binaries::beside_current_exe()?, &Plan::default()).await?;
    let load = Load::start(&fleet.callers_addresses(), CALLERS, seed);
    let jobs = submit_jobs(&fleet, round).await?;
    let began = Instant::now();
    for fault in faults {
        fault.begin(&mut fleet).await?;
        sleep(FAULTY / 4).await;
    }
    sleep(FAULTY).await;
    for fault in faults.iter().rev() {
        fault.end(&mut fleet).await?;
    }
    sleep(ROUND.saturating_sub(began.elapsed())).await;
    let told = load.stop().await;
    let summary: Summary = told.iter().collect();
    println!("  {summary}");
    fleet.assert_promises_to_callers(&told).await;
    check_completion(&fleet, &jobs).await
}

async fn submit_jobs(fleet: &Fleet, round: usize) -> Result<Vec<String>> {
    let ends = Instant::now() + COMPLETION;
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let id = format!("study-{round}-{number}");
        while !submitted(fleet, &id).await {
            ensure!(Instant::now() < ends, "no planner took {id}");
            sleep(Duration::from_millis(100)).await;
        }
        jobs.push(id);
    }
    Ok(jobs)
}

async fn submitted(fleet: &Fleet, id: &str) -> bool {
    let told = fleet.operator(0).submit(id, 1_000, "sleep:3000").await;
    told.is_ok_and(|(status, _)| status.is_success())
}

async fn check_completion(fleet: &Fleet, jobs: &[String]) -> Result<()> {
    let ends = Instant::now() + COMPLETION;
    let mut seen = Vec::new();
    for id in jobs {
        loop {
            let told = fleet.operator(0).get(&format!("/api/jobs/{id}")).await;
            let job = told.map(|(_, job)| job).unwrap_or_default();
            if job["state"] == "done" {
                let result = job["result"].as_str().map(str::to_owned);
                seen.push(ObservedJob { id: id.clone(), result });
                break;
            }
            ensure!(Instant::now() < ends, "{id} did not complete: {job}");
            sleep(Duration::from_millis(100)).await;
        }
    }
    let found = check_jobs(&fleet.worker_record().await?, &seen, &fleet.lost_vms());
    ensure!(found.is_empty(), "promises on jobs were broken: {found:#?}");
    println!("  {} jobs completed once", seen.len());
    Ok(())
}
