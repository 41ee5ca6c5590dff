use hdrhistogram::Histogram;

/// Highest latency that the histogram records; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Results of one policy over all runs of a scenario.
#[derive(Debug)]
pub struct Tally {
    latencies_us: Histogram<u64>,
    failed: u64,
    longest_queue: usize,
    max_load_ratio: f64,
    same_domain: u64,
    runs: u64,
}

impl Default for Tally {
    fn default() -> Self {
        let bounds = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        let latencies_us = bounds.expect("the bounds are in order");
        Self {
            latencies_us,
            failed: 0,
            longest_queue: 0,
            max_load_ratio: 0.0,
            same_domain: 0,
            runs: 0,
        }
    }
}

impl Tally {
    pub const HEADER: &str = "policy             p50 ms   p99 ms p99.9 ms  failed  longest queue  \
                              busiest/mean  own domain  runs/answer";

    /// Records an answer or a failure.
    pub fn record_answer(&mut self, latency_us: u64, failed: bool, same_domain: bool) {
        if failed {
            self.failed += 1;
        } else {
            self.latencies_us.saturating_record(latency_us);
        }
        self.same_domain += u64::from(same_domain);
    }

    /// Counts a run on a minion.
    pub fn record_run(&mut self) {
        self.runs += 1;
    }

    /// Records how many requests wait at an agent.
    pub fn record_queue(&mut self, waiting: usize) {
        self.longest_queue = self.longest_queue.max(waiting);
    }

    /// Records how evenly the requests of one run were distributed over the agents.
    pub fn record_distribution(&mut self, requests: &[u64]) {
        let mean = requests.iter().sum::<u64>() as f64 / requests.len() as f64;
        let max = requests.iter().copied().max().unwrap_or(0) as f64;
        self.max_load_ratio = self.max_load_ratio.max(max / mean);
    }

    /// Renders a row of the table.
    pub fn row(&self, title: &str) -> String {
        let ms = |quantile| self.latencies_us.value_at_quantile(quantile) as f64 / 1000.0;
        let total = self.latencies_us.len() + self.failed;
        let share = |count: u64| count as f64 * 100.0 / total.max(1) as f64;
        format!(
            "{title:<17} {:>7.1} {:>8.1} {:>8.1} {:>6.2}% {:>14} {:>13.2} {:>10.1}% {:>12.3}",
            ms(0.5),
            ms(0.99),
            ms(0.999),
            share(self.failed),
            self.longest_queue,
            self.max_load_ratio,
            share(self.same_domain),
            self.runs as f64 / total.max(1) as f64,
        )
    }
}
