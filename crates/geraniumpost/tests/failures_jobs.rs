//! Failures of processes, workers and the store while jobs run.

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

/// A run whose end nobody can report is taken up again after 14 s.
const LONG: Duration = Duration::from_secs(45);

async fn fleet(plan: Plan) -> Fleet {
    let binaries = Binaries::new(env!("CARGO_BIN_EXE_geraniumpost"));
    Fleet::start(&binaries, &plan).await.unwrap()
}

fn down(down: Down) -> StoreFaults {
    StoreFaults { down, ..StoreFaults::default() }
}

/// Submits a job, repeating the call until one of the entries has taken it.
async fn submit(fleet: &Fleet, id: &str, command: &str) {
    wait_until("the job is submitted", LONG, || async {
        for entry in 0..fleet.entries().len() {
            let answer = fleet.operator(entry).submit(id, 4000, command).await;
            if answer.is_ok_and(|(status, _)| status.is_success()) {
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

/// Reads a job from whichever entry answers.
async fn job(fleet: &Fleet, id: &str) -> Option<Value> {
    for entry in 0..fleet.entries().len() {
        let answer = fleet.operator(entry).get(&format!("/api/jobs/{id}")).await;
        if let Ok((status, body)) = answer
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
    wait_until("the job has started", LONG, || has_run(fleet, id, WorkerEventKind::Started)).await;
}

/// Returns the number of the agent whose worker started the job last.
async fn place(fleet: &Fleet, id: &str) -> usize {
    let record = fleet.worker_record().await.unwrap();
    let starts = record.iter().filter(|e| e.task == id && e.kind == WorkerEventKind::Started);
    let last = starts.max_by_key(|event| event.at_us).unwrap();
    fleet.agents().iter().position(|agent| agent.name() == last.worker).unwrap()
}

/// Waits until all jobs are completed and compares them with what really ran.
async fn assert_completed_once(fleet: &Fleet, ids: &[String]) {
    let mut seen = Vec::new();
    for id in ids {
        wait_until(&format!("{id} is done"), LONG, || is_done(fleet, id)).await;
        let job = job(fleet, id).await.unwrap_or_default();
        let result = job["result"].as_str().map(ToOwned::to_owned);
        seen.push(ObservedJob { id: id.clone(), result });
    }
    // A second run that was wrongly started may still be under way.
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
    /// Nothing fails. Every study completes once and shows its own result.
    async fn undisturbed_jobs_complete_once() {
        let fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 20, 300).await;
        assert_completed_once(&fleet, &ids).await;
    }

    /// An operator's script submits the same study twice because it saw no answer. It must run
    /// once.
    async fn job_submitted_twice_runs_once() {
        let fleet = fleet(Plan::default()).await;
        for _ in 0..3 {
            submit(&fleet, "study", "sleep:200").await;
        }
        assert_completed_once(&fleet, &["study".to_owned()]).await;
        submit(&fleet, "study", "sleep:200").await;
        assert_completed_once(&fleet, &["study".to_owned()]).await;
    }

    /// One entry after the other dies while studies run; one of them was the planner. The other
    /// takes over and must neither lose a study nor start one that still runs.
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

    /// An agent dies beside a running study and comes back at once. It adopts the study instead
    /// of losing sight of it or starting it again.
    async fn restarted_agent_adopts_its_tasks() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 3000).await;
        started(&fleet, &ids[0]).await;
        for agent in 0..3 {
            fleet.agent(agent).restart().unwrap();
        }
        assert_completed_once(&fleet, &ids).await;
    }

    /// A VM is lost with agent, worker and study. The study runs again elsewhere, and not before
    /// it has surely ended on the lost VM.
    async fn lost_vm_loses_no_job() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 2000).await;
        started(&fleet, &ids[0]).await;
        let agent = place(&fleet, &ids[0]).await;
        fleet.lose_vm(agent);
        assert_completed_once(&fleet, &ids).await;
    }

    /// An agent dies for good and its worker runs on, so the study's lease there lapses by
    /// itself. Until then it must not run anywhere else.
    async fn dead_agent_beside_a_running_task_causes_no_overlap() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 3, 9000).await;
        started(&fleet, &ids[0]).await;
        let agent = place(&fleet, &ids[0]).await;
        fleet.agent(agent).kill();
        assert_completed_once(&fleet, &ids).await;
        assert!(has_run(&fleet, &ids[0], WorkerEventKind::Lapsed).await);
    }

    /// An agent's VM is paused for longer than its hold on the study and goes on later. The study
    /// must not run there any more once another worker has it.
    async fn frozen_agent_gives_up_its_tasks() {
        let fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 3, 8000).await;
        started(&fleet, &ids[0]).await;
        let agent = place(&fleet, &ids[0]).await;
        fleet.agents()[agent].process().freeze().unwrap();
        sleep_ms(6000).await;
        fleet.agents()[agent].process().thaw().unwrap();
        assert_completed_once(&fleet, &ids).await;
    }

    /// The planner's VM is paused for longer than its lease and goes on later, still believing
    /// that it plans. Agents must not obey it.
    async fn frozen_planner_is_not_obeyed_when_it_thaws() {
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

    /// The store is down while studies run and end. They go on, and their results are committed
    /// once it is back.
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
        assert_eq!(starts, ids.len(), "the outage cost runs");
    }

    /// The store loses a third of its replies after the writes took effect. No study is lost or
    /// run twice because its record was written when its planner thought it was not.
    async fn lost_store_replies_double_no_job() {
        let fleet = fleet(Plan::default()).await;
        let faults = StoreFaults { lose_permille: 300, seed: 31, ..StoreFaults::default() };
        fleet.set_store_faults(faults).await.unwrap();
        let ids = submit_all(&fleet, 8, 500).await;
        assert_completed_once(&fleet, &ids).await;
    }

    /// Workers lose the replies to starts and renewals after these took effect.
    async fn lost_worker_replies_double_no_job() {
        let fleet = fleet(Plan::default()).await;
        for agent in fleet.agents() {
            let faults = WorkerFaults { lose_replies: 6, ..WorkerFaults::default() };
            agent.worker().control().set_faults(&faults).await.unwrap();
        }
        let ids = submit_all(&fleet, 8, 500).await;
        assert_completed_once(&fleet, &ids).await;
    }

    /// One worker fails all it is given. Its failures must not cost the studies their attempts,
    /// and they complete elsewhere.
    async fn worker_that_fails_everything_costs_no_job() {
        let fleet = fleet(Plan::default()).await;
        let faults = WorkerFaults { fail_starts: true, ..WorkerFaults::default() };
        fleet.agents()[0].worker().control().set_faults(&faults).await.unwrap();
        let ids = submit_all(&fleet, 12, 200).await;
        assert_completed_once(&fleet, &ids).await;
    }

    /// More studies than fit are submitted at once, and the planner dies in the middle. No worker
    /// may ever hold more than its VM has.
    async fn no_worker_is_overfilled_while_the_planner_dies() {
        let mut fleet = fleet(Plan::default().vm(10_000, 100_000)).await;
        let ids = submit_all(&fleet, 12, 700).await;
        fleet.entry(0).restart().unwrap();
        sleep_ms(700).await;
        fleet.entry(1).restart().unwrap();
        assert_completed_once(&fleet, &ids).await;
    }

    /// An agent is stopped for maintenance beside running studies. They move with their
    /// checkpoints or finish, and the process ends by itself.
    async fn stopped_agent_hands_its_jobs_on() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 3000).await;
        started(&fleet, &ids[0]).await;
        let agent = place(&fleet, &ids[0]).await;
        fleet.agent(agent).term().unwrap();
        let status = fleet.agent(agent).ended(LONG).await.unwrap();
        assert!(status.success(), "{status}\n{}", fleet.agent(agent).output());
        assert_completed_once(&fleet, &ids).await;
    }

    /// Two of three VMs are lost in the same moment, as with their rack.
    async fn lost_rack_loses_no_job() {
        let mut fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 6, 1500).await;
        started(&fleet, &ids[5]).await;
        fleet.lose_vm(0);
        fleet.lose_vm(1);
        assert_completed_once(&fleet, &ids).await;
    }

    /// One entry after the other is cut from the store but not from the agents. The one that
    /// planned may be superseded, and agents must not obey both.
    async fn planner_cut_from_the_store_doubles_no_job() {
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

    /// The planner dies while the store is down, and an agent is replaced in the same outage.
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

    /// Entries die at moments that a seed chooses, again and again, while studies are submitted
    /// and run, so that each step of the planner is cut off once in a while.
    async fn planners_killed_at_any_step_double_no_job() {
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

    /// Studies are cancelled while they wait, run and end. Each ends either way, cancelled or
    /// done, and what was cancelled never runs to its end afterwards.
    async fn cancellation_wins_or_loses_cleanly() {
        let fleet = fleet(Plan::default()).await;
        let ids = submit_all(&fleet, 20, 400).await;
        for (number, id) in ids.iter().enumerate() {
            sleep_ms(number as u64 * 3).await;
            cancel(&fleet, id).await;
        }
        for id in &ids {
            let ended = || async { ["done", "cancelled"].contains(&state(&fleet, id).await.as_str()) };
            wait_until(&format!("{id} has ended"), LONG, ended).await;
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
        assert!(running.is_empty(), "still running after the end: {running:?}");
    }
}

/// Cancels a job, repeating the call until one of the entries has taken it.
async fn cancel(fleet: &Fleet, id: &str) {
    wait_until("the cancellation is taken", LONG, || async {
        for entry in 0..fleet.entries().len() {
            let path = format!("/api/jobs/{id}");
            let answer = fleet.operator(entry).call(Method::DELETE, &path, &Value::Null).await;
            if answer.is_ok_and(|(status, _)| status.is_success() || status == StatusCode::CONFLICT)
            {
                return true;
            }
        }
        false
    })
    .await;
}

/// Returns the tasks that have started and not ended.
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
