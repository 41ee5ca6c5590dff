//! Pure functions that render answers of the operators' API as text.

use std::fmt::Write as _;

use serde_json::Value;

/// Keys of a job that are the columns of the list of jobs.
const JOB_COLUMNS: [&str; 5] = ["id", "customer", "class", "state", "worker"];

/// Renders a refusal with its message, advice and details.
pub(super) fn error(status: u16, body: &Value) -> String {
    let Some(code) = body["code"].as_u64() else {
        return format!("error: HTTP {status}: {}\n", one_line(&render(body)));
    };
    let mut text = format!("error {code}: {}\n", render(&body["message"]));
    let _ = writeln!(text, "{}", render(&body["advice"]));
    for problem in items(&body["details"]["problems"]) {
        let (line, path) = (render(&problem["line"]), render(&problem["path"]));
        let what = format!("{} {}", render(&problem["message"]), render(&problem["advice"]));
        let _ = writeln!(text, "  line {line}: error {}: {path}: {what}", render(&problem["code"]));
    }
    for change in items(&body["details"]["changes"]) {
        let paths: Vec<String> = items(&change["paths"]).iter().map(render).collect();
        let (who, id) = (render(&change["changed_by"]), render(&change["change_id"]));
        let _ = writeln!(text, "  {who} changed {} (change {id})", paths.join(", "));
    }
    text
}

/// Renders an entry's status.
pub(super) fn status(status: &Value, in_force: &Value) -> String {
    let mut text = format!(
        "entry {}, version {}, configuration revision {}\n",
        render(&status["entry"]),
        render(&status["version"]),
        render(&status["revision"]),
    );
    text += &table_of(&status["state"]);
    let processes = items(&in_force["processes"]);
    let differing = processes.iter().filter(|process| process["revision"] != in_force["revision"]);
    let _ =
        writeln!(text, "in force on {} processes, {} differ:", processes.len(), differing.count());
    for process in processes {
        let (role, name) = (render(&process["role"]), render(&process["name"]));
        let _ = writeln!(text, "  {role:6} {name:24} {}", render(&process["revision"]));
    }
    text
}

/// Returns the names of the processes that have a lower revision than `revision` in force.
pub(super) fn outdated_processes(in_force: &Value, revision: u64) -> Vec<String> {
    let processes = items(&in_force["processes"]).iter();
    let late = processes.filter(|process| process["revision"].as_u64().unwrap_or(0) < revision);
    late.map(|process| render(&process["name"])).collect()
}

/// Renders the list of jobs.
pub(super) fn jobs(list: &Value) -> String {
    let rows = if list.is_array() { items(list) } else { items(&list["jobs"]) };
    let mut text = row(&JOB_COLUMNS.map(str::to_owned));
    for job in rows {
        text += &row(&JOB_COLUMNS.map(|column| render(&job[column])));
    }
    text
}

/// Renders a JSON object as lines of keys and values. Nested objects are indented.
pub(super) fn table_of(value: &Value) -> String {
    let mut text = String::new();
    write_table(value, 0, &mut text);
    text
}

/// Renders a JSON value as text without quotes, `null` as `-`.
pub(super) fn render(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn write_table(value: &Value, depth: usize, text: &mut String) {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                if value.is_object() || value.as_array().is_some_and(|items| !items.is_empty()) {
                    let _ = writeln!(text, "{indent}{key}:");
                    write_table(value, depth + 1, text);
                } else {
                    let _ = writeln!(text, "{indent}{key}: {}", one_line(&render(value)));
                }
            }
        }
        Value::Array(items) => {
            for item in items {
                if item.is_object() {
                    let _ = writeln!(text, "{indent}-");
                    write_table(item, depth + 1, text);
                } else {
                    let _ = writeln!(text, "{indent}- {}", one_line(&render(item)));
                }
            }
        }
        other => {
            let _ = writeln!(text, "{indent}{}", one_line(&render(other)));
        }
    }
}

fn row(cells: &[String; 5]) -> String {
    let [id, customer, class, state, worker] = cells;
    format!("{id:24} {customer:16} {class:12} {state:12} {worker}\n")
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Escapes control characters, so that a job's result cannot send escape sequences to a terminal.
fn one_line(text: &str) -> String {
    crate::logs::OneLine(text).to_string()
}
