//! Tests of failures of processes while callers send requests.

use std::time::Duration;

use geraniumpost_harness::check::{ObservedRequest, Outcome, Summary};
use geraniumpost_harness::{
    Binaries, CUSTOMER_TOKEN, Caller, Fleet, Plan, RequestSpec, SERVICE, failures, sleep_ms,
    wait_until,
};
use geraniumpost_standin::now_us;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const TIMEOUT: Duration = Duration::from_secs(15);
const CALLERS: u64 = 12;

async fn fleet(plan: Plan) -> Fleet {
    let binaries = Binaries::new(env!("CARGO_BIN_EXE_geraniumpost"));
    Fleet::start(&binaries, &plan).await.unwrap()
}

/// Sends requests over persistent connections, as load balancers do, until connecting fails.
async fn send_persistently(caller: Caller) -> Vec<ObservedRequest> {
    let mut requests = Vec::new();
    while let Ok(mut connection) = caller.connect().await {
        while connection.is_open().await {
            requests.push(connection.send(&RequestSpec::post().work_ms(5)).await);
        }
    }
    requests
}

failures! {
    /// Nothing fails. Each caller must get the complete response to its own request, and no minion
    /// may get more requests than it has slots, although two entries send to it.
    async fn undisturbed_load_is_answered() {
        let fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 1);
        sleep_ms(1500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let summary = Summary::of(&requests);
        assert!(summary.all_answered(), "{summary}");
    }

    /// An agent is killed under load and restarted. Idempotent requests must be answered. The
    /// outcomes of others may be unknown, but none of them may run twice.
    async fn killed_agent_loses_no_idempotent_request() {
        let mut fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 2);
        sleep_ms(500).await;
        fleet.agent(1).kill();
        sleep_ms(2000).await;
        fleet.agent(1).restart().unwrap();
        sleep_ms(1500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let idempotent = Summary::of_idempotent(&requests);
        assert!(idempotent.all_answered(), "{idempotent}");
    }

    /// An entry is killed under load and restarted. Its callers lose their connections and retry
    /// requests with keys through the other entry, where none of them may run a second time.
    async fn killed_entry_causes_no_second_run() {
        let mut fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 3);
        sleep_ms(500).await;
        fleet.entry(0).kill();
        sleep_ms(1500).await;
        fleet.entry(0).restart().unwrap();
        let answering = || async { fleet.answers(0).await };
        wait_until("the restarted entry answers", TIMEOUT, answering).await;
        sleep_ms(500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        // The restarted entry accepts no connections before it can serve requests.
        assert_eq!(Summary::of(&requests).not_run, 0, "{}", Summary::of(&requests));
    }

    /// An agent is paused while it has requests, and resumes later. Callers must not wait for it,
    /// and it must not run a request again after it has resumed.
    async fn resumed_agent_causes_no_second_run() {
        let fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 4);
        sleep_ms(500).await;
        fleet.agents()[2].process().freeze().unwrap();
        sleep_ms(5000).await;
        fleet.agents()[2].process().thaw().unwrap();
        sleep_ms(1500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let idempotent = Summary::of_idempotent(&requests);
        assert!(idempotent.all_answered(), "{idempotent}");
        assert!(idempotent.max_time < Duration::from_secs(3), "{idempotent}");
    }

    /// An entry is paused and resumes later. Its callers may have retried their requests through
    /// the other entry meanwhile, and none of these may run twice.
    async fn resumed_entry_causes_no_second_run() {
        let fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 5);
        sleep_ms(500).await;
        fleet.entries()[0].process().freeze().unwrap();
        sleep_ms(3000).await;
        fleet.entries()[0].process().thaw().unwrap();
        sleep_ms(1500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        // Requests that were queued during the pause are served, because the agents were available.
        assert_eq!(Summary::of(&requests).not_run, 0, "{}", Summary::of(&requests));
    }

    /// An agent is stopped for maintenance under load. All requests must be answered, no new
    /// request may be sent to its minion after two seconds, and its process must exit.
    async fn stopped_agent_aborts_no_request() {
        let mut fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 6);
        sleep_ms(500).await;
        fleet.agent(0).term().unwrap();
        let stopped_at_us = now_us();
        let status = fleet.agent(0).ended(TIMEOUT).await.unwrap();
        assert!(status.success(), "{status}\n{}", fleet.agent(0).output());
        sleep_ms(1000).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let summary = Summary::of(&requests);
        assert!(summary.all_answered(), "{summary}");
        let record = fleet.agents()[0].minion_record().await.unwrap();
        let late = record.iter().filter(|event| event.at_us > stopped_at_us + 2_000_000).count();
        assert_eq!(late, 0, "the stopping agent was given new requests");
    }

    /// An entry is stopped for maintenance under load. Requests that it has accepted must be
    /// answered. Later connections are refused, so that callers use another entry.
    async fn stopped_entry_aborts_no_request() {
        let mut fleet = fleet(Plan::default()).await;
        let load = fleet.load(60, 7);
        sleep_ms(500).await;
        fleet.entry(1).term().unwrap();
        let status = fleet.entry(1).ended(TIMEOUT).await.unwrap();
        assert!(status.success(), "{status}\n{}", fleet.entry(1).output());
        sleep_ms(500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let summary = Summary::of(&requests);
        assert_eq!((summary.no_response, summary.may_have_run), (0, 0), "{summary}");
    }

    /// An entry is stopped while load balancers send requests over persistent connections. Each
    /// connection must be closed after a response and not during a request.
    async fn stopped_entry_aborts_no_request_on_a_persistent_connection() {
        let mut fleet = fleet(Plan::default()).await;
        let balancers: Vec<_> =
            (0..40).map(|_| tokio::spawn(send_persistently(fleet.caller(0)))).collect();
        sleep_ms(500).await;
        fleet.entry(0).term().unwrap();
        assert!(fleet.entry(0).ended(TIMEOUT).await.unwrap().success());
        let mut requests = Vec::new();
        for balancer in balancers {
            requests.extend(balancer.await.unwrap());
        }
        fleet.assert_promises_to_callers(&requests).await;
        let summary = Summary::of(&requests);
        assert!(summary.all_answered(), "{summary}");
    }

    /// An entry is stopped while a minion works on a request for longer than the drain time. The
    /// caller is still waiting, and must get a response that the request may have run.
    async fn stopped_entry_answers_requests_that_outlast_its_drain_time() {
        let mut fleet = fleet(Plan::default().drain_ms(500)).await;
        let caller = fleet.caller(0);
        let spec = RequestSpec::post().work_ms(4_000);
        let waiting = tokio::spawn(async move { caller.send(&spec).await });
        wait_until("the request runs", TIMEOUT, || async { fleet.running().await == 1 }).await;
        fleet.entry(0).term().unwrap();
        let request = waiting.await.unwrap();
        assert!(fleet.entry(0).ended(TIMEOUT).await.unwrap().success());
        assert_eq!(request.outcome, Outcome::MayHaveRun, "{request:?}");
    }

    /// An entry is stopped while the body of a request is incomplete. The caller must get a
    /// response that the request did not run.
    async fn stopped_entry_refuses_requests_with_an_incomplete_body() {
        let mut fleet = fleet(Plan::default().drain_ms(500)).await;
        let address = fleet.callers_addresses()[0];
        let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST /{SERVICE}/check HTTP/1.1\r\nhost: {address}\r\n\
             authorization: Bearer {CUSTOMER_TOKEN}\r\ncontent-length: 100\r\n\r\nbody"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        sleep_ms(300).await;
        fleet.entry(0).term().unwrap();
        let mut response = String::new();
        let _ = stream.read_to_string(&mut response).await;
        assert!(fleet.entry(0).ended(TIMEOUT).await.unwrap().success());
        assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
        assert!(response.contains("x-result-code: 2015"), "{response:?}");
    }

    /// The stop signal is sent twice. The second one must not abort the requests that are drained
    /// after the first one.
    async fn second_stop_signal_aborts_no_request() {
        let mut fleet = fleet(Plan::default()).await;
        let callers: Vec<_> = (0..6)
            .map(|_| {
                let caller = fleet.caller(0);
                tokio::spawn(async move { caller.send(&RequestSpec::post().work_ms(1500)).await })
            })
            .collect();
        wait_until("all requests run", TIMEOUT, || async { fleet.running().await == 6 }).await;
        for _ in 0..2 {
            fleet.entry(0).term().unwrap();
            fleet.agent(0).term().unwrap();
            sleep_ms(100).await;
        }
        let mut requests = Vec::new();
        for caller in callers {
            requests.push(caller.await.unwrap());
        }
        let summary = Summary::of(&requests);
        assert!(summary.all_answered(), "{summary}");
        assert!(fleet.entry(0).ended(TIMEOUT).await.unwrap().success());
        assert!(fleet.agent(0).ended(TIMEOUT).await.unwrap().success());
        fleet.assert_promises_to_callers(&requests).await;
    }

    /// A request with a key is sent several times at once through both entries. It must run once,
    /// and all attempts must get the same response.
    async fn concurrent_retries_of_a_key_run_once() {
        let fleet = fleet(Plan::default()).await;
        let mut requests = Vec::new();
        for round in 0..10 {
            let spec = RequestSpec::post().key(format!("badge-{round}")).body("badge").work_ms(30);
            let callers: Vec<_> = (0..4)
                .map(|number| {
                    let (caller, spec) = (fleet.caller(number % 2), spec.retry());
                    tokio::spawn(async move { caller.send(&spec).await })
                })
                .collect();
            for caller in callers {
                requests.push(caller.await.unwrap());
            }
        }
        fleet.assert_promises_to_callers(&requests).await;
        let summary = Summary::of(&requests);
        assert!(summary.all_answered(), "{summary}");
    }

    /// A caller retries a request with a key that was already answered. It must get the same
    /// response, and the request must not run again.
    async fn retry_after_the_response_gets_the_same_response() {
        let fleet = fleet(Plan::default()).await;
        let first = RequestSpec::post().key("badge").body("badge");
        let mut requests = Vec::new();
        for entry in [0, 1, 0, 1] {
            requests.push(fleet.caller(entry).send(&first.retry()).await);
        }
        fleet.assert_promises_to_callers(&requests).await;
        let first = &requests[0].outcome;
        assert!(matches!(first, Outcome::Answered { .. }), "{requests:#?}");
        assert!(requests.iter().all(|request| request.outcome == *first), "{requests:#?}");
    }

    /// All slots of the only minion are in use when a request with a key arrives, and the request
    /// is rejected. A retry with the same key must run once slots are free.
    async fn refused_key_runs_when_it_is_retried() {
        let plan = Plan::default().agents(1).document(|document| {
            for service in document["services"].as_object_mut().unwrap().values_mut() {
                service["slots"] = 1.into();
                service["queue"] = 1.into();
            }
        });
        let fleet = fleet(plan).await;
        let busy: Vec<_> = (0..2)
            .map(|_| {
                let caller = fleet.caller(0);
                tokio::spawn(async move { caller.send(&RequestSpec::post().work_ms(600)).await })
            })
            .collect();
        sleep_ms(200).await;
        let badge = RequestSpec::post().key("badge").body("badge");
        let mut requests = vec![fleet.caller(0).send(&badge.retry()).await];
        assert!(matches!(requests[0].outcome, Outcome::NotRun), "{requests:#?}");
        for caller in busy {
            requests.push(caller.await.unwrap());
        }
        for entry in [0, 1] {
            requests.push(fleet.caller(entry).send(&badge.retry()).await);
            assert!(
                matches!(requests.last().unwrap().outcome, Outcome::Answered { .. }),
                "{requests:#?}"
            );
        }
        fleet.assert_promises_to_callers(&requests).await;
    }

    /// An agent and an entry are killed at the same time, and again after they have restarted.
    async fn agent_and_entry_killed_together_cause_no_second_run() {
        let mut fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 12);
        for _ in 0..2 {
            sleep_ms(500).await;
            fleet.agent(0).kill();
            fleet.entry(0).kill();
            sleep_ms(800).await;
            fleet.agent(0).restart().unwrap();
            fleet.entry(0).restart().unwrap();
            let answering = || async { fleet.answers(0).await };
            wait_until("the restarted entry answers", TIMEOUT, answering).await;
        }
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
    }
}
