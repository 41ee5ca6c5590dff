//! Generates the schema crate's Rust types from its JSON Schema files.

use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr, bail};
use typify::{TypeSpace, TypeSpaceImpl, TypeSpacePatch, TypeSpaceSettings};

/// Schema files whose definitions are translated into the generated module.
const SOURCES: [&str; 3] = ["wire", "document", "settings"];

/// Definitions that are mapped to a handwritten type or one of the standard library.
const REPLACEMENTS: [(&str, &str); 4] = [
    ("Name", "crate::Name"),
    ("Label", "crate::Name"),
    ("Digest", "crate::Name"),
    ("Address", "::std::net::SocketAddr"),
];

/// Small types that serve as keys or are copied, with the additional derives that this requires.
const ADDITIONAL_DERIVES: [(&str, &[&str]); 3] = [
    ("RequestId", &["Copy", "Eq", "PartialOrd", "Ord", "Hash"]),
    ("Resources", &["Copy", "Eq", "Hash", "Default"]),
    ("Load", &["Copy", "Eq", "Default"]),
];

/// Constraints that a validator checks against the schema before a value is deserialized, so that
/// the generated types need no wrapper types for them.
const CHECKED_ELSEWHERE: [&str; 5] = ["pattern", "minLength", "minimum", "maximum", "minItems"];

/// Writes the generated module, or with `check` only compares it to the committed one.
///
/// # Errors
///
/// Fails if a schema cannot be read or translated, or if `check` finds a difference.
pub fn run(root: &Path, check: bool) -> Result<()> {
    let target = root.join("crates/geraniumpost-schema/src/generated.rs");
    let code = generate(root)?;
    if !check {
        return std::fs::write(&target, code).wrap_err("writing the generated module");
    }
    let committed = std::fs::read_to_string(&target).unwrap_or_default();
    if committed != code {
        bail!("generated.rs is out of date: run `cargo xtask codegen`");
    }
    println!("generated code is up to date");
    Ok(())
}

/// Translates all schema files into formatted Rust source.
fn generate(root: &Path) -> Result<String> {
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    settings.with_map_type("::std::collections::BTreeMap".to_owned());
    for (definition, rust) in REPLACEMENTS {
        let impls = [TypeSpaceImpl::FromStr, TypeSpaceImpl::Display];
        settings.with_replacement(definition, rust, impls.into_iter());
    }
    for (definition, derives) in ADDITIONAL_DERIVES {
        let mut patch = TypeSpacePatch::default();
        for derive in derives {
            patch.with_derive((*derive).to_owned());
        }
        settings.with_patch(definition, &patch);
    }
    let mut space = TypeSpace::new(&settings);
    let mut merged = merged(root)?;
    let definitions = merged["definitions"].clone();
    expand_defaults(&mut merged, &definitions);
    strip_constraints(&mut merged);
    let schema = serde_json::from_value(merged).wrap_err("reading the merged schema")?;
    space.add_root_schema(schema).wrap_err("translating the schema")?;
    let file = syn::parse2(space.to_stream()).wrap_err("parsing the generated code")?;
    Ok(remove_embedded_schemas(&prettyplease::unparse(&file)))
}

/// Removes the copy of its schema from the doc comment of each type.
fn remove_embedded_schemas(code: &str) -> String {
    let mut output = String::with_capacity(code.len());
    let mut inside = false;
    for line in code.lines() {
        let text = line.trim_start();
        inside |= text.starts_with("/// <details>");
        if !inside {
            output.push_str(line);
            output.push('\n');
        }
        inside &= !text.starts_with("/// </details>");
    }
    output
}

/// Merges the definitions of all schema files into one schema.
fn merged(root: &Path) -> Result<serde_json::Value> {
    let mut definitions = serde_json::Map::new();
    for source in SOURCES {
        let path: PathBuf = root.join(format!("crates/geraniumpost-schema/schema/{source}.json"));
        let text = std::fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
        let schema: serde_json::Value = serde_json::from_str(&text)?;
        let Some(part) = schema["definitions"].as_object() else {
            bail!("{source}.json has no definitions");
        };
        definitions.extend(part.clone());
    }
    Ok(serde_json::json!({ "definitions": definitions }))
}

/// Replaces the default `{}` of an object by the defaults of the object's properties.
///
/// The generator fills a missing object whose default is `{}` with zeros, not with the defaults of
/// its properties, so a customer without a quota could run nothing at all.
fn expand_defaults(value: &mut serde_json::Value, definitions: &serde_json::Value) {
    let name = value["$ref"].as_str().and_then(|text| text.strip_prefix("#/definitions/"));
    let target = name.map_or(&serde_json::Value::Null, |name| &definitions[name]);
    let empty = value["default"].as_object().is_some_and(serde_json::Map::is_empty);
    if let Some(properties) = target["properties"].as_object().filter(|_| empty) {
        let own = properties.iter().map(|(key, node)| (key.clone(), node["default"].clone()));
        value["default"] = own.collect::<serde_json::Map<_, _>>().into();
    }
    match value {
        serde_json::Value::Object(map) => {
            for inner in map.values_mut() {
                expand_defaults(inner, definitions);
            }
        }
        serde_json::Value::Array(items) => {
            for inner in items {
                expand_defaults(inner, definitions);
            }
        }
        _ => {}
    }
}

/// Removes the constraints that [`CHECKED_ELSEWHERE`] names.
fn strip_constraints(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(map) => {
            map.retain(|key, v| v.is_object() || !CHECKED_ELSEWHERE.contains(&key.as_str()));
            map.values_mut().for_each(strip_constraints);
        }
        serde_json::Value::Array(items) => items.iter_mut().for_each(strip_constraints),
        _ => {}
    }
}
