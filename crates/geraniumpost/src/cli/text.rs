//! Answers of the operators' API as text for people; pure functions.

use std::fmt::Write as _;

use serde_json::Value;

/// Columns of the list of jobs.
const JOB_COLUMNS: [&str; 5] = ["id", "customer", "class", "state", "worker"];

/// Renders a refusal with all that the entry says about it.
pub(super) fn error(status: u16, body: &Value) -> String {
    let Some(code) = body["code"].as_u64() else {
        return format!("error: HTTP {status}: {}\n", one_line(&plain(body)));
    };
    let mut text = format!("error {code}: {}\n", plain(&body["message"]));
    let _ = writeln!(text, "{}", plain(&body["advice"]));
    for problem in items(&body["details"]["problems"]) {
        let (line, path) = (plain(&problem["line"]), plain(&problem["path"]));
        let what = format!("{} {}", plain(&problem["message"]), plain(&problem["advice"]));
        let _ = writeln!(text, "  line {line}: error {}: {path}: {what}", plain(&problem["code"]));
    }
    for change in items(&body["details"]["changes"]) {
        let paths: Vec<String> = items(&change["paths"]).iter().map(plain).collect();
        let (who, id) = (plain(&change["changed_by"]), plain(&change["change_id"]));
        let _ = writeln!(text, "  {who} changed {} (change {id})", paths.join(", "));
    }
    text
}

/// Renders an entry's status.
pub(super) fn status(status: &Value, in_force: &Value) -> String {
    let mut text = format!(
        "entry {}, version {}, configuration revision {}\n",
        plain(&status["entry"]),
        plain(&status["version"]),
        plain(&status["revision"]),
    );
    text += &table_of(&status["state"]);
    let processes = items(&in_force["processes"]);
    let behind = processes.iter().filter(|process| process["revision"] != in_force["revision"]);
    let _ = writeln!(text, "in force on {} processes, {} differ:", processes.len(), behind.count());
    for process in processes {
        let (role, name) = (plain(&process["role"]), plain(&process["name"]));
        let _ = writeln!(text, "  {role:6} {name:24} {}", plain(&process["revision"]));
    }
    text
}

/// Returns the names of the processes that have a lower revision in force.
pub(super) fn behind(in_force: &Value, revision: u64) -> Vec<String> {
    let processes = items(&in_force["processes"]).iter();
    let late = processes.filter(|process| process["revision"].as_u64().unwrap_or(0) < revision);
    late.map(|process| plain(&process["name"])).collect()
}

/// Renders the list of jobs.
pub(super) fn jobs(list: &Value) -> String {
    let rows = if list.is_array() { items(list) } else { items(&list["jobs"]) };
    let mut text = row(&JOB_COLUMNS.map(str::to_owned));
    for job in rows {
        text += &row(&JOB_COLUMNS.map(|column| plain(&job[column])));
    }
    text
}

/// Renders a table of keys and values; tables within are indented.
pub(super) fn table_of(value: &Value) -> String {
    let mut text = String::new();
    write_table(value, 0, &mut text);
    text
}

/// Returns a value as a person reads it.
pub(super) fn plain(value: &Value) -> String {
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
                    let _ = writeln!(text, "{indent}{key}: {}", one_line(&plain(value)));
                }
            }
        }
        Value::Array(items) => {
            for item in items {
                if item.is_object() {
                    let _ = writeln!(text, "{indent}-");
                    write_table(item, depth + 1, text);
                } else {
                    let _ = writeln!(text, "{indent}- {}", one_line(&plain(item)));
                }
            }
        }
        other => {
            let _ = writeln!(text, "{indent}{}", one_line(&plain(other)));
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

/// Escapes control characters, so that a job's result cannot play tricks on a terminal.
fn one_line(text: &str) -> String {
    crate::logs::OneLine(text).to_string()
}
