//! Checks of settings files: all problems at once, with code, line and advice.

use geraniumpost_config::{Report, parse_agent, parse_entry};

const AGENT: &str = r#"
name = "agent-1"
region = "lima"
domain = "surco"
rack = "r1"
listen = "10.0.1.4:7100"
entries = ["10.0.0.4:7002"]
shared_key = "0123456789abcdef"
service = "filing"
minion = "127.0.0.1:8080"
"#;

const ENTRY: &str = r#"
name = "entry-1"
region = "lima"
domain = "surco"
callers = "0.0.0.0:7000"
console = "10.0.0.4:7001"
datagrams = "10.0.0.4:7002"
store = "10.0.9.9:2400"
shared_key = "0123456789abcdef"
"#;

/// Returns `(code, line, path)` of every problem.
fn codes_with_locations(report: &Report) -> Vec<(u16, usize, &str)> {
    report.problems.iter().map(|p| (p.code.number(), p.line, p.path.as_str())).collect()
}

/// Defines one test per invalid text: what is replaced, by what, and the problems expected.
macro_rules! invalid_settings {
    ($parse:ident, $base:ident: $($name:ident: $from:literal => $to:literal, [$($problem:expr),*];)*) => {
        $(#[test]
        fn $name() {
            assert!($base.contains($from));
            let report = $parse(&$base.replace($from, $to), "f.toml").unwrap_err();
            assert_eq!(codes_with_locations(&report), vec![$($problem),*], "{report}");
        })*
    };
}

invalid_settings! { parse_agent, AGENT:
    unknown_key: "rack = " => "rak = \"x\"\nrack = ", [(1003, 5, "rak")];
    missing_key: "rack = \"r1\"\n" => "", [(1004, 1, "rack")];
    wrong_type: "\"agent-1\"" => "7", [(1005, 2, "name")];
    wrong_unit: "rack = " => "heartbeat_ms = \"0.5s\"\nrack = ", [(1006, 5, "heartbeat_ms")];
    out_of_range: "rack = " => "heartbeat_ms = 5\nrack = ", [(1007, 5, "heartbeat_ms")];
    number_over_the_type: "rack = " => "accelerators = 5000000000\nrack = ", [(1007, 5, "accelerators")];
    no_entries: "[\"10.0.0.4:7002\"]" => "[]", [(1007, 7, "entries")];
    not_a_label: "agent-1" => "Agent 1", [(1008, 2, "name")];
    host_name: "10.0.1.4:7100" => "agent.example:7100", [(1009, 6, "listen")];
    no_ip_number: "10.0.1.4:7100" => "300.0.1.4:7100", [(1009, 6, "listen")];
    no_port_number: "10.0.1.4:7100" => "10.0.1.4:70000", [(1009, 6, "listen")];
    item_of_a_list: "[\"10.0.0.4:7002\"]" => "[\n\"10.0.0.4:7002\",\n\"x\"]", [(1009, 9, "entries.1")];
    short_key: "0123456789abcdef" => "secret", [(1012, 8, "shared_key")];
    duplicate: "127.0.0.1:8080" => "10.0.1.4:7100", [(1013, 10, "minion")];
    service_without_minion: "minion = \"127.0.0.1:8080\"\n" => "", [(1014, 9, "service")];
    minion_without_service: "service = \"filing\"\n" => "", [(1014, 9, "minion")];
    worker_without_capacity: "rack = " => "worker = \"127.0.0.1:90\"\nrack = ",
        [(1016, 1, "milli_cpus"), (1016, 1, "memory_mb")];
    unspecified: "10.0.1.4:7100" => "0.0.0.0:7100", [(1017, 6, "listen")];
    port_zero: "10.0.1.4:7100" => "10.0.1.4:0", [(1017, 6, "listen")];
    nested_table: "rack = \"r1\"" => "rack = \"r1\"\nlog.level = \"loud\"", [(1011, 6, "log.level")];
    all_lines_with_syntax_errors: "name = \"agent-1\"\nregion = \"lima\"" => "name = = 3\nregion = lima",
        [(1002, 2, ""), (1002, 3, "")];
    huge_number: "rack = " => "heartbeat_ms = 99999999999999999999\nrack = ", [(1005, 5, "heartbeat_ms")];
    hexadecimal_number: "rack = " => "heartbeat_ms = 0xfffff\nrack = ", [(1007, 5, "heartbeat_ms")];
    syntax_error: "rack = " => "rack == ", [(1002, 5, "")];
}

invalid_settings! { parse_entry, ENTRY:
    own_peer: "store = " => "peers = [\"10.0.0.4:7002\"]\nstore = ", [(1018, 8, "peers.0")];
    same_listener: "10.0.0.4:7001" => "10.0.0.4:7002", [(1013, 7, "datagrams")];
    several_problems: "name = \"entry-1\"\nregion" => "name = \"Entry\"\nregoin",
        [(1004, 1, "region"), (1008, 2, "name"), (1003, 3, "regoin")];
}

/// Guards against a panic of the TOML parser on a key that is invalid in one line and used as a
/// table in another, as an earlier parser had it.
#[test]
fn an_invalid_key_that_is_also_a_table_is_reported() {
    let report = parse_agent("log = =\nlog.level = \n", "f.toml").unwrap_err();
    assert!(codes_with_locations(&report).iter().all(|(code, ..)| *code == 1002), "{report}");
}

#[test]
fn valid_settings_are_read_with_their_defaults() {
    let agent = parse_agent(AGENT, "f.toml").unwrap();
    assert_eq!((agent.heartbeat_ms, agent.drain_ms), (500, 30_000));
    assert!(agent.log.decisions, "decisions are logged unless switched off");
    assert!(parse_entry(ENTRY, "f.toml").unwrap().log.decisions);
}

#[test]
fn agent_without_minion_and_worker_is_rejected() {
    let text: String = AGENT
        .lines()
        .filter(|l| !l.starts_with("service") && !l.starts_with("min"))
        .fold(String::new(), |text, line| text + line + "\n");
    let report = parse_agent(&text, "f.toml").unwrap_err();
    assert_eq!(codes_with_locations(&report), vec![(1015, 1, "")]);
}

#[test]
fn advice_says_what_to_write() {
    let text = AGENT.replace("rack = ", "heartbeat_ms = \"0.5s\"\nrak = \"a\"\nrack = ");
    let report = parse_agent(&text, "f.toml").unwrap_err().to_string();
    assert!(report.contains("f.toml:5: error 1006: heartbeat_ms:"), "{report}");
    assert!(report.contains("Write 500."), "{report}");
    assert!(report.contains("Did you mean `rack`?"), "{report}");
}

#[test]
fn a_secret_is_never_shown() {
    let report = parse_agent(&AGENT.replace("0123456789abcdef", "hush"), "f").unwrap_err();
    assert!(!report.to_string().contains("hush"), "{report}");
}

#[test]
fn an_unreadable_file_is_a_numbered_problem() {
    let report = geraniumpost_config::load_agent("no/such/file".as_ref()).unwrap_err();
    assert_eq!(codes_with_locations(&report), vec![(1001, 0, "")]);
}
