//! Tests of jobs from submission to result, with the binary's processes.

use std::time::{Duration, Instant};

use geraniumpost_harness::check::{ObservedJob, check_jobs};
use geraniumpost_harness::{Binaries, CUSTOMER, Fleet, Plan, wait_for, wait_until};
use geraniumpost_standin::http::Down;
use geraniumpost_standin::relay::{Direction, RelayFaults};
use geraniumpost_standin::store::StoreFaults;
use geraniumpost_standin::worker::WorkerEventKind;
use http::{Method, StatusCode};
use serde_json::{Value, json};

/// Maximum time until an entry plans after a start or a takeover.
const PLANNER_TIMEOUT: Duration = Duration::from_secs(30);

async fn fleet(plan: &Plan) -> Fleet {
    let fleet = Fleet::start(&Binaries::new(env!("CARGO_BIN_EXE_geraniumpost")), plan).await;
    fleet.unwrap()
}

/// Submits a job and retries until it is recorded. Submissions are idempotent.
async fn submit(fleet: &Fleet, job: &str, command: &str) {
    wait_until("a planner accepts the job", PLANNER_TIMEOUT, || async {
        for entry in 0..fleet.entries().len() {
            let response = fleet.operator(entry).submit(job, 1_000, command).await;
            if response.is_ok_and(|(status, _)| status.is_success()) {
                return true;
            }
        }
        false
    })
    .await;
}

async fn status(fleet: &Fleet, job: &str) -> Option<Value> {
    for entry in 0..fleet.entries().len() {
        let response = fleet.operator(entry).get(&format!("/api/jobs/{job}")).await;
        if let Ok((StatusCode::OK, value)) = response {
            return Some(value);
        }
    }
    None
}

async fn wait_for_state(fleet: &Fleet, job: &str, state: &str, time: Duration) -> Value {
    wait_for(&format!("{job} {state}"), time, || async {
        status(fleet, job).await.filter(|value| value["state"] == state)
    })
    .await
}

async fn assert_no_violation(fleet: &Fleet, done: &[(&str, Value)]) {
    let record = fleet.worker_record().await.unwrap();
    let seen = |(id, value): &(&str, Value)| ObservedJob {
        id: (*id).to_owned(),
        result: value["result"].as_str().map(str::to_owned),
    };
    let jobs: Vec<ObservedJob> = done.iter().map(seen).collect();
    let found = check_jobs(&record, &jobs, &fleet.lost_vms());
    assert!(found.is_empty(), "{found:#?}\n{record:#?}");
}

