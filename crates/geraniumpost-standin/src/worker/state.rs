use std::collections::BTreeMap;

use derive_more::{Display, Error};

use super::task::Task;
use super::{
    Command, Resources, StartOrder, TaskState, TaskView, WorkerEvent, WorkerEventKind,
    WorkerOptions,
};

/// Why a call was refused.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// There is no task with this id.
    #[display("there is no such task")]
    UnknownTask,
    /// The state of the task does not allow the call.
    #[display("the task's state does not allow it")]
    WrongState,
    /// The command of the order is invalid.
    #[display("a command is sleep:MS, fail, fail:MS or hog:MS:CPUS")]
    InvalidCommand,
}

/// Result of a successful start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartResult {
    /// A new run started.
    New,
    /// The same epoch had been started before, so the call did nothing.
    Repeated,
}

/// State of a worker. All times are microseconds of the same clock.
#[derive(Debug)]
pub struct WorkerState {
    options: WorkerOptions,
    tasks: BTreeMap<String, Task>,
    events: Vec<WorkerEvent>,
}

impl WorkerState {
    /// Creates a worker without tasks.
    pub const fn new(options: WorkerOptions) -> Self {
        Self { options, tasks: BTreeMap::new(), events: Vec::new() }
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Advances all tasks to the time `now`.
    pub fn advance(&mut self, now: u64) {
        let ids: Vec<String> = self.tasks.keys().cloned().collect();
        for id in ids {
            let ended = self.tasks.get_mut(&id).and_then(|task| task.advance(now));
            if let Some(at) = ended {
                self.record_end(&id, at);
            }
        }
    }

    /// Starts a task; with `broken` it fails immediately.
    pub fn start(
        &mut self,
        id: &str,
        order: &StartOrder,
        broken: bool,
        now: u64,
    ) -> Result<StartResult, Refusal> {
        let command: Command = order.command.parse().map_err(|_| Refusal::InvalidCommand)?;
        match self.tasks.get(id) {
            Some(old) if old.epoch() == order.epoch => return Ok(StartResult::Repeated),
            Some(old) if old.is_running() => return Err(Refusal::WrongState),
            _ => {}
        }
        let task = Task::start(id, order, command, now, self.options.usage_lag_ms * 1000);
        self.tasks.insert(id.to_owned(), task);
        self.record(id, WorkerEventKind::Started, now, order.checkpoint.clone());
        self.check_capacity(id, now);
        if broken {
            self.end(id, TaskState::Failed, now);
        } else {
            self.advance(now);
        }
        Ok(StartResult::New)
    }

    /// Renews the lease of a running task.
    pub fn renew(&mut self, id: &str, lease_ms: u64, now: u64) -> Result<(), Refusal> {
        self.running_task(id)?.renew(now.saturating_add(lease_ms.saturating_mul(1000)));
        Ok(())
    }

    /// Saves the progress of a running task, and returns the name of the checkpoint.
    pub fn checkpoint(&mut self, id: &str, now: u64) -> Result<String, Refusal> {
        let name = self.running_task(id)?.save_checkpoint().to_owned();
        self.record(id, WorkerEventKind::Checkpointed, now, name.clone());
        Ok(name)
    }

    /// Limits a running task to `permille` thousandths of its speed.
    pub fn throttle(&mut self, id: &str, permille: u64, now: u64) -> Result<(), Refusal> {
        let lag = self.options.usage_lag_ms * 1000;
        self.running_task(id)?.throttle(permille, now, lag);
        Ok(())
    }

    /// Stops a task; has no effect on a task that has ended.
    pub fn stop(&mut self, id: &str, now: u64) -> Result<(), Refusal> {
        let task = self.tasks.get(id).ok_or(Refusal::UnknownTask)?;
        if task.is_running() {
            self.end(id, TaskState::Stopped, now);
        }
        Ok(())
    }

    /// Removes a task that has ended.
    pub fn forget(&mut self, id: &str) -> Result<(), Refusal> {
        let task = self.tasks.get(id).ok_or(Refusal::UnknownTask)?;
        if task.is_running() {
            return Err(Refusal::WrongState);
        }
        self.tasks.remove(id);
        Ok(())
    }

    /// Returns all tasks.
    pub fn list(&self, now: u64) -> Vec<TaskView> {
        self.tasks.values().map(|task| task.view(now)).collect()
    }

    fn running_task(&mut self, id: &str) -> Result<&mut Task, Refusal> {
        let task = self.tasks.get_mut(id).ok_or(Refusal::UnknownTask)?;
        if task.is_running() { Ok(task) } else { Err(Refusal::WrongState) }
    }

    fn end(&mut self, id: &str, state: TaskState, now: u64) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.end(state);
        }
        self.record_end(id, now);
    }

    fn check_capacity(&mut self, id: &str, now: u64) {
        let running = self.tasks.values().filter(|task| task.is_running());
        let held: Resources = running.map(Task::need).sum();
        if !held.fits_in(&self.options.capacity) {
            self.record(id, WorkerEventKind::Overfilled, now, format!("{held:?}"));
        }
    }

    fn record_end(&mut self, id: &str, at: u64) {
        let Some(task) = self.tasks.get(id) else { return };
        let kind = match task.state() {
            TaskState::Done => WorkerEventKind::Done,
            TaskState::Failed => WorkerEventKind::Failed,
            TaskState::Stopped => WorkerEventKind::Stopped,
            TaskState::Lapsed => WorkerEventKind::Lapsed,
            TaskState::Running => return,
        };
        let result = task.result().to_owned();
        self.record(id, kind, at, result);
    }

    fn record(&mut self, id: &str, kind: WorkerEventKind, at_us: u64, detail: String) {
        let Some(task) = self.tasks.get(id) else { return };
        self.events.push(WorkerEvent {
            at_us,
            worker: self.options.name.clone(),
            task: id.to_owned(),
            epoch: task.epoch(),
            kind,
            progress_us: task.progress_us(),
            detail,
        });
    }
}
