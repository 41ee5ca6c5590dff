//! Tests of outages of the store while callers send requests and operators change the
//! configuration.

use std::time::{Duration, Instant};

use geraniumpost_harness::check::{Outcome, Summary};
use geraniumpost_harness::{Binaries, Fleet, Plan, RequestSpec, sleep_ms, wait_until};
use geraniumpost_standin::http::Down;
use geraniumpost_standin::store::StoreFaults;
use http::StatusCode;
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(15);

async fn fleet(plan: Plan) -> Fleet {
    let binaries = Binaries::new(env!("CARGO_BIN_EXE_geraniumpost"));
    Fleet::start(&binaries, &plan).await.unwrap()
}

fn down(down: Down) -> StoreFaults {
    StoreFaults { down, ..StoreFaults::default() }
}

async fn revision(fleet: &Fleet, entry: usize) -> u64 {
    let response = fleet.operator(entry).get("/api/config").await;
    response.ok().and_then(|(_, body)| body["revision"].as_u64()).unwrap_or(0)
}

/// Defines a test for each fault of the store under load.
macro_rules! outages {
    ($($(#[$doc:meta])* $name:ident: $faults:expr, seed: $seed:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() {
            let fleet = fleet(Plan::default()).await;
            fleet.set_store_faults($faults).await.unwrap();
            let load = fleet.load(8, $seed);
            sleep_ms(2500).await;
            fleet.set_store_faults(StoreFaults::default()).await.unwrap();
            sleep_ms(500).await;
            let requests = load.stop().await;
            fleet.assert_promises_to_callers(&requests).await;
            let summary = Summary::of_unkeyed(&requests);
            assert!(summary.all_answered(), "{summary}");
        }
    )*};
}

outages! {
    /// The store refuses connections. Requests without a key are served with the configuration in
    /// force. Requests with a key are rejected as not run.
    refused_store_stops_no_request: down(Down::Refuse), seed: 21;
    /// The store accepts calls and responds to none. Requests without a key must not wait for it.
    hanging_store_stops_no_request: down(Down::Hang), seed: 22;
    /// The store responds to every call with 503.
    unavailable_store_stops_no_request: down(Down::Unavailable), seed: 23;
    /// The store responds slowly.
    slow_store_stops_no_request: StoreFaults { slow_ms: 400, ..StoreFaults::default() }, seed: 24;
    /// Half of the store's responses are lost after the writes took effect. A request whose claim
    /// is uncertain must not run twice when its caller retries it.
    lost_store_responses_run_nothing_twice:
        StoreFaults { lose_permille: 500, seed: 5, ..StoreFaults::default() }, seed: 25;
}

/// An entry and an agent are restarted while the store is unavailable. They must serve with the
/// configuration of the other processes, without waiting for the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn processes_restarted_in_an_outage_serve() {
    let mut fleet = fleet(Plan::default()).await;
    let before = revision(&fleet, 0).await;
    fleet.set_store_faults(down(Down::Refuse)).await.unwrap();
    fleet.entry(0).restart().unwrap();
    fleet.agent(0).restart().unwrap();
    fleet.ready().await;
    assert_eq!(revision(&fleet, 0).await, before);
}

/// An entry and an agent are stopped while the store is unavailable and requests run. The stop must
/// neither wait for the store nor abort a request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stop_in_an_outage_aborts_no_request() {
    let mut fleet = fleet(Plan::default()).await;
    fleet.set_store_faults(down(Down::Hang)).await.unwrap();
    let callers: Vec<_> = (0..6)
        .map(|_| {
            let caller = fleet.caller(0);
            tokio::spawn(async move { caller.send(&RequestSpec::post().work_ms(800)).await })
        })
        .collect();
    sleep_ms(300).await;
    fleet.entry(0).term().unwrap();
    fleet.agent(1).term().unwrap();
    let mut requests = Vec::new();
    for caller in callers {
        requests.push(caller.await.unwrap());
    }
    fleet.assert_promises_to_callers(&requests).await;
    assert!(
        requests.iter().all(|request| matches!(request.outcome, Outcome::Answered { .. })),
        "{requests:#?}"
    );
    assert!(fleet.entry(0).ended(TIMEOUT).await.unwrap().success());
    assert!(fleet.agent(1).ended(TIMEOUT).await.unwrap().success());
}

