//! Every message on the wire can be encoded and decoded by `postcard`, and invalid bytes do not
//! cause a panic.
//!
//! Messages are generated from the JSON Schema, so that new messages are tested without a change
//! here. An optional field that is omitted can be encoded as JSON but not by `postcard`;
//! `docs/design/0001-schema.md` forbids such fields, and these tests detect them.

use std::sync::LazyLock;

use geraniumpost_schema::{Datagram, Link, ToAgent, ToEntry};
use proptest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

static WIRE: LazyLock<Value> = LazyLock::new(|| {
    serde_json::from_str(include_str!("../schema/wire.json")).expect("the schema is JSON")
});

/// Generates values from random bytes. After the last byte it makes the simplest choices.
struct Generator<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Generator<'_> {
    fn byte(&mut self) -> u8 {
        let byte = self.bytes.get(self.position).copied().unwrap_or(0);
        self.position += 1;
        byte
    }

    fn number(&mut self) -> u64 {
        (0..8).fold(0, |number, _| number << 8 | u64::from(self.byte()))
    }

    /// Generates numbers of all sizes, including the maximum, since `postcard` encodes them with a
    /// variable length.
    fn integer(&mut self, bits: u32) -> u64 {
        let maximum = u64::MAX >> (64 - bits);
        match self.byte() % 4 {
            0 => 0,
            1 => maximum,
            2 => self.number() & maximum & 0xff,
            _ => self.number() & maximum,
        }
    }

    fn text(&mut self) -> String {
        let characters = ['a', '0', '-', '"', '\n', '\0', 'ñ', 'ক'];
        let length = self.byte() % 12;
        (0..length).map(|_| characters[usize::from(self.byte()) % characters.len()]).collect()
    }

    /// Generates a value that is valid for the schema node.
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
            other => panic!("unsupported type {other:?} on the wire: {node}"),
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
        other => panic!("unsupported integer format on the wire: {other:?}"),
    }
}

/// Generates a message, and checks that `postcard` decodes it unchanged and rejects truncations.
fn check_round_trip<T>(definition: &str, bytes: &[u8]) -> Result<(), TestCaseError>
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let value = Generator { bytes, position: 0 }.value(&WIRE["definitions"][definition]);
    let message: T = serde_json::from_value(value.clone())
        .map_err(|e| TestCaseError::fail(format!("{definition}: {e}: {value}")))?;
    let encoded = postcard::to_stdvec(&message).map_err(|e| TestCaseError::fail(e.to_string()))?;
    let (decoded, rest) = postcard::take_from_bytes::<T>(&encoded)
        .map_err(|e| TestCaseError::fail(format!("{definition}: {e}")))?;
    prop_assert_eq!(&decoded, &message);
    prop_assert!(rest.is_empty());
    // In a frame the body follows the head; the decoder must not consume bytes of it.
    let with_body = [&encoded[..], b"body"].concat();
    let (_, rest) = postcard::take_from_bytes::<T>(&with_body).expect("read above");
    prop_assert_eq!(rest, b"body");
    for len in 0..encoded.len() {
        prop_assert!(postcard::take_from_bytes::<T>(&encoded[..len]).is_err(), "cut at {}", len);
    }
    Ok(())
}

/// Defines two properties for each root message type: round trips, and decoding of random bytes.
macro_rules! roots {
    ($($name:ident, $random:ident: $root:ident;)*) => {
        proptest! {
            $(
                #[test]
                fn $name(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
                    check_round_trip::<$root>(stringify!($root), &bytes)?;
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
    datagrams_round_trip, random_datagrams_do_not_panic: Datagram;
    frames_to_agents_round_trip, random_frames_to_agents_do_not_panic: ToAgent;
    frames_to_entries_round_trip, random_frames_to_entries_do_not_panic: ToEntry;
    handshakes_round_trip, random_handshakes_do_not_panic: Link;
}

/// Guards against definitions that no root message refers to; the properties would not test them.
#[test]
fn every_message_is_referenced_by_a_root() {
    let mut referenced = Vec::new();
    let mut pending = vec!["Datagram", "ToAgent", "ToEntry", "Link"];
    while let Some(name) = pending.pop() {
        if !referenced.contains(&name) {
            referenced.push(name);
            collect_references(&WIRE["definitions"][name], &mut pending);
        }
    }
    let all = WIRE["definitions"].as_object().unwrap().keys();
    let unreferenced: Vec<&String> =
        all.filter(|name| !referenced.contains(&name.as_str())).collect();
    assert!(unreferenced.iter().all(|name| *name == "Name"), "{unreferenced:?}");
}

/// Guards against optional fields: `postcard` takes the next field for one that is omitted.
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

fn collect_references<'a>(node: &'a Value, found: &mut Vec<&'a str>) {
    match node {
        Value::Object(map) => {
            if let Some(name) = map.get("$ref").and_then(Value::as_str) {
                found.push(name.trim_start_matches("#/definitions/"));
            }
            map.values().for_each(|inner| collect_references(inner, found));
        }
        Value::Array(items) => items.iter().for_each(|inner| collect_references(inner, found)),
        _ => {}
    }
}
