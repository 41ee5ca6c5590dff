//! The operators' API and the console's forms, against the store's stand-in.

mod common;

use std::time::Duration;

use common::{ANY, context, document};
use geraniumpost::client::ApiClient;
use geraniumpost::console::{ApiCode, ApiError, Call, Console, Reply, first_token, form_proof};
use geraniumpost_config::token_digest;
use geraniumpost_platform::Store;
use geraniumpost_schema::Name;
use geraniumpost_standin::Standin;
use geraniumpost_standin::store::{StoreFaults, spawn_in_process};
use http::Method;
use proptest::prelude::*;
use proptest::strategy::ValueTree as _;
use serde_json::{Value, json};

/// An entry's console with the store beside it.
struct Bench {
    standin: Standin,
    console: Console,
}

impl Bench {
    async fn new() -> Self {
        let standin = spawn_in_process(ANY, ANY).await.unwrap();
        let store = Store::new(standin.address()).timeout(Duration::from_millis(500));
        Self { standin, console: Console::new(context(store)) }
    }

    /// Starts with a document in force at the returned revision.
    async fn with_document() -> (Self, u64) {
        let bench = Self::new().await;
        let token = first_token("0123456789abcdef");
        let reply = bench.put(&token, Some(0), "first-change", &document(1)).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        let revision = body(&reply)["revision"].as_u64().unwrap();
        (bench, revision)
    }

    /// Returns another entry's console on the same store.
    async fn other_entry(&self) -> Self {
        let store = Store::new(self.standin.address());
        let context = context(store);
        context.keeper.refresh(&context.store).await.unwrap();
        let standin = spawn_in_process(ANY, ANY).await.unwrap();
        Self { standin, console: Console::new(context) }
    }

    async fn call(&self, method: Method, path: &str, token: &str, body: Vec<u8>) -> Reply {
        let call = Call {
            method,
            path: path.to_owned(),
            bearer: token.to_owned(),
            body: body.into(),
            ..Call::default()
        };
        self.console.answer(&call).await
    }

    async fn put(&self, token: &str, revision: Option<u64>, id: &str, document: &Value) -> Reply {
        let call = Call {
            method: Method::PUT,
            path: "/api/config".to_owned(),
            bearer: token.to_owned(),
            if_match: revision,
            change_id: id.to_owned(),
            body: document.to_string().into(),
            ..Call::default()
        };
        self.console.answer(&call).await
    }

    async fn get(&self, path: &str) -> Value {
        let reply = self.call(Method::GET, path, "o", Vec::new()).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        body(&reply)
    }

    /// Opens a page as a browser with the operator's cookie.
    async fn page(&self, path: &str) -> (u16, String) {
        let call = Call { path: path.to_owned(), cookie: "o".to_owned(), ..Call::default() };
        let reply = self.console.answer(&call).await;
        (reply.status, String::from_utf8(reply.body.to_vec()).unwrap())
    }

    /// Sends a form as a browser with the operator's cookie.
    async fn post(&self, path: &str, fields: &[(&str, &str)]) -> (u16, String) {
        let reply = self.console.answer(&form(path, fields, &form_proof("o"))).await;
        (reply.status, String::from_utf8(reply.body.to_vec()).unwrap())
    }
}

fn form(path: &str, fields: &[(&str, &str)], proof: &str) -> Call {
    let mut text = form_urlencoded::Serializer::new(String::new());
    text.append_pair("proof", proof).extend_pairs(fields);
    Call {
        method: Method::POST,
        path: path.to_owned(),
        cookie: "o".to_owned(),
        body: text.finish().into(),
        ..Call::default()
    }
}

fn body(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap_or_default()
}

#[tokio::test]
async fn the_first_document_is_written_with_the_settings_key_and_only_once() {
    let (bench, revision) = Bench::with_document().await;
    let config = bench.get("/api/config").await;
    assert_eq!(config["revision"], revision);
    assert_eq!(config["change_id"], "first-change");
    assert_eq!(config["document"]["policy"]["hold_ms"], 10_000);
    let again =
        bench.put(&first_token("0123456789abcdef"), Some(revision), "x", &document(2)).await;
    assert_eq!(body(&again)["code"], 4001, "the first token is of no use afterwards");
}

