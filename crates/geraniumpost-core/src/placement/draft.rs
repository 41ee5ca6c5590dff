use std::collections::HashMap;

use geraniumpost_schema::{Name, Resources};

use super::group::Group;
use super::holds::Hold;
use super::{Decision, Fleet, PlacementRequest, WorkerKey, amounts};

/// Room and holdings as they will be once this call's decisions are carried out.
#[derive(Debug, Default)]
pub struct Draft {
    /// The workers.
    pub rows: Vec<DraftRow>,
    /// Room that workers with [`DraftRow::spare`] keep free.
    pub room: Resources,
    holdings: HashMap<Name, Resources>,
    groups: HashMap<(Name, Name), Group>,
    slopes: HashMap<Name, Vec<f64>>,
    hopeless: Vec<Resources>,
}

/// A worker in a draft.
#[derive(Debug, Clone, Copy)]
pub struct DraftRow {
    /// The worker.
    pub key: WorkerKey,
    /// What is free for batch work.
    pub free: Resources,
    /// Number of its service.
    pub service: u32,
    /// Number of its rack.
    pub rack: u32,
    /// Number of its failure domain.
    pub domain: u32,
    /// Busy share of the minion's slots.
    pub load: f64,
    /// Predicted p99 of its service, in targets.
    pub forecast: f64,
    /// Jobs it may still be given.
    pub limit: u32,
    /// Room that is kept there for a job.
    pub held: Resources,
    /// Whether it keeps room free for urgent jobs.
    pub spare: bool,
}

impl DraftRow {
    /// Returns whether room is kept there for a job.
    pub fn is_held(&self) -> bool {
        self.held != amounts::NONE
    }
}

impl Draft {
    /// Keeps room for urgent jobs free on the workers that have or nearly have it.
    pub fn keep_rooms(&mut self, rooms: usize, room: Resources) {
        self.room = room;
        let open = self.rows.iter().enumerate().filter(|(_, row)| !row.is_held() && row.limit > 0);
        let mut short: Vec<(u64, usize)> =
            open.map(|(at, row)| (amounts::minus(&room, &row.free).milli_cpus, at)).collect();
        short.sort_unstable();
        for (_, at) in short.into_iter().take(rooms) {
            self.rows[at].spare = true;
        }
    }

    /// Takes the processors away that sped up tasks take back; else a start in the same call would
    /// be given them too.
    pub fn speed_up(&mut self, decisions: &[Decision], fleet: &Fleet) {
        for decision in decisions {
            let Decision::Throttle { job, worker, permille, .. } = decision else { continue };
            let Some(key) = fleet.key(worker) else { continue };
            let task = fleet.view(key).tasks.iter().find(|task| task.job == *job);
            let Some(row) = self.rows.iter_mut().find(|row| row.key == key) else { continue };
            let more = task.map_or(0, |task| task.more_milli_cpus(*permille));
            row.free.milli_cpus = row.free.milli_cpus.saturating_sub(more);
        }
    }

    /// Takes a job's start into account.
    pub fn start(&mut self, at: usize, wish: &PlacementRequest, need: &Resources, added: f64) {
        let row = &mut self.rows[at];
        row.free = amounts::minus(&row.free, need);
        row.forecast += added;
        row.limit -= 1;
        let (rack, domain) = (row.rack, row.domain);
        self.add_holding(&wish.customer, need);
        let of = (wish.customer.clone(), wish.class.clone());
        self.groups.entry(of).or_default().add(rack, domain);
    }

    /// Keeps room on a worker, and within its customer's quota, for one job from now on.
    ///
    /// Without the quota's part, smaller jobs of the same customer could use it up while tasks are
    /// being evicted, and these would have been evicted for nothing.
    pub fn hold(&mut self, hold: &Hold) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.key == hold.worker) {
            row.held = hold.need;
        }
        self.add_holding(&hold.customer, &hold.need);
    }

    /// Gives what was kept for a job free again.
    pub fn release(&mut self, hold: &Hold) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.key == hold.worker) {
            row.held = amounts::NONE;
        }
        if let Some(holding) = self.holdings.get_mut(&hold.customer) {
            *holding = amounts::minus(holding, &hold.need);
        }
    }

    fn add_holding(&mut self, customer: &Name, need: &Resources) {
        let holding = self.holdings.entry(customer.clone()).or_insert(amounts::NONE);
        *holding = amounts::plus(holding, need);
    }

    /// Returns what a customer will hold.
    pub fn allocated_to(&self, customer: &Name, fleet: &Fleet) -> Resources {
        let drafted = self.holdings.get(customer).copied().unwrap_or(amounts::NONE);
        amounts::plus(&fleet.allocated_to(customer), &drafted)
    }

    /// Returns where this call starts tasks of the same customer and class.
    pub fn group(&self, wish: &PlacementRequest) -> Option<&Group> {
        if self.groups.is_empty() {
            return None;
        }
        self.groups.get(&(wish.customer.clone(), wish.class.clone()))
    }

    /// Returns a class's slope for each service, asking for it once per call.
    pub fn slopes(&mut self, class: &Name, ask: impl FnOnce() -> Vec<f64>) -> &[f64] {
        self.slopes.entry(class.clone()).or_insert_with(ask)
    }

    /// Returns whether no worker has room for a need, as a smaller one already found none.
    pub fn is_hopeless(&self, need: &Resources) -> bool {
        self.hopeless.iter().any(|smaller| amounts::fits(smaller, need))
    }

    /// Notes that no worker has room for a need; room only shrinks within a call.
    pub fn note_hopeless(&mut self, need: &Resources) {
        self.hopeless.retain(|larger| !amounts::fits(need, larger));
        self.hopeless.push(*need);
    }
}
