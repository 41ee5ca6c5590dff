use std::fmt::Write as _;

/// Type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Value that only grows; its exported name ends in `_total`.
    Counter,
    /// Current value.
    Gauge,
    /// Distribution of durations in seconds; its exported name ends in `_seconds`.
    Histogram,
}

/// Description of a metric, from which the instrument and its row in `docs/METRICS.md` are created.
#[derive(Debug, Clone, Copy)]
pub struct Description {
    /// Name without the prefix and the suffix of the exported name.
    pub name: &'static str,
    /// Type of the metric.
    pub kind: Kind,
    /// Names of the labels, separated by commas.
    pub labels: &'static str,
    /// What the metric measures, and which values need attention.
    pub meaning: &'static str,
}

impl Description {
    const fn new(
        name: &'static str,
        kind: Kind,
        labels: &'static str,
        meaning: &'static str,
    ) -> Self {
        Self { name, kind, labels, meaning }
    }

    /// Returns the name under which the metric is exported.
    pub fn exported(&self) -> String {
        match self.kind {
            Kind::Counter => format!("geraniumpost_{}_total", self.name),
            Kind::Gauge => format!("geraniumpost_{}", self.name),
            Kind::Histogram => format!("geraniumpost_{}_seconds", self.name),
        }
    }

    /// Renders all metrics as the rows of a Markdown table.
    pub fn table() -> String {
        let mut text =
            "| metric | kind | labels | what it tells |\n| --- | --- | --- | --- |\n".to_owned();
        for item in DESCRIPTIONS {
            let kind = format!("{:?}", item.kind).to_lowercase();
            let labels = item.labels.replace(", ", "`, `");
            let labels = if labels.is_empty() { String::new() } else { format!("`{labels}`") };
            let _ =
                writeln!(text, "| `{}` | {kind} | {labels} | {} |", item.exported(), item.meaning);
        }
        text
    }
}

