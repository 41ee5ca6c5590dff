use geraniumpost_schema::Resources;

use super::{WorkerState, WorkerView};

/// Value of [`WorkerRow::service`] for a worker without a service.
pub const NO_SERVICE: u32 = u32::MAX;

/// The fields of a worker that placement reads for every job. They are small enough that the rows
/// of 570 workers fit into a low-level processor cache.
#[derive(Debug, Clone, Copy)]
pub struct WorkerRow {
    /// Resources that are free for batch work.
    pub free: Resources,
    /// Index of the service, or [`NO_SERVICE`].
    pub service: u32,
    /// Index of the rack, in a range shared with failure domains.
    pub rack: u32,
    /// Index of the failure domain, in a range shared with racks.
    pub domain: u32,
    /// Busy share of the minion's slots, in thousandths.
    pub load_permille: u32,
    /// Value of the fleet's change counter at the last change of this worker. A cached value is
    /// valid while its version equals this one.
    pub version: u64,
    /// Whether jobs may be started on the worker, because its state is [`WorkerState::Healthy`].
    pub accepts_work: bool,
}

impl WorkerRow {
    /// Creates the row of a worker at version 0. `service`, `rack` and `domain` are indices.
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

    /// Copies the values that may change from `view`, at a new version.
    pub fn refresh(&mut self, view: &WorkerView, version: u64) {
        self.free = view.free();
        self.load_permille = view.load_permille;
        self.version = version;
        self.accepts_work = view.state == WorkerState::Healthy;
    }
}
