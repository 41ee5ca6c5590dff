//! Tests of the metrics of the waits of tasks.

use std::time::Duration;

use geraniumpost::metrics::Metrics;

fn assert_exported(metrics: &Metrics, standing: &str, others: &str) {
    let text = metrics.render().unwrap();
    for line in [
        format!("geraniumpost_standing_task_wait_seconds {standing}"),
        format!("geraniumpost_other_task_wait_seconds {others}"),
    ] {
        assert!(text.lines().any(|exported| exported == line), "no {line} in\n{text}");
    }
}

/// An entry that has never coordinated must export 0, because an alert on a missing metric would
/// never fire or always fire.
#[test]
fn waits_are_zero_before_any_term() {
    assert_exported(&Metrics::new().unwrap(), "0", "0");
}

#[test]
fn waits_are_exported_in_seconds_and_can_decrease() {
    let metrics = Metrics::new().unwrap();
    metrics.longest_wait(Duration::from_millis(12_490), Duration::from_millis(500));
    assert_exported(&metrics, "12.49", "0.5");
    metrics.longest_wait(Duration::ZERO, Duration::ZERO);
    assert_exported(&metrics, "0", "0");
}
