//! Tests of failures of processes, workers and the store while jobs run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumpost_harness::check::{ObservedJob, check_jobs};
use geraniumpost_harness::{Binaries, Fleet, Plan, failures, sleep_ms, wait_until};
use geraniumpost_standin::http::Down;
use geraniumpost_standin::relay::{Direction, RelayFaults};
use geraniumpost_standin::store::StoreFaults;
use geraniumpost_standin::worker::{WorkerEvent, WorkerEventKind, WorkerFaults};
use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use serde_json::Value;

/// Maximum time until a job completes. A run whose end cannot be reported is repeated after 14 s.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(45);

async fn fleet(plan: Plan) -> Fleet {
    let binaries = Binaries::new(env!("CARGO_BIN_EXE_geraniumpost"));
    Fleet::start(&binaries, &plan).await.unwrap()
}

fn down(down: Down) -> StoreFaults {
    StoreFaults { down, ..StoreFaults::default() }
}

/// Submits a job and retries until one of the entries has accepted it.
async fn submit(fleet: &Fleet, id: &str, command: &str) {
    wait_until("the job is submitted", COMPLETION_TIMEOUT, || async {
        for entry in 0..fleet.entries().len() {
            let response = fleet.operator(entry).submit(id, 4000, command).await;
            if response.is_ok_and(|(status, _)| status.is_success()) {
                return true;
            }
        }
        false
    })
    .await;
}

async fn submit_all(fleet: &Fleet, jobs: usize, work_ms: u64) -> Vec<String> {
    let ids: Vec<String> = (0..jobs).map(|number| format!("study-{number}")).collect();
    for id in &ids {
        submit(fleet, id, &format!("sleep:{work_ms}")).await;
    }
    ids
}

/// Returns a job from the first entry that responds.
async fn job(fleet: &Fleet, id: &str) -> Option<Value> {
    for entry in 0..fleet.entries().len() {
        let response = fleet.operator(entry).get(&format!("/api/jobs/{id}")).await;
        if let Ok((status, body)) = response
            && status.is_success()
        {
            return Some(body);
        }
    }
    None
}

async fn state(fleet: &Fleet, id: &str) -> String {
    let job = job(fleet, id).await.unwrap_or_default();
    job["state"].as_str().unwrap_or_default().to_lowercase()
}

async fn is_done(fleet: &Fleet, id: &str) -> bool {
    state(fleet, id).await == "done"
}

async fn has_run(fleet: &Fleet, id: &str, kind: WorkerEventKind) -> bool {
    let record = fleet.worker_record().await.unwrap();
    record.iter().any(|event| event.task == id && event.kind == kind)
}

async fn started(fleet: &Fleet, id: &str) {
    wait_until("the job has started", COMPLETION_TIMEOUT, || {
        has_run(fleet, id, WorkerEventKind::Started)
    })
    .await;
}

/// Returns the index of the agent whose worker started the job most recently.
async fn agent_index(fleet: &Fleet, id: &str) -> usize {
    let record = fleet.worker_record().await.unwrap();
    let starts = record.iter().filter(|e| e.task == id && e.kind == WorkerEventKind::Started);
    let last = starts.max_by_key(|event| event.at_us).unwrap();
    fleet.agents().iter().position(|agent| agent.name() == last.worker).unwrap()
}

/// Waits until all jobs are done and checks that each was completed by one run.
async fn assert_completed_once(fleet: &Fleet, ids: &[String]) {
    let mut seen = Vec::new();
    for id in ids {
        wait_until(&format!("{id} is done"), COMPLETION_TIMEOUT, || is_done(fleet, id)).await;
        let job = job(fleet, id).await.unwrap_or_default();
        let result = job["result"].as_str().map(ToOwned::to_owned);
        seen.push(ObservedJob { id: id.clone(), result });
    }
    // Waits for a second run that may have been ordered but not started yet.
    sleep_ms(500).await;
    let record = fleet.worker_record().await.unwrap();
    let mut kinds = BTreeMap::<String, usize>::new();
    for event in &record {
        *kinds.entry(format!("{:?}", event.kind)).or_default() += 1;
    }
    println!("{} jobs: {kinds:?}", ids.len());
    let found = check_jobs(&record, &seen, &fleet.lost_vms());
    assert!(found.is_empty(), "{found:#?}\n{record:#?}");
}

