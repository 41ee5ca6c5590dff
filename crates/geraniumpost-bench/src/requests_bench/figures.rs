use std::time::Duration;

use hdrhistogram::Histogram;

/// Latencies of one customer's requests with how many were not answered.
#[derive(Debug, Clone)]
pub struct Figures {
    latencies: Histogram<u64>,
    refused: u64,
    late: u64,
    span: Duration,
}

impl Figures {
    /// Starts with nothing counted.
    pub fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds are in order");
        Self { latencies, refused: 0, late: 0, span: Duration::ZERO }
    }

    /// Counts a whole answer that came `took` after the request was due.
    pub fn answered(&mut self, took: Duration, deadline: Duration) {
        self.latencies.saturating_record((took.as_micros() as u64).max(1));
        self.late += u64::from(took > deadline);
    }

    /// Counts a request without a whole answer.
    pub const fn refused(&mut self) {
        self.refused += 1;
    }

    /// Sets the time over which requests were due.
    pub const fn spanning(mut self, span: Duration) -> Self {
        self.span = span;
        self
    }

    /// Returns a quantile in milliseconds.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the requests answered.
    pub fn count(&self) -> u64 {
        self.latencies.len()
    }

    /// Returns answers within their deadline in a second.
    pub fn goodput(&self) -> f64 {
        (self.count() - self.late) as f64 / self.span.as_secs_f64()
    }

    /// Renders one row of the table.
    pub fn row(&self, name: &str) -> String {
        format!(
            "| {name} | {} | {} | {:.0} | {:.3} | {:.3} | {:.3} | {:.3} |",
            self.count(),
            self.refused,
            self.goodput(),
            self.ms(0.5),
            self.ms(0.99),
            self.ms(0.999),
            self.latencies.max() as f64 / 1000.0
        )
    }

    /// Renders the head of the table.
    pub fn head() -> String {
        "| what | answered | refused | goodput/s | median ms | p99 ms | p99.9 ms | max ms |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |"
            .to_owned()
    }

    /// Renders the distribution as a plot of bars, one for each power of two.
    pub fn plot(&self) -> String {
        let rows = self.latencies.iter_log(125, 2.0).map(|step| {
            let share = step.count_since_last_iteration() as f64 / self.count().max(1) as f64;
            let bar = "#".repeat((share * 60.0).round() as usize);
            let upper = step.value_iterated_to() as f64 / 1000.0;
            format!("    <= {upper:>9.3} ms {share:>7.2}% {bar}", share = share * 100.0)
        });
        rows.collect::<Vec<_>>().join("\n")
    }
}
