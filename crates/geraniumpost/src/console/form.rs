use geraniumpost_config::Schema;
use serde_json::{Map, Value};

/// Fields of a submitted form.
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
    /// Parses a form. Any bytes are a valid form.
    pub(super) fn parse(body: &[u8]) -> Self {
        Self { pairs: form_urlencoded::parse(body).into_owned().collect() }
    }

    /// Returns the value of a field without surrounding whitespace, empty if it is missing.
    pub(super) fn get(&self, key: &str) -> &str {
        let found = self.pairs.iter().find(|(name, _)| name == key);
        found.map_or("", |(_, value)| value.trim())
    }

    /// Builds the JSON value of a schema node from the fields.
    ///
    /// Empty fields are omitted, so that their defaults apply. An invalid number remains a string,
    /// so that the check against the schema reports it next to its field.
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
            // Browsers send no field for an unchecked checkbox.
            Some("boolean") => Some(Value::from(!text.is_empty())),
            _ if text.is_empty() => None,
            Some("integer") => Some(text.parse::<u64>().map_or_else(|_| text.into(), Value::from)),
            _ => Some(Value::from(text)),
        }
    }
}
