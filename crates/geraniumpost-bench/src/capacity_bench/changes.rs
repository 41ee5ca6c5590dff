use std::time::Duration;

use eyre::Result;
use geraniumpost_config::token_digest;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::deployment::Deployment;
use super::fit::Fit;
use super::rates::Rates;
use super::slopes_header;

/// Numbers of customers in the document; each represents a team.
const CUSTOMERS: [usize; 4] = [1, 80, 160, 320];
/// Changes measured with each document.
const CHANGES: u32 = 4;
/// Pause after each change, in which all resulting pushes complete.
const PAUSE: Duration = Duration::from_millis(800);
/// Document size to which the figures are extrapolated.
const TARGET_BYTES: f64 = 36_000.0;

/// Measures the cost of a configuration change by the size of the document.
pub async fn run(deployment: &Deployment, time: Duration) -> Result<()> {
    let (idle, ()) = deployment.measure(sleep(time)).await?;
    println!("\n## Changes of the configuration with {} light agents\n", deployment.light().len());
    println!(
        "| customers | document B | pushes to an agent | B to an agent | entry ms of a core \
         | store calls | slowest in force ms |\n|{}",
        " --- |".repeat(7)
    );
    let (mut bytes, mut times, mut in_force) = (Vec::new(), Vec::new(), Vec::new());
    for customers in CUSTOMERS {
        let (_, document) = deployment.document().await?;
        let document = with_customers(document, customers);
        let (rates, slowest) = deployment.measure(make_changes(deployment, document)).await?;
        let slowest = slowest?;
        // Entries fill in defaults, so the pushed document is larger than the one sent here.
        let size = deployment.document().await?.1.to_string().len() as f64;
        let cost = Cost::per_change(&rates, &idle, deployment.light().len());
        println!(
            "| {customers} | {size:.0} | {:.2} | {:.0} | {:.1} | {:.1} | {:.0} |",
            cost.pushes,
            cost.bytes,
            cost.entry_ms,
            cost.store_calls,
            slowest.as_secs_f64() * 1e3
        );
        bytes.push((size, cost.bytes));
        times.push((size, cost.entry_ms));
        in_force.push((size, slowest.as_secs_f64() * 1e3));
    }
    println!("{}", slopes_header("byte of the document", "36,000 B"));
    println!("{}", Fit::new(&bytes).row("B to an agent for a change", TARGET_BYTES));
    println!("{}", Fit::new(&times).row("entry, ms of a core for a change", TARGET_BYTES));
    println!("{}", Fit::new(&in_force).row("slowest in force, ms", TARGET_BYTES));
    Ok(())
}

/// Cost of one change, without the usage of an idle deployment.
struct Cost {
    pushes: f64,
    bytes: f64,
    entry_ms: f64,
    store_calls: f64,
}

impl Cost {
    fn per_change(rates: &Rates, idle: &Rates, agents: usize) -> Self {
        let seconds_per_change = rates.seconds / f64::from(CHANGES);
        let frames = (rates.traffic.frames_in - idle.traffic.frames_in) / agents as f64;
        Self {
            pushes: frames.count * seconds_per_change,
            bytes: frames.bytes * seconds_per_change,
            entry_ms: (rates.entry_cpu - idle.entry_cpu) * seconds_per_change * 1e3,
            store_calls: (rates.store_calls - idle.store_calls) * seconds_per_change,
        }
    }
}

/// Makes the changes one after the other and returns the longest time until one was in force
/// everywhere.
async fn make_changes(deployment: &Deployment, mut document: Value) -> Result<Duration> {
    let mut slowest = Duration::ZERO;
    for number in 0..CHANGES {
        document["customers"]["team-0"]["weight"] = json!(number + 1);
        slowest = slowest.max(deployment.change(&document).await?);
        sleep(PAUSE).await;
    }
    Ok(slowest)
}

fn with_customers(mut document: Value, count: usize) -> Value {
    for number in 0..count {
        let token = token_digest(&format!("token-of-team-{number}"));
        document["customers"][format!("team-{number}")] = json!({ "token_sha256": token });
    }
    document
}
