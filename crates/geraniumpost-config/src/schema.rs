use std::sync::LazyLock;

use geraniumpost_schema::{DOCUMENT_SCHEMA, SETTINGS_SCHEMA};
use jsonschema::Validator;
use serde_json::{Map, Value, json};

use crate::translate::translate;
use crate::{Problem, Report};

/// Kind of a file; selects the root definition by which it is validated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SchemaKind {
    /// Settings of an entry.
    Entry,
    /// Settings of an agent.
    Agent,
    /// The configuration document.
    Document,
}

impl SchemaKind {
    /// Returns the name of the root definition.
    pub const fn definition(self) -> &'static str {
        match self {
            Self::Entry => "EntrySettings",
            Self::Agent => "AgentSettings",
            Self::Document => "Document",
        }
    }
}

/// A compiled schema with its definitions, from which also forms and references are rendered.
#[derive(Debug)]
pub struct Schema {
    kind: SchemaKind,
    definitions: Map<String, Value>,
    validator: Validator,
}

static ENTRY: LazyLock<Schema> = LazyLock::new(|| Schema::compile(SchemaKind::Entry));
static AGENT: LazyLock<Schema> = LazyLock::new(|| Schema::compile(SchemaKind::Agent));
static DOCUMENT: LazyLock<Schema> = LazyLock::new(|| Schema::compile(SchemaKind::Document));

impl Schema {
    /// Returns the schema of `kind`. It is compiled when it is first used.
    pub fn of(kind: SchemaKind) -> &'static Self {
        match kind {
            SchemaKind::Entry => &ENTRY,
            SchemaKind::Agent => &AGENT,
            SchemaKind::Document => &DOCUMENT,
        }
    }

    /// Returns all definitions of the schema file by name.
    pub const fn definitions(&self) -> &Map<String, Value> {
        &self.definitions
    }

    /// Returns the definition of the root value.
    pub fn root(&self) -> &Value {
        &self.definitions[self.kind.definition()]
    }

    /// Returns the definition that `node` refers to, or `node` itself.
    pub fn resolve<'a>(&'a self, node: &'a Value) -> &'a Value {
        let name = node["$ref"].as_str().and_then(|text| text.strip_prefix("#/definitions/"));
        name.and_then(|name| self.definitions.get(name)).unwrap_or(node)
    }

    /// Returns the schema node of the value at a JSON pointer.
    pub fn node_at(&self, pointer: &str) -> Option<&Value> {
        let mut node = self.root();
        for key in pointer.split('/').skip(1) {
            node = self.resolve(child(node, key)?);
        }
        Some(node)
    }

    /// Validates a value and returns all problems.
    pub(crate) fn check(&self, value: &Value) -> Report {
        let errors = self.validator.iter_errors(value);
        Report::from(errors.flat_map(|error| translate(self, &error)).collect::<Vec<Problem>>())
    }

    fn compile(kind: SchemaKind) -> Self {
        let definitions = definitions();
        let root = json!({
            "$schema": "http://json-schema.org/draft-07/schema#",
            "$ref": format!("#/definitions/{}", kind.definition()),
            "definitions": definitions.clone(),
        });
        let validator = jsonschema::validator_for(&root).expect("schema files are valid schemas");
        Self { kind, definitions, validator }
    }
}

/// Returns the definitions of both schema files in one map, since they refer to each other.
fn definitions() -> Map<String, Value> {
    let mut definitions = Map::new();
    for text in [SETTINGS_SCHEMA, DOCUMENT_SCHEMA] {
        let mut file: Value = serde_json::from_str(text).expect("schema files are valid JSON");
        add_integer_maxima(&mut file);
        definitions.extend(file["definitions"].as_object().cloned().unwrap_or_default());
    }
    definitions
}

/// Returns the schema of the member `key`, which may be a property, a map entry or a list item.
fn child<'a>(node: &'a Value, key: &str) -> Option<&'a Value> {
    let property = node["properties"].get(key);
    let map_entry = node.get("additionalProperties").filter(|node| node.is_object());
    property.or(map_entry).or_else(|| node.get("items"))
}

/// Adds a maximum to every integer of the schema: that of `u32`, or 2^53 for `u64`.
///
/// The validator ignores `format`. A number that exceeds the Rust type would be accepted and then
/// fail in `serde`, whose message contains neither key nor line.
fn add_integer_maxima(node: &mut Value) {
    let maximum = match node.get("format").and_then(Value::as_str) {
        Some("uint32") => Some(u64::from(u32::MAX)),
        Some("uint64") => Some(1 << 53),
        _ => None,
    };
    match node {
        Value::Object(map) => {
            if let Some(maximum) = maximum {
                map.entry("maximum").or_insert(Value::from(maximum));
            }
            map.values_mut().for_each(add_integer_maxima);
        }
        Value::Array(items) => items.iter_mut().for_each(add_integer_maxima),
        _ => {}
    }
}
