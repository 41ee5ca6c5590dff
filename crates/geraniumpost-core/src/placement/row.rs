use geraniumpost_schema::Resources;

use super::{WorkerState, WorkerView};

/// Number of "no service" in [`Row::service`].
pub const NO_SERVICE: u32 = u32::MAX;

/// What a scan needs of a worker, small enough that 570 of them stay in a near cache.
#[derive(Debug, Clone, Copy)]
pub struct Row {
    /// What is free for batch work.
    pub free: Resources,
    /// Number of the service, or [`NO_SERVICE`].
    pub service: u32,
    /// Number of the rack.
    pub rack: u32,
    /// Number of the failure domain.
    pub domain: u32,
    /// Busy share of the minion's slots in thousandths.
    pub load_permille: u32,
    /// Changes with every change of the worker, so that what was computed from it can be kept.
    pub version: u64,
    /// Whether the worker takes new work.
    pub open: bool,
}

impl Row {
    /// Creates the row of a worker.
    pub fn new(view: &WorkerView, service: u32, rack: u32, domain: u32) -> Self {
        let mut row = Self {
            free: view.free(),
            service,
            rack,
            domain,
            load_permille: view.load_permille,
            version: 0,
            open: true,
        };
        row.refresh(view, 0);
        row
    }

    /// Takes over what changes while a worker runs.
    pub fn refresh(&mut self, view: &WorkerView, version: u64) {
        self.free = view.free();
        self.load_permille = view.load_permille;
        self.version = version;
        self.open = view.state == WorkerState::Healthy;
    }
}
