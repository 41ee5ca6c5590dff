//! Jobs from submission to result as separate processes.

use std::time::{Duration, Instant};

use geraniumpost_harness::check::{ObservedJob, check_jobs};
use geraniumpost_harness::{Binaries, CUSTOMER, Fleet, Plan, wait_for, wait_until};
use geraniumpost_standin::http::Down;
use geraniumpost_standin::relay::{Direction, RelayFaults};
use geraniumpost_standin::store::StoreFaults;
use geraniumpost_standin::worker::WorkerEventKind;
use http::{Method, StatusCode};
use serde_json::{Value, json};

/// Time for a planner to be there, after a start or a takeover.
const PLANNED: Duration = Duration::from_secs(30);

async fn fleet(plan: &Plan) -> Fleet {
    let fleet = Fleet::start(&Binaries::new(env!("CARGO_BIN_EXE_geraniumpost")), plan).await;
    fleet.unwrap()
}

/// Submits until it is recorded; repeats do no harm.
async fn submit(fleet: &Fleet, job: &str, command: &str) {
    wait_until("a planner takes the job", PLANNED, || async {
        for entry in 0..fleet.entries().len() {
            let told = fleet.operator(entry).submit(job, 1_000, command).await;
            if told.is_ok_and(|(status, _)| status.is_success()) {
                return true;
            }
        }
        false
    })
    .await;
}

async fn status(fleet: &Fleet, job: &str) -> Option<Value> {
    for entry in 0..fleet.entries().len() {
        let told = fleet.operator(entry).get(&format!("/api/jobs/{job}")).await;
        if let Ok((StatusCode::OK, value)) = told {
            return Some(value);
        }
    }
    None
}

async fn reaches(fleet: &Fleet, job: &str, state: &str, time: Duration) -> Value {
    wait_for(&format!("{job} {state}"), time, || async {
        status(fleet, job).await.filter(|value| value["state"] == state)
    })
    .await
}

async fn check(fleet: &Fleet, done: &[(&str, Value)]) {
    let record = fleet.worker_record().await.unwrap();
    let seen = |(id, value): &(&str, Value)| ObservedJob {
        id: (*id).to_owned(),
        result: value["result"].as_str().map(str::to_owned),
    };
    let jobs: Vec<ObservedJob> = done.iter().map(seen).collect();
    let found = check_jobs(&record, &jobs, &fleet.lost_vms());
    assert!(found.is_empty(), "{found:#?}\n{record:#?}");
}

