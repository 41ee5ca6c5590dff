use geraniumpost_config::{Problem, Schema};
use maud::{Markup, html};
use serde_json::Value;

use super::fields::FormFields;
use super::{Layout, Section};
use crate::console::ApiError;

/// Form for a value of the document.
#[derive(Debug, Clone, Default)]
pub(crate) struct EditView {
    /// Name of the value, empty for a new one.
    pub(crate) name: String,
    /// The value in the document, or what the operator has entered.
    pub(crate) value: Value,
    /// Problems of the last submission.
    pub(crate) problems: Vec<Problem>,
    /// Why the last submission was rejected, if not because of `problems`.
    pub(crate) error: Option<ApiError>,
    /// Revision of the document that the form changes.
    pub(crate) revision: u64,
    /// Id of the change.
    pub(crate) change_id: String,
    /// Whether the document already contains the value.
    pub(crate) exists: bool,
}

/// Renders the form for a named value.
pub(crate) fn edit(layout: &Layout, section: Section, schema: &Schema, view: &EditView) -> Markup {
    let node = &schema.definitions()[section.definition];
    let path = format!("{}.{}", section.key, view.name);
    let title = if view.exists {
        format!("{} {}", section.singular, view.name)
    } else {
        format!("New {}", section.singular)
    };
    let action = format!("/config/{}", section.key);
    layout.page(
        &title,
        html! {
            (notices(view, &path))
            form method="post" action=(action) {
                (layout.hidden(&view.change_id, view.revision))
                label for="name" { "name" }
                input id="name" name="name" value=(view.name) readonly[view.exists] required;
                (FormFields { schema, problems: &view.problems, path: &path }.table(node, &view.value, ""))
                button { "Save" }
            }
            @if view.exists {
                form method="post" action={ (action) "/" (view.name) "/delete" } {
                    (layout.hidden(&view.change_id, view.revision))
                    button { "Remove " (view.name) }
                }
            }
        },
    )
}

/// Renders the form for the policy.
pub(crate) fn policy(layout: &Layout, schema: &Schema, view: &EditView) -> Markup {
    let node = &schema.definitions()["Policy"];
    layout.page(
        "Policy",
        html! {
            (notices(view, "policy"))
            form method="post" action="/config/policy" {
                (layout.hidden(&view.change_id, view.revision))
                (FormFields { schema, problems: &view.problems, path: "policy" }.table(node, &view.value, ""))
                button { "Save" }
            }
        },
    )
}

/// Renders why the last submission was rejected, and the problems that belong to no field of this
/// form.
fn notices(view: &EditView, path: &str) -> Markup {
    let prefix = format!("{path}.");
    let elsewhere = view.problems.iter().filter(|problem| !problem.path.starts_with(&prefix));
    html! {
        @if let Some(error) = &view.error {
            p class="note" { (error.message) " (" (error.code) ")" }
            (changes(&error.details["changes"]))
            p { "The form below keeps your values. Save it again to apply them to the revision in force." }
        }
        @for problem in elsewhere {
            p class="problem" {
                (problem.path) ": " (problem.message) " " (problem.advice)
                " (" (problem.code.number()) ")"
            }
        }
    }
}

fn changes(changes: &Value) -> Markup {
    let Some(changes) = changes.as_array() else { return html! {} };
    html! {
        table {
            tr { th { "changed by" } th { "change" } th { "changed values" } }
            @for change in changes {
                tr {
                    td { (super::home::render(&change["changed_by"])) }
                    td { (super::home::render(&change["change_id"])) }
                    td {
                        @for path in change["paths"].as_array().into_iter().flatten() {
                            (super::home::render(path)) br;
                        }
                    }
                }
            }
        }
    }
}
