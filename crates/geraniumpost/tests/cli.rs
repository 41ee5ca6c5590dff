//! The command line against a console served over HTTP, and by itself.

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

/// An entry's console over HTTP and a directory for files.
struct Bench {
    entry: SocketAddr,
    standin: Standin,
    directory: PathBuf,
}

impl Bench {
    async fn new(name: &str) -> Self {
        let standin = spawn_in_process(ANY, ANY).await.unwrap();
        let store = Store::new(standin.address()).timeout(Duration::from_millis(500));
        let listener = tokio::net::TcpListener::bind(ANY).await.unwrap();
        let entry = listener.local_addr().unwrap();
        tokio::spawn(Console::new(context(store)).serve(listener, std::future::pending()));
        let directory =
            std::env::temp_dir().join(format!("geraniumpost-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let bench = Self { entry, standin, directory };
        bench.file("token", "o\n");
        bench.file("entry.toml", ENTRY);
        bench
    }

    async fn with_document(name: &str) -> Self {
        let bench = Self::new(name).await;
        let file = bench.file("first.json", &document(1).to_string());
        let done = bench.run(&["config", "set", &file, "--first", &bench.path("entry.toml")]).await;
        assert_eq!(done.status, ExitStatus::Success, "{done:?}");
        bench
    }

    fn path(&self, name: &str) -> String {
        self.directory.join(name).display().to_string()
    }

    fn file(&self, name: &str, text: &str) -> String {
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

    /// Saves the configuration as an operator does before an edit.
    async fn got(&self, name: &str, edit: impl FnOnce(&mut Value)) -> String {
        let done = self.run(&["config", "get"]).await;
        let mut value: Value = serde_json::from_str(&done.out).unwrap();
        edit(&mut value["document"]);
        self.file(name, &value.to_string())
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

async fn local(args: &[&str]) -> CommandOutput {
    let all = std::iter::once("geraniumpost").chain(args.iter().copied());
    execute(&command().try_get_matches_from(all).unwrap()).await
}

#[test]
fn the_command_line_is_consistent() {
    command().debug_assert();
    let help = command().render_long_help().to_string();
    for text in ["Examples:", "Exit codes:", "GERANIUMPOST_TOKEN", "explain"] {
        assert!(help.contains(text), "{text} is missing in {help}");
    }
}

/// Names cases of command lines that are refused before anything is done.
macro_rules! unusable {
    ($($name:ident: [$($arg:literal),*];)*) => {
        $(#[test]
        fn $name() {
            let error = command().try_get_matches_from(["geraniumpost", $($arg),*]).unwrap_err();
            assert_eq!(error.exit_code(), ExitStatus::Usage as i32);
        })*
    };
}

unusable! {
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
    let bench = Bench::with_document("set").await;
    let edit = |document: &mut Value| document["customers"]["claro"]["weight"] = json!(5);
    let file = bench.got("edited.json", edit).await;
    let done = bench.run(&["config", "set", &file]).await;
    assert_eq!(done.status, ExitStatus::Success, "{done:?}");
    assert!(done.out.starts_with("accepted as revision "), "{done:?}");
    let now = bench.run(&["config", "get", "--json"]).await;
    assert!(now.out.contains("\"weight\":5"), "{now:?}");
}

/// The stand-in agent of these tests stays at revision 1. An operator who waits must learn that the
/// change is not in force everywhere, and by whom.
#[tokio::test]
async fn waiting_tells_who_is_behind() {
    let bench = Bench::with_document("wait").await;
    let file = bench.got("edited.json", |d| d["policy"]["hold_ms"] = json!(20_000)).await;
    let done = bench.run(&["config", "set", &file, "--wait-s", "1"]).await;
    assert_eq!(done.status, ExitStatus::Refused, "{done:?}");
    assert!(done.out.starts_with("accepted as revision 2"), "{done:?}");
    assert!(done.err.contains("not in force after 1 s on agent-1"), "{done:?}");
}

/// Two operators edit what they got at the same time; the second must be told what the first did.
#[tokio::test]
async fn the_second_operator_is_told_what_the_first_changed() {
    let bench = Bench::with_document("conflict").await;
    let one = bench.got("one.json", |d| d["policy"]["hold_ms"] = json!(20_000)).await;
    let two = bench.got("two.json", |d| d["customers"]["claro"]["weight"] = json!(2)).await;
    bench.run(&["config", "set", &one]).await;
    let done = bench.run(&["config", "set", &two]).await;
    assert_eq!(done.status, ExitStatus::Conflict, "{done:?}");
    assert!(done.err.contains("rosa changed policy.hold_ms"), "{done:?}");
    let done = bench.run(&["config", "set", &two, "--json"]).await;
    let error: Value = serde_json::from_str(&done.out).unwrap();
    assert_eq!(error["code"], 4008);
}

#[tokio::test]
async fn problems_are_told_with_their_advice() {
    let bench = Bench::with_document("problems").await;
    let bad = bench.got("bad.json", |d| d["services"]["filing"]["slots"] = json!("8s")).await;
    for subcommand in ["set", "check"] {
        let done = bench.run(&["config", subcommand, &bad]).await;
        assert_eq!(done.status, ExitStatus::Refused);
        assert!(done.err.contains("error 1005: services.filing.slots"), "{done:?}");
    }
    let good = bench.got("good.json", |_| ()).await;
    assert_eq!(bench.run(&["config", "check", &good]).await.status, ExitStatus::Success);
    let bare = bench.file("bare.json", &document(2).to_string());
    assert_eq!(bench.run(&["config", "set", &bare]).await.status, ExitStatus::Usage);
}

/// The store is down. The operator must see that nothing was changed.
#[tokio::test]
async fn a_store_that_is_down_is_told() {
    let bench = Bench::with_document("down").await;
    let file = bench.got("edited.json", |d| d["policy"]["hold_ms"] = json!(20_000)).await;
    let faults = StoreFaults { down: Down::Unavailable, ..StoreFaults::default() };
    bench.standin.control().set_faults(&faults).await.unwrap();
    let done = bench.run(&["config", "set", &file]).await;
    assert_eq!(done.status, ExitStatus::Refused);
    assert!(done.err.contains("error 4009") && done.err.contains("was not made"), "{done:?}");
}

#[tokio::test]
async fn jobs_and_state_are_shown() {
    let bench = Bench::with_document("jobs").await;
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
    let done = bench.run(&submit).await;
    assert!(done.out.contains("state: pending"), "{done:?}");
    assert!(bench.run(&["job", "list"]).await.out.contains("study-1"));
    assert!(bench.run(&["explain", "study-1"]).await.out.contains("why: waits for room"));
    let cancel = bench.run(&["job", "cancel", "study-1"]).await;
    assert_eq!(cancel.status, ExitStatus::Refused);
    assert!(cancel.err.contains("error 3010"), "{cancel:?}");
    let status = bench.run(&["status"]).await;
    assert!(
        status.out.contains("agents: 11") && status.out.contains("in force on 1"),
        "{status:?}"
    );
    let json: Value = serde_json::from_str(&bench.run(&["status", "--json"]).await.out).unwrap();
    assert_eq!(json["in_force"]["processes"][0]["name"], "agent-1");
}

#[tokio::test]
async fn an_entry_that_does_not_answer_is_unreachable() {
    let bench = Bench::new("unreachable").await;
    let token = bench.path("token");
    let done = local(&["status", "--entry", "127.0.0.1:9", "--token-file", &token]).await;
    assert_eq!(done.status, ExitStatus::Unreachable, "{done:?}");
    let done = local(&["status", "--entry", "localhost:9", "--token-file", &token]).await;
    assert_eq!(done.status, ExitStatus::Usage);
    let done = local(&["status", "--entry", "127.0.0.1:9", "--token-file", "no/such"]).await;
    assert_eq!(done.status, ExitStatus::Usage);
}

#[tokio::test]
async fn files_are_checked_by_themselves_and_against_each_other() {
    let bench = Bench::new("check").await;
    let entry = bench.path("entry.toml");
    let good = bench.file("document.json", &document(1).to_string());
    let done = local(&["check", &entry, &good]).await;
    assert_eq!(done.status, ExitStatus::Success, "{done:?}");
    assert!(done.out.contains("settings of an entry") && done.out.contains("a document"));
    let far = bench.file("far.toml", &ENTRY.replace("surco", "tacna").replace("name=", "nane="));
    let done = local(&["check", &far, &good]).await;
    assert!(done.err.contains("1003") && done.err.contains("1004"), "{done:?}");
    let far = bench.file("far.toml", &ENTRY.replace("surco", "tacna"));
    let done = local(&["check", &far, &good, "--json"]).await;
    let report: Value = serde_json::from_str(&done.out).unwrap();
    assert_eq!((done.status, &report["problems"][0]["code"]), (ExitStatus::Refused, &json!(1201)));
}
