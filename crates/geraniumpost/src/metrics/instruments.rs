use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use geraniumpost_outside::Store;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};

use super::description::{DESCRIPTIONS, Description};
use crate::logs;

/// Bucket bounds of the duration histograms in seconds, closest together near the latency targets.
const BUCKET_BOUNDS_S: [f64; 16] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 30.0];

/// Instruments of a process and their exporter.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    // Instruments record nothing after their provider is dropped.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    outcomes: Counter<u64>,
    request_duration: Histogram<f64>,
    in_flight: Gauge<u64>,
    retries: Counter<u64>,
    ejections: Counter<u64>,
    heartbeats: Counter<u64>,
    agents: Gauge<u64>,
    store_calls: Counter<u64>,
    store_call_duration: Histogram<f64>,
    store_up: Gauge<u64>,
    config_revision: Gauge<u64>,
    config_age: Gauge<f64>,
    config_reads: Counter<u64>,
    config_bytes: Counter<u64>,
    planner_term: Gauge<u64>,
    jobs: Gauge<u64>,
    lease_supporters: Gauge<u64>,
    persistent_task_wait: Gauge<f64>,
    other_task_wait: Gauge<f64>,
    evacuated_domains: Gauge<u64>,
    evacuations_age: Gauge<f64>,
    withheld_starts: Counter<u64>,
    store_not_committing: Gauge<u64>,
    refused_submissions: Counter<u64>,
    preemptions: Counter<u64>,
    queue_share_percent: Gauge<u64>,
    copies: Counter<u64>,
    quarantines: Counter<u64>,
    steps_over_disturbance_budget: Gauge<u64>,
    disturbed_task_milliseconds: Counter<u64>,
    trials: Counter<u64>,
    placements: Counter<u64>,
    evictions: Counter<u64>,
    dropped: Counter<u64>,
    reported_log_drops: AtomicU64,
}

