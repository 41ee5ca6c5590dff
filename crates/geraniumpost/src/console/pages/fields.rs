use geraniumpost_config::{Problem, Schema};
use maud::{Markup, html};
use serde_json::Value;

use super::home::render;

/// Renders the fields of a form from the schema.
#[derive(Debug, Clone, Copy)]
pub(super) struct FormFields<'a> {
    pub(super) schema: &'a Schema,
    /// Problems of the last submission, shown next to their fields.
    pub(super) problems: &'a [Problem],
    /// Path of the form's value in the document.
    pub(super) path: &'a str,
}

impl FormFields<'_> {
    /// Renders the fields of an object. Their names begin with `prefix`.
    pub(super) fn table(&self, node: &Value, value: &Value, prefix: &str) -> Markup {
        let properties = node["properties"].as_object();
        html! {
            @for (key, node) in properties.into_iter().flatten() {
                (self.field(&format!("{prefix}{key}"), node, &value[key.as_str()]))
            }
        }
    }

    fn field(&self, name: &str, node: &Value, value: &Value) -> Markup {
        let inner = self.schema.resolve(node);
        let meaning = node["description"].as_str().unwrap_or_default();
        if inner["type"] == "object" {
            return html! {
                fieldset {
                    legend { (name) }
                    small { (meaning) }
                    (self.table(inner, value, &format!("{name}.")))
                }
            };
        }
        let default = node.get("default").unwrap_or(&Value::Null);
        html! {
            label for=(name) { (name) }
            (input(name, inner, default, value))
            small {
                (meaning) " " (range(inner))
                @if !default.is_null() { " Default: " (render(default)) "." }
            }
            @for problem in self.problems_at(name) {
                small class="problem" {
                    (problem.message) " " (problem.advice) " (" (problem.code.number()) ")"
                }
            }
            @if name == "token_sha256" { (token_field()) }
        }
    }

    fn problems_at(&self, name: &str) -> impl Iterator<Item = &Problem> {
        let path = format!("{}.{name}", self.path);
        self.problems.iter().filter(move |problem| problem.path == path)
    }
}

fn input(name: &str, node: &Value, default: &Value, value: &Value) -> Markup {
    let shown = if value.is_null() { default } else { value };
    if let Some(choices) = node["enum"].as_array() {
        return html! {
            select id=(name) name=(name) {
                @for choice in choices {
                    option value=(render(choice)) selected[choice == shown] { (render(choice)) }
                }
            }
        };
    }
    match node["type"].as_str() {
        Some("boolean") => html! {
            input id=(name) name=(name) type="checkbox" value="on" checked[shown == &Value::Bool(true)];
        },
        Some("integer") => html! {
            input id=(name) name=(name) type="text" inputmode="numeric" value=(render(value))
                placeholder=(render(default));
        },
        _ => html! {
            input id=(name) name=(name) type="text" size="70" value=(render(value));
        },
    }
}

/// Renders the field for a new token, of which only the digest is stored.
fn token_field() -> Markup {
    html! {
        label for="token" { "or new token" }
        input id="token" name="token" type="password" autocomplete="new-password";
        small { "Only the hash of the token is stored. Keep a copy of the token, which is not shown again." }
    }
}

fn range(node: &Value) -> String {
    match (node["minimum"].as_u64(), node["maximum"].as_u64()) {
        (Some(low), Some(high)) => format!("Range: {low} to {high}."),
        (Some(low), None) => format!("Minimum: {low}."),
        _ => String::new(),
    }
}