/// An entry has just started and has nothing in force, while the store holds the operators'
/// document. Whoever has the settings could otherwise put another document in its place.
#[tokio::test]
async fn the_settings_key_replaces_no_document() {
    let (bench, revision) = Bench::with_document().await;
    let started = Console::new(context(Store::new(bench.standin.address())));
    let started = Bench { standin: spawn_in_process(ANY, ANY).await.unwrap(), console: started };
    let token = first_token("0123456789abcdef");
    let forced = started.put(&token, Some(revision), "forced", &document(9)).await;
    assert_eq!((forced.status, body(&forced)["code"].as_u64()), (503, Some(4013)));
    let jobs = started.call(Method::DELETE, "/api/jobs/study-1", &token, Vec::new()).await;
    assert_eq!(body(&jobs)["code"], 4013);
    let late = started.put(&token, Some(0), "late", &document(9)).await;
    assert_eq!(late.status, 409, "{late:?}");
    let config = bench.other_entry().await.get("/api/config").await;
    assert_eq!(config["document"]["customers"]["claro"]["weight"], 1);
}

/// Names cases of refused calls: method, path, token, body, and the code of the refusal.
macro_rules! refused {
    ($($name:ident: $method:ident $path:literal, $token:literal, $body:expr => $code:ident;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let (bench, _) = Bench::with_document().await;
            let body: Vec<u8> = $body.into();
            let reply = bench.call(Method::$method, $path, $token, body).await;
            let error: ApiError = serde_json::from_slice(&reply.body).unwrap();
            assert_eq!((reply.status, error.code), (ApiCode::$code.status(), ApiCode::$code.number()));
            assert!(!error.message.is_empty() && !error.advice.is_empty());
        })*
    };
}

