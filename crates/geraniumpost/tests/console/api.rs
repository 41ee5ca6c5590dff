//! Tests of the operators' API.

use geraniumpost::console::{ApiCode, ApiError, Console, bootstrap_token};
use geraniumpost_outside::Store;
use geraniumpost_standin::store::{StoreFaults, spawn_in_process};
use http::Method;
use serde_json::json;

use crate::common::{ANY, context, document};
use crate::fixture::{Fixture, body};

#[tokio::test]
async fn the_first_document_is_written_with_the_settings_key_and_only_once() {
    let (fixture, revision) = Fixture::with_document().await;
    let config = fixture.get("/api/config").await;
    assert_eq!(config["revision"], revision);
    assert_eq!(config["change_id"], "first-change");
    assert_eq!(config["document"]["policy"]["hold_ms"], 10_000);
    let again =
        fixture.put(&bootstrap_token("0123456789abcdef"), Some(revision), "x", &document(2)).await;
    assert_eq!(body(&again)["code"], 4001, "the first token must be invalid afterwards");
}

/// An entry has just started and has no configuration in force, but the store contains one. Guards
/// against replacing that configuration with the token that is derived from the settings.
#[tokio::test]
async fn the_settings_key_replaces_no_document() {
    let (fixture, revision) = Fixture::with_document().await;
    let started = Console::new(context(Store::new(fixture.standin.address())));
    let started = Fixture { standin: spawn_in_process(ANY, ANY).await.unwrap(), console: started };
    let token = bootstrap_token("0123456789abcdef");
    let forced = started.put(&token, Some(revision), "forced", &document(9)).await;
    assert_eq!((forced.status, body(&forced)["code"].as_u64()), (503, Some(4013)));
    let jobs = started.call(Method::DELETE, "/api/jobs/study-1", &token, Vec::new()).await;
    assert_eq!(body(&jobs)["code"], 4013);
    let late = started.put(&token, Some(0), "late", &document(9)).await;
    assert_eq!(late.status, 409, "{late:?}");
    let config = fixture.other_entry().await.get("/api/config").await;
    assert_eq!(config["document"]["customers"]["claro"]["weight"], 1);
}

/// Defines a test for each rejected call: method, path, token, body, and code of the rejection.
macro_rules! rejected {
    ($($name:ident: $method:ident $path:literal, $token:literal, $body:expr => $code:ident;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let (fixture, _) = Fixture::with_document().await;
            let body: Vec<u8> = $body.into();
            let reply = fixture.call(Method::$method, $path, $token, body).await;
            let error: ApiError = serde_json::from_slice(&reply.body).unwrap();
            assert_eq!((reply.status, error.code), (ApiCode::$code.status(), ApiCode::$code.number()));
            assert!(!error.message.is_empty() && !error.advice.is_empty());
        })*
    };
}

rejected! {
    no_token: GET "/api/status", "", "" => NotAnOperator;
    customers_token: GET "/api/status", "c", "" => NotAnOperator;
    wrong_token: PUT "/api/config", "x", "{}" => NotAnOperator;
    no_such_call: GET "/api/nothing", "o", "" => NotFound;
    wrong_method: POST "/api/status", "o", "" => WrongMethod;
    no_revision: PUT "/api/config", "o", "{}" => RevisionMissing;
    invalid_document: POST "/api/config/check", "o", "{}" => DocumentInvalid;
    not_utf8: POST "/api/config/check", "o", b"\xff\xfe".to_vec() => Malformed;
    job_unreadable: PUT "/api/jobs/study-1", "o", "{\"class\":" => Malformed;
    job_of_unknown_customer: PUT "/api/jobs/study-1", "o",
        "{\"customer\":\"x\",\"class\":\"study\",\"milli_cpus\":1,\"memory_mb\":1,\"command\":\"c\"}"
        => Malformed;
    job_of_unknown_class: PUT "/api/jobs/study-1", "o",
        "{\"customer\":\"claro\",\"class\":\"x\",\"milli_cpus\":1,\"memory_mb\":1,\"command\":\"c\"}"
        => Malformed;
    job_of_no_size: PUT "/api/jobs/study-1", "o",
        "{\"customer\":\"claro\",\"class\":\"study\",\"milli_cpus\":0,\"memory_mb\":1,\"command\":\"c\"}"
        => Malformed;
}

