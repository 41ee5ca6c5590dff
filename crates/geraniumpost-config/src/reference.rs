//! Markdown reference of settings and document, generated from the schema.

use std::fmt::Write as _;

use serde_json::Value;

use crate::schema::{Schema, SchemaKind};

/// Renders the reference of a root definition and of the tables nested in it.
///
/// # Example
///
/// ```
/// use geraniumpost_config::{SchemaKind, reference};
/// assert!(reference(SchemaKind::Agent).contains("| `rack` | label | required |"));
/// ```
pub fn reference(kind: SchemaKind) -> String {
    let schema = Schema::of(kind);
    let mut text = String::new();
    let mut pending = vec![kind.definition().to_owned()];
    let mut done = Vec::new();
    while let Some(name) = pending.pop() {
        if done.contains(&name) {
            continue;
        }
        let node = &schema.definitions()[&name];
        write_definition(schema, &name, node, &mut text);
        // Reversed, because the last element is rendered next: tables follow the order of keys.
        pending.extend(nested_tables(schema, node).into_iter().rev());
        done.push(name);
    }
    text
}

fn write_definition(schema: &Schema, name: &str, node: &Value, text: &mut String) {
    let meaning = node["description"].as_str().unwrap_or_default();
    let _ = writeln!(text, "### {name}\n\n{meaning}\n");
    text.push_str("| key | value | default | meaning |\n| --- | --- | --- | --- |\n");
    for (key, property) in node["properties"].as_object().into_iter().flatten() {
        let required =
            node["required"].as_array().is_some_and(|list| list.contains(&key.as_str().into()));
        let default = match (required, &property["default"]) {
            (true, _) => "required".to_owned(),
            (false, Value::Null) => "none".to_owned(),
            (false, Value::Object(_)) => "its own".to_owned(),
            (false, value) => format!("`{value}`"),
        };
        let meaning = property["description"].as_str().unwrap_or_default();
        let value = describe_value(schema, property);
        let _ = writeln!(text, "| `{key}` | {value} | {default} | {meaning} |");
    }
    text.push('\n');
}

/// Describes the allowed values of a key in a few words.
fn describe_value(schema: &Schema, node: &Value) -> String {
    let inner = schema.resolve(node);
    if let Some(choices) = inner["enum"].as_array() {
        return choices.iter().map(|choice| format!("`{choice}`")).collect::<Vec<_>>().join(", ");
    }
    match inner["type"].as_str() {
        Some("integer") => describe_range(inner),
        Some("boolean") => "`true`, `false`".to_owned(),
        Some("array") => format!("list of {}", describe_value(schema, &inner["items"])),
        Some("object") => match definition_name(inner.get("additionalProperties").unwrap_or(inner))
        {
            Some(name) => format!("table of `{name}` by name"),
            None => format!("table, see `{}`", definition_name(node).unwrap_or_default()),
        },
        _ => describe_text(inner),
    }
}

fn describe_range(node: &Value) -> String {
    let low = node["minimum"].as_u64().unwrap_or(0);
    let high = node["maximum"].as_u64().filter(|high| *high < u64::from(u32::MAX));
    high.map_or_else(|| format!("{low} or more"), |high| format!("{low} to {high}"))
}

fn describe_text(node: &Value) -> String {
    let pattern = node["pattern"].as_str().unwrap_or_default();
    if pattern.ends_with(":[0-9]{1,5}$") {
        "IP:port".to_owned()
    } else if pattern.contains("{64}") {
        "64 hexadecimal digits".to_owned()
    } else if pattern.starts_with("^[a-z0-9]") {
        "label".to_owned()
    } else if let Some(least) = node["minLength"].as_u64() {
        format!("text of {least} or more")
    } else {
        "text".to_owned()
    }
}

fn nested_tables(schema: &Schema, node: &Value) -> Vec<String> {
    let properties = node["properties"].as_object().into_iter().flatten();
    let nodes = properties.map(|(_, property)| {
        let map = property.get("additionalProperties").filter(|inner| inner.is_object());
        map.unwrap_or(property)
    });
    let tables = nodes.filter(|node| schema.resolve(node)["properties"].is_object());
    tables.filter_map(definition_name).map(str::to_owned).collect()
}

fn definition_name(node: &Value) -> Option<&str> {
    node["$ref"].as_str()?.strip_prefix("#/definitions/")
}
