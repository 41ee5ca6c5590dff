use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind as Kind;
use serde_json::Value;

use crate::lines::join_path;
use crate::{Code, Problem, Schema};

/// Minimum Jaro-Winkler similarity at which a known key is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.75;

/// Translates an error of the validator into problems for operators.
///
/// The messages of the validator are not shown, because they quote the invalid value, which may be
/// a secret, and refer to keywords of the schema.
pub(crate) fn translate(schema: &Schema, error: &ValidationError<'_>) -> Vec<Problem> {
    let path = dotted_path(error.instance_path().as_str());
    let node = schema.node_at(error.instance_path().as_str()).unwrap_or(&Value::Null);
    let value = error.instance().as_ref();
    match error.kind() {
        Kind::AdditionalProperties { unexpected } => {
            unexpected.iter().map(|key| unknown_key(node, &path, key)).collect()
        }
        Kind::Required { property } => vec![missing_key(schema, node, &path, property)],
        Kind::Type { .. } => vec![wrong_type(node, &path, value)],
        Kind::Enum { options } => vec![not_a_choice(&path, options)],
        Kind::Pattern { .. } => vec![pattern_mismatch(node, &path, value)],
        Kind::PropertyNames { error } => {
            let name = error.instance().as_str().unwrap_or_default();
            vec![not_a_label(join_path(&path, name), name)]
        }
        Kind::MinLength { .. } => vec![Problem::new(Code::TooShort, path)],
        Kind::MinItems { limit } => {
            let message = format!("The list needs {limit} or more items.");
            vec![Problem::new(Code::OutOfRange, path).message(message).advice("Add an item.")]
        }
        Kind::Minimum { .. } | Kind::Maximum { .. } => vec![out_of_range(node, &path, value)],
        _ => vec![Problem::new(Code::WrongType, path)],
    }
}

/// Converts a JSON pointer to keys joined by dots.
pub(crate) fn dotted_path(pointer: &str) -> String {
    let keys = pointer.split('/').skip(1);
    let plain = keys.map(|key| key.replace("~1", "/").replace("~0", "~"));
    plain.collect::<Vec<_>>().join(".")
}

fn unknown_key(node: &Value, path: &str, key: &str) -> Problem {
    let known = node["properties"].as_object();
    let names: Vec<&str> = known.into_iter().flatten().map(|(name, _)| name.as_str()).collect();
    let advice = match most_similar(key, &names) {
        Some(name) => format!("Did you mean `{name}`?"),
        None => format!("Remove it; known here are {}.", quote_names(names.iter().copied())),
    };
    let message = format!("The key `{key}` is not known.");
    Problem::new(Code::UnknownKey, join_path(path, key)).message(message).advice(advice)
}

/// Returns the known key that is most similar to `key`, if it is similar enough. The Jaro-Winkler
/// similarity favours a common prefix, as of keys that differ only in the unit.
fn most_similar<'a>(key: &str, names: &[&'a str]) -> Option<&'a str> {
    let score = |name: &&str| strsim::jaro_winkler(key, name);
    let best = names.iter().copied().max_by(|a, b| score(a).total_cmp(&score(b)))?;
    (score(&best) >= MIN_SIMILARITY).then_some(best)
}

fn missing_key(schema: &Schema, node: &Value, path: &str, property: &Value) -> Problem {
    let key = property.as_str().unwrap_or_default();
    let meaning = node["properties"][key]["description"].as_str();
    let kind = expected_kind(schema.resolve(&node["properties"][key]));
    let advice = match meaning {
        Some(meaning) => format!("Add it: {kind}. {meaning}"),
        None => format!("Add it: {kind}."),
    };
    let message = format!("The key `{key}` is missing.");
    Problem::new(Code::MissingKey, join_path(path, key)).message(message).advice(advice)
}

fn wrong_type(node: &Value, path: &str, value: &Value) -> Problem {
    let kind = expected_kind(node);
    let key = path.rsplit('.').next().unwrap_or_default();
    let unit = unit_of(key);
    let quoted = value.as_str().filter(|_| kind == "a whole number");
    if let Some(number) = quoted.and_then(|text| convert_to_unit_of(text, key)) {
        let message = format!("The value carries a unit; `{key}` is a plain number of {unit}.");
        let advice = format!("Write {number}.");
        return Problem::new(Code::WrongUnit, path).message(message).advice(advice);
    }
    let message = format!("The value is {}, not {kind}.", actual_kind(value));
    let advice = if unit.is_empty() || kind != "a whole number" {
        format!("Write {kind}.")
    } else {
        format!("Write {kind} of {unit}.")
    };
    Problem::new(Code::WrongType, path).message(message).advice(advice)
}

fn not_a_choice(path: &str, options: &Value) -> Problem {
    let names = options.as_array().into_iter().flatten().filter_map(Value::as_str);
    let advice = format!("Use one of {}.", quote_names(names));
    Problem::new(Code::NotAChoice, path).advice(advice)
}

