//! Failures of processes while callers send requests.

use std::time::Duration;

use geraniumpost_harness::check::{ObservedRequest, Outcome, Summary};
use geraniumpost_harness::{
    Binaries, CUSTOMER_TOKEN, Caller, Fleet, Plan, RequestSpec, SERVICE, failures, sleep_ms,
    wait_until,
};
use geraniumpost_standin::now_us;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const LONG: Duration = Duration::from_secs(15);
const CALLERS: u64 = 12;

async fn fleet(plan: Plan) -> Fleet {
    let binaries = Binaries::new(env!("CARGO_BIN_EXE_geraniumpost"));
    Fleet::start(&binaries, &plan).await.unwrap()
}

/// Sends requests on kept connections until none can be opened any more.
async fn balance(caller: Caller) -> Vec<ObservedRequest> {
    let mut requests = Vec::new();
    while let Ok(mut connection) = caller.connect().await {
        while connection.is_open().await {
            requests.push(connection.send(&RequestSpec::post().work_ms(5)).await);
        }
    }
    requests
}

failures! {
    /// Nothing fails. Every caller gets the whole answer to its own request, and no minion is
    /// given more than its slots, though two entries send to it.
    async fn undisturbed_load_is_answered() {
        let fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 1);
        sleep_ms(1500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let summary = Summary::of(&requests);
        assert!(summary.all_answered(), "{summary}");
    }

    /// An agent's process dies under load and comes back. Callers whose request may be repeated
    /// notice nothing; others may be told that the outcome is unknown, and no badge prints twice.
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

    /// An entry's process dies under load and comes back. Its callers lose their connections and
    /// repeat keyed requests at the other entry, where none of them may run a second time.
    async fn killed_entry_doubles_nothing() {
        let mut fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 3);
        sleep_ms(500).await;
        fleet.entry(0).kill();
        sleep_ms(1500).await;
        fleet.entry(0).restart().unwrap();
        let answers = || async { fleet.answers(0).await };
        wait_until("the restarted entry answers", LONG, answers).await;
        sleep_ms(500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        // The restarted entry lets nobody in before it can serve them.
        assert_eq!(Summary::of(&requests).not_run, 0, "{}", Summary::of(&requests));
    }

    /// An agent's VM is paused with requests on it and goes on later. Callers are not kept
    /// waiting for it, and what it does when it goes on must not run anything again.
    async fn frozen_agent_harms_nobody_when_it_thaws() {
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

    /// An entry's VM is paused and goes on later. Requests that it still holds may by then have
    /// been repeated through the other entry.
    async fn frozen_entry_harms_nobody_when_it_thaws() {
        let fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 5);
        sleep_ms(500).await;
        fleet.entries()[0].process().freeze().unwrap();
        sleep_ms(3000).await;
        fleet.entries()[0].process().thaw().unwrap();
        sleep_ms(1500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        // What queued up during the pause is served; the agents were there all the time.
        assert_eq!(Summary::of(&requests).not_run, 0, "{}", Summary::of(&requests));
    }

    /// An agent is stopped for maintenance under load. No caller may notice, nothing new may reach
    /// its minion after two seconds, and the process ends by itself.
    async fn stopped_agent_cuts_off_no_request() {
        let mut fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 6);
        sleep_ms(500).await;
        fleet.agent(0).term().unwrap();
        let asked = now_us();
        let status = fleet.agent(0).ended(LONG).await.unwrap();
        assert!(status.success(), "{status}\n{}", fleet.agent(0).output());
        sleep_ms(1000).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let summary = Summary::of(&requests);
        assert!(summary.all_answered(), "{summary}");
        let record = fleet.agents()[0].minion_record().await.unwrap();
        let late = record.iter().filter(|event| event.at_us > asked + 2_000_000).count();
        assert_eq!(late, 0, "the leaving endpoint was given new work");
    }

    /// An entry is stopped for maintenance under load. Requests that it has taken are answered;
    /// later callers are not let in, and the balancer sends them elsewhere.
    async fn stopped_entry_cuts_off_no_request() {
        let mut fleet = fleet(Plan::default()).await;
        let load = fleet.load(60, 7);
        sleep_ms(500).await;
        fleet.entry(1).term().unwrap();
        let status = fleet.entry(1).ended(LONG).await.unwrap();
        assert!(status.success(), "{status}\n{}", fleet.entry(1).output());
        sleep_ms(500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let summary = Summary::of(&requests);
        assert_eq!((summary.no_response, summary.may_have_run), (0, 0), "{summary}");
    }

    /// An entry is stopped while a balancer sends to it on connections that it keeps. Each of these
    /// must be closed after an answer and not under a request.
    async fn stopped_entry_cuts_off_no_kept_connection() {
        let mut fleet = fleet(Plan::default()).await;
        let balancers: Vec<_> = (0..40).map(|_| tokio::spawn(balance(fleet.caller(0)))).collect();
        sleep_ms(500).await;
        fleet.entry(0).term().unwrap();
        assert!(fleet.entry(0).ended(LONG).await.unwrap().success());
        let mut requests = Vec::new();
        for balancer in balancers {
            requests.extend(balancer.await.unwrap());
        }
        fleet.assert_promises_to_callers(&requests).await;
        let summary = Summary::of(&requests);
        assert!(summary.all_answered(), "{summary}");
    }

    /// An entry is stopped while a minion works on a request for longer than the drain time. The
    /// caller is willing to wait, and must be told that its request may have run.
    async fn stopped_entry_answers_requests_that_outlast_its_drain_time() {
        let mut fleet = fleet(Plan::default().drain_ms(500)).await;
        let caller = fleet.caller(0);
        let spec = RequestSpec::post().work_ms(4_000);
        let waiting = tokio::spawn(async move { caller.send(&spec).await });
        wait_until("the request runs", LONG, || async { fleet.running().await == 1 }).await;
        fleet.entry(0).term().unwrap();
        let request = waiting.await.unwrap();
        assert!(fleet.entry(0).ended(LONG).await.unwrap().success());
        assert_eq!(request.outcome, Outcome::MayHaveRun, "{request:?}");
    }

    /// An entry is stopped while the body of a request arrives slowly. The caller must be told that
    /// its request has not run.
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
        assert!(fleet.entry(0).ended(LONG).await.unwrap().success());
        assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
        assert!(response.contains("x-result-code: 2015"), "{response:?}");
    }

    /// The operator's tool sends the stop signal twice, as impatient people do. The second one
    /// must not cut off what the first one lets finish.
    async fn second_stop_signal_cuts_off_nothing() {
        let mut fleet = fleet(Plan::default()).await;
        let callers: Vec<_> = (0..6)
            .map(|_| {
                let caller = fleet.caller(0);
                tokio::spawn(async move { caller.send(&RequestSpec::post().work_ms(1500)).await })
            })
            .collect();
        wait_until("all requests run", LONG, || async { fleet.running().await == 6 }).await;
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
        assert!(fleet.entry(0).ended(LONG).await.unwrap().success());
        assert!(fleet.agent(0).ended(LONG).await.unwrap().success());
        fleet.assert_promises_to_callers(&requests).await;
    }

    /// A caller gets no answer in time and sends its badge print again through both entries at
    /// once. It must print once, and all must get the first one's answer.
    async fn repeats_of_a_key_at_once_run_once() {
        let fleet = fleet(Plan::default()).await;
        let mut requests = Vec::new();
        for round in 0..10 {
            let spec = RequestSpec::post().key(format!("badge-{round}")).body("badge").work_ms(30);
            let callers: Vec<_> = (0..4)
                .map(|number| {
                    let (caller, spec) = (fleet.caller(number % 2), spec.again());
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

    /// A caller repeats its request after it was answered. It gets the same answer, and nothing
    /// prints again.
    async fn repeat_after_the_answer_gets_it_again() {
        let fleet = fleet(Plan::default()).await;
        let first = RequestSpec::post().key("badge").body("badge");
        let mut requests = Vec::new();
        for entry in [0, 1, 0, 1] {
            requests.push(fleet.caller(entry).send(&first.again()).await);
        }
        fleet.assert_promises_to_callers(&requests).await;
        let first = &requests[0].outcome;
        assert!(matches!(first, Outcome::Answered { .. }), "{requests:#?}");
        assert!(requests.iter().all(|request| request.outcome == *first), "{requests:#?}");
    }

    /// The only minion is full when a badge print with a key comes, and the caller is told to come
    /// back. It comes back with the same key when there is room again, and must get its badge.
    async fn refused_key_runs_when_it_comes_back() {
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
        let mut requests = vec![fleet.caller(0).send(&badge.again()).await];
        assert!(matches!(requests[0].outcome, Outcome::NotRun), "{requests:#?}");
        for caller in busy {
            requests.push(caller.await.unwrap());
        }
        for entry in [0, 1] {
            requests.push(fleet.caller(entry).send(&badge.again()).await);
            assert!(
                matches!(requests.last().unwrap().outcome, Outcome::Answered { .. }),
                "{requests:#?}"
            );
        }
        fleet.assert_promises_to_callers(&requests).await;
    }

    /// An agent and an entry die in the same moment, and again after they came back.
    async fn pairs_of_kills_double_nothing() {
        let mut fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 12);
        for _ in 0..2 {
            sleep_ms(500).await;
            fleet.agent(0).kill();
            fleet.entry(0).kill();
            sleep_ms(800).await;
            fleet.agent(0).restart().unwrap();
            fleet.entry(0).restart().unwrap();
            let answers = || async { fleet.answers(0).await };
            wait_until("the restarted entry answers", LONG, answers).await;
        }
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
    }
}
