use super::{Command, Resources, StartOrder, TaskState, TaskView};

/// One run of a task. All times are microseconds of the same clock.
#[derive(Debug, Clone)]
pub(super) struct Task {
    id: String,
    epoch: u64,
    need: Resources,
    command: Command,
    state: TaskState,
    /// Work done, in nanoseconds at full speed. In this unit progress is an integer at every speed
    /// in thousandths.
    progress_ns: u64,
    speed_permille: u64,
    /// Time up to which `progress_ns` is calculated.
    advanced_to: u64,
    lease_expires: u64,
    checkpoint: String,
    result: String,
    /// Speed that the reported usage reflects before `usage_from`.
    reported_permille: u64,
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
            speed_permille: 1000,
            advanced_to: now,
            lease_expires: now.saturating_add(order.lease_ms.saturating_mul(1000)),
            checkpoint: order.checkpoint.clone(),
            result: String::new(),
            reported_permille: 0,
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

    pub(super) fn is_running(&self) -> bool {
        self.state == TaskState::Running
    }

    /// Advances the run to the time `now`. Returns the time at which it ended, if it did.
    ///
    /// Whether the work or the lease ended first is decided by their own end times, not by `now`,
    /// so that a task does not outlive its lease if this is called late on a busy machine.
    pub(super) fn advance(&mut self, now: u64) -> Option<u64> {
        if !self.is_running() {
            return None;
        }
        let (ends, state) = match self.work_ends() {
            Some(ends) if ends <= self.lease_expires => (ends, self.outcome()),
            _ => (self.lease_expires, TaskState::Lapsed),
        };
        let until = now.min(ends);
        self.progress_ns += until.saturating_sub(self.advanced_to) * self.speed_permille;
        self.progress_ns = self.progress_ns.min(self.work_ns());
        self.advanced_to = until.max(self.advanced_to);
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

    pub(super) const fn renew(&mut self, lease_expires: u64) {
        self.lease_expires = lease_expires;
    }

    pub(super) fn throttle(&mut self, permille: u64, now: u64, lag: u64) {
        self.reported_permille = self.reported_speed(now);
        self.usage_from = now + lag;
        self.speed_permille = permille.min(1000);
    }

    pub(super) fn save_checkpoint(&mut self) -> &str {
        self.checkpoint = format!("{}-{}-{}", self.id, self.epoch, self.progress_us());
        &self.checkpoint
    }

    pub(super) fn view(&self, now: u64) -> TaskView {
        let left =
            if self.is_running() { self.lease_expires.saturating_sub(now) / 1000 } else { 0 };
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
        let time =
            if left == 0 { Some(0) } else { left.checked_next_multiple_of(self.speed_permille) };
        let time = time.map(|left| left.checked_div(self.speed_permille).unwrap_or(0));
        time.map(|time| self.advanced_to + time)
    }

    const fn reported_speed(&self, now: u64) -> u64 {
        if now < self.usage_from { self.reported_permille } else { self.speed_permille }
    }

    fn usage(&self, now: u64) -> Resources {
        let permille = self.reported_speed(now);
        if !self.is_running() || permille == 0 {
            return Resources::default();
        }
        let full = match self.command {
            Command::Hog { milli_cpus, .. } => milli_cpus,
            _ => self.need.milli_cpus,
        };
        Resources { milli_cpus: full * permille / 1000, ..self.need }
    }
}

/// Returns the progress that the name of a checkpoint contains, in microseconds.
fn progress_of(checkpoint: &str) -> u64 {
    checkpoint.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}
