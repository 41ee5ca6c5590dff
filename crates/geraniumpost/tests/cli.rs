//! Tests of the command line, with and without an entry's console.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use common::{ANY, context, document};
use geraniumpost::cli::{CommandOutput, ExitStatus, command, execute};
use geraniumpost::console::Console;
use geraniumpost_outside::Store;
use geraniumpost_standin::Standin;
use geraniumpost_standin::http::Down;
use geraniumpost_standin::store::{StoreFaults, spawn_in_process};
use serde_json::{Value, json};

const ENTRY: &str = "name='e'\nregion='lima'\ndomain='surco'\ncallers='10.0.0.4:1'\n\
                     console='10.0.0.4:2'\ndatagrams='10.0.0.4:3'\nstore='10.0.0.5:4'\n\
                     shared_key='0123456789abcdef'\n";

/// An entry's console that is served over HTTP, and a directory for files.
struct Fixture {
    entry: SocketAddr,
    standin: Standin,
    directory: PathBuf,
}

impl Fixture {
    async fn new(name: &str) -> Self {
        let standin = spawn_in_process(ANY, ANY).await.unwrap();
        let store = Store::new(standin.address()).timeout(Duration::from_millis(500));
        let listener = tokio::net::TcpListener::bind(ANY).await.unwrap();
        let entry = listener.local_addr().unwrap();
        tokio::spawn(Console::new(context(store)).serve(listener, std::future::pending()));
        let directory =
            std::env::temp_dir().join(format!("geraniumpost-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let fixture = Self { entry, standin, directory };
        fixture.write_file("token", "o\n");
        fixture.write_file("entry.toml", ENTRY);
        fixture
    }

    async fn with_document(name: &str) -> Self {
        let fixture = Self::new(name).await;
        let file = fixture.write_file("first.json", &document(1).to_string());
        let done =
            fixture.run(&["config", "set", &file, "--first", &fixture.path("entry.toml")]).await;
        assert_eq!(done.status, ExitStatus::Success, "{done:?}");
        fixture
    }

    fn path(&self, name: &str) -> String {
        self.directory.join(name).display().to_string()
    }

    fn write_file(&self, name: &str, text: &str) -> String {
        std::fs::write(self.directory.join(name), text).unwrap();
        self.path(name)
    }

    async fn run(&self, args: &[&str]) -> CommandOutput {
        let (entry, token) = (self.entry.to_string(), self.path("token"));
        let mut all = vec!["geraniumpost"];
        all.extend(args);
        all.extend(["--entry", &entry, "--token-file", &token]);
        execute(&command().try_get_matches_from(all).unwrap()).await
    }

    /// Saves the output of `config get` with an edit to a file, and returns the path.
    async fn edited_config(&self, name: &str, edit: impl FnOnce(&mut Value)) -> String {
        let done = self.run(&["config", "get"]).await;
        let mut value: Value = serde_json::from_str(&done.out).unwrap();
        edit(&mut value["document"]);
        self.write_file(name, &value.to_string())
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

async fn run_without_entry(args: &[&str]) -> CommandOutput {
    let all = std::iter::once("geraniumpost").chain(args.iter().copied());
    execute(&command().try_get_matches_from(all).unwrap()).await
}

#[test]
fn command_line_is_consistent() {
    command().debug_assert();
    let help = command().render_long_help().to_string();
    for text in ["Examples:", "Exit codes:", "GERANIUMPOST_TOKEN", "explain"] {
        assert!(help.contains(text), "{text} is missing in {help}");
    }
}

/// Defines a test for each command line that is rejected as a usage error.
macro_rules! usage_errors {
    ($($name:ident: [$($arg:literal),*];)*) => {
        $(#[test]
        fn $name() {
            let error = command().try_get_matches_from(["geraniumpost", $($arg),*]).unwrap_err();
            assert_eq!(error.exit_code(), ExitStatus::Usage as i32);
        })*
    };
}

usage_errors! {
    no_command: [];
    unknown_command: ["entri"];
    entry_without_settings: ["entry"];
    job_without_size: ["job", "submit", "j", "--customer", "c", "--class", "d", "--command", "x"];
    size_with_a_unit: ["job", "submit", "j", "--customer", "c", "--class", "d", "--command", "x",
        "--milli-cpus", "4 cores", "--memory-mb", "1"];
    timeout_of_zero: ["status", "--timeout-s", "0"];
}

#[tokio::test]
async fn get_edit_set_changes_the_configuration() {
    let fixture = Fixture::with_document("set").await;
    let edit = |document: &mut Value| document["customers"]["claro"]["weight"] = json!(5);
    let file = fixture.edited_config("edited.json", edit).await;
    let done = fixture.run(&["config", "set", &file]).await;
    assert_eq!(done.status, ExitStatus::Success, "{done:?}");
    assert!(done.out.starts_with("accepted as revision "), "{done:?}");
    let now = fixture.run(&["config", "get", "--json"]).await;
    assert!(now.out.contains("\"weight\":5"), "{now:?}");
}

/// The agent in these tests always reports revision 1. An operator who waits for a change must
/// learn that it is not in force everywhere, and on which processes.
#[tokio::test]
async fn wait_reports_outdated_processes() {
    let fixture = Fixture::with_document("wait").await;
    let file =
        fixture.edited_config("edited.json", |d| d["policy"]["hold_ms"] = json!(20_000)).await;
    let done = fixture.run(&["config", "set", &file, "--wait-s", "1"]).await;
    assert_eq!(done.status, ExitStatus::Refused, "{done:?}");
    assert!(done.out.starts_with("accepted as revision 2"), "{done:?}");
    assert!(done.err.contains("not in force after 1 s on agent-1"), "{done:?}");
}

/// Two operators edit the same revision. The second one must learn what the first one changed.
#[tokio::test]
async fn conflict_reports_the_other_operators_change() {
    let fixture = Fixture::with_document("conflict").await;
    let one = fixture.edited_config("one.json", |d| d["policy"]["hold_ms"] = json!(20_000)).await;
    let two =
        fixture.edited_config("two.json", |d| d["customers"]["claro"]["weight"] = json!(2)).await;
    fixture.run(&["config", "set", &one]).await;
    let done = fixture.run(&["config", "set", &two]).await;
    assert_eq!(done.status, ExitStatus::Conflict, "{done:?}");
    assert!(done.err.contains("rosa changed policy.hold_ms"), "{done:?}");
    let done = fixture.run(&["config", "set", &two, "--json"]).await;
    let error: Value = serde_json::from_str(&done.out).unwrap();
    assert_eq!(error["code"], 4008);
}

#[tokio::test]
async fn problems_are_reported_with_their_remedies() {
    let fixture = Fixture::with_document("problems").await;
    let bad =
        fixture.edited_config("bad.json", |d| d["services"]["filing"]["slots"] = json!("8s")).await;
    for subcommand in ["set", "check"] {
        let done = fixture.run(&["config", subcommand, &bad]).await;
        assert_eq!(done.status, ExitStatus::Refused);
        assert!(done.err.contains("error 1005: services.filing.slots"), "{done:?}");
    }
    let good = fixture.edited_config("good.json", |_| ()).await;
    assert_eq!(fixture.run(&["config", "check", &good]).await.status, ExitStatus::Success);
    let bare = fixture.write_file("bare.json", &document(2).to_string());
    assert_eq!(fixture.run(&["config", "set", &bare]).await.status, ExitStatus::Usage);
}

/// The store is unavailable. The operator must learn that the change was not made.
#[tokio::test]
async fn unavailable_store_is_reported() {
    let fixture = Fixture::with_document("down").await;
    let file =
        fixture.edited_config("edited.json", |d| d["policy"]["hold_ms"] = json!(20_000)).await;
    let faults = StoreFaults { down: Down::Unavailable, ..StoreFaults::default() };
    fixture.standin.control().set_faults(&faults).await.unwrap();
    let done = fixture.run(&["config", "set", &file]).await;
    assert_eq!(done.status, ExitStatus::Refused);
    assert!(done.err.contains("error 4009") && done.err.contains("was not made"), "{done:?}");
}

#[tokio::test]
async fn jobs_and_state_are_shown() {
    let fixture = Fixture::with_document("jobs").await;
    let submit = [
        "job",
        "submit",
        "study-1",
        "--customer",
        "claro",
        "--class",
        "study",
        "--milli-cpus",
        "500",
        "--memory-mb",
        "64",
        "--command",
        "run",
    ];
    let done = fixture.run(&submit).await;
    assert!(done.out.contains("state: pending"), "{done:?}");
    assert!(fixture.run(&["job", "list"]).await.out.contains("study-1"));
    assert!(fixture.run(&["explain", "study-1"]).await.out.contains("why: waits for room"));
    let cancel = fixture.run(&["job", "cancel", "study-1"]).await;
    assert_eq!(cancel.status, ExitStatus::Refused);
    assert!(cancel.err.contains("error 3010"), "{cancel:?}");
    let status = fixture.run(&["status"]).await;
    assert!(
        status.out.contains("agents: 11") && status.out.contains("in force on 1"),
        "{status:?}"
    );
    let json: Value = serde_json::from_str(&fixture.run(&["status", "--json"]).await.out).unwrap();
    assert_eq!(json["in_force"]["processes"][0]["name"], "agent-1");
}

#[tokio::test]
async fn an_entry_that_does_not_answer_is_unreachable() {
    let fixture = Fixture::new("unreachable").await;
    let token = fixture.path("token");
    let done =
        run_without_entry(&["status", "--entry", "127.0.0.1:9", "--token-file", &token]).await;
    assert_eq!(done.status, ExitStatus::Unreachable, "{done:?}");
    let done =
        run_without_entry(&["status", "--entry", "localhost:9", "--token-file", &token]).await;
    assert_eq!(done.status, ExitStatus::Usage);
    let done =
        run_without_entry(&["status", "--entry", "127.0.0.1:9", "--token-file", "no/such"]).await;
    assert_eq!(done.status, ExitStatus::Usage);
}

#[tokio::test]
async fn files_are_checked_alone_and_against_each_other() {
    let fixture = Fixture::new("check").await;
    let entry = fixture.path("entry.toml");
    let good = fixture.write_file("document.json", &document(1).to_string());
    let done = run_without_entry(&["check", &entry, &good]).await;
    assert_eq!(done.status, ExitStatus::Success, "{done:?}");
    assert!(done.out.contains("settings of an entry") && done.out.contains("a document"));
    let far =
        fixture.write_file("far.toml", &ENTRY.replace("surco", "tacna").replace("name=", "nane="));
    let done = run_without_entry(&["check", &far, &good]).await;
    assert!(done.err.contains("1003") && done.err.contains("1004"), "{done:?}");
    let far = fixture.write_file("far.toml", &ENTRY.replace("surco", "tacna"));
    let done = run_without_entry(&["check", &far, &good, "--json"]).await;
    let report: Value = serde_json::from_str(&done.out).unwrap();
    assert_eq!((done.status, &report["problems"][0]["code"]), (ExitStatus::Refused, &json!(1201)));
}
