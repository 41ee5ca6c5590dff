use std::time::Duration;

use eyre::Result;
use geraniumpost_config::token_digest;
use geraniumpost_harness::{Binaries, CUSTOMER_TOKEN, Fleet, Plan};
use serde_json::json;
use tokio::time::sleep;

use super::latency_figures::LatencyFigures;
use super::load_client::{LoadClient, RequestProfile};
use super::open_loop::open_loop;
use crate::usage::Usage;

/// Agents in each run, as in three failure domains but all on one machine.
const AGENTS: usize = 3;
/// Slots of each minion.
const SLOTS: f64 = 8.0;
/// Token of the customer that sends bursts.
const BURST_TOKEN: &str = "token-of-entel";
/// Deadline that no request is meant to exceed.
const LONG_DEADLINE: Duration = Duration::from_secs(10);
/// Deadline of requests under overload.
const SHORT_DEADLINE: Duration = Duration::from_millis(500);
/// Requests per second while the capacity is measured.
const CALIBRATION_RATE: f64 = 100.0;
/// Time for which the capacity is measured.
const CALIBRATION_TIME: Duration = Duration::from_secs(1);
/// Seed of the schedules.
const SEED: u64 = 20_261_202;

/// Runs all scenarios, or only the named one.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub async fn run(binaries: &Binaries, seconds: u64, only: Option<&str>) -> Result<()> {
    let time = Duration::from_secs(seconds);
    println!("seed {SEED}, {seconds} s for each part, {AGENTS} agents with {SLOTS} slots");
    let selected = |name: &str| only.is_none_or(|only| only == name);
    if selected("latency") {
        latency(binaries, time).await?;
    }
    if selected("throughput") {
        throughput(binaries, time).await?;
    }
    if selected("burst") {
        burst(binaries, time).await?;
    }
    if selected("overload") {
        overload(binaries, time).await?;
    }
    if selected("failover") {
        failover(binaries, time).await?;
    }
    Ok(())
}

fn plan() -> Plan {
    let burst = json!({ "token_sha256": token_digest(BURST_TOKEN), "max_in_flight": 10_000 });
    Plan::default()
        .agents(AGENTS)
        .heartbeat_ms(500)
        .standins_as_processes()
        .document(|document| document["customers"]["entel"] = burst)
}

async fn start_fleet(binaries: &Binaries) -> Result<Fleet> {
    Fleet::start(binaries, &plan()).await
}

fn entry_client(fleet: &Fleet, token: &str) -> LoadClient {
    LoadClient::new(fleet.callers_addresses(), token)
}

/// Returns a client that calls the minions directly, through the same relays as the agents.
fn minion_client(fleet: &Fleet) -> LoadClient {
    let minions = fleet.agents().iter().map(|agent| agent.minion_relay().address()).collect();
    LoadClient::new(minions, CUSTOMER_TOKEN)
}

/// Returns the request rate that fills all slots, computed from the duration of a direct call.
///
/// The stand-in's timers and the relays add a quarter or more to the requested work on a busy
/// machine, so that a rate computed from the work alone would exceed the stated load.
async fn measure_capacity(fleet: &Fleet, profile: RequestProfile) -> f64 {
    let figures =
        open_loop(&minion_client(fleet), profile, CALIBRATION_RATE, CALIBRATION_TIME, SEED).await;
    let capacity = SLOTS * AGENTS as f64 * 1000.0 / figures.quantile_ms(0.5);
    println!("\na direct call takes {:.1} ms: capacity {capacity:.0}/s", figures.quantile_ms(0.5));
    capacity
}

/// Compares the latency through entry and agent to that of direct calls, at half load.
///
/// The agents reach their minions through the harness's relays, so the direct calls use them too.
async fn latency(binaries: &Binaries, time: Duration) -> Result<()> {
    let fleet = start_fleet(binaries).await?;
    let profile = RequestProfile { work_ms: 10, deadline: LONG_DEADLINE, at_most_once: false };
    let minions = minion_client(&fleet);
    let entries = entry_client(&fleet, CUSTOMER_TOKEN);
    let per_second = 0.5 * measure_capacity(&fleet, profile).await;
    open_loop(&entries, profile, per_second, time / 2, SEED).await;
    println!("\n## Added latency at half load ({per_second:.0}/s, 10 ms of work)\n");
    println!("{}", LatencyFigures::header());
    let unrouted = open_loop(&minions, profile, per_second, time, SEED).await;
    println!("{}", unrouted.row("direct to the minions"));
    let routed = open_loop(&entries, profile, per_second, time, SEED).await;
    println!("{}", routed.row("through entry and agent"));
    let added = |q: f64| (routed.quantile_ms(q) - unrouted.quantile_ms(q)) * 1000.0;
    println!("\nadded: median {:.0} us, p99 {:.0} us\n", added(0.5), added(0.99));
    println!("{}", routed.bar_chart());
    Ok(())
}

