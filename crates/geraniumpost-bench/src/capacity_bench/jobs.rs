use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use super::deployment::Deployment;
use super::fit::Fit;
use super::slopes_head;

/// Jobs submitted in a second.
const PER_SECOND: [u32; 4] = [0, 10, 20, 40];
/// What each job does: it is short, so that submission, start and end lie in one look.
const COMMAND: &str = "sleep:300";
/// Processors of each job in thousandths; two VMs hold what runs at the highest rate.
const MILLI_CPUS: u64 = 500;
/// Time for the last jobs to end.
const END: Duration = Duration::from_secs(2);
/// Jobs in a second that the table is worked out for.
const GOAL: f64 = 80.0;

/// Measures what jobs cost the store, the entries and the agents, from submission to settlement.
pub async fn run(deployment: &Deployment, time: Duration) -> Result<()> {
    println!("\n## Jobs ({COMMAND}) through one planner and real agents with workers\n");
    println!(
        "| jobs/s | accepted | calls of the store/s | writes/s | KB written/s | writes a job \
         | entries % of a core | agent % | median s to accepted |\n|{}",
        " --- |".repeat(9)
    );
    let (mut entries, mut agent, mut written) = (Vec::new(), Vec::new(), Vec::new());
    for per_second in PER_SECOND {
        let (rates, submitted) = deployment.measure(submit(deployment, per_second, time)).await?;
        let mut times = submitted?;
        times.sort_by(f64::total_cmp);
        let accepted = times.len() as f64;
        let median = times.get(times.len() / 2).copied().unwrap_or(0.0);
        // Only one entry plans; the sum of both is what the planner and its neighbour use.
        let (both, one) = (rates.entries_cpu * 100.0, rates.agent_cpu * 100.0);
        println!(
            "| {per_second} | {accepted:.0} | {:.1} | {:.1} | {:.0} | {:.2} | {both:.2} \
             | {one:.2} | {median:.3} |",
            rates.store_calls,
            rates.store_writes,
            rates.store_bytes / 1e3,
            rates.store_writes * rates.seconds / accepted.max(1.0),
        );
        let done = accepted / rates.seconds;
        entries.push((done, both));
        agent.push((done / deployment.fleet().agents().len() as f64, one));
        written.push((done, rates.store_writes));
    }
    println!("{}", slopes_head("job/s", "80 jobs/s"));
    println!("{}", Fit::new(&entries).row("both entries, % of a core", GOAL));
    println!("{}", Fit::new(&agent).row("agent, % of a core per its own job/s", 1.0));
    println!("{}", Fit::new(&written).row("store writes/s (buckets allow 80)", GOAL));
    Ok(())
}

/// Submits at a rate and waits until the last jobs have ended; returns the times until accepted.
async fn submit(deployment: &Deployment, per_second: u32, time: Duration) -> Result<Vec<f64>> {
    let mut waiting = JoinSet::new();
    if per_second == 0 {
        sleep(time + END).await;
        return Ok(Vec::new());
    }
    let mut ticks = interval(Duration::from_secs(1) / per_second);
    for number in 0..u64::from(per_second) * time.as_secs() {
        ticks.tick().await;
        let operator = deployment.fleet().operator(0);
        let job = format!("capacity-{per_second}-{number}");
        waiting.spawn(async move {
            let begun = Instant::now();
            let (status, answer) = operator.submit(&job, MILLI_CPUS, COMMAND).await?;
            ensure!(status.is_success(), "job refused, {status}: {answer}");
            eyre::Ok(begun.elapsed().as_secs_f64())
        });
    }
    sleep(END).await;
    waiting.join_all().await.into_iter().collect()
}
