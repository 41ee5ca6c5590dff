use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

use super::limiter::Limiter;
use super::{Call, StoreCounts, StoreFaults, StoreState};
use crate::http::Down;

/// State that the tasks of the service share.
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
    rng: StdRng,
    writes: Limiter,
    reads: Limiter,
}

impl Shared {
    pub(super) fn new(down: watch::Sender<Down>) -> Self {
        let inner = Inner {
            state: StoreState::default(),
            counts: StoreCounts::default(),
            faults: StoreFaults::default(),
            rng: StdRng::seed_from_u64(0),
            writes: Limiter::default(),
            reads: Limiter::default(),
        };
        Self { inner: Mutex::new(inner), changes: watch::Sender::new(()), down }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `read` with the data.
    pub(super) fn read<T>(&self, read: impl FnOnce(&StoreState) -> T) -> T {
        read(&self.lock().state)
    }

    /// Ends expired leases, applies `change` to the data, and notifies the watches.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut StoreState, Instant) -> T) -> T {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.state.expire(now);
        let result = change(&mut inner.state, now);
        drop(inner);
        self.changes.send_replace(());
        result
    }

    /// Ends expired leases, and notifies the watches if there were any.
    pub(super) fn expire(&self) {
        let any = self.lock().state.expire(Instant::now());
        if any {
            self.changes.send_replace(());
        }
    }

    /// Returns a receiver that is notified of each change.
    pub(super) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Counts a call, and returns whether it is within the rate limit.
    pub(super) fn admit(&self, call: Call) -> bool {
        let mut inner = self.lock();
        let inner = &mut *inner;
        inner.counts.add(call);
        let now = Instant::now();
        let admitted = if call.is_write() {
            inner.writes.admit(inner.faults.writes_per_second, now)
        } else {
            inner.reads.admit(inner.faults.reads_per_second, now)
        };
        inner.counts.limited += u64::from(!admitted);
        admitted
    }

    /// Counts the bytes and conflicts of a write.
    pub(super) fn count_write(&self, bytes: usize, conflict: bool) {
        let mut inner = self.lock();
        inner.counts.bytes_written += bytes as u64;
        inner.counts.conflicts += u64::from(conflict);
    }

    /// Decides whether the reply to a write is lost, by the number of forced losses or at random.
    pub(super) fn draw_reply_loss(&self) -> bool {
        let mut inner = self.lock();
        let forced = inner.faults.lose_replies > 0;
        inner.faults.lose_replies = inner.faults.lose_replies.saturating_sub(1);
        let permille = inner.faults.lose_permille;
        let lost = forced || (permille > 0 && inner.rng.random_range(0..1000) < permille);
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
        inner.rng = StdRng::seed_from_u64(faults.seed);
        drop(inner);
        self.down.send_replace(faults.down);
    }
}
