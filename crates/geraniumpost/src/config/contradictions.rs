use std::sync::Arc;

use geraniumpost_config::Report;
use geraniumpost_schema::Document;

use super::ConfigCell;

/// Logs every way in which the settings of this process contradict each revision put in force.
///
/// Settings and document change by different hands. A domain that the document does not know, or a
/// service that is not in it, leaves a process idle without any failure; without the line in the
/// log an operator would look for the cause elsewhere. Ends when the active is dropped.
pub async fn log_contradictions(
    active: Arc<ConfigCell>,
    check: impl Fn(&Document) -> Result<(), Report>,
) {
    let mut revisions = active.subscribe();
    let weak = Arc::downgrade(&active);
    drop(active);
    // A revision put in force before this task ran counts as well.
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