impl Metrics {
    /// Creates the instruments and their exporter.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("geraniumpost")
            .without_scope_info()
            .without_target_info()
            .build()
            .map_err(|error| eyre!("cannot create the metrics exporter: {error}"))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("geraniumpost");
        let metrics = Self {
            requests: counter(&meter, "requests"),
            outcomes: counter(&meter, "outcomes"),
            request_duration: histogram(&meter, "request_duration"),
            in_flight: gauge(&meter, "in_flight"),
            retries: counter(&meter, "retries"),
            ejections: counter(&meter, "ejections"),
            heartbeats: counter(&meter, "heartbeats"),
            agents: gauge(&meter, "agents"),
            store_calls: counter(&meter, "store_calls"),
            store_call_duration: histogram(&meter, "store_call_duration"),
            store_up: gauge(&meter, "store_up"),
            config_revision: gauge(&meter, "config_revision"),
            config_age: seconds(&meter, "config_age_seconds"),
            config_reads: counter(&meter, "config_reads"),
            config_bytes: counter(&meter, "config_bytes"),
            planner_term: gauge(&meter, "planner_term"),
            jobs: gauge(&meter, "jobs"),
            lease_supporters: gauge(&meter, "lease_supporters"),
            persistent_task_wait: seconds(&meter, "standing_task_wait_seconds"),
            other_task_wait: seconds(&meter, "other_task_wait_seconds"),
            evacuated_domains: gauge(&meter, "evacuated_domains"),
            evacuations_age: seconds(&meter, "evacuations_age_seconds"),
            withheld_starts: counter(&meter, "withheld_starts"),
            store_not_committing: gauge(&meter, "store_not_committing"),
            refused_submissions: counter(&meter, "refused_submissions"),
            preemptions: counter(&meter, "preemptions"),
            queue_share_percent: gauge(&meter, "queue_share_percent"),
            copies: counter(&meter, "copies"),
            quarantines: counter(&meter, "quarantines"),
            steps_over_disturbance_budget: gauge(&meter, "steps_over_disturbance_budget"),
            disturbed_task_milliseconds: counter(&meter, "disturbed_task_milliseconds"),
            trials: counter(&meter, "trials"),
            placements: counter(&meter, "placements"),
            evictions: counter(&meter, "evictions"),
            dropped: counter(&meter, "dropped"),
            reported_log_drops: AtomicU64::new(0),
            registry,
            _provider: provider,
        };
        // Alerts on these gauges need a value even if this process never coordinates.
        metrics.longest_wait(Duration::ZERO, Duration::ZERO);
        metrics.lease_supporters(0);
        metrics.evacuations(0, Duration::ZERO);
        metrics.store_not_committing(false);
        Ok(metrics)
    }

    /// Counts a request by its service and customer.
    pub fn request(&self, service: &str, customer: &str) {
        self.requests.add(1, &[label("service", service), label("customer", customer)]);
    }

    /// Counts a final answer and records the time from the request's arrival to it.
    pub fn outcome(&self, service: &str, code: u16, took: Duration) {
        let service = label("service", service);
        self.outcomes.add(1, &[service.clone(), KeyValue::new("code", i64::from(code))]);
        self.request_duration.record(took.as_secs_f64(), &[service]);
    }

    /// Sets the number of requests in flight.
    pub fn in_flight(&self, requests: u64) {
        self.in_flight.record(requests, &[]);
    }

    /// Counts an attempt after the first.
    pub fn retry(&self, why: &str) {
        self.retries.add(1, &[label("why", why)]);
    }

    /// Counts an ejection of an agent of a failure domain.
    pub fn ejection(&self, domain: &str) {
        self.ejections.add(1, &[label("domain", domain)]);
    }

    /// Counts a received heartbeat; `from` is `agent` or `entry`.
    pub fn heartbeat(&self, from: &str) {
        self.heartbeats.add(1, &[label("from", from)]);
    }

    /// Sets the number of agents in `state`.
    pub fn agents(&self, state: &str, count: u64) {
        self.agents.record(count, &[label("state", state)]);
    }

    /// Counts a store call by its result, and records its duration.
    pub fn store_call(&self, operation: &str, result: &str, took: Duration) {
        let operation = label("operation", operation);
        self.store_calls.add(1, &[operation.clone(), label("result", result)]);
        self.store_call_duration.record(took.as_secs_f64(), &[operation]);
    }

    /// Returns the store with an observer that records each of its calls.
    #[must_use]
    pub fn observed(self: &Arc<Self>, store: Store) -> Store {
        let metrics = Arc::clone(self);
        store.observer(move |call| {
            metrics.store_call(call.operation, &call.result.to_string(), call.duration);
            metrics.store_up(call.result.is_healthy());
        })
    }

    /// Sets whether the last store call succeeded.
    pub fn store_up(&self, up: bool) {
        self.store_up.record(u64::from(up), &[]);
    }

    /// Sets the revision of the configuration in force.
    pub fn config_revision(&self, revision: u64) {
        self.config_revision.record(revision, &[]);
    }

    /// Sets the time since the configuration in force was last known to be the newest.
    pub fn config_age(&self, age: Duration) {
        self.config_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts a read of the configuration and the bytes of the document.
    pub fn config_read(&self, result: &str, bytes: usize) {
        self.config_reads.add(1, &[label("result", result)]);
        self.config_bytes.add(bytes as u64, &[]);
    }

    /// Sets the term of the planner lease held by this entry, 0 for none.
    pub fn planner_term(&self, term: u64) {
        self.planner_term.record(term, &[]);
    }

    /// Sets the number of jobs in `state`.
    pub fn jobs(&self, state: &str, count: u64) {
        self.jobs.record(count, &[label("state", state)]);
    }

    /// Sets the longest waits of persistent tasks that are down, and of other tasks.
    pub fn longest_wait(&self, persistent: Duration, others: Duration) {
        self.persistent_task_wait.record(persistent.as_secs_f64(), &[]);
        self.other_task_wait.record(others.as_secs_f64(), &[]);
    }

    /// Sets the number of other entries that support this one as the coordinator.
    pub fn lease_supporters(&self, entries: u64) {
        self.lease_supporters.record(entries, &[]);
    }

    /// Sets the number of evacuated failure domains, and the age of that knowledge.
    pub fn evacuations(&self, domains: u64, age: Duration) {
        self.evacuated_domains.record(domains, &[]);
        self.evacuations_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts starts that were not ordered because of an evacuation.
    pub fn withheld_starts(&self, why: &str, count: u64) {
        self.withheld_starts.add(count, &[label("why", why)]);
    }

    /// Sets whether new jobs are refused because the store does not commit.
    pub fn store_not_committing(&self, refusing: bool) {
        self.store_not_committing.record(u64::from(refusing), &[]);
    }

    /// Counts refused submissions by the reason `why`.
    pub fn refused_submissions(&self, why: &str, count: u64) {
        self.refused_submissions.add(count, &[label("why", why)]);
    }

    /// Counts runs that were stopped for more urgent tasks.
    pub fn preemptions(&self, why: &str, count: u64) {
        self.preemptions.add(count, &[label("why", why)]);
    }

    /// Sets the share of its service's capacity that a queue holds, as a fraction.
    pub fn queue_share(&self, queue: &str, share: f64) {
        let percent = (share * 100.0).round() as u64;
        self.queue_share_percent.record(percent, &[label("queue", queue)]);
    }

    /// Counts second copies of slow runs, by what became of them.
    pub fn copies(&self, result: &str, count: u64) {
        self.copies.add(count, &[label("result", result)]);
    }

    /// Counts quarantines of minions.
    pub fn quarantines(&self, count: u64) {
        self.quarantines.add(count, &[]);
    }

    /// Sets the number of serving steps that are over their disturbance budget.
    pub fn steps_over_disturbance_budget(&self, steps: u64) {
        self.steps_over_disturbance_budget.record(steps, &[]);
    }

    /// Counts time of serving tasks over their bound, in milliseconds, and trials.
    pub fn disturbance(&self, over_bound_ms: u64, trials: u64) {
        self.disturbed_task_milliseconds.add(over_bound_ms, &[]);
        self.trials.add(trials, &[]);
    }

    /// Counts a task placed.
    pub fn placement(&self, class: &str) {
        self.placements.add(1, &[label("class", class)]);
    }

    /// Counts a task evicted.
    pub fn eviction(&self, why: &str) {
        self.evictions.add(1, &[label("why", why)]);
    }

    /// Counts dropped items, such as datagrams, frames or log lines, by the reason `why`.
    pub fn dropped(&self, what: &str, why: &str, count: u64) {
        self.dropped.add(count, &[label("what", what), label("why", why)]);
    }

    /// Renders all metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn render(&self) -> Result<String> {
        self.count_dropped_log_lines(logs::dropped());
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .wrap_err("cannot encode metrics")?;
        String::from_utf8(buf).wrap_err("cannot encode metrics")
    }

    /// Counts the log lines dropped since the last call. The logger itself has no access to the
    /// metrics.
    fn count_dropped_log_lines(&self, total: u64) {
        let before = self.reported_log_drops.fetch_max(total, Ordering::Relaxed);
        if total > before {
            self.dropped("log", "queue_full", total - before);
        }
    }
}

fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_owned())
}

fn meaning(name: &str) -> &'static str {
    let described = DESCRIPTIONS.iter().find(|item| item.name == name);
    described.map_or("", |item: &Description| item.meaning)
}

fn counter(meter: &Meter, name: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(meaning(name)).build()
}

fn gauge(meter: &Meter, name: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(meaning(name)).build()
}

fn seconds(meter: &Meter, name: &'static str) -> Gauge<f64> {
    meter.f64_gauge(name).with_description(meaning(name)).build()
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(meaning(name))
        .with_unit("s")
        .with_boundaries(BUCKET_BOUNDS_S.to_vec())
        .build()
}
