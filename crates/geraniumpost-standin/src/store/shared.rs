use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

use super::limiter::Limiter;
use super::{Call, StoreCounts, StoreFaults, StoreState};
use crate::http::Down;

/// What the service's tasks share.
#[derive(Debug)]
pub(super) struct Shared {
    inner: Mutex<Inner>,
    changes: watch::Sender<()>,
    down: watch::Sender<Down>,
}

#[derive(Debug)]
struct Inner {
    state: StoreState,
    counts: StoreCounts,
    faults: StoreFaults,
    chance: StdRng,
    writes: Limiter,
    reads: Limiter,
}

impl Shared {
    pub(super) fn new(down: watch::Sender<Down>) -> Self {
        let inner = Inner {
            state: StoreState::default(),
            counts: StoreCounts::default(),
            faults: StoreFaults::default(),
            chance: StdRng::seed_from_u64(0),
            writes: Limiter::default(),
            reads: Limiter::default(),
        };
        Self { inner: Mutex::new(inner), changes: watch::Sender::new(()), down }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at the data.
    pub(super) fn read<T>(&self, look: impl FnOnce(&StoreState) -> T) -> T {
        look(&self.lock().state)
    }

    /// Ends overdue leases, changes the data and wakes the watches.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut StoreState, Instant) -> T) -> T {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.state.expire(now);
        let result = change(&mut inner.state, now);
        drop(inner);
        self.changes.send_replace(());
        result
    }

    /// Ends overdue leases.
    pub(super) fn expire(&self) {
        let any = self.lock().state.expire(Instant::now());
        if any {
            self.changes.send_replace(());
        }
    }

    /// Returns a receiver that sees each change.
    pub(super) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Counts a call; tells whether its rate is within the limit.
    pub(super) fn admit(&self, call: Call) -> bool {
        let mut inner = self.lock();
        let inner = &mut *inner;
        inner.counts.add(call);
        let now = Instant::now();
        let admitted = if call.writes() {
            inner.writes.take(inner.faults.writes_per_second, now)
        } else {
            inner.reads.take(inner.faults.reads_per_second, now)
        };
        inner.counts.limited += u64::from(!admitted);
        admitted
    }

    /// Counts the outcome of a write.
    pub(super) fn note_write(&self, bytes: usize, conflict: bool) {
        let mut inner = self.lock();
        inner.counts.bytes_written += bytes as u64;
        inner.counts.conflicts += u64::from(conflict);
    }

    /// Draws whether the reply to a write is lost.
    pub(super) fn loses_reply(&self) -> bool {
        let mut inner = self.lock();
        let forced = inner.faults.lose_replies > 0;
        inner.faults.lose_replies = inner.faults.lose_replies.saturating_sub(1);
        let permille = inner.faults.lose_permille;
        let lost = forced || (permille > 0 && inner.chance.random_range(0..1000) < permille);
        inner.counts.lost_replies += u64::from(lost);
        lost
    }

    pub(super) fn counts(&self) -> StoreCounts {
        self.lock().counts
    }

    pub(super) fn faults(&self) -> StoreFaults {
        self.lock().faults
    }

    pub(super) fn set_faults(&self, faults: StoreFaults) {
        let mut inner = self.lock();
        inner.faults = faults;
        inner.chance = StdRng::seed_from_u64(faults.seed);
        drop(inner);
        self.down.send_replace(faults.down);
    }
}