failures! {
    /// Nothing fails. Each job completes once and shows its own result.
    async fn undisturbed_jobs_complete_once() {
        let fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 20, 300).await;
        assert_completed_once(&fleet, &ids).await;
    }

    /// A client submits the same job again because it received no response. The job must run once.
    async fn job_submitted_twice_runs_once() {
        let fleet = fleet(Plan::default()).await;
        for _ in 0..3 {
            submit(&fleet, "study", "sleep:200").await;
        }
        assert_completed_once(&fleet, &["study".to_owned()]).await;
        submit(&fleet, "study", "sleep:200").await;
        assert_completed_once(&fleet, &["study".to_owned()]).await;
    }

    /// The entries, one of which is the planner, are killed one after another while jobs run. The
    /// entry that takes over must neither lose a job nor start one that is still running.
    async fn killed_planner_is_replaced_without_a_second_run() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 8, 3000).await;
        started(&fleet, &ids[0]).await;
        fleet.entry(0).kill();
        sleep_ms(1500).await;
        fleet.entry(0).restart().unwrap();
        fleet.ready().await;
        fleet.entry(1).kill();
        sleep_ms(1500).await;
        fleet.entry(1).restart().unwrap();
        assert_completed_once(&fleet, &ids).await;
    }

    /// The agents are restarted while jobs run beside them. They must adopt the running tasks, and
    /// neither lose nor restart them.
    async fn restarted_agent_adopts_its_tasks() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 3000).await;
        started(&fleet, &ids[0]).await;
        for agent in 0..3 {
            fleet.agent(agent).restart().unwrap();
        }
        assert_completed_once(&fleet, &ids).await;
    }

    /// A VM is lost with its agent, its worker and a running job. The job must run again elsewhere,
    /// but not before its run on the lost VM has certainly ended.
    async fn lost_vm_loses_no_job() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 2000).await;
        started(&fleet, &ids[0]).await;
        let agent = agent_index(&fleet, &ids[0]).await;
        fleet.lose_vm(agent);
        assert_completed_once(&fleet, &ids).await;
    }

    /// An agent is killed and not restarted while its worker keeps running, so that the job's lease
    /// on the worker expires. Until then the job must not run anywhere else.
    async fn killed_agent_beside_a_running_task_causes_no_overlap() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 3, 9000).await;
        started(&fleet, &ids[0]).await;
        let agent = agent_index(&fleet, &ids[0]).await;
        fleet.agent(agent).kill();
        assert_completed_once(&fleet, &ids).await;
        assert!(has_run(&fleet, &ids[0], WorkerEventKind::Lapsed).await);
    }

    /// An agent is paused for longer than its agent lease and resumes later. The job must not run
    /// on its worker any more once it runs on another one.
    async fn tasks_of_a_paused_agent_run_elsewhere() {
        let fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 3, 8000).await;
        started(&fleet, &ids[0]).await;
        let agent = agent_index(&fleet, &ids[0]).await;
        fleet.agents()[agent].process().freeze().unwrap();
        sleep_ms(6000).await;
        fleet.agents()[agent].process().thaw().unwrap();
        assert_completed_once(&fleet, &ids).await;
    }

    /// The planner is paused for longer than its lease. When it resumes, it does not know yet that
    /// it was replaced, and agents must ignore its orders.
    async fn resumed_planner_is_ignored() {
        let fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 6000).await;
        started(&fleet, &ids[0]).await;
        for entry in fleet.entries() {
            entry.process().freeze().unwrap();
            sleep_ms(4000).await;
            entry.process().thaw().unwrap();
            sleep_ms(1000).await;
        }
        assert_completed_once(&fleet, &ids).await;
    }

    /// The store is unavailable while jobs run and end. They must keep running, and their results
    /// must be committed when the store is available again.
    async fn store_outage_stops_no_running_job() {
        let fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 3000).await;
        started(&fleet, &ids[5]).await;
        fleet.set_store_faults(down(Down::Refuse)).await.unwrap();
        sleep_ms(6000).await;
        fleet.set_store_faults(StoreFaults::default()).await.unwrap();
        assert_completed_once(&fleet, &ids).await;
        let record = fleet.worker_record().await.unwrap();
        let starts = record.iter().filter(|event| event.kind == WorkerEventKind::Started).count();
        assert_eq!(starts, ids.len(), "jobs were restarted because of the outage");
    }

    /// The store loses a third of its responses after the writes took effect. No job may be lost or
    /// run twice because the planner does not know that the job's record was written.
    async fn lost_store_responses_cause_no_second_run() {
        let fleet = fleet(Plan::default()).await;
        let faults = StoreFaults { lose_permille: 300, seed: 31, ..StoreFaults::default() };
        fleet.set_store_faults(faults).await.unwrap();
        let ids = submit_all(&fleet, 8, 500).await;
        assert_completed_once(&fleet, &ids).await;
    }

    /// Workers lose the responses to starts and lease renewals after these took effect.
    async fn lost_worker_responses_cause_no_second_run() {
        let fleet = fleet(Plan::default()).await;
        for agent in fleet.agents() {
            let faults = WorkerFaults { lose_replies: 6, ..WorkerFaults::default() };
            agent.worker().control().set_faults(&faults).await.unwrap();
        }
        let ids = submit_all(&fleet, 8, 500).await;
        assert_completed_once(&fleet, &ids).await;
    }

    /// One worker fails every task. Its failures must not use up the attempts of the jobs, which
    /// must complete elsewhere.
    async fn jobs_complete_beside_a_failing_worker() {
        let fleet = fleet(Plan::default()).await;
        let faults = WorkerFaults { fail_starts: true, ..WorkerFaults::default() };
        fleet.agents()[0].worker().control().set_faults(&faults).await.unwrap();
        let ids = submit_all(&fleet, 12, 200).await;
        assert_completed_once(&fleet, &ids).await;
    }

    /// More jobs than fit are submitted at once, and the entries, one of which is the planner, are
    /// restarted while the jobs are placed. The tasks on a worker must never exceed the capacity of
    /// its VM.
    async fn no_worker_exceeds_its_capacity_while_planners_restart() {
        let mut fleet = fleet(Plan::default().vm(10_000, 100_000)).await;
        let ids = submit_all(&fleet, 12, 700).await;
        fleet.entry(0).restart().unwrap();
        sleep_ms(700).await;
        fleet.entry(1).restart().unwrap();
        assert_completed_once(&fleet, &ids).await;
    }

    /// An agent is stopped for maintenance while jobs run. They must finish or resume elsewhere
    /// from their checkpoints, and the agent's process must exit.
    async fn jobs_of_a_stopped_agent_complete() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 3000).await;
        started(&fleet, &ids[0]).await;
        let agent = agent_index(&fleet, &ids[0]).await;
        fleet.agent(agent).term().unwrap();
        let status = fleet.agent(agent).ended(COMPLETION_TIMEOUT).await.unwrap();
        assert!(status.success(), "{status}\n{}", fleet.agent(agent).output());
        assert_completed_once(&fleet, &ids).await;
    }

    /// Two of three VMs are lost at once, as in the failure of their rack.
    async fn lost_rack_loses_no_job() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 1500).await;
        started(&fleet, &ids[5]).await;
        fleet.lose_vm(0);
        fleet.lose_vm(1);
        assert_completed_once(&fleet, &ids).await;
    }

    /// The entries lose the connection to the store, but not to the agents, one after another. The
    /// planner may be replaced, and agents must not carry out orders of both planners.
    async fn planner_without_the_store_causes_no_second_run() {
        let fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 4000).await;
        started(&fleet, &ids[0]).await;
        let stall = Direction { stall: true, delay_ms: 0 };
        for entry in fleet.entries() {
            let relay = entry.store_relay().control();
            let faults = RelayFaults { back: stall, ..RelayFaults::default() };
            relay.set_faults(&faults).await.unwrap();
            sleep_ms(4000).await;
            relay.set_faults(&RelayFaults::default()).await.unwrap();
            relay.act("cut").await.unwrap();
            sleep_ms(500).await;
        }
        assert_completed_once(&fleet, &ids).await;
    }

    /// An entry, possibly the planner, and an agent are restarted while the store is unavailable.
    async fn planner_and_agent_lost_in_an_outage_lose_no_job() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 5000).await;
        started(&fleet, &ids[5]).await;
        fleet.set_store_faults(down(Down::Refuse)).await.unwrap();
        fleet.entry(0).restart().unwrap();
        fleet.agent(0).restart().unwrap();
        sleep_ms(2000).await;
        fleet.set_store_faults(StoreFaults::default()).await.unwrap();
        assert_completed_once(&fleet, &ids).await;
    }

    /// Entries are killed repeatedly at random times while jobs are submitted and run, so that each
    /// step of the planner is interrupted in some rounds.
    async fn planners_killed_at_any_step_cause_no_second_run() {
        let mut fleet = fleet(Plan::default()).await;
        let mut rng = StdRng::seed_from_u64(41);
        let mut ids = Vec::new();
        for round in 0..8 {
            let id = format!("study-{round}");
            submit(&fleet, &id, "sleep:400").await;
            ids.push(id);
            sleep_ms(rng.random_range(0..250)).await;
            fleet.entry(rng.random_range(0..2)).restart().unwrap();
        }
        assert_completed_once(&fleet, &ids).await;
    }

    /// Jobs are cancelled while they wait, run and end. Each must end as cancelled or done, and no
    /// cancelled job may complete or keep running afterwards.
    async fn cancelled_jobs_end_as_cancelled_or_done() {
        let fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 20, 400).await;
        for (number, id) in ids.iter().enumerate() {
            sleep_ms(number as u64 * 3).await;
            cancel(&fleet, id).await;
        }
        for id in &ids {
            let ended = || async { ["done", "cancelled"].contains(&state(&fleet, id).await.as_str()) };
            wait_until(&format!("{id} has ended"), COMPLETION_TIMEOUT, ended).await;
        }
        sleep_ms(1000).await;
        let record = fleet.worker_record().await.unwrap();
        let mut seen = Vec::new();
        for id in &ids {
            let job = job(&fleet, id).await.unwrap();
            let result = job["result"].as_str().map(ToOwned::to_owned);
            if job["state"] == "done" {
                seen.push(ObservedJob { id: id.clone(), result });
            }
        }
        let found = check_jobs(&record, &seen, &fleet.lost_vms());
        assert!(found.is_empty(), "{found:#?}");
        let running = running(&record);
        assert!(running.is_empty(), "tasks of ended jobs are still running: {running:?}");
    }
}

/// Cancels a job and retries until one of the entries has accepted or rejected the cancellation.
async fn cancel(fleet: &Fleet, id: &str) {
    wait_until("an entry processes the cancellation", COMPLETION_TIMEOUT, || async {
        for entry in 0..fleet.entries().len() {
            let path = format!("/api/jobs/{id}");
            let response = fleet.operator(entry).call(Method::DELETE, &path, &Value::Null).await;
            if response
                .is_ok_and(|(status, _)| status.is_success() || status == StatusCode::CONFLICT)
            {
                return true;
            }
        }
        false
    })
    .await;
}

/// Returns the tasks that have started but not ended.
fn running(record: &[WorkerEvent]) -> BTreeSet<&str> {
    let mut running = BTreeSet::new();
    for event in record {
        if event.kind == WorkerEventKind::Started {
            running.insert(event.task.as_str());
        } else if event.kind.ends_run() {
            running.remove(event.task.as_str());
        }
    }
    running
}
