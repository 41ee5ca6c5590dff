use std::collections::BTreeMap;

use derive_more::{Display, Error};

use super::task::Task;
use super::{
    Command, Resources, StartOrder, TaskState, TaskView, WorkerEvent, WorkerEventKind,
    WorkerOptions,
};

/// Why a call about a task is refused.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// There is no such task.
    #[display("there is no such task")]
    Unknown,
    /// The task's state does not allow it.
    #[display("the task's state does not allow it")]
    State,
    /// The order cannot be understood.
    #[display("a command is sleep:MS, fail, fail:MS or hog:MS:CPUS")]
    Order,
}

/// How a start went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Starting {
    /// A new run began.
    New,
    /// This epoch had been started before; nothing was done.
    Repeated,
}

/// A worker's tasks. Times are microseconds of one clock.
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

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Lets all tasks work until `now`.
    pub fn work(&mut self, now: u64) {
        let ids: Vec<String> = self.tasks.keys().cloned().collect();
        for id in ids {
            let ended = self.tasks.get_mut(&id).and_then(|task| task.work(now));
            if let Some(at) = ended {
                self.note_end(&id, at);
            }
        }
    }

    /// Starts a task; with `broken` it fails at once.
    pub fn start(
        &mut self,
        id: &str,
        order: &StartOrder,
        broken: bool,
        now: u64,
    ) -> Result<Starting, Refusal> {
        let command: Command = order.command.parse().map_err(|_| Refusal::Order)?;
        match self.tasks.get(id) {
            Some(old) if old.epoch() == order.epoch => return Ok(Starting::Repeated),
            Some(old) if old.runs() => return Err(Refusal::State),
            _ => {}
        }
        let task = Task::start(id, order, command, now, self.options.usage_lag_ms * 1000);
        self.tasks.insert(id.to_owned(), task);
        self.note(id, WorkerEventKind::Started, now, order.checkpoint.clone());
        self.check_capacity(id, now);
        if broken {
            self.end(id, TaskState::Failed, now);
        } else {
            self.work(now);
        }
        Ok(Starting::New)
    }

    /// Renews a running task's lease.
    pub fn renew(&mut self, id: &str, lease_ms: u64, now: u64) -> Result<(), Refusal> {
        self.running(id)?.renew(now.saturating_add(lease_ms.saturating_mul(1000)));
        Ok(())
    }

    /// Saves a running task's progress and returns the checkpoint's name.
    pub fn checkpoint(&mut self, id: &str, now: u64) -> Result<String, Refusal> {
        let name = self.running(id)?.save().to_owned();
        self.note(id, WorkerEventKind::Checkpointed, now, name.clone());
        Ok(name)
    }

    /// Lets a running task work at so many thousandths of its speed.
    pub fn throttle(&mut self, id: &str, permille: u64, now: u64) -> Result<(), Refusal> {
        let lag = self.options.usage_lag_ms * 1000;
        self.running(id)?.throttle(permille, now, lag);
        Ok(())
    }

    /// Stops a task; one that has ended stays as it is.
    pub fn stop(&mut self, id: &str, now: u64) -> Result<(), Refusal> {
        let task = self.tasks.get(id).ok_or(Refusal::Unknown)?;
        if task.runs() {
            self.end(id, TaskState::Stopped, now);
        }
        Ok(())
    }

    /// Forgets a task that has ended.
    pub fn forget(&mut self, id: &str) -> Result<(), Refusal> {
        let task = self.tasks.get(id).ok_or(Refusal::Unknown)?;
        if task.runs() {
            return Err(Refusal::State);
        }
        self.tasks.remove(id);
        Ok(())
    }

    /// Returns all tasks.
    pub fn list(&self, now: u64) -> Vec<TaskView> {
        self.tasks.values().map(|task| task.view(now)).collect()
    }

    fn running(&mut self, id: &str) -> Result<&mut Task, Refusal> {
        let task = self.tasks.get_mut(id).ok_or(Refusal::Unknown)?;
        if task.runs() { Ok(task) } else { Err(Refusal::State) }
    }

    fn end(&mut self, id: &str, state: TaskState, now: u64) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.end(state);
        }
        self.note_end(id, now);
    }

    fn check_capacity(&mut self, id: &str, now: u64) {
        let running = self.tasks.values().filter(|task| task.runs());
        let held: Resources = running.map(Task::need).sum();
        if !held.fit(&self.options.capacity) {
            self.note(id, WorkerEventKind::Overfilled, now, format!("{held:?}"));
        }
    }

    fn note_end(&mut self, id: &str, at: u64) {
        let Some(task) = self.tasks.get(id) else { return };
        let kind = match task.state() {
            TaskState::Done => WorkerEventKind::Done,
            TaskState::Failed => WorkerEventKind::Failed,
            TaskState::Stopped => WorkerEventKind::Stopped,
            TaskState::Lapsed => WorkerEventKind::Lapsed,
            TaskState::Running => return,
        };
        let result = task.result().to_owned();
        self.note(id, kind, at, result);
    }

    fn note(&mut self, id: &str, kind: WorkerEventKind, at_us: u64, detail: String) {
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
