use std::time::Duration;

use hdrhistogram::Histogram;

/// Latencies of one customer's requests and the number of requests that were not answered.
#[derive(Debug, Clone)]
pub struct LatencyFigures {
    latencies: Histogram<u64>,
    refused: u64,
    late: u64,
    period: Duration,
}

impl LatencyFigures {
    /// Creates empty figures.
    pub fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds are in order");
        Self { latencies, refused: 0, late: 0, period: Duration::ZERO }
    }

    /// Counts a complete answer that was received `took` after the request was due.
    pub fn record_answer(&mut self, took: Duration, deadline: Duration) {
        self.latencies.saturating_record((took.as_micros() as u64).max(1));
        self.late += u64::from(took > deadline);
    }

    /// Counts a request without a complete answer.
    pub const fn record_refusal(&mut self) {
        self.refused += 1;
    }

    /// Sets the period in which requests were due.
    pub const fn period(mut self, period: Duration) -> Self {
        self.period = period;
        self
    }

    /// Returns a quantile in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the number of requests answered.
    pub fn answered_count(&self) -> u64 {
        self.latencies.len()
    }

    /// Returns the number of answers within their deadline per second.
    pub fn goodput(&self) -> f64 {
        (self.answered_count() - self.late) as f64 / self.period.as_secs_f64()
    }

    /// Renders one row of the table.
    pub fn row(&self, name: &str) -> String {
        format!(
            "| {name} | {} | {} | {:.0} | {:.3} | {:.3} | {:.3} | {:.3} |",
            self.answered_count(),
            self.refused,
            self.goodput(),
            self.quantile_ms(0.5),
            self.quantile_ms(0.99),
            self.quantile_ms(0.999),
            self.latencies.max() as f64 / 1000.0
        )
    }

    /// Renders the header of the table.
    pub fn header() -> String {
        "| what | answered | refused | goodput/s | median ms | p99 ms | p99.9 ms | max ms |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |"
            .to_owned()
    }

    /// Renders the distribution as a bar chart with one bar for each power of two.
    pub fn bar_chart(&self) -> String {
        let rows = self.latencies.iter_log(125, 2.0).map(|step| {
            let share =
                step.count_since_last_iteration() as f64 / self.answered_count().max(1) as f64;
            let bar = "#".repeat((share * 60.0).round() as usize);
            let upper = step.value_iterated_to() as f64 / 1000.0;
            format!("    <= {upper:>9.3} ms {share:>7.2}% {bar}", share = share * 100.0)
        });
        rows.collect::<Vec<_>>().join("\n")
    }
}
