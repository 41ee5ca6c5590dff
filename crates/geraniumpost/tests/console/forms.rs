//! Tests of pages and forms, as a browser uses them.

use geraniumpost::console::{Call, csrf_token};
use geraniumpost_config::token_digest;
use http::Method;

use crate::common::document;
use crate::fixture::{Fixture, body, form};

#[tokio::test]
async fn pages_need_an_operator() {
    let (fixture, _) = Fixture::with_document().await;
    let unauthenticated = Call { path: "/config".to_owned(), ..Call::default() };
    assert_eq!(fixture.console.answer(&unauthenticated).await.status, 303);
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
        assert_eq!(fixture.page(path).await.0, 200, "{path}");
    }
    assert_eq!(fixture.page("/config/customers/nobody").await.0, 404);
    assert_eq!(fixture.page("/nothing").await.0, 404);
}

#[tokio::test]
async fn signing_in_sets_a_cookie_that_scripts_and_other_sites_cannot_use() {
    let (fixture, _) = Fixture::with_document().await;
    let reply = fixture.console.answer(&form("/login", &[("token", "o")], "")).await;
    let cookie = &reply.headers.iter().find(|(name, _)| name == "set-cookie").unwrap().1;
    assert!(cookie.contains("HttpOnly; SameSite=Strict"), "{cookie}");
    assert!(!cookie.contains("=o;"));
    assert_eq!(fixture.console.answer(&form("/login", &[("token", "x")], "")).await.status, 401);
}

/// Another site makes the operator's browser submit a form, to which the browser adds the cookie.
#[tokio::test]
async fn form_of_another_site_is_rejected() {
    let (fixture, revision) = Fixture::with_document().await;
    let revision = revision.to_string();
    let fields = [("revision", revision.as_str()), ("change_id", "evil"), ("hold_ms", "1000")];
    let guessed = form("/config/policy", &fields, &csrf_token("x"));
    assert_eq!(fixture.console.answer(&guessed).await.status, 403);
    let mut foreign = form("/config/policy", &fields, &csrf_token("o"));
    foreign.cross_origin = true;
    assert_eq!(fixture.console.answer(&foreign).await.status, 403);
    let by_cookie = Call {
        method: Method::PUT,
        path: "/api/config".to_owned(),
        cookie: "o".to_owned(),
        if_match: Some(1),
        body: document(9).to_string().into(),
        ..Call::default()
    };
    assert_eq!(fixture.console.answer(&by_cookie).await.status, 401);
    assert_eq!(fixture.get("/api/config").await["document"]["policy"]["hold_ms"], 10_000);
}

#[tokio::test]
async fn a_form_adds_changes_and_removes_a_customer() {
    let (fixture, revision) = Fixture::with_document().await;
    let revision = revision.to_string();
    let fields = [
        ("revision", revision.as_str()),
        ("change_id", "add"),
        ("name", "entel"),
        ("token", "secret of entel"),
        ("weight", "3"),
        ("quota.jobs", "12"),
    ];
    assert_eq!(fixture.post("/config/customers", &fields).await.0, 303);
    let config = fixture.get("/api/config").await;
    let entel = &config["document"]["customers"]["entel"];
    assert_eq!(entel["token_sha256"], token_digest("secret of entel"));
    assert_eq!((entel["weight"].as_u64(), entel["quota"]["jobs"].as_u64()), (Some(3), Some(12)));
    let (_, page) = fixture.page("/config/customers/entel").await;
    assert!(!page.contains("secret of entel"));
    let revision = config["revision"].to_string();
    let fields = [("revision", revision.as_str()), ("change_id", "remove")];
    assert_eq!(fixture.post("/config/customers/entel/delete", &fields).await.0, 303);
    assert!(fixture.get("/api/config").await["document"]["customers"]["entel"].is_null());
}

/// An operator evacuates a failure domain and readmits it, each by one checkbox.
#[tokio::test]
async fn a_form_evacuates_a_domain_and_readmits_it() {
    let (fixture, _) = Fixture::with_document().await;
    for evacuated in [true, false] {
        let revision = fixture.get("/api/config").await["revision"].to_string();
        let change_id = format!("evacuated-{evacuated}");
        let mut fields = vec![
            ("revision", &*revision),
            ("change_id", &*change_id),
            ("name", "surco"),
            ("region", "lima"),
        ];
        if evacuated {
            fields.push(("evacuated", "on"));
        }
        assert_eq!(fixture.post("/config/domains", &fields).await.0, 303);
        let domain = &fixture.get("/api/config").await["document"]["domains"]["surco"];
        assert_eq!(domain["evacuated"], evacuated);
        let (_, page) = fixture.page("/config/domains").await;
        assert!(page.contains("<th>evacuated</th>") && page.contains(&evacuated.to_string()));
    }
}

#[tokio::test]
async fn problems_are_shown_beside_their_fields_and_values_are_kept() {
    let (fixture, revision) = Fixture::with_document().await;
    let revision = revision.to_string();
    let fields = [
        ("revision", revision.as_str()),
        ("change_id", "bad"),
        ("name", "badges"),
        ("slots", "eight"),
        ("deadline_ms", "0"),
        ("queue", "7"),
    ];
    let (status, page) = fixture.post("/config/services", &fields).await;
    assert_eq!(status, 422);
    for text in ["(1005)", "(1007)", "value=\"eight\"", "value=\"7\""] {
        assert!(page.contains(text), "{text} is missing in {page}");
    }
}

/// A form was opened before another operator's change. Submitting it must neither revert that
/// change nor lose the values in the form.
#[tokio::test]
async fn a_form_on_an_old_revision_shows_what_changed() {
    let (fixture, revision) = Fixture::with_document().await;
    fixture.put("o", Some(revision), "colleague", &document(5)).await;
    let revision = revision.to_string();
    let fields = [("revision", revision.as_str()), ("change_id", "late"), ("hold_ms", "20000")];
    let (status, page) = fixture.post("/config/policy", &fields).await;
    assert_eq!(status, 422);
    for text in ["(4008)", "colleague", "customers.claro.weight", "value=\"20000\""] {
        assert!(page.contains(text), "{text} is missing in {page}");
    }
    assert_eq!(fixture.get("/api/config").await["document"]["policy"]["hold_ms"], 10_000);
}

/// The load balancer sends a form to an entry that has not adopted the form's revision yet. If the
/// change were based on that entry's older configuration, it would revert the change in between.
#[tokio::test]
async fn form_of_a_newer_revision_reverts_nothing() {
    let (fixture, revision) = Fixture::with_document().await;
    let outdated_entry = fixture.other_entry().await;
    let reply = fixture.put("o", Some(revision), "one", &document(7)).await;
    let revision = body(&reply)["revision"].to_string();
    let fields = [("revision", revision.as_str()), ("change_id", "two"), ("hold_ms", "20000")];
    assert_eq!(outdated_entry.post("/config/policy", &fields).await.0, 303);
    let config = outdated_entry.get("/api/config").await;
    assert_eq!(config["document"]["customers"]["claro"]["weight"], 7);
    assert_eq!(config["document"]["policy"]["hold_ms"], 20_000);
}

#[tokio::test]
async fn text_of_others_is_escaped() {
    let (fixture, _) = Fixture::with_document().await;
    let (_, page) = fixture.page("/jobs/study-1").await;
    assert!(page.contains("&lt;b&gt;odd&lt;/b&gt;") && !page.contains("<b>odd"), "{page}");
}
