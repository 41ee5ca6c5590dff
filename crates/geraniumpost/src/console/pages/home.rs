use maud::{Markup, html};
use serde_json::Value;

use super::Layout;

/// Renders the state of the entry, and the revision in force on each known process.
pub(crate) fn home(layout: &Layout, status: &Value, in_force: &Value) -> Markup {
    let processes = in_force["processes"].as_array().map_or(&[][..], Vec::as_slice);
    let differing = processes.iter().filter(|p| p["revision"].as_u64() != Some(layout.revision));
    let differing = differing.count();
    layout.page(
        "Status",
        html! {
            h2 { "Configuration in force" }
            @if differing == 0 {
                p { "All " (processes.len()) " known processes have revision " (layout.revision) " in force." }
            } @else {
                p class="note" {
                    (differing) " of " (processes.len()) " known processes have another revision in force."
                }
            }
            table {
                tr { th { "process" } th { "role" } th { "revision" } }
                @for process in processes {
                    tr {
                        td { (render(&process["name"])) }
                        td { (render(&process["role"])) }
                        td { (render(&process["revision"])) }
                    }
                }
            }
            h2 { "State" }
            pre { (format!("{:#}", status["state"])) }
        },
    )
}

/// Renders a JSON value as text without quotes, `null` as empty text.
pub(super) fn render(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
