/// Counters and samples of one run.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    slowdowns: Vec<(f64, f64)>,
    late: f64,
    requests: f64,
    urgent_waits: Vec<u64>,
    /// Work of completed jobs, in milliseconds of a thousandth of a processor.
    pub useful: f64,
    /// Work done, including that of unfinished jobs, in the same unit.
    pub done: f64,
    /// Work that was done and lost, in the same unit.
    pub wasted: f64,
    pub completed: u32,
    pub evictions: u32,
    pub throttles: u32,
    /// Jobs that were given up although they would not fail on every worker.
    pub sound_given_up: u32,
    pub quarantines: u32,
    /// Tasks killed because the VM ran out of memory.
    pub memory_kills: u32,
    overcommitted: f64,
    steps: f64,
}

/// Results of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    pub p99_slowdown: f64,
    pub mean_slowdown: f64,
    /// Share of requests that met a minion whose p99 was over the target, in percent.
    pub late_percent: f64,
    /// Work of completed jobs.
    pub core_hours: f64,
    /// Work done, including that of unfinished jobs, minus work lost.
    pub kept_core_hours: f64,
    pub completed: f64,
    pub evictions: f64,
    pub throttles: f64,
    pub wasted_core_hours: f64,
    pub urgent_p99_s: f64,
    pub urgent_max_s: f64,
    /// Share of urgent jobs that started within 3.5 s, in percent.
    pub urgent_in_time_percent: f64,
    pub sound_given_up: f64,
    /// Share of time in which demand exceeded a VM's processors, in percent.
    pub overcommitted_percent: f64,
    /// Tasks killed because the VM ran out of memory.
    pub memory_kills: f64,
}

/// Time within which urgent jobs must start.
const URGENT_START_MS: u64 = 3_500;
/// One processor for an hour, in milliseconds of a thousandth of a processor.
const CORE_HOUR: f64 = 1000.0 * 3_600_000.0;

impl Tally {
    /// Records a service's slowdown, weighted by its requests.
    pub fn record_latency(&mut self, slowdown: f64, requests: f64, late: bool) {
        self.slowdowns.push((slowdown, requests));
        self.requests += requests;
        if late {
            self.late += requests;
        }
    }

    /// Records whether demand exceeded a VM's processors in one step.
    pub fn record_step(&mut self, overcommitted: bool) {
        self.steps += 1.0;
        self.overcommitted += f64::from(u8::from(overcommitted));
    }

    /// Records how long an urgent job waited for its first start.
    pub fn record_urgent_start(&mut self, waited: u64) {
        self.urgent_waits.push(waited);
    }

    /// Computes the results.
    pub fn figures(mut self) -> Figures {
        self.slowdowns.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.urgent_waits.sort_unstable();
        let weighted: f64 = self.slowdowns.iter().map(|(s, r)| s * r).sum();
        let in_time = self.urgent_waits.iter().filter(|wait| **wait <= URGENT_START_MS).count();
        let wait = |q: f64| {
            let at = (q * self.urgent_waits.len() as f64) as usize;
            let last = self.urgent_waits.len().saturating_sub(1);
            self.urgent_waits.get(at.min(last)).copied().unwrap_or(0) as f64 / 1e3
        };
        Figures {
            p99_slowdown: quantile(&self.slowdowns, 0.99 * self.requests),
            mean_slowdown: weighted / self.requests,
            late_percent: 100.0 * self.late / self.requests,
            core_hours: self.useful / CORE_HOUR,
            kept_core_hours: (self.done - self.wasted) / CORE_HOUR,
            completed: self.completed.into(),
            evictions: self.evictions.into(),
            throttles: self.throttles.into(),
            wasted_core_hours: self.wasted / CORE_HOUR,
            urgent_p99_s: wait(0.99),
            urgent_max_s: wait(1.0),
            urgent_in_time_percent: 100.0 * in_time as f64 / self.urgent_waits.len().max(1) as f64,
            sound_given_up: self.sound_given_up.into(),
            overcommitted_percent: 100.0 * self.overcommitted / self.steps,
            memory_kills: self.memory_kills.into(),
        }
    }
}

/// Returns the first value at which the cumulative weight reaches `weight`.
fn quantile(sorted: &[(f64, f64)], weight: f64) -> f64 {
    let mut sum = 0.0;
    for (value, part) in sorted {
        sum += part;
        if sum >= weight {
            return *value;
        }
    }
    sorted.last().map_or(0.0, |last| last.0)
}

impl Figures {
    /// Returns the mean over several runs.
    pub fn mean(all: &[Self]) -> Self {
        let mean = |of: fn(&Self) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
        Self {
            p99_slowdown: mean(|f| f.p99_slowdown),
            mean_slowdown: mean(|f| f.mean_slowdown),
            late_percent: mean(|f| f.late_percent),
            core_hours: mean(|f| f.core_hours),
            kept_core_hours: mean(|f| f.kept_core_hours),
            completed: mean(|f| f.completed),
            evictions: mean(|f| f.evictions),
            throttles: mean(|f| f.throttles),
            wasted_core_hours: mean(|f| f.wasted_core_hours),
            urgent_p99_s: mean(|f| f.urgent_p99_s),
            urgent_max_s: mean(|f| f.urgent_max_s),
            urgent_in_time_percent: mean(|f| f.urgent_in_time_percent),
            sound_given_up: mean(|f| f.sound_given_up),
            overcommitted_percent: mean(|f| f.overcommitted_percent),
            memory_kills: mean(|f| f.memory_kills),
        }
    }
}
