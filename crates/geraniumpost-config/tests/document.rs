//! Checks of the configuration document: schema, rules between values, consistency with settings.

use geraniumpost_config::{
    Report, check_document, check_document_value, check_entry_membership, check_membership,
    parse_agent, parse_entry, token_digest,
};
use serde_json::{Value, json};

fn document() -> Value {
    json!({
        "customers": { "claro": { "token_sha256": token_digest("c") } },
        "services": { "filing": { "reserve": { "milli_cpus": 8000 } } },
        "classes": { "study": {} },
        "domains": { "surco": { "region": "lima" } },
        "operators": { "rosa": { "token_sha256": token_digest("o") } },
    })
}

fn codes(report: &Report) -> Vec<(u16, &str)> {
    report.problems.iter().map(|p| (p.code.number(), p.path.as_str())).collect()
}

/// Defines one test per invalid value: its JSON pointer, the value, and the problems expected.
macro_rules! invalid_values {
    ($($name:ident: $pointer:literal = $value:tt => [$($problem:expr),*];)*) => {
        $(#[test]
        fn $name() {
            let mut value = document();
            let (parent, key) = $pointer.rsplit_once('/').unwrap();
            let parent = value.pointer_mut(parent).unwrap();
            parent.as_object_mut().unwrap().insert(key.to_owned(), json!($value));
            let report = check_document_value(value).unwrap_err();
            assert_eq!(codes(&report), vec![$($problem),*], "{report}");
        })*
    };
}

invalid_values! {
    unknown_key: "/policy" = { "hold_s": 3 } => [(1003, "policy.hold_s")];
    missing_key: "/customers/entel" = {} => [(1004, "customers.entel.token_sha256")];
    wrong_type: "/services/filing/slots" = "eight" => [(1005, "services.filing.slots")];
    fraction: "/services/filing/slots" = 1.5 => [(1005, "services.filing.slots")];
    wrong_unit: "/services/filing/deadline_ms" = "2s" => [(1006, "services.filing.deadline_ms")];
    out_of_range: "/customers/claro/weight" = 0 => [(1007, "customers.claro.weight")];
    not_a_label: "/classes/Big Study" = {} => [(1008, "classes.Big Study")];
    region_not_a_label: "/domains/ate" = { "region": "Lima" } => [(1008, "domains.ate.region")];
    evacuated_not_a_boolean: "/domains/surco/evacuated" = "yes" => [(1005, "domains.surco.evacuated")];
    not_a_digest: "/operators/rosa/token_sha256" = "secret" => [(1010, "operators.rosa.token_sha256")];
    not_a_choice: "/classes/study/priority" = "high" => [(1011, "classes.study.priority")];
    reserve_too_large: "/services/filing/reserve" = { "memory_mb": 99999999999_u64 }
        => [(1101, "services.filing.reserve.memory_mb")];
    quota_admits_no_job: "/customers/claro/quota" = { "milli_cpus": 0 }
        => [(1102, "customers.claro.quota.milli_cpus")];
    quota_too_large: "/customers/claro/quota" = { "memory_mb": 1000000001_u64 }
        => [(1103, "customers.claro.quota.memory_mb")];
    no_operator: "/operators" = {} => [(1105, "operators")];
    no_domain: "/domains" = {} => [(1106, "domains")];
    target_over_deadline: "/services/filing/target_p99_ms" = 2001
        => [(1107, "services.filing.target_p99_ms")];
    slots_over_connections: "/services/filing/slots" = 65 => [(1108, "services.filing.slots")];
    outage_hold_too_short: "/policy" = { "outage_hold_s": 5 } => [(1110, "policy.outage_hold_s")];
}

#[test]
fn a_token_of_two_customers_is_rejected() {
    let mut value = document();
    value["customers"]["entel"] = value["customers"]["claro"].clone();
    let report = check_document_value(value).unwrap_err();
    assert_eq!(codes(&report), vec![(1104, "customers.entel.token_sha256")]);
}

#[test]
fn a_token_of_a_customer_and_an_operator_is_rejected() {
    let mut value = document();
    value["operators"]["rosa"] = json!({ "token_sha256": token_digest("c") });
    let report = check_document_value(value).unwrap_err();
    assert_eq!(codes(&report), vec![(1104, "operators.rosa.token_sha256")]);
}

#[test]
fn the_empty_token_is_rejected() {
    let mut value = document();
    value["operators"]["rosa"]["token_sha256"] = json!(token_digest(""));
    let report = check_document_value(value).unwrap_err();
    assert_eq!(codes(&report), vec![(1109, "operators.rosa.token_sha256")]);
}

