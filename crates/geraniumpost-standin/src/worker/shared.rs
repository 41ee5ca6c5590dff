use std::sync::{Mutex, MutexGuard, PoisonError};

use eyre::Result;
use tokio::sync::watch;

use super::{WorkerEvent, WorkerFaults, WorkerOptions, WorkerState};
use crate::http::Down;
use crate::{Journal, now_us};

/// State that the tasks of a worker share.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<WorkerState>,
    faults: Mutex<WorkerFaults>,
    record: Journal<WorkerEvent>,
    down: watch::Sender<Down>,
}

impl Shared {
    pub(super) fn open(options: WorkerOptions, down: watch::Sender<Down>) -> Result<Self> {
        let record = Journal::open(options.record.as_deref())?;
        let state = Mutex::new(WorkerState::new(options));
        Ok(Self { state, faults: Mutex::default(), record, down })
    }

    /// Advances the tasks to the present time, applies `change`, and records the events.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut WorkerState, u64) -> T) -> T {
        let mut state = lock(&self.state);
        let now = now_us();
        state.advance(now);
        let result = change(&mut state, now);
        for event in state.take_events() {
            self.record.append(event);
        }
        result
    }

    pub(super) fn record(&self) -> Vec<WorkerEvent> {
        self.update(|_, _| ());
        self.record.events()
    }

    pub(super) fn faults(&self) -> WorkerFaults {
        *lock(&self.faults)
    }

    pub(super) fn set_faults(&self, faults: WorkerFaults) {
        *lock(&self.faults) = faults;
        self.down.send_replace(faults.down);
    }

    /// Returns whether the reply to this call is to be lost, and counts it off.
    pub(super) fn take_reply_loss(&self) -> bool {
        let mut faults = lock(&self.faults);
        let lost = faults.lose_replies > 0;
        faults.lose_replies = faults.lose_replies.saturating_sub(1);
        lost
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
