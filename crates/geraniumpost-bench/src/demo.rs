//! Runs the whole system once on loopback and says whether all of it was right.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, ensure};
use geraniumpost_harness::check::{ObservedRequest, Outcome, Summary};
use geraniumpost_harness::{Binaries, Fleet, Load, Plan, RequestSpec};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Longest time that a step may take to show its effect.
const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Callers that keep sending while processes are ended.
const CALLERS: u64 = 8;

/// Builds the command line of `demo`.
pub fn cli() -> Command {
    Command::new("demo")
        .about("Run the whole system on loopback; exit 0 only if all of it was right")
        .arg(
            Arg::new("hold")
                .long("hold")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .help("Only keep it up that long and print addresses and process ids as JSON"),
        )
}

/// Runs the demo.
///
/// # Errors
///
/// Fails with the first step that was not right.
pub async fn run(m: &ArgMatches) -> Result<()> {
    let binaries = Binaries::beside_current_exe()?;
    let plan = Plan::default().standins_as_processes();
    let mut fleet = Fleet::start(&binaries, &plan).await?;
    if let Some(seconds) = m.get_one::<u64>("hold") {
        return hold(&fleet, Duration::from_secs(*seconds)).await;
    }
    println!("up: {}", addresses(&fleet));
    requests(&fleet).await?;
    job(&fleet).await?;
    configuration(&fleet).await?;
    restarts(&mut fleet).await?;
    graceful_stop(&mut fleet).await?;
    println!("all of it was right");
    Ok(())
}

async fn hold(fleet: &Fleet, time: Duration) -> Result<()> {
    println!("{}", addresses(fleet));
    sleep(time).await;
    Ok(())
}

/// Describes every process with its addresses.
fn addresses(fleet: &Fleet) -> Value {
    let entries = fleet.entries().iter().map(|entry| {
        json!({
            "name": entry.process().name(),
            "pid": entry.process().id(),
            "callers": entry.callers(),
            "console": entry.console(),
        })
    });
    let agents = fleet.agents().iter().map(|agent| {
        json!({
            "name": agent.name(),
            "pid": agent.process().id(),
            "minion": agent.minion().address(),
            "worker": agent.worker().address(),
        })
    });
    json!({
        "store": fleet.store().address(),
        "entries": entries.collect::<Vec<_>>(),
        "agents": agents.collect::<Vec<_>>(),
        "customer_token": geraniumpost_harness::CUSTOMER_TOKEN,
        "operator_token": geraniumpost_harness::OPERATOR_TOKEN,
        "service_path": format!("/{}/check", geraniumpost_harness::SERVICE),
    })
}

async fn requests(fleet: &Fleet) -> Result<()> {
    let mut told = Vec::new();
    for number in 0..100_usize {
        let send = if number % 2 == 0 { RequestSpec::get() } else { RequestSpec::post() };
        told.push(fleet.caller(number % 2).send(&send.work_ms(2).answer_bytes(2_000)).await);
    }
    let summary: Summary = told.iter().collect();
    ensure!(summary.answered == told.len(), "not every request was answered: {summary}");
    fleet.assert_promises_to_callers(&told).await;
    println!("requests: {summary}");
    Ok(())
}

async fn job(fleet: &Fleet) -> Result<()> {
    let (status, answer) = fleet.operator(0).submit("study-1", 2_000, "sleep:500").await?;
    ensure!(status.is_success(), "the job was refused: {answer}");
    let (again, answer) = fleet.operator(1).submit("study-1", 2_000, "sleep:500").await?;
    ensure!(again.is_success(), "the same submission again was refused: {answer}");
    let shown = until("the job is done", || async {
        let (_, job) = fleet.operator(1).get("/api/jobs/study-1").await.ok()?;
        (job["state"] == "done").then_some(job)
    })
    .await?;
    let record = fleet.worker_record().await?;
    let starts = record.iter().filter(|event| format!("{:?}", event.kind).contains("Start"));
    ensure!(starts.count() == 1, "the job ran more than once: {record:#?}");
    println!("job: {shown}");
    Ok(())
}

async fn configuration(fleet: &Fleet) -> Result<()> {
    let (_, config) = fleet.operator(0).get("/api/config").await?;
    let before = config["revision"].as_u64().unwrap_or(0);
    let mut document = config["document"].clone();
    document["services"]["filing"]["deadline_ms"] = json!(9_000);
    let began = Instant::now();
    let (status, answer) = fleet.operator(0).put_if_match("/api/config", before, &document).await?;
    ensure!(status == StatusCode::OK, "the change was refused: {answer}");
    let all = fleet.entries().len() + fleet.agents().len();
    until("the change is in force everywhere", || async {
        let (_, shown) = fleet.operator(1).get("/api/in-force").await.ok()?;
        let processes = shown["processes"].as_array()?.clone();
        let newer = |p: &&Value| p["revision"].as_u64().is_some_and(|r| r > before);
        (processes.iter().filter(newer).count() == all).then_some(())
    })
    .await?;
    println!("configuration: in force on {all} processes after {:?}", began.elapsed());
    Ok(())
}

/// Ends every process of the system once, with callers at work, and starts it again.
async fn restarts(fleet: &mut Fleet) -> Result<()> {
    let load = Load::start(&fleet.callers_addresses(), CALLERS, 1);
    for agent in 0..fleet.agents().len() {
        fleet.agent(agent).kill();
        sleep(Duration::from_millis(300)).await;
        fleet.agent(agent).restart()?;
        fleet.ready().await;
    }
    for entry in 0..fleet.entries().len() {
        fleet.entry(entry).kill();
        sleep(Duration::from_millis(300)).await;
        fleet.entry(entry).restart()?;
        fleet.ready().await;
    }
    let told = load.stop().await;
    fleet.assert_promises_to_callers(&told).await;
    let summary: Summary = told.iter().collect();
    println!("every process killed and started again under load: {summary}");
    Ok(())
}

/// Stops everything as planned, with requests in flight that must not be cut off.
async fn graceful_stop(fleet: &mut Fleet) -> Result<()> {
    let flights: Vec<_> = (0..8)
        .map(|number| {
            let caller = fleet.caller(number % 2);
            tokio::spawn(async move { caller.send(&RequestSpec::post().work_ms(800)).await })
        })
        .collect();
    sleep(Duration::from_millis(200)).await;
    for entry in 0..fleet.entries().len() {
        fleet.entry(entry).term()?;
    }
    let mut told: Vec<ObservedRequest> = Vec::new();
    for flight in flights {
        told.push(flight.await?);
    }
    let answered = told.iter().all(|told| matches!(told.outcome, Outcome::Answered { .. }));
    ensure!(answered, "a planned stop cut requests off: {told:#?}");
    for agent in 0..fleet.agents().len() {
        fleet.agent(agent).term()?;
    }
    let ends = Instant::now() + PATIENCE;
    while anything_runs(fleet) {
        ensure!(Instant::now() < ends, "a planned stop does not end");
        sleep(LOOK).await;
    }
    println!("planned stop: {} requests in flight were answered, all processes ended", told.len());
    Ok(())
}

fn anything_runs(fleet: &mut Fleet) -> bool {
    let (entries, agents) = (fleet.entries().len(), fleet.agents().len());
    (0..entries).any(|number| fleet.entry(number).is_running())
        || (0..agents).any(|number| fleet.agent(number).is_running())
}

/// Looks until something is found.
async fn until<T, F>(what: &str, mut look: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let ends = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look().await {
            return Ok(found);
        }
        ensure!(Instant::now() < ends, "not within {PATIENCE:?}: {what}");
        sleep(LOOK).await;
    }
}
