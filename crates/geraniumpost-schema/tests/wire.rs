//! Every message on the wire survives `postcard`, and no bytes make a decoder panic.
//!
//! Messages are made from the JSON Schema itself, so that a new message is tested without a new
//! line here. An optional field would come through JSON but not through `postcard`, which is why
//! `docs/design/0001-schema.md` forbids them; this test is what notices one.

use std::sync::LazyLock;

use geraniumpost_schema::{Datagram, Link, ToAgent, ToEntry};
use proptest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

static WIRE: LazyLock<Value> = LazyLock::new(|| {
    serde_json::from_str(include_str!("../schema/wire.json")).expect("the schema is JSON")
});

/// Source of arbitrary choices that ends in the simplest ones.
struct Choices<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Choices<'_> {
    fn byte(&mut self) -> u8 {
        let byte = self.bytes.get(self.at).copied().unwrap_or(0);
        self.at += 1;
        byte
    }

    fn number(&mut self) -> u64 {
        (0..8).fold(0, |number, _| number << 8 | u64::from(self.byte()))
    }

    /// Numbers of all sizes, the largest included, since `postcard` writes them in varying length.
    fn integer(&mut self, bits: u32) -> u64 {
        let most = u64::MAX >> (64 - bits);
        match self.byte() % 4 {
            0 => 0,
            1 => most,
            2 => self.number() & most & 0xff,
            _ => self.number() & most,
        }
    }

    fn text(&mut self) -> String {
        let characters = ['a', '0', '-', '"', '\n', '\0', 'ñ', 'ক'];
        let length = self.byte() % 12;
        (0..length).map(|_| characters[usize::from(self.byte()) % characters.len()]).collect()
    }

    /// Makes a value that the schema node admits.
    fn value(&mut self, node: &Value) -> Value {
        if let Some(name) = node["$ref"].as_str() {
            let name = name.trim_start_matches("#/definitions/");
            return self.value(&WIRE["definitions"][name]);
        }
        for choice in ["oneOf", "enum"] {
            if let Some(options) = node[choice].as_array() {
                let chosen = &options[usize::from(self.byte()) % options.len()];
                return if choice == "enum" { chosen.clone() } else { self.value(chosen) };
            }
        }
        match node["type"].as_str() {
            Some("object") => self.object(node),
            Some("array") => {
                let length = self.byte() % 4;
                (0..length).map(|_| self.value(&node["items"])).collect()
            }
            Some("string") => self.text().into(),
            Some("boolean") => (self.byte() % 2 == 1).into(),
            Some("integer") => self.integer(bits(node)).into(),
            other => panic!("the wire knows no {other:?}: {node}"),
        }
    }

    fn object(&mut self, node: &Value) -> Value {
        let properties = node["properties"].as_object().expect("a message has properties");
        let fields = properties.iter().map(|(key, node)| (key.clone(), self.value(node)));
        fields.collect::<Map<_, _>>().into()
    }
}

fn bits(node: &Value) -> u32 {
    match node["format"].as_str() {
        Some("uint16") => 16,
        Some("uint32") => 32,
        Some("uint64") => 64,
        other => panic!("an integer on the wire has no width: {other:?}"),
    }
}

/// Makes a message, and checks that `postcard` gives back what it was given.
fn survives<T>(definition: &str, bytes: &[u8]) -> Result<(), TestCaseError>
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let value = Choices { bytes, at: 0 }.value(&WIRE["definitions"][definition]);
    let message: T = serde_json::from_value(value.clone())
        .map_err(|e| TestCaseError::fail(format!("{definition}: {e}: {value}")))?;
    let encoded = postcard::to_stdvec(&message).map_err(|e| TestCaseError::fail(e.to_string()))?;
    let (decoded, rest) = postcard::take_from_bytes::<T>(&encoded)
        .map_err(|e| TestCaseError::fail(format!("{definition}: {e}")))?;
    prop_assert_eq!(&decoded, &message);
    prop_assert!(rest.is_empty());
    // The body of a request follows its head in the frame and must stay untouched.
    let with_body = [&encoded[..], b"body"].concat();
    let (_, rest) = postcard::take_from_bytes::<T>(&with_body).expect("read above");
    prop_assert_eq!(rest, b"body");
    for cut in 0..encoded.len() {
        prop_assert!(postcard::take_from_bytes::<T>(&encoded[..cut]).is_err(), "cut at {}", cut);
    }
    Ok(())
}

/// Names a property for each root of the wire.
macro_rules! roots {
    ($($name:ident, $random:ident: $root:ident;)*) => {
        proptest! {
            $(
                #[test]
                fn $name(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
                    survives::<$root>(stringify!($root), &bytes)?;
                }

                #[test]
                fn $random(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
                    if let Ok((message, _)) = postcard::take_from_bytes::<$root>(&bytes) {
                        let again = postcard::to_stdvec(&message).expect("a message is encodable");
                        let read = postcard::from_bytes::<$root>(&again).expect("and readable");
                        prop_assert_eq!(read, message);
                    }
                }
            )*
        }
    };
}

roots! {
    datagrams_survive, random_datagrams_do_no_harm: Datagram;
    frames_to_agents_survive, random_frames_to_agents_do_no_harm: ToAgent;
    frames_to_entries_survive, random_frames_to_entries_do_no_harm: ToEntry;
    handshakes_survive, random_handshakes_do_no_harm: Link;
}

/// A message that no root leads to would never be tested, nor sent.
#[test]
fn every_message_is_reached_from_a_root() {
    let mut reached = Vec::new();
    let mut open = vec!["Datagram", "ToAgent", "ToEntry", "Link"];
    while let Some(name) = open.pop() {
        if !reached.contains(&name) {
            reached.push(name);
            references(&WIRE["definitions"][name], &mut open);
        }
    }
    let all = WIRE["definitions"].as_object().unwrap().keys();
    let missed: Vec<&String> = all.filter(|name| !reached.contains(&name.as_str())).collect();
    assert!(missed.iter().all(|name| *name == "Name"), "{missed:?}");
}

/// `postcard` cannot tell a left-out field from the next one.
#[test]
fn no_message_has_an_optional_field() {
    for (name, node) in WIRE["definitions"].as_object().unwrap() {
        let properties = node["properties"].as_object();
        let required = node["required"].as_array();
        for key in properties.into_iter().flatten().map(|(key, _)| key) {
            let listed = required.is_some_and(|list| list.iter().any(|item| item == key));
            assert!(listed, "{name}.{key} is optional");
        }
    }
}

fn references<'a>(node: &'a Value, found: &mut Vec<&'a str>) {
    match node {
        Value::Object(map) => {
            if let Some(name) = map.get("$ref").and_then(Value::as_str) {
                found.push(name.trim_start_matches("#/definitions/"));
            }
            map.values().for_each(|inner| references(inner, found));
        }
        Value::Array(items) => items.iter().for_each(|inner| references(inner, found)),
        _ => {}
    }
}
