use std::sync::Arc;

use geraniumpost_config::Report;
use geraniumpost_schema::Document;

use super::ConfigCell;

/// Logs each contradiction between the settings of this process and a revision put in force.
///
/// Settings and document are changed independently. If the document lacks a process's failure
/// domain or service, the process stays idle without any failure. The log line tells the operator
/// the cause. Ends when all other references to `active` are dropped.
pub async fn log_contradictions(
    active: Arc<ConfigCell>,
    check: impl Fn(&Document) -> Result<(), Report>,
) {
    let mut revisions = active.subscribe();
    let weak = Arc::downgrade(&active);
    drop(active);
    // A revision may have been put in force before this task started.
    revisions.mark_changed();
    while revisions.changed().await.is_ok() {
        let Some(active) = weak.upgrade() else { return };
        let now = active.load_full();
        if now.revision() == 0 {
            continue;
        }
        if let Err(report) = check(now.document()) {
            let revision = now.revision();
            for problem in &report.problems {
                spdlog::error!("settings contradict configuration {revision}: {problem}");
            }
        }
    }
}
