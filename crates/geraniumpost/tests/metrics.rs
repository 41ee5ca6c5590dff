//! Tests of the exported metrics.

use std::time::Duration;

use geraniumpost::metrics::{DESCRIPTIONS, Metrics};

fn all_recorded() -> Metrics {
    let metrics = Metrics::new().unwrap();
    metrics.request("filing", "claro");
    metrics.outcome("filing", 2000, Duration::from_millis(3));
    metrics.in_flight(2);
    metrics.retry("refused");
    metrics.ejection("surco");
    metrics.heartbeat("agent");
    metrics.agents("ready", 11);
    metrics.store_call("get", "ok", Duration::from_millis(2));
    metrics.store_up(true);
    metrics.config_revision(7);
    metrics.config_age(Duration::from_millis(400));
    metrics.config_read("adopted", 5_000);
    metrics.planner_term(3);
    metrics.jobs("running", 4);
    metrics.withheld_starts("evacuated", 2);
    metrics.store_not_committing(true);
    metrics.refused_submissions("not_stored", 1);
    metrics.preemptions("past_value", 1);
    metrics.queue_share("checks", 0.5);
    metrics.copies("started", 1);
    metrics.quarantines(1);
    metrics.steps_over_disturbance_budget(1);
    metrics.disturbance(400, 1);
    metrics.placement("study");
    metrics.eviction("harm");
    metrics.dropped("datagram", "unproved", 1);
    metrics
}

/// Guards against a documented metric that is not exported, and an exported one that is not
/// documented.
#[test]
fn every_described_metric_is_exported() {
    let text = all_recorded().render().unwrap();
    for item in DESCRIPTIONS {
        let head = format!("# HELP {} {}", item.exported(), item.meaning);
        assert!(text.contains(&head), "{} is missing in\n{text}", item.exported());
    }
    assert_eq!(text.matches("# HELP ").count(), DESCRIPTIONS.len(), "{text}");
}

#[test]
fn labels_and_values_are_exported() {
    let text = all_recorded().render().unwrap();
    assert!(
        text.contains("geraniumpost_outcomes_total{code=\"2000\",service=\"filing\"} 1"),
        "{text}"
    );
    assert!(text.contains("geraniumpost_config_revision 7"), "{text}");
    assert!(text.contains("geraniumpost_config_age_seconds 0.4"), "{text}");
    assert!(text.contains("geraniumpost_config_bytes_total 5000"), "{text}");
    assert!(
        text.contains(
            "geraniumpost_request_duration_seconds_bucket{service=\"filing\",le=\"0.005\"} 1"
        ),
        "{text}"
    );
}

#[test]
fn instances_do_not_share_metrics() {
    let (one, other) = (Metrics::new().unwrap(), Metrics::new().unwrap());
    one.config_revision(1);
    assert!(!other.render().unwrap().contains("config_revision 1"));
}
