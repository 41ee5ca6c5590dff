use super::{Command, Resources, StartOrder, TaskState, TaskView};

/// One run of a task. Times are microseconds of one clock.
#[derive(Debug, Clone)]
pub(super) struct Task {
    id: String,
    epoch: u64,
    need: Resources,
    command: Command,
    state: TaskState,
    /// Work done at full speed in nanoseconds, which any speed in thousandths keeps exact.
    progress_ns: u64,
    permille: u64,
    at: u64,
    lease_ends: u64,
    checkpoint: String,
    result: String,
    /// Speed that usage still shows until `usage_from`.
    shown_permille: u64,
    usage_from: u64,
}

impl Task {
    pub(super) fn start(
        id: &str,
        order: &StartOrder,
        command: Command,
        now: u64,
        lag: u64,
    ) -> Self {
        Self {
            id: id.to_owned(),
            epoch: order.epoch,
            need: order.need,
            command,
            state: TaskState::Running,
            progress_ns: progress_of(&order.checkpoint).saturating_mul(1000),
            permille: 1000,
            at: now,
            lease_ends: now.saturating_add(order.lease_ms.saturating_mul(1000)),
            checkpoint: order.checkpoint.clone(),
            result: String::new(),
            shown_permille: 0,
            usage_from: now + lag,
        }
    }

    pub(super) const fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) const fn need(&self) -> Resources {
        self.need
    }

    pub(super) const fn state(&self) -> TaskState {
        self.state
    }

    pub(super) const fn progress_us(&self) -> u64 {
        self.progress_ns / 1000
    }

    pub(super) fn result(&self) -> &str {
        &self.result
    }

    pub(super) fn runs(&self) -> bool {
        self.state == TaskState::Running
    }

    /// Works until `now`. Returns when the run ended, if it did.
    ///
    /// The end of the work and of the lease are told apart by their own times and not by the time
    /// at which someone looks, so that a busy machine does not let a task outlive its lease.
    pub(super) fn work(&mut self, now: u64) -> Option<u64> {
        if !self.runs() {
            return None;
        }
        let (ends, state) = match self.work_ends() {
            Some(ends) if ends <= self.lease_ends => (ends, self.outcome()),
            _ => (self.lease_ends, TaskState::Lapsed),
        };
        let until = now.min(ends);
        self.progress_ns += until.saturating_sub(self.at) * self.permille;
        self.progress_ns = self.progress_ns.min(self.work_ns());
        self.at = until.max(self.at);
        if ends > now {
            return None;
        }
        self.end(state);
        Some(ends)
    }

    pub(super) fn end(&mut self, state: TaskState) {
        self.state = state;
        if state == TaskState::Done {
            self.progress_ns = self.work_ns();
        }
        self.result = match state {
            TaskState::Done => format!("done {} {}", self.id, self.command.work_us()),
            TaskState::Running => String::new(),
            other => other.to_string().to_lowercase(),
        };
    }

    pub(super) const fn renew(&mut self, lease_ends: u64) {
        self.lease_ends = lease_ends;
    }

    pub(super) fn throttle(&mut self, permille: u64, now: u64, lag: u64) {
        self.shown_permille = self.shown(now);
        self.usage_from = now + lag;
        self.permille = permille.min(1000);
    }

    pub(super) fn save(&mut self) -> &str {
        self.checkpoint = format!("{}-{}-{}", self.id, self.epoch, self.progress_us());
        &self.checkpoint
    }

    pub(super) fn view(&self, now: u64) -> TaskView {
        let left = if self.runs() { self.lease_ends.saturating_sub(now) / 1000 } else { 0 };
        TaskView {
            id: self.id.clone(),
            epoch: self.epoch,
            state: self.state,
            usage: self.usage(now),
            checkpoint: self.checkpoint.clone(),
            result: self.result.clone(),
            lease_left_ms: left,
        }
    }

    fn outcome(&self) -> TaskState {
        if self.command.fails() { TaskState::Failed } else { TaskState::Done }
    }

    const fn work_ns(&self) -> u64 {
        self.command.work_us().saturating_mul(1000)
    }

    fn work_ends(&self) -> Option<u64> {
        let left = self.work_ns().saturating_sub(self.progress_ns);
        let time = if left == 0 { Some(0) } else { left.checked_next_multiple_of(self.permille) };
        let time = time.map(|left| left.checked_div(self.permille).unwrap_or(0));
        time.map(|time| self.at + time)
    }

    const fn shown(&self, now: u64) -> u64 {
        if now < self.usage_from { self.shown_permille } else { self.permille }
    }

    fn usage(&self, now: u64) -> Resources {
        let shown = self.shown(now);
        if !self.runs() || shown == 0 {
            return Resources::default();
        }
        let full = match self.command {
            Command::Hog { milli_cpus, .. } => milli_cpus,
            _ => self.need.milli_cpus,
        };
        Resources { milli_cpus: full * shown / 1000, ..self.need }
    }
}

/// Reads the progress that a checkpoint's name carries.
fn progress_of(checkpoint: &str) -> u64 {
    checkpoint.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}
