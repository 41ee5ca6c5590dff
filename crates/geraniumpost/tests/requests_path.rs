//! Tests of requests from callers to minions, with the binary's processes.

use geraniumpost_harness::check::Outcome;
use geraniumpost_harness::{Binaries, CUSTOMER, Fleet, Plan, RequestSpec, wait_until};

fn binaries() -> Binaries {
    Binaries::new(env!("CARGO_BIN_EXE_geraniumpost"))
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_responses_arrive_through_either_entry() {
    let fleet = Fleet::start(&binaries(), &Plan::default()).await.unwrap();
    let mut requests = Vec::new();
    for number in 0..40 {
        let spec = if number % 2 == 0 { RequestSpec::get() } else { RequestSpec::post() };
        let spec = spec.body(vec![number; 3000]).answer_bytes(20_000);
        requests.push(fleet.caller(usize::from(number) % 2).send(&spec).await);
    }
    assert!(
        requests.iter().all(|request| matches!(request.outcome, Outcome::Answered { .. })),
        "{requests:#?}"
    );
    fleet.assert_promises_to_callers(&requests).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_with_the_same_key_gets_the_first_answer_through_another_entry() {
    let fleet = Fleet::start(&binaries(), &Plan::default()).await.unwrap();
    let spec = RequestSpec::post().key("badge-17").body("visitor");
    let first = fleet.caller(0).send(&spec).await;
    let retry = fleet.caller(1).send(&spec.retry()).await;
    let Outcome::Answered { body, .. } = &first.outcome else { panic!("{first:#?}") };
    let Outcome::Answered { body: retry_body, .. } = &retry.outcome else { panic!("{retry:#?}") };
    assert_eq!(body, retry_body);
    fleet.assert_promises_to_callers(&[first, retry]).await;
}

/// Guards against ignoring a pong that arrives in the same millisecond in which its ping was sent.
/// Entries would close healthy links every second. Callers would see needless retries and, once the
/// retry budget is exhausted, rejections.
#[tokio::test(flavor = "multi_thread")]
async fn idle_links_are_not_considered_silent() {
    let mut fleet = Fleet::start(&binaries(), &Plan::default()).await.unwrap();
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    let log = fleet.entry(0).output();
    assert!(!log.contains("does not answer pings"), "{log}");
}

/// A caller sends a request without an id. The entry must generate one. Otherwise the response and
/// the logs of the entry and the minion could not be matched when a request fails.
#[tokio::test(flavor = "multi_thread")]
async fn request_without_an_id_gets_one_that_the_minion_sees() {
    let fleet = Fleet::start(&binaries(), &Plan::default()).await.unwrap();
    fleet.caller(0).send(&RequestSpec::get().without_id()).await;
    let record = fleet.minion_record().await.unwrap();
    let ids: Vec<&str> = record.iter().map(|event| event.request_id.as_str()).collect();
    assert!(ids.iter().any(|id| id.len() == 16), "{ids:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_queue_shares_and_workers() {
    let fleet = Fleet::start(&binaries(), &Plan::default()).await.unwrap();
    let time = std::time::Duration::from_secs(20);
    wait_until("a planner accepts the job", time, || async {
        let response = fleet.operator(0).submit("study-1", 2_000, "sleep:8000").await;
        response.is_ok_and(|(status, _)| status.is_success())
    })
    .await;
    wait_until("the planner shows the resources of the customer's tasks", time, || async {
        let mut held = 0;
        for entry in 0..fleet.entries().len() {
            let (_, status) = fleet.operator(entry).get("/api/status").await.unwrap_or_default();
            let customer = &status["state"]["planner"]["customers"][CUSTOMER];
            held += customer["held"]["milli_cpus"].as_u64().unwrap_or(0);
        }
        held == 2_000
    })
    .await;
}

/// The settings of an entry name no current entry. Without the registry in the store, the entry
/// would not discover the others, and agents would not discover the entry.
#[tokio::test(flavor = "multi_thread")]
async fn entries_discover_each_other_through_the_store() {
    let plan = Plan::default().no_peers_in_settings();
    let fleet = Fleet::start(&binaries(), &plan).await.unwrap();
    let request = fleet.caller(1).send(&RequestSpec::get()).await;
    assert!(matches!(request.outcome, Outcome::Answered { .. }), "{request:#?}");
}
