use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::{Direction, RelayFaults};

/// What the relay's tasks share.
#[derive(Debug)]
pub(super) struct Shared {
    inner: Mutex<Inner>,
    cuts: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Inner {
    faults: RelayFaults,
    /// Number of the next connection.
    next: u64,
    /// Connections from this number on are spared.
    spared_from: u64,
    /// When the bytes passed back so far are through a link with a bound.
    back_busy_until: Option<Instant>,
}

/// One of the two ways through a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    Forward,
    Back,
}

impl Shared {
    pub(super) fn new() -> Self {
        Self { inner: Mutex::default(), cuts: watch::Sender::new(()) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Numbers a new connection, unless new ones are refused.
    pub(super) fn admit(&self) -> Option<u64> {
        let mut inner = self.lock();
        let number = inner.next;
        inner.next += 1;
        (!inner.faults.refuse_new).then_some(number)
    }

    /// Returns the faults that hold for one way of a connection.
    pub(super) fn direction(&self, connection: u64, way: Way) -> Direction {
        let inner = self.lock();
        if inner.faults.spare_new && connection >= inner.spared_from {
            return Direction::default();
        }
        match way {
            Way::Forward => inner.faults.forward,
            Way::Back => inner.faults.back,
        }
    }

    pub(super) fn faults(&self) -> RelayFaults {
        self.lock().faults
    }

    pub(super) fn set_faults(&self, faults: RelayFaults) {
        let mut inner = self.lock();
        inner.faults = faults;
        inner.spared_from = inner.next;
    }

    /// Returns when so many bytes are through the link; at once without a bound.
    pub(super) fn passed_at(&self, way: Way, bytes: usize) -> Instant {
        let now = Instant::now();
        let mut inner = self.lock();
        let rate = inner.faults.back_bytes_per_s;
        if rate == 0 || matches!(way, Way::Forward) {
            return now;
        }
        let begins = inner.back_busy_until.map_or(now, |until| until.max(now));
        let ends = begins + Duration::from_secs_f64(bytes as f64 / rate as f64);
        inner.back_busy_until = Some(ends);
        ends
    }

    /// Closes all open connections.
    pub(super) fn cut(&self) {
        self.cuts.send_replace(());
    }

    pub(super) fn cuts(&self) -> watch::Receiver<()> {
        self.cuts.subscribe()
    }
}