async fn start_count(fleet: &Fleet, job: &str) -> usize {
    let record = fleet.worker_record().await.unwrap();
    record.iter().filter(|e| e.task == job && e.kind == WorkerEventKind::Started).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn job_completes_once_and_both_entries_show_it() {
    let fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:300").await;
    let done = wait_for_state(&fleet, "study-1", "done", Duration::from_secs(20)).await;
    for entry in 0..2 {
        let (status, value) = fleet.operator(entry).get("/api/jobs/study-1").await.unwrap();
        assert_eq!((status, &value["state"]), (StatusCode::OK, &done["state"]));
    }
    let (_, why) = fleet.operator(0).get("/api/jobs/study-1/explain").await.unwrap();
    assert!(why["why"].is_string(), "{why}");
    submit(&fleet, "study-1", "sleep:300").await;
    assert_eq!(start_count(&fleet, "study-1").await, 1);
    let (_, metrics) = fleet.operator(planner_index(&fleet)).get("/metrics").await.unwrap();
    let placed = |line: &str| {
        line.starts_with("geraniumpost_placements_total{") && line.contains("class=\"study\"")
    };
    assert!(metrics.as_str().is_some_and(|text| text.lines().any(placed)), "{metrics}");
    assert_no_violation(&fleet, &[("study-1", done)]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_job_stops_and_stays_cancelled() {
    let fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:60000").await;
    wait_for_state(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let cancel = fleet.operator(1).call(Method::DELETE, "/api/jobs/study-1", &Value::Null).await;
    assert!(cancel.unwrap().0.is_success());
    wait_for_state(&fleet, "study-1", "cancelled", Duration::from_secs(10)).await;
    assert_no_violation(&fleet, &[]).await;
}

/// The planner is killed while a job runs. Without a takeover, the agent lease would not be renewed
/// and the job's result would never be recorded.
#[tokio::test(flavor = "multi_thread")]
async fn job_completes_after_the_loss_of_the_planner() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:12000").await;
    wait_for_state(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let planner = planner_index(&fleet);
    fleet.entry(planner).kill();
    let done = wait_for_state(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    assert_no_violation(&fleet, &[("study-1", done)]).await;
}

fn planner_index(fleet: &Fleet) -> usize {
    for (number, entry) in fleet.entries().iter().enumerate() {
        if entry.process().output().contains("this entry plans in term") {
            return number;
        }
    }
    panic!("no entry plans");
}

/// The agent beside a running job is restarted. If it did not adopt the job, the job would run a
/// second time or end because its lease is not renewed.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_agent_adopts_a_running_job() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:8000").await;
    let running = wait_for_state(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let agent = fleet.agents().iter().position(|one| running["worker"] == one.name()).unwrap();
    fleet.agent(agent).kill();
    fleet.agent(agent).restart().unwrap();
    let done = wait_for_state(&fleet, "study-1", "done", Duration::from_secs(40)).await;
    assert_eq!(
        start_count(&fleet, "study-1").await,
        1,
        "the job must be adopted and not restarted"
    );
    assert_no_violation(&fleet, &[("study-1", done)]).await;
}

/// The store is unavailable for longer than the planner's lease. If the planner stopped extending
/// agent leases then, the outage would end all running jobs of the region.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_longer_than_a_lease_stops_no_running_job() {
    let fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:15000").await;
    wait_for_state(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let down = StoreFaults { down: Down::Hang, ..StoreFaults::default() };
    fleet.set_store_faults(down).await.unwrap();
    tokio::time::sleep(Duration::from_secs(17)).await;
    fleet.set_store_faults(StoreFaults::default()).await.unwrap();
    let done = wait_for_state(&fleet, "study-1", "done", Duration::from_secs(30)).await;
    assert_eq!(
        start_count(&fleet, "study-1").await,
        1,
        "the job must keep running during the outage"
    );
    assert_no_violation(&fleet, &[("study-1", done)]).await;
}

/// A VM is lost with a running job. The job would be lost if the planner did not notice that the
/// agent lease has expired.
#[tokio::test(flavor = "multi_thread")]
async fn job_on_a_lost_vm_runs_elsewhere() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:3000").await;
    let running = wait_for_state(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let agent = fleet.agents().iter().position(|one| running["worker"] == one.name()).unwrap();
    fleet.lose_vm(agent);
    let done = wait_for_state(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    assert_no_violation(&fleet, &[("study-1", done)]).await;
}

/// An agent is stopped while a job runs beside it. The job must be checkpointed and resume
/// elsewhere. Otherwise its progress would be lost.
#[tokio::test(flavor = "multi_thread")]
async fn job_of_a_stopped_agent_resumes_from_its_checkpoint() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:4000").await;
    let running = wait_for_state(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let agent = fleet.agents().iter().position(|one| running["worker"] == one.name()).unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.agent(agent).term().unwrap();
    let done = wait_for_state(&fleet, "study-1", "done", Duration::from_secs(40)).await;
    assert_ne!(done["worker"], running["worker"]);
    assert_eq!(done["evictions"], 1, "{done}");
    assert_no_violation(&fleet, &[("study-1", done)]).await;
}

/// The planner is paused for longer than its lease, and resumes while its successor plans. Both
/// would plan if the resumed planner acted before it checked whether its lease has expired.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_planner_does_not_plan_beside_its_successor() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:20000").await;
    wait_for_state(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let planner = planner_index(&fleet);
    fleet.entry(planner).freeze().unwrap();
    tokio::time::sleep(Duration::from_secs(13)).await;
    fleet.entry(planner).thaw().unwrap();
    submit(&fleet, "study-2", "sleep:500").await;
    let second = wait_for_state(&fleet, "study-2", "done", Duration::from_secs(40)).await;
    let first = wait_for_state(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    assert_no_violation(&fleet, &[("study-1", first), ("study-2", second)]).await;
}

/// The planner loses the connection to the store, but not to the agents, and another entry takes
/// over. Agents must follow the higher term at once. Otherwise both planners would control the same
/// jobs.
#[tokio::test(flavor = "multi_thread")]
async fn planner_without_the_store_is_replaced() {
    let fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:20000").await;
    wait_for_state(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let planner = planner_index(&fleet);
    let partition = RelayFaults { refuse_new: true, ..RelayFaults::default() };
    let stall = Direction { stall: true, ..Direction::default() };
    let partition = RelayFaults { forward: stall, back: stall, ..partition };
    let relay = fleet.entries()[planner].store_relay().control();
    relay.set_faults(&partition).await.unwrap();
    let other = fleet.operator(1 - planner);
    wait_until("the other entry plans", PLANNER_TIMEOUT, || async {
        let response = other.submit("study-2", 1_000, "sleep:500").await;
        response.is_ok_and(|(status, _)| status.is_success())
    })
    .await;
    let second = wait_for_state(&fleet, "study-2", "done", Duration::from_secs(40)).await;
    let first = wait_for_state(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    assert_eq!(
        start_count(&fleet, "study-1").await,
        1,
        "the job must keep running during the takeover"
    );
    assert_no_violation(&fleet, &[("study-1", first), ("study-2", second)]).await;
}

/// An agent is paused while its worker keeps running. The worker ends the job when its lease
/// expires, and the job runs elsewhere. The resumed agent must not consider the job its own again.
#[tokio::test(flavor = "multi_thread")]
async fn job_of_a_paused_agent_runs_elsewhere() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:12000").await;
    let running = wait_for_state(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let agent = fleet.agents().iter().position(|one| running["worker"] == one.name()).unwrap();
    fleet.agent(agent).freeze().unwrap();
    wait_until("the job runs elsewhere", Duration::from_mins(1), || async {
        let value = status(&fleet, "study-1").await;
        value.is_some_and(|v| v["state"] == "running" && v["worker"] != running["worker"])
    })
    .await;
    fleet.agent(agent).thaw().unwrap();
    let done = wait_for_state(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    assert_eq!(start_count(&fleet, "study-1").await, 2);
    assert_no_violation(&fleet, &[("study-1", done)]).await;
}

/// All entries are killed and restarted at once. Then only the store has a record of the job, and
/// its agent lease is not renewed until a restarted entry plans.
#[tokio::test(flavor = "multi_thread")]
async fn job_keeps_running_while_all_entries_are_replaced() {
    let plan = Plan::default().document(|document| document["policy"]["hold_ms"] = json!(20_000));
    let mut fleet = fleet(&plan).await;
    submit(&fleet, "study-1", "sleep:18000").await;
    wait_for_state(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    for entry in 0..2 {
        fleet.entry(entry).kill();
    }
    for entry in 0..2 {
        fleet.entry(entry).restart().unwrap();
    }
    let done = wait_for_state(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    assert_eq!(start_count(&fleet, "study-1").await, 1, "the job must keep running");
    assert_no_violation(&fleet, &[("study-1", done)]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_urgent_job_starts_within_its_bound() {
    let fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:100").await;
    let body = json!({
        "customer": CUSTOMER,
        "class": "urgent",
        "milli_cpus": 1_000,
        "memory_mb": 512,
        "command": "sleep:5000",
    });
    let submitted_at = Instant::now();
    let response = fleet.operator(0).call(Method::PUT, "/api/jobs/urgent-1", &body).await.unwrap();
    assert!(response.0.is_success(), "{response:?}");
    wait_for_state(&fleet, "urgent-1", "running", Duration::from_millis(3_500)).await;
    println!("urgent job running after {:?}", submitted_at.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn store_calls_are_few() {
    let fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-0", "sleep:10").await;
    wait_for_state(&fleet, "study-0", "done", Duration::from_secs(20)).await;
    let idle_from = store_calls(&fleet).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let idle = (store_calls(&fleet).await - idle_from) as f64 / 10.0;
    let busy_from = store_calls(&fleet).await;
    for job in 1..=20 {
        submit(&fleet, &format!("study-{job}"), "sleep:10").await;
    }
    for job in 1..=20 {
        wait_for_state(&fleet, &format!("study-{job}"), "done", Duration::from_secs(30)).await;
    }
    let each = (store_calls(&fleet).await - busy_from) as f64 / 20.0;
    println!(
        "store calls: {idle:.2}/s while 2 entries are idle, {each:.2} for each of successive jobs"
    );
    assert!(idle <= 2.0, "{idle}");
    assert!(each <= 4.0, "{each}");
}

/// Returns the number of calls to the store, in which a watch counts as one call.
async fn store_calls(fleet: &Fleet) -> u64 {
    let counts = fleet.store_counts().await.unwrap();
    counts.get + counts.put + counts.delete + counts.grant + counts.keep_alive + counts.watch
}
