use std::time::Duration;

use eyre::Result;
use geraniumpost_harness::CUSTOMER_TOKEN;

use super::deployment::Deployment;
use super::fit::Fit;
use super::{AGENTS, ENTRIES, SEED, slopes_header};
use crate::requests_bench::load_client::{LoadClient, RequestProfile};
use crate::requests_bench::open_loop::open_loop;

/// Requests per second through all entries together.
const PER_SECOND: [f64; 4] = [0.0, 200.0, 400.0, 800.0];
/// Work, deadline and semantics of each request.
const PROFILE: RequestProfile =
    RequestProfile { work_ms: 1, deadline: Duration::from_secs(10), at_most_once: false };
/// Requests per second of one process to which the figures are extrapolated.
const TARGET_PER_SECOND: f64 = 100.0;
/// Highest number of answers that an agent keeps for repeated requests.
const MAX_KEPT_ANSWERS: f64 = 4096.0;

/// Measures the cost of requests for a real entry and a real agent.
pub async fn run(deployment: &Deployment, time: Duration) -> Result<()> {
    println!("\n## Requests through real entries and real agents\n");
    println!("| requests/s | answered | entry % of a core | entry MB | agent % | agent MB |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let target = LoadClient::new(deployment.fleet().callers_addresses(), CUSTOMER_TOKEN);
    let (mut entry, mut agent, mut kept) = (Vec::new(), Vec::new(), Vec::new());
    let mut answers = 0.0;
    for per_second in PER_SECOND {
        let (rates, answered) = if per_second > 0.0 {
            let load = open_loop(&target, PROFILE, per_second, time, SEED);
            let (rates, figures) = deployment.measure(load).await?;
            (rates, figures.answered_count())
        } else {
            (deployment.measure(tokio::time::sleep(time)).await?.0, 0)
        };
        println!(
            "| {per_second:.0} | {answered} | {:.2} | {:.1} | {:.2} | {:.1} |",
            rates.entry_cpu * 100.0,
            rates.entry_mb,
            rates.agent_cpu * 100.0,
            rates.agent_mb
        );
        let answered_per_second = answered as f64 / rates.seconds;
        entry.push((answered_per_second / ENTRIES as f64, rates.entry_cpu * 100.0));
        answers += answered as f64 / AGENTS as f64;
        kept.push((answers, rates.agent_mb));
        agent.push((answered_per_second / AGENTS as f64, rates.agent_cpu * 100.0));
    }
    println!("{}", slopes_header("request/s of one process", "100 requests/s"));
    println!("{}", Fit::new(&entry).row("entry, % of a core", TARGET_PER_SECOND));
    println!("{}", Fit::new(&agent).row("agent, % of a core", TARGET_PER_SECOND));
    println!("{}", slopes_header("answer kept by an agent", "4,096 answers, the maximum"));
    println!("{}", Fit::new(&kept).row("agent, resident MB", MAX_KEPT_ANSWERS));
    Ok(())
}
