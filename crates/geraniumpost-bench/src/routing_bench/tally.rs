use hdrhistogram::Histogram;

/// Longest latency told apart.
const LONGEST_US: u64 = 600_000_000;

/// What callers of one policy saw over all runs of a scenario.
#[derive(Debug)]
pub struct Tally {
    latencies_us: Histogram<u64>,
    failed: u64,
    longest_queue: usize,
    busiest: f64,
    own_domain: u64,
}

impl Default for Tally {
    fn default() -> Self {
        let bounds = Histogram::new_with_bounds(1, LONGEST_US, 3);
        let latencies_us = bounds.expect("the bounds are in order");
        Self { latencies_us, failed: 0, longest_queue: 0, busiest: 0.0, own_domain: 0 }
    }
}

impl Tally {
    pub const HEADER: &str = "policy             p50 ms   p99 ms p99.9 ms  failed  longest queue  \
                              busiest/mean  own domain";

    /// Counts an answer or a failure.
    pub fn answer(&mut self, latency_us: u64, failed: bool, own_domain: bool) {
        if failed {
            self.failed += 1;
        } else {
            self.latencies_us.saturating_record(latency_us);
        }
        self.own_domain += u64::from(own_domain);
    }

    /// Notes how many requests waited at an agent.
    pub fn queue(&mut self, waiting: usize) {
        self.longest_queue = self.longest_queue.max(waiting);
    }

    /// Takes in the requests that each agent got in one run.
    pub fn spread(&mut self, requests: &[u64]) {
        let mean = requests.iter().sum::<u64>() as f64 / requests.len() as f64;
        let most = requests.iter().copied().max().unwrap_or(0) as f64;
        self.busiest = self.busiest.max(most / mean);
    }

    /// Returns the table's row.
    pub fn row(&self, title: &str) -> String {
        let ms = |quantile| self.latencies_us.value_at_quantile(quantile) as f64 / 1000.0;
        let all = self.latencies_us.len() + self.failed;
        let share = |count: u64| count as f64 * 100.0 / all.max(1) as f64;
        format!(
            "{title:<17} {:>7.1} {:>8.1} {:>8.1} {:>6.2}% {:>14} {:>13.2} {:>10.1}%",
            ms(0.5),
            ms(0.99),
            ms(0.999),
            share(self.failed),
            self.longest_queue,
            self.busiest,
            share(self.own_domain),
        )
    }
}