/// Changes the weight of the customer in the configuration that an entry returns.
async fn change_weight(
    fleet: &Fleet,
    entry: usize,
    based_on: u64,
    weight: u64,
) -> (StatusCode, Value) {
    let operator = fleet.operator(entry);
    let (_, config) = operator.get("/api/config").await.unwrap();
    let mut document = config["document"].clone();
    document["customers"]["claro"]["weight"] = weight.into();
    operator.put_if_match("/api/config", based_on, &document).await.unwrap()
}

/// Two operators change the same revision at once through different entries. One change must be
/// accepted and come into force on all entries, and the other must be rejected.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_two_concurrent_changes_is_accepted() {
    let fleet = fleet(Plan::default()).await;
    let base = revision(&fleet, 0).await;
    let (a, b) = tokio::join!(change_weight(&fleet, 0, base, 3), change_weight(&fleet, 1, base, 4));
    let accepted = [&a, &b].into_iter().filter(|(status, _)| status.is_success()).count();
    assert_eq!(accepted, 1, "{a:?} {b:?}");
    let (rejected, accepted) = if a.0.is_success() { (&b, &a) } else { (&a, &b) };
    assert!(rejected.0.is_client_error(), "{rejected:?}");
    let wanted = accepted.1["revision"].as_u64().unwrap();
    for entry in 0..2 {
        wait_until("the accepted change is in force", TIMEOUT, || async {
            revision(&fleet, entry).await == wanted
        })
        .await;
    }
}

/// The store loses the response to a change after the write took effect. The change must be
/// reported as made, which the entry finds out by reading the configuration again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn change_with_a_lost_reply_is_reported_as_made() {
    let fleet = fleet(Plan::default()).await;
    let base = revision(&fleet, 0).await;
    let faults = StoreFaults { lose_permille: 1000, ..StoreFaults::default() };
    fleet.set_store_faults(faults).await.unwrap();
    let (status, body) = change_weight(&fleet, 0, base, 5).await;
    assert!(status.is_success(), "{status} {body}");
    let wanted = body["revision"].as_u64().unwrap();
    assert!(wanted > base);
    wait_until("the change is in force", TIMEOUT, || async { revision(&fleet, 1).await == wanted })
        .await;
}

/// After a change the store becomes unavailable, and the entries are restarted one after another.
/// None of them may put an earlier configuration in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn revision_never_goes_back_over_restarts() {
    let mut fleet = fleet(Plan::default()).await;
    let base = revision(&fleet, 0).await;
    let (status, body) = change_weight(&fleet, 0, base, 6).await;
    assert!(status.is_success(), "{status} {body}");
    let wanted = body["revision"].as_u64().unwrap();
    wait_until("the change is in force", TIMEOUT, || async { revision(&fleet, 1).await == wanted })
        .await;
    fleet.set_store_faults(down(Down::Refuse)).await.unwrap();
    for entry in [1, 0] {
        fleet.entry(entry).restart().unwrap();
        wait_until("the restarted entry has a configuration", TIMEOUT, || async {
            let seen = revision(&fleet, entry).await;
            assert!(seen == 0 || seen == wanted, "revision {seen} after {wanted}");
            seen == wanted
        })
        .await;
    }
}

/// Returns whether an entry shows a revision as in force on all entries and agents.
async fn in_force_everywhere(fleet: &Fleet, entry: usize, wanted: u64) -> bool {
    let Ok((_, body)) = fleet.operator(entry).get("/api/in-force").await else { return false };
    let processes = body["processes"].as_array().cloned().unwrap_or_default();
    processes.len() == fleet.entries().len() + fleet.agents().len()
        && processes.iter().all(|process| process["revision"] == wanted)
}

/// An agent and an entry are restarted right after a change was accepted. The change must come into
/// force on all processes within seconds, and each entry must show this.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn accepted_change_is_in_force_everywhere_within_seconds() {
    let mut fleet = fleet(Plan::default()).await;
    for weight in 7..10 {
        let base = revision(&fleet, 0).await;
        let (status, body) = change_weight(&fleet, 0, base, weight).await;
        assert!(status.is_success(), "{status} {body}");
        let accepted = Instant::now();
        fleet.agent(2).restart().unwrap();
        fleet.entry(1).restart().unwrap();
        let wanted = body["revision"].as_u64().unwrap();
        for entry in 0..2 {
            wait_until("the change is in force everywhere", TIMEOUT, || {
                in_force_everywhere(&fleet, entry, wanted)
            })
            .await;
        }
        println!("in force everywhere after {:?}", accepted.elapsed());
    }
}