/// All metrics, in the order of `docs/METRICS.md`.
pub const DESCRIPTIONS: &[Description] = &[
    Description::new(
        "requests",
        Kind::Counter,
        "service, customer",
        "Requests of callers, admitted or refused.",
    ),
    Description::new(
        "outcomes",
        Kind::Counter,
        "service, code",
        "Final answers by result code; see `docs/RESULT_CODES.md`.",
    ),
    Description::new(
        "request_duration",
        Kind::Histogram,
        "service",
        "Time from a request's arrival to its answer.",
    ),
    Description::new("in_flight", Kind::Gauge, "", "Attempts in flight to agents."),
    Description::new(
        "retries",
        Kind::Counter,
        "why",
        "Attempts after the first; a steady rise indicates failing agents.",
    ),
    Description::new(
        "ejections",
        Kind::Counter,
        "domain",
        "Ejections of agents from routing because they failed or were slow.",
    ),
    Description::new(
        "heartbeats",
        Kind::Counter,
        "from",
        "Heartbeats received, from `agent` or `entry`.",
    ),
    Description::new(
        "agents",
        Kind::Gauge,
        "state",
        "Known agents in state `ready`, `draining`, `ejected` or `disconnected`.",
    ),
    Description::new(
        "store_calls",
        Kind::Counter,
        "operation, result",
        "Calls to the key-value service; after a `lost` reply the value is read to learn the outcome.",
    ),
    Description::new(
        "store_call_duration",
        Kind::Histogram,
        "operation",
        "Duration of calls to the key-value service.",
    ),
    Description::new("store_up", Kind::Gauge, "", "1 if the last store call succeeded, else 0."),
    Description::new(
        "config_revision",
        Kind::Gauge,
        "",
        "Revision of the configuration in force; must be equal everywhere within seconds.",
    ),
    Description::new(
        "config_age_seconds",
        Kind::Gauge,
        "",
        "Time since the configuration in force was last known to be the newest.",
    ),
    Description::new(
        "config_reads",
        Kind::Counter,
        "result",
        "Reads of the configuration by result: a document that was `adopted`, already `known` or `unusable`, or a `failed` read.",
    ),
    Description::new("config_bytes", Kind::Counter, "", "Bytes of configuration documents read."),
    Description::new(
        "planner_term",
        Kind::Gauge,
        "",
        "Term of the planner lease held by this entry, 0 if it does not plan.",
    ),
    Description::new(
        "jobs",
        Kind::Gauge,
        "state",
        "Jobs of the region by state, reported by the planning entry.",
    ),
    Description::new(
        "lease_supporters",
        Kind::Gauge,
        "",
        "Other entries that support this one as the coordinator; if they form a majority together with it, it may extend leases without the store.",
    ),
    Description::new(
        "standing_task_wait_seconds",
        Kind::Gauge,
        "",
        "Longest time for which a persistent task has been down, 0 if none is down or this entry does not coordinate.",
    ),
    Description::new(
        "other_task_wait_seconds",
        Kind::Gauge,
        "",
        "Longest wait of any other task for a placement, counted from the last placement of a task of its step, 0 if none waits or this entry does not coordinate.",
    ),
    Description::new(
        "evacuated_domains",
        Kind::Gauge,
        "",
        "Failure domains that operators have evacuated, 0 if this entry does not coordinate jobs.",
    ),
    Description::new(
        "evacuations_age_seconds",
        Kind::Gauge,
        "",
        "Age of the latest reading of the evacuated failure domains; nothing is started once it is too old, which `event=evacuations_unknown` reports.",
    ),
    Description::new(
        "withheld_starts",
        Kind::Counter,
        "why",
        "Starts that were not ordered: `evacuated` if the failure domain had been evacuated since the placement, `unknown` if it was not known whether the domain is evacuated.",
    ),
    Description::new(
        "store_not_committing",
        Kind::Gauge,
        "",
        "1 while this entry coordinates and refuses new jobs because the store does not commit, else 0.",
    ),
    Description::new(
        "refused_submissions",
        Kind::Counter,
        "why",
        "Jobs refused with `--enable admission`: `not_stored` at once because the store does not commit, `withdrawn` after they were held in memory meanwhile, `no_time` by an entry whose caller could not hear of the answer.",
    ),
    Description::new(
        "preemptions",
        Kind::Counter,
        "why",
        "Runs stopped for more urgent tasks: `past_value` if their job had no value any more, `stands_still` if they were suspended, `best_effort` or `lower_priority` if their queue has a lower priority.",
    ),
    Description::new(
        "queue_share_percent",
        Kind::Gauge,
        "queue",
        "Share of its service's capacity that a queue holds, for queues with a weight; 0 if this entry does not coordinate.",
    ),
    Description::new(
        "copies",
        Kind::Counter,
        "result",
        "Second copies of slow runs that were `started`, that completed their task (`won`), that took the place of a lost or failed run (`promoted`), or that were of no use (`wasted`).",
    ),
    Description::new(
        "quarantines",
        Kind::Counter,
        "",
        "Quarantines of minions that probably fail their runs, with the feature `stragglers`.",
    ),
    Description::new(
        "steps_over_disturbance_budget",
        Kind::Gauge,
        "",
        "Serving steps of which best-effort tasks disturb more tasks than allowed, 0 if this entry does not coordinate or `disturbance-budget` is off.",
    ),
    Description::new(
        "disturbed_task_milliseconds",
        Kind::Counter,
        "",
        "Time for which serving tasks were over their latency bound beside best-effort tasks, summed over tasks.",
    ),
    Description::new(
        "trials",
        Kind::Counter,
        "",
        "Trials of a best-effort image beside a serving step that it was not known with.",
    ),
    Description::new("placements", Kind::Counter, "class", "Tasks placed on a worker."),
    Description::new("evictions", Kind::Counter, "why", "Tasks evicted from their worker."),
    Description::new(
        "dropped",
        Kind::Counter,
        "what, why",
        "Datagrams, links, frames, late answers and log lines dropped; `wrong_key` means that the sender does not have the shared key.",
    ),
];