#[test]
fn problems_of_a_name_with_dots_have_its_path() {
    let mut value = document();
    value["services"]["a.b"] = json!({ "deadline_ms": "2s" });
    let report = check_document_value(value).unwrap_err();
    assert_eq!(codes(&report), vec![(1006, "services.a.b.deadline_ms")], "{report}");
}

#[test]
fn omitted_tables_have_the_defaults_of_the_schema() {
    let document = check_document_value(document()).unwrap();
    let quota = &document.customers["claro"].quota;
    assert_eq!((quota.milli_cpus, quota.jobs), (1_000_000_000, 10_000));
    assert_eq!((document.policy.hold_ms, document.policy.claim_ttl_s), (10_000, 86_400));
}

#[test]
fn integers_may_be_written_as_floats() {
    let mut value = document();
    value["customers"]["claro"]["weight"] = json!(2.0);
    assert_eq!(check_document_value(value).unwrap().customers["claro"].weight, 2);
}

#[test]
fn problems_of_a_text_have_lines() {
    let text = "{\n  \"customers\": {},\n  \"services\": {\"x\":\n {\"slots\": 0}},\n \"classes\": {},\n \"domains\": {},\n \"operators\": {}\n}";
    let report = check_document(text, "d.json").unwrap_err();
    let lines: Vec<_> = report.problems.iter().map(|p| (p.line, p.code.number())).collect();
    assert_eq!(lines, vec![(4, 1007), (6, 1106), (7, 1105)], "{report}");
}

#[test]
fn syntax_errors_have_a_line() {
    let report = check_document("{\n\"customers\" 1}", "d.json").unwrap_err();
    assert_eq!((report.problems[0].line, report.problems[0].code.number()), (2, 1002));
}

#[test]
fn a_document_too_large_for_the_store_is_rejected() {
    let report = check_document(&" ".repeat(850_001), "d.json").unwrap_err();
    assert_eq!(report.problems[0].code.number(), 1111);
}

const AGENT: &str = r#"name = "a"
region = "lima"
domain = "surco"
rack = "r"
listen = "10.0.1.4:7100"
entries = ["10.0.0.4:7002"]
shared_key = "0123456789abcdef"
service = "filing"
minion = "127.0.0.1:80"
worker = "127.0.0.1:81"
milli_cpus = 64000
memory_mb = 250000
"#;

/// Defines one test per change of the settings, with the codes of the contradictions expected.
macro_rules! membership {
    ($($name:ident: $from:literal => $to:literal, $codes:expr;)*) => {
        $(#[test]
        fn $name() {
            let document = check_document_value(document()).unwrap();
            let settings = parse_agent(&AGENT.replace($from, $to), "f").unwrap();
            let report = check_membership(&settings, &document).err().unwrap_or_default();
            let found: Vec<u16> = report.problems.iter().map(|p| p.code.number()).collect();
            assert_eq!(found, $codes, "{report}");
        })*
    };
}

membership! {
    member: "surco" => "surco", Vec::<u16>::new();
    domain_unknown: "surco" => "ate", vec![1201];
    region_mismatch: "lima" => "cusco", vec![1202];
    service_unknown: "filing" => "badges", vec![1203];
    reserve_over_capacity: "64000" => "4000", vec![1204];
}

#[test]
fn an_entry_of_an_unknown_domain_is_reported() {
    let document = check_document_value(document()).unwrap();
    let text = "name='e'\nregion='lima'\ndomain='ate'\ncallers='10.0.0.4:1'\nconsole='10.0.0.4:2'\n\
                datagrams='10.0.0.4:3'\nstore='10.0.0.5:4'\nshared_key='0123456789abcdef'\n";
    let settings = parse_entry(text, "f").unwrap();
    let report = check_entry_membership(&settings, &document).unwrap_err();
    assert_eq!(report.problems[0].code.number(), 1201);
    assert!(report.problems[0].advice.contains("`surco`"));
}

/// Guards against a document that approaches the store's limit of 1 MiB at the number of customers
/// expected within two years.
#[test]
fn a_document_of_160_customers_is_small() {
    let mut value = document();
    for number in 0..160 {
        let name = format!("engineering-team-{number}");
        let quota = json!({ "milli_cpus": 320_000, "memory_mb": 1_200_000, "jobs": 400 });
        value["customers"][&name] = json!({ "token_sha256": token_digest(&name), "quota": quota });
    }
    let document = check_document_value(value).unwrap();
    let size = geraniumpost_config::encode_document(&document).len();
    println!("a document of 160 customers has {size} bytes");
    assert!(size < 50_000, "{size}");
}
