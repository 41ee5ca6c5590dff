use geraniumpost_config::Schema;
use serde_json::{Map, Value};

/// A posted form.
///
/// # Example
///
/// ```text
/// weight=2&quota.jobs=10   ->   {"weight": 2, "quota": {"jobs": 10}}
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Form {
    pairs: Vec<(String, String)>,
}

impl Form {
    /// Reads a form; whatever the bytes are, they make some form.
    pub(super) fn parse(body: &[u8]) -> Self {
        Self { pairs: form_urlencoded::parse(body).into_owned().collect() }
    }

    /// Returns a field without surrounding space, empty if there is none.
    pub(super) fn get(&self, key: &str) -> &str {
        let found = self.pairs.iter().find(|(name, _)| name == key);
        found.map_or("", |(_, value)| value.trim())
    }

    /// Returns the value that the form gives for a schema node.
    ///
    /// An empty field is left out, so that its default holds. A number that cannot be read stays a
    /// text, so that the schema's check reports it beside its field.
    pub(super) fn value(&self, schema: &Schema, node: &Value, prefix: &str) -> Value {
        let mut map = Map::new();
        for (key, node) in node["properties"].as_object().into_iter().flatten() {
            let field = format!("{prefix}{key}");
            let node = schema.resolve(node);
            if let Some(value) = self.field(schema, node, &field) {
                map.insert(key.clone(), value);
            }
        }
        Value::Object(map)
    }

    fn field(&self, schema: &Schema, node: &Value, field: &str) -> Option<Value> {
        let text = self.get(field);
        match node["type"].as_str() {
            Some("object") => Some(self.value(schema, node, &format!("{field}."))),
            // A browser sends nothing for a box that is not ticked.
            Some("boolean") => Some(Value::from(!text.is_empty())),
            _ if text.is_empty() => None,
            Some("integer") => Some(text.parse::<u64>().map_or_else(|_| text.into(), Value::from)),
            _ => Some(Value::from(text)),
        }
    }
}
