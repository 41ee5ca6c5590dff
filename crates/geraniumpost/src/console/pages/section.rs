use geraniumpost_config::Schema;
use maud::{Markup, html};
use serde_json::{Map, Value};

use super::Layout;

/// Section of the document that contains named values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Section {
    /// Key in the document, also a segment of the page's path.
    pub(crate) key: &'static str,
    /// Name of the definition of a value in the schema.
    pub(crate) definition: &'static str,
    /// Singular noun for a value in texts.
    pub(crate) singular: &'static str,
}

impl Section {
    /// All sections, in the order of the overview page.
    const ALL: [Self; 5] = [
        Self { key: "customers", definition: "Customer", singular: "customer" },
        Self { key: "services", definition: "Service", singular: "service" },
        Self { key: "classes", definition: "JobClass", singular: "job class" },
        Self { key: "domains", definition: "Domain", singular: "failure domain" },
        Self { key: "operators", definition: "Operator", singular: "operator" },
    ];

    /// Returns the section with the given key.
    pub(crate) fn find(key: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.key == key)
    }
}

/// Renders the list of sections.
pub(crate) fn overview(layout: &Layout, document: &Value) -> Markup {
    layout.page(
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
    layout: &Layout,
    section: Section,
    schema: &Schema,
    document: &Value,
) -> Markup {
    let node = &schema.definitions()[section.definition];
    let columns: Vec<&String> =
        node["properties"].as_object().into_iter().flat_map(Map::keys).collect();
    let items = document[section.key].as_object();
    layout.page(
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
            p { a href={ "/config/" (section.key) "/+new" } { "Add a " (section.singular) } }
        },
    )
}

/// Renders a value briefly. Digests are shortened.
fn cell(value: &Value) -> String {
    match value {
        Value::String(text) if text.len() == 64 => {
            format!("{}...", text.chars().take(8).collect::<String>())
        }
        Value::Object(map) => {
            let parts = map.iter().map(|(key, value)| format!("{key} {value}"));
            parts.collect::<Vec<_>>().join(", ")
        }
        other => super::home::render(other),
    }
}