/// Translates a mismatch of one of the three patterns of the schemas: address, digest or label.
fn pattern_mismatch(node: &Value, path: &str, value: &Value) -> Problem {
    let text = value.as_str().unwrap_or_default();
    let pattern = node["pattern"].as_str().unwrap_or_default();
    if pattern.ends_with(":[0-9]{1,5}$") {
        return not_an_address(path, text);
    }
    if pattern.contains("{64}") {
        return Problem::new(Code::NotADigest, path);
    }
    not_a_label(path.to_owned(), text)
}

/// Returns the problem of a text that is not an IP address with a port.
pub(crate) fn not_an_address(path: &str, text: &str) -> Problem {
    let message = format!("`{text}` is not IP:port.");
    let advice = match text.parse::<std::net::IpAddr>() {
        Ok(std::net::IpAddr::V6(ip)) => format!("Add a port, as in `[{ip}]:7000`."),
        Ok(ip) => format!("Add a port, as in `{ip}:7000`."),
        Err(_) => "Write an IP number and a port, as in `10.0.0.4:7000`; names are not resolved."
            .to_owned(),
    };
    Problem::new(Code::NotAnAddress, path).message(message).advice(advice)
}

fn not_a_label(path: String, name: &str) -> Problem {
    Problem::new(Code::NotALabel, path).message(format!("The name `{name}` is no label."))
}

fn out_of_range(node: &Value, path: &str, value: &Value) -> Problem {
    let low = node["minimum"].as_u64().unwrap_or(0);
    let unit = unit_of(path.rsplit('.').next().unwrap_or_default());
    let space = if unit.is_empty() { "" } else { " " };
    let range = match node["maximum"].as_u64() {
        Some(high) => format!("from {low} to {high}"),
        None => format!("of {low} or more"),
    };
    let message = format!("{value} is out of range.");
    let advice = format!("Write a number {range}{space}{unit}.");
    Problem::new(Code::OutOfRange, path).message(message).advice(advice)
}

/// Describes the values that a schema node allows.
fn expected_kind(node: &Value) -> &'static str {
    if node["pattern"].as_str().is_some_and(|pattern| pattern.ends_with(":[0-9]{1,5}$")) {
        return "an address as IP:port in quotes";
    }
    match node["type"].as_str() {
        Some("integer") => "a whole number",
        Some("boolean") => "true or false",
        Some("array") => "a list",
        Some("object") => "a table",
        _ => "a text in quotes",
    }
}

fn actual_kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(number) if number.is_f64() => "a number with a fraction",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "a table",
    }
}

/// Returns the unit that the suffix of a key denotes; empty if it has none.
pub(crate) fn unit_of(key: &str) -> &'static str {
    match key.rsplit('_').next().unwrap_or_default() {
        "ms" => "milliseconds",
        "s" => "seconds",
        "mb" => "mebibytes",
        "kb" => "kibibytes",
        "permille" => "thousandths",
        "cpus" => "thousandths of a processor",
        _ => "",
    }
}

/// Converts a quantity with a unit, such as `500ms`, to the unit of `key`.
fn convert_to_unit_of(text: &str, key: &str) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let amount: f64 = text[..end].trim().parse().ok()?;
    let unit = parse_unit(text[end..].trim())?;
    let factor = match key.rsplit('_').next()? {
        "ms" => ratio(unit, Dimension::Time, 0.001)?,
        "s" => ratio(unit, Dimension::Time, 1.0)?,
        "mb" => ratio(unit, Dimension::Size, 1024.0)?,
        "kb" => ratio(unit, Dimension::Size, 1.0)?,
        "cpus" => ratio(unit, Dimension::Processors, 0.001)?,
        _ => return None,
    };
    Some((amount * factor).round() as u64)
}

/// Quantity that a unit measures.
#[derive(PartialEq)]
enum Dimension {
    Time,
    Size,
    Processors,
}

/// Returns the dimension of a unit, and its size in seconds, kibibytes or processors.
fn parse_unit(unit: &str) -> Option<(Dimension, f64)> {
    Some(match unit.to_ascii_lowercase().as_str() {
        "ms" => (Dimension::Time, 0.001),
        "s" | "sec" => (Dimension::Time, 1.0),
        "m" | "min" => (Dimension::Time, 60.0),
        "h" => (Dimension::Time, 3600.0),
        "k" | "kb" | "kib" => (Dimension::Size, 1.0),
        "mb" | "mib" => (Dimension::Size, 1024.0),
        "g" | "gb" | "gib" => (Dimension::Size, 1024.0 * 1024.0),
        "cpu" | "cpus" | "core" | "cores" => (Dimension::Processors, 1.0),
        _ => return None,
    })
}

/// Returns the size of a unit as a multiple of `target`, if it measures `dimension`.
fn ratio(unit: (Dimension, f64), dimension: Dimension, target: f64) -> Option<f64> {
    (unit.0 == dimension).then(|| unit.1 / target)
}

fn quote_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    names.map(|name| format!("`{name}`")).collect::<Vec<_>>().join(", ")
}
