//! The waits of tasks as the metrics page tells them.

use std::time::Duration;

use geraniumpost::metrics::Metrics;

fn assert_shown(metrics: &Metrics, standing: &str, others: &str) {
    let text = metrics.render().unwrap();
    for line in [
        format!("geraniumpost_standing_task_wait_seconds {standing}"),
        format!("geraniumpost_other_task_wait_seconds {others}"),
    ] {
        assert!(text.lines().any(|shown| shown == line), "no {line} in\n{text}");
    }
}

/// An entry that never coordinated shows 0; without a figure an alarm would be silent or ring.
#[test]
fn waits_are_zero_before_any_term() {
    assert_shown(&Metrics::new().unwrap(), "0", "0");
}

#[test]
fn waits_are_shown_in_seconds_and_fall_back() {
    let metrics = Metrics::new().unwrap();
    metrics.longest_wait(Duration::from_millis(12_490), Duration::from_millis(500));
    assert_shown(&metrics, "12.49", "0.5");
    metrics.longest_wait(Duration::ZERO, Duration::ZERO);
    assert_shown(&metrics, "0", "0");
}