async fn starts(fleet: &Fleet, job: &str) -> usize {
    let record = fleet.worker_record().await.unwrap();
    record.iter().filter(|e| e.task == job && e.kind == WorkerEventKind::Started).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_completes_once_and_is_known_on_both_entries() {
    let fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:300").await;
    let done = reaches(&fleet, "study-1", "done", Duration::from_secs(20)).await;
    for entry in 0..2 {
        let (status, value) = fleet.operator(entry).get("/api/jobs/study-1").await.unwrap();
        assert_eq!((status, &value["state"]), (StatusCode::OK, &done["state"]));
    }
    let (_, why) = fleet.operator(0).get("/api/jobs/study-1/explain").await.unwrap();
    assert!(why["why"].is_string(), "{why}");
    submit(&fleet, "study-1", "sleep:300").await;
    assert_eq!(starts(&fleet, "study-1").await, 1);
    let (_, metrics) = fleet.operator(planner(&fleet)).get("/metrics").await.unwrap();
    let placed = |line: &str| {
        line.starts_with("geraniumpost_placements_total{") && line.contains("class=\"study\"")
    };
    assert!(metrics.as_str().is_some_and(|text| text.lines().any(placed)), "{metrics}");
    check(&fleet, &[("study-1", done)]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_stops_and_stays_cancelled() {
    let fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:60000").await;
    reaches(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let cancel = fleet.operator(1).call(Method::DELETE, "/api/jobs/study-1", &Value::Null).await;
    assert!(cancel.unwrap().0.is_success());
    reaches(&fleet, "study-1", "cancelled", Duration::from_secs(10)).await;
    check(&fleet, &[]).await;
}

// The entry that plans dies while a study runs. Without a takeover nobody would renew the study's
// hold, and its result would never be recorded.
#[tokio::test(flavor = "multi_thread")]
async fn a_study_survives_the_death_of_the_planner() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:12000").await;
    reaches(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let planning = planner(&fleet);
    fleet.entry(planning).kill();
    let done = reaches(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    check(&fleet, &[("study-1", done)]).await;
}

fn planner(fleet: &Fleet) -> usize {
    for (number, entry) in fleet.entries().iter().enumerate() {
        if entry.process().output().contains("this entry plans in term") {
            return number;
        }
    }
    panic!("no entry plans");
}

// The agent beside a running study dies and comes back. If it didn't take the study over, the study
// would be run a second time, or end for want of a renewal.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_adopts_a_running_study() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:8000").await;
    let running = reaches(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let agent = fleet.agents().iter().position(|one| running["worker"] == one.name()).unwrap();
    fleet.agent(agent).kill();
    fleet.agent(agent).restart().unwrap();
    let done = reaches(&fleet, "study-1", "done", Duration::from_secs(40)).await;
    assert_eq!(starts(&fleet, "study-1").await, 1, "adopted, not started anew");
    check(&fleet, &[("study-1", done)]).await;
}

// The store is down for longer than the planner's lease lasts. If the planner stopped granting holds
// then, every running study of the region would be cut off by a mere outage.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_stops_no_running_study() {
    let fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:15000").await;
    reaches(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let down = StoreFaults { down: Down::Hang, ..StoreFaults::default() };
    fleet.set_store_faults(down).await.unwrap();
    tokio::time::sleep(Duration::from_secs(17)).await;
    fleet.set_store_faults(StoreFaults::default()).await.unwrap();
    let done = reaches(&fleet, "study-1", "done", Duration::from_secs(30)).await;
    assert_eq!(starts(&fleet, "study-1").await, 1, "it ran on through the outage");
    check(&fleet, &[("study-1", done)]).await;
}

// A VM is lost with the study that runs on it. The study would be lost with it if nobody noticed that
// its hold had run out.
#[tokio::test(flavor = "multi_thread")]
async fn a_study_on_a_lost_vm_runs_elsewhere() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:3000").await;
    let running = reaches(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let agent = fleet.agents().iter().position(|one| running["worker"] == one.name()).unwrap();
    fleet.lose_vm(agent);
    let done = reaches(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    check(&fleet, &[("study-1", done)]).await;
}

// A VM is to be replaced while a study runs on it. The study would lose its work so far if the agent
// just left; it is checkpointed and resumes elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_moves_a_study_with_its_checkpoint() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:4000").await;
    let running = reaches(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let agent = fleet.agents().iter().position(|one| running["worker"] == one.name()).unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.agent(agent).term().unwrap();
    let done = reaches(&fleet, "study-1", "done", Duration::from_secs(40)).await;
    assert_ne!(done["worker"], running["worker"]);
    assert_eq!(done["evictions"], 1, "{done}");
    check(&fleet, &[("study-1", done)]).await;
}

// The planner's VM is paused for longer than its lease lasts, and wakes up beside its successor. Both
// would plan if it acted before it looked at its clock.
#[tokio::test(flavor = "multi_thread")]
async fn a_planner_that_was_paused_leaves_the_work_to_its_successor() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:20000").await;
    reaches(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let planning = planner(&fleet);
    fleet.entry(planning).freeze().unwrap();
    tokio::time::sleep(Duration::from_secs(13)).await;
    fleet.entry(planning).thaw().unwrap();
    submit(&fleet, "study-2", "sleep:500").await;
    let second = reaches(&fleet, "study-2", "done", Duration::from_secs(40)).await;
    let first = reaches(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    check(&fleet, &[("study-1", first), ("study-2", second)]).await;
}

// The planner is cut from the store but not from the agents, and another entry takes over. Agents
// must follow the higher term at once, or both planners would keep and move the same studies.
#[tokio::test(flavor = "multi_thread")]
async fn a_planner_cut_from_the_store_is_followed_by_another() {
    let fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:20000").await;
    reaches(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let planning = planner(&fleet);
    let cut = RelayFaults { refuse_new: true, ..RelayFaults::default() };
    let stall = Direction { stall: true, ..Direction::default() };
    let cut = RelayFaults { forward: stall, back: stall, ..cut };
    let relay = fleet.entries()[planning].store_relay().control();
    relay.set_faults(&cut).await.unwrap();
    let other = fleet.operator(1 - planning);
    wait_until("the other entry plans", PLANNED, || async {
        let told = other.submit("study-2", 1_000, "sleep:500").await;
        told.is_ok_and(|(status, _)| status.is_success())
    })
    .await;
    let second = reaches(&fleet, "study-2", "done", Duration::from_secs(40)).await;
    let first = reaches(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    assert_eq!(starts(&fleet, "study-1").await, 1, "it ran on through the takeover");
    check(&fleet, &[("study-1", first), ("study-2", second)]).await;
}

// An agent's process is paused while its worker goes on. The worker ends the study when its lease runs
// out, and the study runs elsewhere; when the agent wakes up it must not take it for its own again.
#[tokio::test(flavor = "multi_thread")]
async fn a_study_leaves_an_agent_that_is_paused_for_long() {
    let mut fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-1", "sleep:12000").await;
    let running = reaches(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    let agent = fleet.agents().iter().position(|one| running["worker"] == one.name()).unwrap();
    fleet.agent(agent).freeze().unwrap();
    wait_until("it runs elsewhere", Duration::from_mins(1), || async {
        let value = status(&fleet, "study-1").await;
        value.is_some_and(|v| v["state"] == "running" && v["worker"] != running["worker"])
    })
    .await;
    fleet.agent(agent).thaw().unwrap();
    let done = reaches(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    assert_eq!(starts(&fleet, "study-1").await, 2);
    check(&fleet, &[("study-1", done)]).await;
}

// All entries are replaced at once. Nothing but the store remembers the study then, and nobody renews
// its hold until one of the new entries plans.
#[tokio::test(flavor = "multi_thread")]
async fn a_study_runs_on_while_all_entries_are_replaced() {
    let plan = Plan::default().document(|document| document["policy"]["hold_ms"] = json!(20_000));
    let mut fleet = fleet(&plan).await;
    submit(&fleet, "study-1", "sleep:18000").await;
    reaches(&fleet, "study-1", "running", Duration::from_secs(20)).await;
    for entry in 0..2 {
        fleet.entry(entry).kill();
    }
    for entry in 0..2 {
        fleet.entry(entry).restart().unwrap();
    }
    let done = reaches(&fleet, "study-1", "done", Duration::from_mins(1)).await;
    assert_eq!(starts(&fleet, "study-1").await, 1, "it ran on");
    check(&fleet, &[("study-1", done)]).await;
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
    let began = Instant::now();
    let told = fleet.operator(0).call(Method::PUT, "/api/jobs/urgent-1", &body).await.unwrap();
    assert!(told.0.is_success(), "{told:?}");
    reaches(&fleet, "urgent-1", "running", Duration::from_millis(3_500)).await;
    println!("urgent job running after {:?}", began.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_store_is_asked_little() {
    let fleet = fleet(&Plan::default()).await;
    submit(&fleet, "study-0", "sleep:10").await;
    reaches(&fleet, "study-0", "done", Duration::from_secs(20)).await;
    let idle_from = calls(&fleet).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let idle = (calls(&fleet).await - idle_from) as f64 / 10.0;
    let busy_from = calls(&fleet).await;
    for job in 1..=20 {
        submit(&fleet, &format!("study-{job}"), "sleep:10").await;
    }
    for job in 1..=20 {
        reaches(&fleet, &format!("study-{job}"), "done", Duration::from_secs(30)).await;
    }
    let each = (calls(&fleet).await - busy_from) as f64 / 20.0;
    println!("store calls: {idle:.2}/s idle for 2 entries, {each:.2} a job one after the other");
    assert!(idle <= 2.0, "{idle}");
    assert!(each <= 4.0, "{each}");
}

/// Returns the calls that the store has counted, each waiting watch as one.
async fn calls(fleet: &Fleet) -> u64 {
    let counts = fleet.store_counts().await.unwrap();
    counts.get + counts.put + counts.delete + counts.grant + counts.keep_alive + counts.watch
}