refused! {
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
async fn an_id_that_no_job_can_have_is_refused() {
    let (bench, _) = Bench::with_document().await;
    let reply = bench.call(Method::GET, "/api/jobs/Study%201", "o", Vec::new()).await;
    assert_eq!((reply.status, body(&reply)["code"].as_u64()), (400, Some(3104)));
    assert_eq!(bench.call(Method::GET, "/api/jobs/Study-1", "o", Vec::new()).await.status, 200);
}

#[tokio::test]
async fn problems_of_a_document_come_all_at_once() {
    let (bench, _) = Bench::with_document().await;
    let mut bad = document(0);
    bad["services"]["filing"] = json!({ "slots": "8" });
    let reply = bench.call(Method::POST, "/api/config/check", "o", bad.to_string().into()).await;
    let problems = body(&reply)["details"]["problems"].clone();
    let codes: Vec<u64> =
        problems.as_array().unwrap().iter().map(|p| p["code"].as_u64().unwrap()).collect();
    assert_eq!(codes, vec![1007, 1005]);
}

/// Two operators change the same revision through two entries. The second must be refused and
/// learn who was first, or one of the changes would vanish without a word.
#[tokio::test]
async fn two_operators_on_two_entries_conflict() {
    let (bench, revision) = Bench::with_document().await;
    let other = bench.other_entry().await;
    assert_eq!(bench.put("o", Some(revision), "one", &document(2)).await.status, 200);
    let reply = other.put("o", Some(revision), "two", &document(3)).await;
    let error = body(&reply);
    assert_eq!((reply.status, error["code"].as_u64()), (409, Some(4008)));
    assert_eq!(error["details"]["changes"][0]["changed_by"], "rosa");
    assert_eq!(error["details"]["changes"][0]["paths"], json!(["customers.claro.weight"]));
    let now = other.get("/api/config").await;
    assert_eq!(now["document"]["customers"]["claro"]["weight"], 2, "the reading has been adopted");
}

/// The store's reply is lost after the write took effect, and the operator's own connection too;
/// they repeat the call through another entry under the same change id.
#[tokio::test]
async fn a_repeat_under_the_same_change_id_is_not_made_twice() {
    let (bench, revision) = Bench::with_document().await;
    let faults = StoreFaults { lose_replies: 1, ..StoreFaults::default() };
    bench.standin.control().set_faults(&faults).await.unwrap();
    let first = bench.put("o", Some(revision), "one", &document(2)).await;
    let other = bench.other_entry().await;
    let second = other.put("o", Some(revision), "one", &document(2)).await;
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(body(&first), body(&second));
}

#[tokio::test]
async fn jobs_are_carried_to_the_planner() {
    let (bench, _) = Bench::with_document().await;
    let job = json!({
        "customer": "claro", "class": "study", "milli_cpus": 500, "memory_mb": 64, "command": "run"
    });
    let reply = bench.call(Method::PUT, "/api/jobs/study-1", "o", job.to_string().into()).await;
    assert_eq!(body(&reply)["state"], "pending");
    assert_eq!(bench.get("/api/jobs").await[0]["id"], "study-1");
    assert_eq!(bench.get("/api/jobs/study-1/explain").await["why"], "waits for room");
    let reply = bench.call(Method::DELETE, "/api/jobs/study-1", "o", Vec::new()).await;
    assert_eq!((reply.status, body(&reply)["code"].as_u64()), (404, Some(3010)));
}

#[tokio::test]
async fn pages_need_an_operator() {
    let (bench, _) = Bench::with_document().await;
    let stranger = Call { path: "/config".to_owned(), ..Call::default() };
    assert_eq!(bench.console.answer(&stranger).await.status, 303);
    for path in [
        "/",
        "/config",
        "/config/customers",
        "/config/customers/claro",
        "/config/policy",
        "/config/services/+new",
        "/jobs",
        "/jobs/study-1",
    ] {
        assert_eq!(bench.page(path).await.0, 200, "{path}");
    }
    assert_eq!(bench.page("/config/customers/nobody").await.0, 404);
    assert_eq!(bench.page("/nothing").await.0, 404);
}

#[tokio::test]
async fn signing_in_sets_a_cookie_that_scripts_and_other_sites_cannot_use() {
    let (bench, _) = Bench::with_document().await;
    let reply = bench.console.answer(&form("/login", &[("token", "o")], "")).await;
    let cookie = &reply.headers.iter().find(|(name, _)| name == "set-cookie").unwrap().1;
    assert!(cookie.contains("HttpOnly; SameSite=Strict"), "{cookie}");
    assert!(!cookie.contains("=o;"));
    assert_eq!(bench.console.answer(&form("/login", &[("token", "x")], "")).await.status, 401);
}

/// Another site makes the operator's browser send a form; the browser adds the cookie by itself.
#[tokio::test]
async fn a_form_of_another_site_is_refused() {
    let (bench, revision) = Bench::with_document().await;
    let revision = revision.to_string();
    let fields = [("revision", revision.as_str()), ("change_id", "evil"), ("hold_ms", "1000")];
    let guessed = form("/config/policy", &fields, &form_proof("x"));
    assert_eq!(bench.console.answer(&guessed).await.status, 403);
    let mut foreign = form("/config/policy", &fields, &form_proof("o"));
    foreign.foreign_origin = true;
    assert_eq!(bench.console.answer(&foreign).await.status, 403);
    let by_cookie = Call {
        method: Method::PUT,
        path: "/api/config".to_owned(),
        cookie: "o".to_owned(),
        if_match: Some(1),
        body: document(9).to_string().into(),
        ..Call::default()
    };
    assert_eq!(bench.console.answer(&by_cookie).await.status, 401);
    assert_eq!(bench.get("/api/config").await["document"]["policy"]["hold_ms"], 10_000);
}

#[tokio::test]
async fn a_form_adds_changes_and_removes_a_customer() {
    let (bench, revision) = Bench::with_document().await;
    let revision = revision.to_string();
    let fields = [
        ("revision", revision.as_str()),
        ("change_id", "add"),
        ("name", "entel"),
        ("token", "secret of entel"),
        ("weight", "3"),
        ("quota.jobs", "12"),
    ];
    assert_eq!(bench.post("/config/customers", &fields).await.0, 303);
    let config = bench.get("/api/config").await;
    let entel = &config["document"]["customers"]["entel"];
    assert_eq!(entel["token_sha256"], token_digest("secret of entel"));
    assert_eq!((entel["weight"].as_u64(), entel["quota"]["jobs"].as_u64()), (Some(3), Some(12)));
    let (_, page) = bench.page("/config/customers/entel").await;
    assert!(!page.contains("secret of entel"));
    let revision = config["revision"].to_string();
    let fields = [("revision", revision.as_str()), ("change_id", "remove")];
    assert_eq!(bench.post("/config/customers/entel/delete", &fields).await.0, 303);
    assert!(bench.get("/api/config").await["document"]["customers"]["entel"].is_null());
}

#[tokio::test]
async fn problems_are_shown_beside_their_fields_and_values_are_kept() {
    let (bench, revision) = Bench::with_document().await;
    let revision = revision.to_string();
    let fields = [
        ("revision", revision.as_str()),
        ("change_id", "bad"),
        ("name", "badges"),
        ("slots", "eight"),
        ("deadline_ms", "0"),
        ("queue", "7"),
    ];
    let (status, page) = bench.post("/config/services", &fields).await;
    assert_eq!(status, 422);
    for text in ["(1005)", "(1007)", "value=\"eight\"", "value=\"7\""] {
        assert!(page.contains(text), "{text} is missing in {page}");
    }
}

/// A form was opened before a colleague's change. Saving it must not undo that change, and what was
/// typed must not be lost either.
#[tokio::test]
async fn a_form_on_an_old_revision_shows_what_changed() {
    let (bench, revision) = Bench::with_document().await;
    bench.put("o", Some(revision), "colleague", &document(5)).await;
    let revision = revision.to_string();
    let fields = [("revision", revision.as_str()), ("change_id", "late"), ("hold_ms", "20000")];
    let (status, page) = bench.post("/config/policy", &fields).await;
    assert_eq!(status, 422);
    for text in ["(4008)", "colleague", "customers.claro.weight", "value=\"20000\""] {
        assert!(page.contains(text), "{text} is missing in {page}");
    }
    assert_eq!(bench.get("/api/config").await["document"]["policy"]["hold_ms"], 10_000);
}

/// The balancer sends the form to an entry that has not adopted the form's revision yet. Made on
/// that entry's older document, the change would undo the one in between.
#[tokio::test]
async fn a_form_from_an_entry_ahead_of_this_one_undoes_nothing() {
    let (bench, revision) = Bench::with_document().await;
    let behind = bench.other_entry().await;
    let reply = bench.put("o", Some(revision), "one", &document(7)).await;
    let revision = body(&reply)["revision"].to_string();
    let fields = [("revision", revision.as_str()), ("change_id", "two"), ("hold_ms", "20000")];
    assert_eq!(behind.post("/config/policy", &fields).await.0, 303);
    let config = behind.get("/api/config").await;
    assert_eq!(config["document"]["customers"]["claro"]["weight"], 7);
    assert_eq!(config["document"]["policy"]["hold_ms"], 20_000);
}

#[tokio::test]
async fn what_others_wrote_is_escaped() {
    let (bench, _) = Bench::with_document().await;
    let (_, page) = bench.page("/jobs/study-1").await;
    assert!(page.contains("&lt;b&gt;odd&lt;/b&gt;") && !page.contains("<b>odd"), "{page}");
}

/// The whole way over HTTP, with a body too large on the way and a stop at the end.
#[tokio::test]
async fn served_over_http_until_stopped() {
    let (bench, revision) = Bench::with_document().await;
    let listener = tokio::net::TcpListener::bind(ANY).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let wait = async move { drop(stopped.await) };
    let served = tokio::spawn(bench.console.clone().serve(listener, wait));
    let client = ApiClient::new(address, "o");
    let status = client.call(Method::GET, "/api/status", Vec::new()).await.unwrap();
    assert_eq!((status.status, status.body["revision"].as_u64()), (200, Some(revision)));
    let large = client.call(Method::POST, "/api/config/check", vec![b' '; (1 << 20) + 1]).await;
    assert!(large.is_err() || large.is_ok_and(|reply| reply.body["code"] == 4004));
    let metrics = ApiClient::new(address, "").call(Method::GET, "/metrics", Vec::new()).await;
    assert_eq!(metrics.unwrap().status, 200);
    drop(stop);
    tokio::time::timeout(Duration::from_secs(5), served).await.unwrap().unwrap();
    assert!(client.call(Method::GET, "/api/status", Vec::new()).await.is_err());
}

/// Strangers send anything to the console's port: broken heads, half requests, plain noise. Each
/// connection ends or is answered, and an operator's call right after is answered as ever.
#[tokio::test]
async fn noise_on_the_port_harms_nobody() {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let (bench, _) = Bench::with_document().await;
    let listener = tokio::net::TcpListener::bind(ANY).await.unwrap();
    let address = listener.local_addr().unwrap();
    let served = bench.console.clone().serve(listener, std::future::pending());
    let served = tokio::spawn(served);
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let noise = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..300),
        "(GET|PUT|POST) /(api/config|login|%|\\PC{0,9}) HTTP/1\\.[019]\r\n(Host: x\r\n|If-Match: \\PC{0,9}\r\n|Content-Length: [0-9]{1,20}\r\n|Transfer-Encoding: chunked\r\n){0,4}\r\n(zz\r\n|5\r\nhello\r\n){0,3}"
            .prop_map(String::into_bytes),
    ];
    for _ in 0..200 {
        let bytes = noise.new_tree(&mut runner).unwrap().current();
        let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        assert!(tokio::time::timeout(Duration::from_secs(15), read).await.is_ok(), "{bytes:?}");
    }
    let status = ApiClient::new(address, "o").call(Method::GET, "/api/status", Vec::new()).await;
    assert_eq!(status.unwrap().status, 200);
    assert!(!served.is_finished());
}

