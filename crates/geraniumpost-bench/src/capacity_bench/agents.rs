use std::time::{Duration, Instant};

use eyre::Result;

use super::deployment::Deployment;
use super::fit::Fit;
use super::rates::Rates;
use super::{ENTRIES, slopes_header};

/// Numbers of light agents.
const COUNTS: [usize; 5] = [0, 50, 100, 200, 300];
/// Number of agents to which the figures are extrapolated.
const TARGET_AGENTS: f64 = 570.0;

/// One measurement.
struct Point {
    agents: f64,
    rates: Rates,
    status_bytes: f64,
    status_ms: f64,
}

/// Measures an entry's resource usage by the number of idle agents.
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
    println!("{}", slopes_header("agent", "570 agents"));
    let fit = |what: &str, figure: fn(&Point) -> f64| {
        let points: Vec<_> = points.iter().map(|p| (p.agents, figure(p))).collect();
        println!("{}", Fit::new(&points).row(what, TARGET_AGENTS));
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
        print_message_sizes(last, entries);
    }
    print_idle_store_calls(&points);
    Ok(())
}

async fn measure(deployment: &Deployment, time: Duration) -> Result<Point> {
    let (rates, ()) = deployment.measure(tokio::time::sleep(time)).await?;
    let started = Instant::now();
    let (_, status) = deployment.fleet().operator(0).get("/api/status").await?;
    let status_ms = started.elapsed().as_secs_f64() * 1e3;
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

/// Prints the traffic of one agent and the sizes of its messages.
fn print_message_sizes(point: &Point, entries: f64) {
    let traffic = point.rates.traffic;
    let agents = point.agents;
    let (sent, received) = (traffic.sent() / agents, traffic.received() / agents);
    let heartbeat = traffic.datagrams_out.bytes / traffic.datagrams_out.count;
    let ack = traffic.datagrams_in.bytes / traffic.datagrams_in.count;
    println!(
        "\nan agent beside {entries:.0} entries: {:.0} B/s out, {:.0} B/s in, {:.1} messages/s out, {:.1} in",
        sent.bytes, received.bytes, sent.count, received.count
    );
    println!("a heartbeat is {heartbeat:.0} B long, its answer {ack:.0} B");
}

/// Prints the rate of store calls over all measurements, because one call of a watch lasts longer
/// than one measurement.
fn print_idle_store_calls(points: &[Point]) {
    let seconds: f64 = points.iter().map(|p| p.rates.seconds).sum();
    let calls: f64 = points.iter().map(|p| p.rates.store_calls * p.rates.seconds).sum();
    let writes: f64 = points.iter().map(|p| p.rates.store_writes * p.rates.seconds).sum();
    println!(
        "the store, idle, by {ENTRIES} entries over {seconds:.0} s: {:.2} calls/s, {:.2} writes/s",
        calls / seconds,
        writes / seconds
    );
}
