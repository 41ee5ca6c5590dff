use std::time::Duration;

use eyre::Result;
use geraniumpost_harness::CUSTOMER_TOKEN;

use super::deployment::Deployment;
use super::fit::Fit;
use super::{AGENTS, ENTRIES, SEED, slopes_head};
use crate::requests_bench::load_client::{LoadClient, RequestProfile};
use crate::requests_bench::open_loop::open_loop;

/// Requests in a second through all entries.
const PER_SECOND: [f64; 4] = [0.0, 200.0, 400.0, 800.0];
/// What the minion does for each.
const PROFILE: RequestProfile =
    RequestProfile { work_ms: 1, deadline: Duration::from_secs(10), at_most_once: false };
/// Requests in a second of one process that the table is worked out for.
const GOAL: f64 = 100.0;
/// Answers that an agent keeps for whoever asks for one again.
const MOST_KEPT: f64 = 4096.0;

/// Measures what requests cost a real entry and a real agent.
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
        let done = answered as f64 / rates.seconds;
        entry.push((done / ENTRIES as f64, rates.entry_cpu * 100.0));
        answers += answered as f64 / AGENTS as f64;
        kept.push((answers, rates.agent_mb));
        agent.push((done / AGENTS as f64, rates.agent_cpu * 100.0));
    }
    println!("{}", slopes_head("request/s of one process", "100 requests/s"));
    println!("{}", Fit::new(&entry).row("entry, % of a core", GOAL));
    println!("{}", Fit::new(&agent).row("agent, % of a core", GOAL));
    println!("{}", slopes_head("answer kept by an agent", "4,096 answers, its most"));
    println!("{}", Fit::new(&kept).row("agent, resident MB", MOST_KEPT));
    Ok(())
}