/// Strings that lead into the routes, among others that do not.
fn path() -> impl Strategy<Value = String> {
    let part = prop_oneof![
        Just("api".to_owned()),
        Just("config".to_owned()),
        Just("customers".to_owned()),
        Just("jobs".to_owned()),
        Just("policy".to_owned()),
        Just("+new".to_owned()),
        Just("login".to_owned()),
        Just("delete".to_owned()),
        Just("claro".to_owned()),
        "\\PC{0,8}",
    ];
    prop::collection::vec(part, 0..5).prop_map(|parts| format!("/{}", parts.join("/")))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever is sent to the console is answered; nothing panics and nothing odd is accepted.
    #[test]
    fn any_bytes_are_answered(
        path in path(),
        method in 0..4_usize,
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        proved in any::<bool>(),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let reply = runtime.block_on(async {
            // No store listens here, so that nothing can be written.
            let context = context(Store::new("127.0.0.1:9".parse().unwrap()));
            let value: geraniumpost_schema::Document = serde_json::from_value(document(1)).unwrap();
            context.keeper.committed(5, Name::from("x"), value);
            let mut body = bytes;
            if proved {
                body.splice(..0, format!("proof={}&revision=4&change_id=c&", form_proof("o")).into_bytes());
            }
            let methods = [Method::GET, Method::PUT, Method::POST, Method::DELETE];
            let call = Call {
                method: methods[method].clone(),
                path,
                bearer: if proved { String::new() } else { "o".to_owned() },
                cookie: "o".to_owned(),
                body: body.into(),
                ..Call::default()
            };
            Console::new(context).answer(&call).await
        });
        prop_assert!((200..600).contains(&reply.status));
    }

    #[test]
    fn any_header_makes_some_call(value in prop::collection::vec(32..255_u8, 0..80)) {
        let Ok(value) = http::HeaderValue::from_bytes(&value) else { return Ok(()) };
        let mut req = http::Request::new(());
        for name in ["authorization", "cookie", "if-match", "x-change-id", "origin", "host"] {
            let name = http::HeaderName::from_static(name);
            req.headers_mut().insert(name, value.clone());
        }
        let call = Call::from_parts(&req.into_parts().0, bytes::Bytes::new());
        prop_assert!(call.token().len() <= 80);
    }
}
