//! Any input as settings or document must be accepted or reported, and must not cause a panic.

use geraniumpost_config::{check_document, check_document_value, parse_agent, parse_entry};
use proptest::prelude::*;
use serde_json::Value;

/// Generates nested JSON values whose keys are often keys of the document.
fn value() -> impl Strategy<Value = Value> {
    let key = prop_oneof![
        Just("customers"),
        Just("services"),
        Just("classes"),
        Just("domains"),
        Just("operators"),
        Just("policy"),
        Just("quota"),
        Just("reserve"),
        Just("token_sha256"),
        Just("slots"),
        Just("a.b"),
        Just("~/"),
        Just(""),
    ];
    let map_of =
        move |inner: BoxedStrategy<Value>| prop::collection::btree_map(key.clone(), inner, 0..8);
    leaf().prop_recursive(5, 60, 8, move |inner| {
        let map = map_of(inner.clone().boxed());
        prop_oneof![
            map.prop_map(|map| map.into_iter().map(|(k, v)| (k.to_owned(), v)).collect()),
            prop::collection::vec(inner, 0..4).prop_map(Value::from),
        ]
    })
}

/// Generates scalar JSON values.
fn leaf() -> impl Strategy<Value = Value> + Clone {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "\\PC{0,12}".prop_map(Value::from),
        Just(Value::from("500ms")),
    ]
}

/// Generates TOML with keys of the settings and unusual or invalid values.
fn toml() -> impl Strategy<Value = String> {
    let key = prop_oneof![
        Just("name"),
        Just("listen"),
        Just("entries"),
        Just("peers"),
        Just("worker"),
        Just("heartbeat_ms"),
        Just("log"),
        Just("log.level"),
        Just("[log]"),
        Just("shared_key"),
    ];
    let value = prop_oneof![
        "\\PC{0,10}",
        Just("\"1.2.3.4:5\"".to_owned()),
        Just("\"[::1]:99999\"".to_owned()),
        Just("[1, \"x\"]".to_owned()),
        Just("1e999".to_owned()),
        Just("\"9999999999999999999999ms\"".to_owned()),
        Just("{ level = 1 }".to_owned()),
        Just("1979-05-27".to_owned()),
    ];
    let line = (key, value).prop_map(|(key, value)| format!("{key} = {value}\n"));
    prop::collection::vec(line, 0..8).prop_map(|lines| lines.concat())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    #[test]
    fn any_bytes_as_a_document(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = check_document(&String::from_utf8_lossy(&bytes), "f");
    }

    #[test]
    fn any_bytes_as_settings(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let text = String::from_utf8_lossy(&bytes);
        prop_assert!(parse_entry(&text, "f").is_err());
        prop_assert!(parse_agent(&text, "f").is_err());
    }

    #[test]
    fn any_keys_as_settings(text in toml()) {
        for report in [parse_entry(&text, "f").err(), parse_agent(&text, "f").err()] {
            prop_assert!(!report.expect("no settings are so short").is_empty());
        }
    }

    /// Guards against problems that are reported at another value than the invalid one, and against
    /// accepted documents that change when they are encoded and read again.
    #[test]
    fn any_value_in_a_valid_document(at in 0..12_usize, leaf in leaf()) {
        let mut value: Value = serde_json::from_str(include_str!("../../../examples/sarkar/document.json")).unwrap();
        let pointers = [
            "/customers/hospitals/weight", "/customers/hospitals/quota/jobs",
            "/customers/hospitals/token_sha256", "/customers/hospitals", "/services/kiosk/slots",
            "/services/kiosk/keyed_in_outage", "/services/kiosk/reserve/memory_mb",
            "/classes/reindex/priority", "/classes/gate-log/max_attempts", "/domains/howrah/region",
            "/operators", "/policy/outage_hold_s",
        ];
        let place = value.pointer_mut(pointers[at]).expect("the example has it");
        *place = leaf;
        match check_document_value(value) {
            Ok(document) => {
                let again = serde_json::to_value(&document).expect("a document is JSON");
                prop_assert_eq!(check_document_value(again).expect("and accepted again"), document);
            }
            Err(report) => {
                let path = pointers[at][1..].replace('/', ".");
                let near = report.problems.iter().any(|p| p.path.starts_with(&path));
                prop_assert!(near, "{path}: {report}");
            }
        }
    }

    /// Guards against accepted documents that change when they are encoded and read again, and
    /// against rejections without a problem or with a line beyond the end of the text.
    #[test]
    fn any_json_as_a_document(value in value()) {
        match check_document_value(value.clone()) {
            Ok(document) => {
                let again = serde_json::to_value(&document).expect("a document is JSON");
                prop_assert_eq!(check_document_value(again).expect("and accepted again"), document);
            }
            Err(report) => prop_assert!(!report.is_empty()),
        }
        let text = format!("{value:#}");
        if let Err(report) = check_document(&text, "f") {
            let last = text.lines().count();
            prop_assert!(report.problems.iter().all(|p| p.line <= last));
        }
    }
}
