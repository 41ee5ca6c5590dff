use maud::{Markup, html};
use serde_json::Value;

use super::Layout;
use super::home::render;

/// Renders the list of jobs and the form for submitting a job.
pub(crate) fn jobs(layout: &Layout, list: &Value, document: &Value) -> Markup {
    let rows = list.as_array().or_else(|| list["jobs"].as_array());
    let choices = |key: &str| -> Vec<String> {
        document[key].as_object().into_iter().flatten().map(|(name, _)| name.clone()).collect()
    };
    layout.page(
        "Jobs",
        html! {
            table {
                tr { th { "job" } th { "customer" } th { "class" } th { "state" } th { "worker" } }
                @for job in rows.into_iter().flatten() {
                    tr {
                        td { a href={ "/jobs/" (render(&job["id"])) } { (render(&job["id"])) } }
                        td { (render(&job["customer"])) }
                        td { (render(&job["class"])) }
                        td { (render(&job["state"])) }
                        td { (render(&job["worker"])) }
                    }
                }
            }
            h2 { "Submit a job" }
            form method="post" action="/jobs" {
                (layout.hidden("", layout.revision))
                label for="id" { "id" }
                input id="id" name="id" required;
                small { "Submitting the same job with the same id again has no effect." }
                (select("customer", &choices("customers")))
                (select("class", &choices("classes")))
                (number("milli_cpus", "Processors to reserve, in thousandths of one."))
                (number("memory_mb", "Memory to reserve, in mebibytes."))
                (number("accelerators", "Number of accelerators to reserve. Default: 0."))
                label for="command" { "command" }
                input id="command" name="command" size="70" required;
                button { "Submit" }
            }
        },
    )
}

/// Renders a job and the explanation of its state.
pub(crate) fn job(layout: &Layout, id: &str, status: &Value, explain: &Value) -> Markup {
    layout.page(
        &format!("Job {id}"),
        html! {
            table {
                @for (key, value) in status.as_object().into_iter().flatten() {
                    tr { th { (key) } td { (render(value)) } }
                }
            }
            h2 { "Explanation" }
            pre { (format!("{explain:#}")) }
            form method="post" action={ "/jobs/" (id) "/cancel" } {
                (layout.hidden("", layout.revision))
                button { "Cancel the job" }
            }
        },
    )
}

fn select(name: &str, choices: &[String]) -> Markup {
    html! {
        label for=(name) { (name) }
        select id=(name) name=(name) {
            @for choice in choices { option value=(choice) { (choice) } }
        }
    }
}

fn number(name: &str, meaning: &str) -> Markup {
    html! {
        label for=(name) { (name) }
        input id=(name) name=(name) inputmode="numeric";
        small { (meaning) }
    }
}
