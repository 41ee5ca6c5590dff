//! Pages and forms as a browser uses them.

use geraniumpost::console::{Call, csrf_token};
use geraniumpost_config::token_digest;
use http::Method;

use crate::bench::{Bench, body, form};
use crate::common::document;

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
    let guessed = form("/config/policy", &fields, &csrf_token("x"));
    assert_eq!(bench.console.answer(&guessed).await.status, 403);
    let mut foreign = form("/config/policy", &fields, &csrf_token("o"));
    foreign.cross_origin = true;
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