#[tokio::test]
async fn invalid_job_id_is_rejected() {
    let (fixture, _) = Fixture::with_document().await;
    let reply = fixture.call(Method::GET, "/api/jobs/Study%201", "o", Vec::new()).await;
    assert_eq!((reply.status, body(&reply)["code"].as_u64()), (400, Some(3104)));
    assert_eq!(fixture.call(Method::GET, "/api/jobs/Study-1", "o", Vec::new()).await.status, 200);
}

#[tokio::test]
async fn problems_of_a_document_come_all_at_once() {
    let (fixture, _) = Fixture::with_document().await;
    let mut bad = document(0);
    bad["services"]["filing"] = json!({ "slots": "8" });
    let reply = fixture.call(Method::POST, "/api/config/check", "o", bad.to_string().into()).await;
    let problems = body(&reply)["details"]["problems"].clone();
    let codes: Vec<u64> =
        problems.as_array().unwrap().iter().map(|p| p["code"].as_u64().unwrap()).collect();
    assert_eq!(codes, vec![1007, 1005]);
}

/// Two operators change the same revision through two entries. The second change must be rejected
/// and name the first one. Otherwise it would revert the first change unnoticed.
#[tokio::test]
async fn two_operators_on_two_entries_conflict() {
    let (fixture, revision) = Fixture::with_document().await;
    let other = fixture.other_entry().await;
    assert_eq!(fixture.put("o", Some(revision), "one", &document(2)).await.status, 200);
    let reply = other.put("o", Some(revision), "two", &document(3)).await;
    let error = body(&reply);
    assert_eq!((reply.status, error["code"].as_u64()), (409, Some(4008)));
    assert_eq!(error["details"]["changes"][0]["changed_by"], "rosa");
    assert_eq!(error["details"]["changes"][0]["paths"], json!(["customers.claro.weight"]));
    let now = other.get("/api/config").await;
    assert_eq!(
        now["document"]["customers"]["claro"]["weight"], 2,
        "the configuration that was read must have been adopted"
    );
}

/// The store's response is lost after the write took effect, and the response to the operator too.
/// The operator retries the call through another entry with the same change id.
#[tokio::test]
async fn a_repeat_under_the_same_change_id_is_not_made_twice() {
    let (fixture, revision) = Fixture::with_document().await;
    let faults = StoreFaults { lose_replies: 1, ..StoreFaults::default() };
    fixture.standin.control().set_faults(&faults).await.unwrap();
    let first = fixture.put("o", Some(revision), "one", &document(2)).await;
    let other = fixture.other_entry().await;
    let second = other.put("o", Some(revision), "one", &document(2)).await;
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(body(&first), body(&second));
}

#[tokio::test]
async fn job_calls_are_forwarded_to_the_planner() {
    let (fixture, _) = Fixture::with_document().await;
    let job = json!({
        "customer": "claro", "class": "study", "milli_cpus": 500, "memory_mb": 64, "command": "run"
    });
    let reply = fixture.call(Method::PUT, "/api/jobs/study-1", "o", job.to_string().into()).await;
    assert_eq!(body(&reply)["state"], "pending");
    assert_eq!(fixture.get("/api/jobs").await[0]["id"], "study-1");
    assert_eq!(fixture.get("/api/jobs/study-1/explain").await["why"], "waits for room");
    let reply = fixture.call(Method::DELETE, "/api/jobs/study-1", "o", Vec::new()).await;
    assert_eq!((reply.status, body(&reply)["code"].as_u64()), (404, Some(3010)));
}
