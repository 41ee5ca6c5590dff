use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use super::deployment::Deployment;
use super::fit::Fit;
use super::slopes_header;

/// Jobs submitted per second.
const PER_SECOND: [u32; 4] = [0, 10, 20, 40];
/// Command of each job; it is short, so that submission, start and end lie within one measurement.
const COMMAND: &str = "sleep:300";
/// Processors of each job in thousandths; two VMs have room for the jobs at the highest rate.
const MILLI_CPUS: u64 = 500;
/// Time within which the last jobs end.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Jobs per second to which the figures are extrapolated.
const TARGET_PER_SECOND: f64 = 80.0;

/// Measures the cost of jobs for store, entries and agents, from submission to the recorded result.
pub async fn run(deployment: &Deployment, time: Duration) -> Result<()> {
    println!("\n## Jobs ({COMMAND}) through one planner and real agents with workers\n");
    println!(
        "| jobs/s | accepted | calls of the store/s | writes/s | KB written/s | writes a job \
         | entries % of a core | agent % | median s to accepted |\n|{}",
        " --- |".repeat(9)
    );
    let (mut entries, mut agent, mut written) = (Vec::new(), Vec::new(), Vec::new());
    for per_second in PER_SECOND {
        let (rates, submitted) =
            deployment.measure(submit_jobs(deployment, per_second, time)).await?;
        let mut times = submitted?;
        times.sort_by(f64::total_cmp);
        let accepted = times.len() as f64;
        let median = times.get(times.len() / 2).copied().unwrap_or(0.0);
        // Only one entry is the planner, so the usage of both entries is added.
        let (entries_percent, agent_percent) = (rates.entries_cpu * 100.0, rates.agent_cpu * 100.0);
        println!(
            "| {per_second} | {accepted:.0} | {:.1} | {:.1} | {:.0} | {:.2} | {entries_percent:.2} \
             | {agent_percent:.2} | {median:.3} |",
            rates.store_calls,
            rates.store_writes,
            rates.store_bytes / 1e3,
            rates.store_writes * rates.seconds / accepted.max(1.0),
        );
        let completed = accepted / rates.seconds;
        entries.push((completed, entries_percent));
        agent.push((completed / deployment.fleet().agents().len() as f64, agent_percent));
        written.push((completed, rates.store_writes));
    }
    println!("{}", slopes_header("job/s", "80 jobs/s"));
    println!("{}", Fit::new(&entries).row("both entries, % of a core", TARGET_PER_SECOND));
    println!("{}", Fit::new(&agent).row("agent, % of a core per its own job/s", 1.0));
    println!("{}", Fit::new(&written).row("store writes/s (buckets allow 80)", TARGET_PER_SECOND));
    Ok(())
}

/// Submits jobs at a rate and waits until the last have ended; returns the seconds until each was
/// accepted.
async fn submit_jobs(deployment: &Deployment, per_second: u32, time: Duration) -> Result<Vec<f64>> {
    let mut submissions = JoinSet::new();
    if per_second == 0 {
        sleep(time + DRAIN_TIME).await;
        return Ok(Vec::new());
    }
    let mut ticks = interval(Duration::from_secs(1) / per_second);
    for number in 0..u64::from(per_second) * time.as_secs() {
        ticks.tick().await;
        let operator = deployment.fleet().operator(0);
        let job = format!("capacity-{per_second}-{number}");
        submissions.spawn(async move {
            let started = Instant::now();
            let (status, answer) = operator.submit(&job, MILLI_CPUS, COMMAND).await?;
            ensure!(status.is_success(), "job refused, {status}: {answer}");
            eyre::Ok(started.elapsed().as_secs_f64())
        });
    }
    sleep(DRAIN_TIME).await;
    submissions.join_all().await.into_iter().collect()
}
