//! Runs the whole system once on loopback and checks that every step works.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, ensure};
use geraniumpost_harness::check::{ObservedRequest, Outcome, Summary};
use geraniumpost_harness::{Binaries, Fleet, Load, Plan, RequestSpec};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Time within which a step must take effect.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Callers that send requests while processes are killed.
const CALLERS: u64 = 8;

/// Builds the command line of `demo`.
pub fn cli() -> Command {
    Command::new("demo")
        .about("Run the whole system on loopback; exit with 0 only if every check passes")
        .arg(
            Arg::new("hold")
                .long("hold")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .help("Only print addresses and process ids as JSON, then keep running that long"),
        )
}

/// Runs the demo.
///
/// # Errors
///
/// Fails at the first check that does not pass.
pub async fn run(m: &ArgMatches) -> Result<()> {
    let binaries = Binaries::beside_current_exe()?;
    let plan = Plan::default().standins_as_processes();
    let mut fleet = Fleet::start(&binaries, &plan).await?;
    if let Some(seconds) = m.get_one::<u64>("hold") {
        return keep_running(&fleet, Duration::from_secs(*seconds)).await;
    }
    println!("started: {}", describe(&fleet));
    check_requests(&fleet).await?;
    check_job(&fleet).await?;
    check_configuration_change(&fleet).await?;
    check_restarts(&mut fleet).await?;
    check_graceful_stop(&mut fleet).await?;
    println!("all checks passed");
    Ok(())
}

async fn keep_running(fleet: &Fleet, time: Duration) -> Result<()> {
    println!("{}", describe(fleet));
    sleep(time).await;
    Ok(())
}

/// Describes every process with its id and addresses.
fn describe(fleet: &Fleet) -> Value {
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

async fn check_requests(fleet: &Fleet) -> Result<()> {
    let mut observed = Vec::new();
    for number in 0..100_usize {
        let spec = if number % 2 == 0 { RequestSpec::get() } else { RequestSpec::post() };
        observed.push(fleet.caller(number % 2).send(&spec.work_ms(2).answer_bytes(2_000)).await);
    }
    let summary: Summary = observed.iter().collect();
    ensure!(summary.answered == observed.len(), "not every request was answered: {summary}");
    fleet.assert_promises_to_callers(&observed).await;
    println!("requests: {summary}");
    Ok(())
}

async fn check_job(fleet: &Fleet) -> Result<()> {
    let (status, answer) = fleet.operator(0).submit("study-1", 2_000, "sleep:500").await?;
    ensure!(status.is_success(), "the job was refused: {answer}");
    let (repeated, answer) = fleet.operator(1).submit("study-1", 2_000, "sleep:500").await?;
    ensure!(repeated.is_success(), "the repeated submission was refused: {answer}");
    let shown = poll_until("the job is done", || async {
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

async fn check_configuration_change(fleet: &Fleet) -> Result<()> {
    let (_, config) = fleet.operator(0).get("/api/config").await?;
    let before = config["revision"].as_u64().unwrap_or(0);
    let mut document = config["document"].clone();
    document["services"]["filing"]["deadline_ms"] = json!(9_000);
    let began = Instant::now();
    let (status, answer) = fleet.operator(0).put_if_match("/api/config", before, &document).await?;
    ensure!(status == StatusCode::OK, "the change was refused: {answer}");
    let all = fleet.entries().len() + fleet.agents().len();
    poll_until("the change is in force everywhere", || async {
        let (_, shown) = fleet.operator(1).get("/api/in-force").await.ok()?;
        let processes = shown["processes"].as_array()?.clone();
        let newer = |p: &&Value| p["revision"].as_u64().is_some_and(|r| r > before);
        (processes.iter().filter(newer).count() == all).then_some(())
    })
    .await?;
    println!("configuration: in force on {all} processes after {:?}", began.elapsed());
    Ok(())
}

/// Kills and restarts every process in turn while callers send requests.
async fn check_restarts(fleet: &mut Fleet) -> Result<()> {
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
    let observed = load.stop().await;
    fleet.assert_promises_to_callers(&observed).await;
    let summary: Summary = observed.iter().collect();
    println!("every process killed and restarted under load: {summary}");
    Ok(())
}

/// Stops every process gracefully; requests in flight must still be answered.
async fn check_graceful_stop(fleet: &mut Fleet) -> Result<()> {
    let calls: Vec<_> = (0..8)
        .map(|number| {
            let caller = fleet.caller(number % 2);
            tokio::spawn(async move { caller.send(&RequestSpec::post().work_ms(800)).await })
        })
        .collect();
    sleep(Duration::from_millis(200)).await;
    for entry in 0..fleet.entries().len() {
        fleet.entry(entry).term()?;
    }
    let mut observed: Vec<ObservedRequest> = Vec::new();
    for call in calls {
        observed.push(call.await?);
    }
    let answered =
        observed.iter().all(|request| matches!(request.outcome, Outcome::Answered { .. }));
    ensure!(answered, "requests were not answered during a planned stop: {observed:#?}");
    for agent in 0..fleet.agents().len() {
        fleet.agent(agent).term()?;
    }
    let deadline = Instant::now() + STEP_TIMEOUT;
    while any_process_runs(fleet) {
        ensure!(Instant::now() < deadline, "processes still run after a planned stop");
        sleep(POLL_INTERVAL).await;
    }
    println!(
        "planned stop: {} requests in flight were answered, all processes ended",
        observed.len()
    );
    Ok(())
}

fn any_process_runs(fleet: &mut Fleet) -> bool {
    let (entries, agents) = (fleet.entries().len(), fleet.agents().len());
    (0..entries).any(|number| fleet.entry(number).is_running())
        || (0..agents).any(|number| fleet.agent(number).is_running())
}

/// Polls until `poll` returns a value.
async fn poll_until<T, F>(what: &str, mut poll: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        if let Some(found) = poll().await {
            return Ok(found);
        }
        ensure!(Instant::now() < deadline, "not within {STEP_TIMEOUT:?}: {what}");
        sleep(POLL_INTERVAL).await;
    }
}
