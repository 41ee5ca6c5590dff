use std::time::Duration;

use eyre::Result;
use geraniumpost_config::token_digest;
use geraniumpost_harness::{Binaries, CUSTOMER_TOKEN, Fleet, Plan};
use serde_json::json;
use tokio::time::sleep;

use super::direct::{Ask, Target};
use super::figures::Figures;
use super::open_loop::open_loop;
use crate::usage::Usage;

/// Agents of each run; three domains' worth on one machine.
const AGENTS: usize = 3;
/// Slots of each minion.
const SLOTS: f64 = 8.0;
/// Token of the customer that bursts.
const BURST_TOKEN: &str = "token-of-entel";
/// Deadline of the requests where it does not matter.
const AMPLE: Duration = Duration::from_secs(10);
/// Deadline under overload.
const TIGHT: Duration = Duration::from_millis(500);
/// Rate of the calls by which the capacity is measured, and for how long.
const CALM: f64 = 100.0;
const CALIBRATION: Duration = Duration::from_secs(1);
/// Seeds of the schedules.
const SEED: u64 = 20_261_202;

/// Runs all scenarios, or the one named.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub async fn run(binaries: &Binaries, seconds: u64, only: Option<&str>) -> Result<()> {
    let time = Duration::from_secs(seconds);
    println!("seed {SEED}, {seconds} s for each part, {AGENTS} agents with {SLOTS} slots");
    let wanted = |name: &str| only.is_none_or(|only| only == name);
    if wanted("latency") {
        latency(binaries, time).await?;
    }
    if wanted("throughput") {
        throughput(binaries, time).await?;
    }
    if wanted("burst") {
        burst(binaries, time).await?;
    }
    if wanted("overload") {
        overload(binaries, time).await?;
    }
    if wanted("failover") {
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

async fn fleet(binaries: &Binaries) -> Result<Fleet> {
    Fleet::start(binaries, &plan()).await
}

fn through_entries(fleet: &Fleet, token: &str) -> Target {
    Target::new(fleet.callers_addresses(), token)
}

/// Returns a client that calls the minions directly, by the relays that agents use as well.
fn direct(fleet: &Fleet) -> Target {
    let minions = fleet.agents().iter().map(|agent| agent.minion_relay().address()).collect();
    Target::new(minions, CUSTOMER_TOKEN)
}

/// Returns the rate that fills all slots, from how long a direct call takes in this run.
///
/// The stand-in's timers and the relays add to the work that is asked for, by a quarter and more on
/// a busy machine; a load computed from the work alone would be higher than it says.
async fn capacity(fleet: &Fleet, ask: Ask) -> f64 {
    let figures = open_loop(&direct(fleet), ask, CALM, CALIBRATION, SEED).await;
    let capacity = SLOTS * AGENTS as f64 * 1000.0 / figures.ms(0.5);
    println!("\na direct call takes {:.1} ms: capacity {capacity:.0}/s", figures.ms(0.5));
    capacity
}

/// Latency through entry and agent beside that of direct calls, in one run and at half load.
///
/// The agents reach their minions through the harness's relays, so the direct calls do, too.
async fn latency(binaries: &Binaries, time: Duration) -> Result<()> {
    let fleet = fleet(binaries).await?;
    let ask = Ask { work_ms: 10, deadline: AMPLE, once: false };
    let direct = direct(&fleet);
    let through = through_entries(&fleet, CUSTOMER_TOKEN);
    let per_second = 0.5 * capacity(&fleet, ask).await;
    open_loop(&through, ask, per_second, time / 2, SEED).await;
    println!("\n## Added latency at half load ({per_second:.0}/s, 10 ms of work)\n");
    println!("{}", Figures::head());
    let straight = open_loop(&direct, ask, per_second, time, SEED).await;
    println!("{}", straight.row("direct to the minions"));
    let routed = open_loop(&through, ask, per_second, time, SEED).await;
    println!("{}", routed.row("through entry and agent"));
    let added = |q: f64| (routed.ms(q) - straight.ms(q)) * 1000.0;
    println!("\nadded: median {:.0} us, p99 {:.0} us\n", added(0.5), added(0.99));
    println!("{}", routed.plot());
    Ok(())
}

/// Processor time of entries and agents for each request.
async fn throughput(binaries: &Binaries, time: Duration) -> Result<()> {
    let fleet = fleet(binaries).await?;
    let ask = Ask { work_ms: 1, deadline: AMPLE, once: false };
    let through = through_entries(&fleet, CUSTOMER_TOKEN);
    println!("\n## Processor time of a request\n");
    println!("| rate/s | answered | entry us/request | agent us/request | p99 ms |");
    println!("| --- | --- | --- | --- | --- |");
    for per_second in [1_000.0, 2_000.0, 4_000.0] {
        let before = (entries_cpu(&fleet)?, agents_cpu(&fleet)?);
        let figures = open_loop(&through, ask, per_second, time, SEED).await;
        let each = |now: f64, then: f64| (now - then) * 1e6 / figures.count().max(1) as f64;
        println!(
            "| {per_second:.0} | {} | {:.0} | {:.0} | {:.2} |",
            figures.count(),
            each(entries_cpu(&fleet)?, before.0),
            each(agents_cpu(&fleet)?, before.1),
            figures.ms(0.99)
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

/// One customer at its share, alone and beside another at ten times its share.
async fn burst(binaries: &Binaries, time: Duration) -> Result<()> {
    let fleet = fleet(binaries).await?;
    let ask = Ask { work_ms: 20, deadline: Duration::from_secs(2), once: false };
    let quiet = through_entries(&fleet, CUSTOMER_TOKEN);
    let noisy = through_entries(&fleet, BURST_TOKEN);
    let share = 0.5 * capacity(&fleet, ask).await;
    println!("\n## A burst of ten times another customer's share ({share:.0}/s)\n");
    println!("{}", Figures::head());
    open_loop(&quiet, ask, share / 2.0, time / 2, SEED).await;
    let mut ratios = Vec::new();
    for used in [0.25, 0.5, 0.8] {
        let own = share * used;
        let alone = open_loop(&quiet, ask, own, time, SEED).await;
        println!("{}", alone.row(&format!("quiet customer at {used} of its share, alone")));
        let (beside, bursting) = tokio::join!(
            open_loop(&quiet, ask, own, time, SEED),
            open_loop(&noisy, ask, share * 10.0, time, SEED + 1)
        );
        println!("{}", beside.row("the same beside the burst"));
        println!("{}", bursting.row("the bursting customer"));
        ratios.push(format!("{used}: {:.2}", beside.ms(0.99) / alone.ms(0.99)));
    }
    println!("\np99 beside over alone, by used share: {}", ratios.join(", "));
    Ok(())
}

/// Goodput at rising load, up to three times the capacity.
async fn overload(binaries: &Binaries, time: Duration) -> Result<()> {
    let fleet = fleet(binaries).await?;
    let ask = Ask { work_ms: 20, deadline: TIGHT, once: false };
    let through = through_entries(&fleet, CUSTOMER_TOKEN);
    let capacity = capacity(&fleet, ask).await;
    println!("\n## Overload (20 ms of work, deadline {TIGHT:?})\n");
    println!("{}", Figures::head());
    let mut peak = 0.0_f64;
    let mut last = 0.0;
    for share in [0.5, 0.8, 1.0, 1.5, 2.0, 3.0] {
        let figures = open_loop(&through, ask, share * capacity, time, SEED).await;
        println!("{}", figures.row(&format!("{share} of capacity")));
        peak = peak.max(figures.goodput());
        last = figures.goodput();
    }
    println!("\ngoodput at three times the capacity over its peak: {:.2}", last / peak);
    Ok(())
}

/// What callers see when an agent is killed and comes back.
async fn failover(binaries: &Binaries, time: Duration) -> Result<()> {
    let mut fleet = fleet(binaries).await?;
    let ask = Ask { work_ms: 10, deadline: AMPLE, once: false };
    let through = through_entries(&fleet, CUSTOMER_TOKEN);
    let per_second = 0.3 * capacity(&fleet, ask).await;
    let load = open_loop(&through, ask, per_second, time * 2, SEED);
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
    let (figures, ended) = tokio::join!(load, faults);
    ended?;
    println!("\n## Kill, restart, freeze and thaw of agents (idempotent requests, 30% load)\n");
    println!("{}\n{}", Figures::head(), figures.row("all requests"));
    Ok(())
}
