use geraniumpost_config::Schema;
use maud::{Markup, html};
use serde_json::{Map, Value};

use super::Frame;

/// A part of the document that holds values by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Section {
    /// Key in the document and part of the path.
    pub(crate) key: &'static str,
    /// Definition of one value in the schema.
    pub(crate) definition: &'static str,
    /// Name of one value.
    pub(crate) one: &'static str,
}

impl Section {
    /// All sections in the order of the page.
    const ALL: [Self; 5] = [
        Self { key: "customers", definition: "Customer", one: "customer" },
        Self { key: "services", definition: "Service", one: "service" },
        Self { key: "classes", definition: "JobClass", one: "job class" },
        Self { key: "domains", definition: "Domain", one: "failure domain" },
        Self { key: "operators", definition: "Operator", one: "operator" },
    ];

    /// Finds the section of a path.
    pub(crate) fn find(key: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.key == key)
    }
}

/// Renders the list of sections.
pub(crate) fn overview(frame: &Frame, document: &Value) -> Markup {
    frame.page(
        "Configuration",
        html! {
            table {
                tr { th { "part" } th { "number" } }
                @for section in Section::ALL {
                    tr {
                        td { a href={ "/config/" (section.key) } { (section.key) } }
                        td { (document[section.key].as_object().map_or(0, Map::len)) }
                    }
                }
                tr { td { a href="/config/policy" { "policy" } } td { "1" } }
            }
        },
    )
}

/// Renders the values of one section.
pub(crate) fn section(
    frame: &Frame,
    section: Section,
    schema: &Schema,
    document: &Value,
) -> Markup {
    let node = &schema.definitions()[section.definition];
    let columns: Vec<&String> =
        node["properties"].as_object().into_iter().flat_map(Map::keys).collect();
    let items = document[section.key].as_object();
    frame.page(
        section.key,
        html! {
            table {
                tr { th { "name" } @for column in &columns { th { (column) } } }
                @for (name, item) in items.into_iter().flatten() {
                    tr {
                        td { a href={ "/config/" (section.key) "/" (name) } { (name) } }
                        @for column in &columns { td { (cell(&item[column.as_str()])) } }
                    }
                }
            }
            p { a href={ "/config/" (section.key) "/+new" } { "Add a " (section.one) } }
        },
    )
}

/// Returns a value in as few characters as tell it; hashes are cut.
fn cell(value: &Value) -> String {
    match value {
        Value::String(text) if text.len() == 64 => {
            format!("{}...", text.chars().take(8).collect::<String>())
        }
        Value::Object(map) => {
            let parts = map.iter().map(|(key, value)| format!("{key} {value}"));
            parts.collect::<Vec<_>>().join(", ")
        }
        other => super::home::plain(other),
    }
}
