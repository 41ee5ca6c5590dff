use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::{Direction, RelayFaults};

/// State that the tasks of a relay share.
#[derive(Debug)]
pub(super) struct Shared {
    inner: Mutex<Inner>,
    cuts: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Inner {
    faults: RelayFaults,
    /// Number of the next connection.
    next_connection: u64,
    /// Number of the first connection that was opened after the faults were set.
    first_new_connection: u64,
    /// Time until which the bandwidth to the clients is used up by earlier data.
    back_busy_until: Option<Instant>,
}

/// Direction of data through a relay: from the client, or back to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FlowDirection {
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

    /// Assigns a number to a new connection; `None` if new connections are refused.
    pub(super) fn admit(&self) -> Option<u64> {
        let mut inner = self.lock();
        let number = inner.next_connection;
        inner.next_connection += 1;
        (!inner.faults.refuse_new).then_some(number)
    }

    /// Returns the faults that apply to one direction of a connection.
    pub(super) fn faults_of(&self, connection: u64, flow: FlowDirection) -> Direction {
        let inner = self.lock();
        if inner.faults.spare_new && connection >= inner.first_new_connection {
            return Direction::default();
        }
        match flow {
            FlowDirection::Forward => inner.faults.forward,
            FlowDirection::Back => inner.faults.back,
        }
    }

    pub(super) fn faults(&self) -> RelayFaults {
        self.lock().faults
    }

    pub(super) fn set_faults(&self, faults: RelayFaults) {
        let mut inner = self.lock();
        inner.faults = faults;
        inner.first_new_connection = inner.next_connection;
    }

    /// Returns when `bytes` have been transferred at the limited bandwidth; without a limit, now.
    pub(super) fn transferred_at(&self, flow: FlowDirection, bytes: usize) -> Instant {
        let now = Instant::now();
        let mut inner = self.lock();
        let rate = inner.faults.back_bytes_per_s;
        if rate == 0 || matches!(flow, FlowDirection::Forward) {
            return now;
        }
        let starts = inner.back_busy_until.map_or(now, |until| until.max(now));
        let ends = starts + Duration::from_secs_f64(bytes as f64 / rate as f64);
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
