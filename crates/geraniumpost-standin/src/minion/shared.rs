use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use eyre::Result;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

use super::{MinionCounts, MinionEvent, MinionEventKind, MinionFaults, MinionMode, MinionOptions};
use crate::http::{ConnectionCount, Down};
use crate::{Journal, now_us};

/// State that the tasks of a minion share.
#[derive(Debug)]
pub(super) struct Shared {
    options: MinionOptions,
    inner: Mutex<Inner>,
    record: Journal<MinionEvent>,
    connections: Arc<ConnectionCount>,
    down: watch::Sender<Down>,
}

#[derive(Debug)]
struct Inner {
    counts: MinionCounts,
    faults: MinionFaults,
    rng: StdRng,
}

impl Shared {
    pub(super) fn open(
        options: MinionOptions,
        connections: Arc<ConnectionCount>,
        down: watch::Sender<Down>,
    ) -> Result<Self> {
        let record = Journal::open(options.record.as_deref())?;
        let inner = Inner {
            counts: MinionCounts::default(),
            faults: MinionFaults::default(),
            rng: StdRng::seed_from_u64(0),
        };
        Ok(Self { options, inner: Mutex::new(inner), record, connections, down })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) const fn options(&self) -> &MinionOptions {
        &self.options
    }

    /// Records the start of a run, and sets run number and time in `event`, which the caller keeps
    /// for the end of the run.
    pub(super) fn begin(&self, event: &mut MinionEvent) {
        let mut inner = self.lock();
        let counts = &mut inner.counts;
        counts.started += 1;
        counts.running += 1;
        counts.most_running = counts.most_running.max(counts.running);
        let over = counts.running > self.options.slots;
        counts.over_slots += u64::from(over);
        event.run = counts.started;
        event.at_us = now_us();
        self.record.append(event.clone());
        if over {
            self.record.append(MinionEvent { kind: MinionEventKind::OverSlots, ..event.clone() });
        }
    }

    /// Records the end of a run.
    pub(super) fn end(&self, event: MinionEvent) {
        let mut inner = self.lock();
        inner.counts.running -= 1;
        let (at_us, kind) = (now_us(), MinionEventKind::Ended);
        self.record.append(MinionEvent { at_us, kind, ..event });
    }

    /// Returns the mode and the delay of the next request. The mode may be chosen at random.
    pub(super) fn draw_mode(&self) -> (MinionMode, u64) {
        let mut inner = self.lock();
        let faults = inner.faults;
        let applies =
            faults.mode_permille >= 1000 || inner.rng.random_range(0..1000) < faults.mode_permille;
        (if applies { faults.mode } else { MinionMode::Serve }, faults.delay_ms)
    }

    pub(super) fn counts(&self) -> MinionCounts {
        let mut counts = self.lock().counts;
        counts.connections = self.connections.open() as u64;
        counts.most_connections = self.connections.highest() as u64;
        counts.over_connections = counts.most_connections > self.options.connections;
        counts
    }

    pub(super) fn record(&self) -> Vec<MinionEvent> {
        self.record.events()
    }

    pub(super) fn faults(&self) -> MinionFaults {
        self.lock().faults
    }

    pub(super) fn set_faults(&self, faults: MinionFaults) {
        let mut inner = self.lock();
        inner.faults = faults;
        inner.rng = StdRng::seed_from_u64(faults.seed);
        drop(inner);
        self.down.send_replace(faults.down);
    }
}
