use std::time::{Duration, Instant};

use eyre::Result;

use super::deployment::Deployment;
use super::fit::Fit;
use super::rates::Rates;
use super::{ENTRIES, slopes_head};

/// Light agents.
const COUNTS: [usize; 5] = [0, 50, 100, 200, 300];
/// Agents that the table is worked out for.
const GOAL: f64 = 570.0;

/// One measured point.
struct Point {
    agents: f64,
    rates: Rates,
    status_bytes: f64,
    status_ms: f64,
}

/// Measures what idle agents cost an entry.
pub async fn run(deployment: &mut Deployment, time: Duration) -> Result<()> {
    println!("\n## Idle agents, each with heartbeats and a link to each entry\n");
    println!("Figures of one entry; in and out as the light agents counted them.\n");
    println!(
        "| agents | % of a core | MB | datagrams in/s | B in/s | datagrams out/s | B out/s \
         | frames in/s | B in/s | frames out/s | B out/s | status KB | status ms |"
    );
    println!("|{}", " --- |".repeat(13));
    let mut points = Vec::new();
    for count in COUNTS {
        deployment.grow_to(count).await?;
        let point = measure(deployment, time).await?;
        println!("{}", row(&point));
        points.push(point);
    }
    println!("{}", slopes_head("agent", "570 agents"));
    let fit = |what: &str, figure: fn(&Point) -> f64| {
        let points: Vec<_> = points.iter().map(|p| (p.agents, figure(p))).collect();
        println!("{}", Fit::new(&points).row(what, GOAL));
    };
    let entries = ENTRIES as f64;
    fit("entry, % of a core", |p| p.rates.entry_cpu * 100.0);
    fit("entry, resident MB", |p| p.rates.entry_mb);
    fit("entry, datagram B in/s", |p| p.rates.traffic.datagrams_out.bytes / ENTRIES as f64);
    fit("entry, datagram B out/s", |p| p.rates.traffic.datagrams_in.bytes / ENTRIES as f64);
    fit("entry, link B in/s", |p| p.rates.traffic.frames_out.bytes / ENTRIES as f64);
    fit("entry, link B out/s", |p| p.rates.traffic.frames_in.bytes / ENTRIES as f64);
    fit("console, status KB", |p| p.status_bytes / 1e3);
    fit("console, status ms", |p| p.status_ms);
    if let Some(last) = points.last() {
        sizes(last, entries);
    }
    idle_calls(&points);
    Ok(())
}

async fn measure(deployment: &Deployment, time: Duration) -> Result<Point> {
    let (rates, ()) = deployment.measure(tokio::time::sleep(time)).await?;
    let begun = Instant::now();
    let (_, status) = deployment.fleet().operator(0).get("/api/status").await?;
    let status_ms = begun.elapsed().as_secs_f64() * 1e3;
    let agents = deployment.light().len() as f64;
    Ok(Point { agents, rates, status_bytes: status.to_string().len() as f64, status_ms })
}

fn row(point: &Point) -> String {
    let Rates { entry_cpu, entry_mb, traffic, .. } = point.rates;
    let entries = ENTRIES as f64;
    let flows =
        [traffic.datagrams_out, traffic.datagrams_in, traffic.frames_out, traffic.frames_in]
            .map(|flow| format!("{:.1} | {:.0}", flow.count / entries, flow.bytes / entries));
    format!(
        "| {:.0} | {:.2} | {entry_mb:.1} | {} | {:.1} | {:.2} |",
        point.agents,
        entry_cpu * 100.0,
        flows.join(" | "),
        point.status_bytes / 1e3,
        point.status_ms
    )
}

/// Prints what one agent sends and receives, and how long its messages are.
fn sizes(point: &Point, entries: f64) {
    let traffic = point.rates.traffic;
    let agents = point.agents;
    let (out, received) = (traffic.out() / agents, traffic.received() / agents);
    let beat = traffic.datagrams_out.bytes / traffic.datagrams_out.count;
    let ack = traffic.datagrams_in.bytes / traffic.datagrams_in.count;
    println!(
        "\nan agent beside {entries:.0} entries: {:.0} B/s out, {:.0} B/s in, {:.1} messages/s out, {:.1} in",
        out.bytes, received.bytes, out.count, received.count
    );
    println!("a heartbeat is {beat:.0} B long, its answer {ack:.0} B");
}

/// Prints the store's calls over all points: a watch lasts longer than one point.
fn idle_calls(points: &[Point]) {
    let seconds: f64 = points.iter().map(|p| p.rates.seconds).sum();
    let calls: f64 = points.iter().map(|p| p.rates.store_calls * p.rates.seconds).sum();
    let writes: f64 = points.iter().map(|p| p.rates.store_writes * p.rates.seconds).sum();
    println!(
        "the store, idle, by {ENTRIES} entries over {seconds:.0} s: {:.2} calls/s, {:.2} writes/s",
        calls / seconds,
        writes / seconds
    );
}
