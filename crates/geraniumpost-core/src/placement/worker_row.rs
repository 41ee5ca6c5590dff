use geraniumpost_schema::Resources;

use super::{WorkerState, WorkerView};

/// Value of [`WorkerRow::service`] for a worker without a service.
pub const NO_SERVICE: u32 = u32::MAX;

/// The part of a worker that a scan reads, small enough for 570 rows to stay in a near cache.
#[derive(Debug, Clone, Copy)]
pub struct WorkerRow {
    /// Resources that are free for batch work.
    pub free: Resources,
    /// Number of the service, or [`NO_SERVICE`].
    pub service: u32,
    /// Number of the rack.
    pub rack: u32,
    /// Number of the failure domain.
    pub domain: u32,
    /// Busy share of the minion's slots in thousandths.
    pub load_permille: u32,
    /// Changes with every change of the worker, so that values computed from it can be cached.
    pub version: u64,
    /// Whether the worker accepts new jobs.
    pub accepts_work: bool,
}

impl WorkerRow {
    /// Creates the row of a worker.
    pub fn new(view: &WorkerView, service: u32, rack: u32, domain: u32) -> Self {
        let mut row = Self {
            free: view.free(),
            service,
            rack,
            domain,
            load_permille: view.load_permille,
            version: 0,
            accepts_work: true,
        };
        row.refresh(view, 0);
        row
    }

    /// Updates the values that change while a worker runs.
    pub fn refresh(&mut self, view: &WorkerView, version: u64) {
        self.free = view.free();
        self.load_permille = view.load_permille;
        self.version = version;
        self.accepts_work = view.state == WorkerState::Healthy;
    }
}