/// Measures the processor time of entries and agents per request.
async fn throughput(binaries: &Binaries, time: Duration) -> Result<()> {
    let fleet = start_fleet(binaries).await?;
    let profile = RequestProfile { work_ms: 1, deadline: LONG_DEADLINE, at_most_once: false };
    let entries = entry_client(&fleet, CUSTOMER_TOKEN);
    println!("\n## Processor time of a request\n");
    println!("| rate/s | answered | entry us/request | agent us/request | p99 ms |");
    println!("| --- | --- | --- | --- | --- |");
    for per_second in [1_000.0, 2_000.0, 4_000.0] {
        let before = (entries_cpu(&fleet)?, agents_cpu(&fleet)?);
        let figures = open_loop(&entries, profile, per_second, time, SEED).await;
        let each =
            |now: f64, before: f64| (now - before) * 1e6 / figures.answered_count().max(1) as f64;
        println!(
            "| {per_second:.0} | {} | {:.0} | {:.0} | {:.2} |",
            figures.answered_count(),
            each(entries_cpu(&fleet)?, before.0),
            each(agents_cpu(&fleet)?, before.1),
            figures.quantile_ms(0.99)
        );
    }
    Ok(())
}

fn entries_cpu(fleet: &Fleet) -> Result<f64> {
    cpu(fleet.entries().iter().filter_map(|entry| entry.process().id()))
}

fn agents_cpu(fleet: &Fleet) -> Result<f64> {
    cpu(fleet.agents().iter().filter_map(|agent| agent.process().id()))
}

fn cpu(pids: impl Iterator<Item = u32>) -> Result<f64> {
    pids.map(|pid| Ok(Usage::of(pid)?.cpu_s)).sum()
}

/// Measures one customer within its share, alone and while another sends ten times its share.
async fn burst(binaries: &Binaries, time: Duration) -> Result<()> {
    let fleet = start_fleet(binaries).await?;
    let profile =
        RequestProfile { work_ms: 20, deadline: Duration::from_secs(2), at_most_once: false };
    let quiet = entry_client(&fleet, CUSTOMER_TOKEN);
    let noisy = entry_client(&fleet, BURST_TOKEN);
    let share = 0.5 * measure_capacity(&fleet, profile).await;
    println!("\n## A burst of ten times another customer's share ({share:.0}/s)\n");
    println!("{}", LatencyFigures::header());
    open_loop(&quiet, profile, share / 2.0, time / 2, SEED).await;
    let mut ratios = Vec::new();
    for used in [0.25, 0.5, 0.8] {
        let own = share * used;
        let alone = open_loop(&quiet, profile, own, time, SEED).await;
        println!("{}", alone.row(&format!("quiet customer at {used} of its share, alone")));
        let (contended, bursting) = tokio::join!(
            open_loop(&quiet, profile, own, time, SEED),
            open_loop(&noisy, profile, share * 10.0, time, SEED + 1)
        );
        println!("{}", contended.row("the same beside the burst"));
        println!("{}", bursting.row("the bursting customer"));
        ratios
            .push(format!("{used}: {:.2}", contended.quantile_ms(0.99) / alone.quantile_ms(0.99)));
    }
    println!("\nratio of p99 beside the burst to p99 alone, by used share: {}", ratios.join(", "));
    Ok(())
}

/// Measures goodput at increasing load, up to three times the capacity.
async fn overload(binaries: &Binaries, time: Duration) -> Result<()> {
    let fleet = start_fleet(binaries).await?;
    let profile = RequestProfile { work_ms: 20, deadline: SHORT_DEADLINE, at_most_once: false };
    let entries = entry_client(&fleet, CUSTOMER_TOKEN);
    let capacity = measure_capacity(&fleet, profile).await;
    println!("\n## Overload (20 ms of work, deadline {SHORT_DEADLINE:?})\n");
    println!("{}", LatencyFigures::header());
    let mut peak = 0.0_f64;
    let mut last = 0.0;
    for share in [0.5, 0.8, 1.0, 1.5, 2.0, 3.0] {
        let figures = open_loop(&entries, profile, share * capacity, time, SEED).await;
        println!("{}", figures.row(&format!("{share} of capacity")));
        peak = peak.max(figures.goodput());
        last = figures.goodput();
    }
    println!("\nratio of goodput at three times the capacity to its peak: {:.2}", last / peak);
    Ok(())
}

/// Measures what callers see while agents are killed, restarted, frozen and thawed.
async fn failover(binaries: &Binaries, time: Duration) -> Result<()> {
    let mut fleet = start_fleet(binaries).await?;
    let profile = RequestProfile { work_ms: 10, deadline: LONG_DEADLINE, at_most_once: false };
    let entries = entry_client(&fleet, CUSTOMER_TOKEN);
    let per_second = 0.3 * measure_capacity(&fleet, profile).await;
    let load = open_loop(&entries, profile, per_second, time * 2, SEED);
    let faults = async {
        sleep(time / 2).await;
        fleet.agent(0).kill();
        sleep(time / 2).await;
        fleet.agent(0).restart()?;
        sleep(time / 2).await;
        fleet.agent(1).freeze()?;
        sleep(time / 4).await;
        fleet.agent(1).thaw()
    };
    let (figures, injected) = tokio::join!(load, faults);
    injected?;
    println!("\n## Kill, restart, freeze and thaw of agents (idempotent requests, 30% load)\n");
    println!("{}\n{}", LatencyFigures::header(), figures.row("all requests"));
    Ok(())
}
