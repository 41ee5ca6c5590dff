use std::collections::{BTreeMap, BTreeSet, VecDeque};

use geraniumpost_schema::Name;

use super::filling::Filling;
use super::rooms::Room;
use super::serving::Serving;
use crate::tuning::SERVING_UNUSED_CPU_PERCENT;
use crate::{Demand, JobId, MinionInfo, TaskId};

/// What the coordinator knows of one minion.
#[derive(Debug)]
pub(super) struct Minion {
    pub(super) info: MinionInfo,
    pub(super) agent: Name,
    /// Whether its agent's link is open.
    pub(super) linked: bool,
    /// Whether it was heard of, or only stands in records.
    pub(super) known: bool,
    /// Whether its lists have been read over the present link.
    pub(super) looked: bool,
    /// Whether it answers its agent, which therefore holds a lease to give.
    pub(super) answers: bool,
    /// What the runs placed there occupy; filling tasks count memory only.
    pub(super) used: Demand,
    /// Processors that filling tasks there would use if they could.
    pub(super) fill_cpus: i64,
    /// Processors that serving tasks there reserve.
    pub(super) serving_cpus: i64,
    /// Tasks there that serve within a bound.
    pub(super) serving: u32,
    pub(super) runs: BTreeSet<TaskId>,
    /// Number of the last end that was taken in.
    pub(super) last_end: u64,
    /// Ends taken in and not acknowledged: number, job and version that must be durable.
    pub(super) unacknowledged: VecDeque<(u64, Option<(JobId, u64)>)>,
    /// Number up to which ends were acknowledged.
    pub(super) acknowledged: u64,
    /// Whether an acknowledged end was listed again.
    pub(super) acknowledge_again: bool,
    /// Failed runs since the last good one.
    pub(super) failures: u32,
    /// The job of the last failed run.
    pub(super) failed_job: Option<JobId>,
    /// Gets no work before this time.
    pub(super) shunned_ms: u64,
    /// When it may leave, if it drains, on the steady clock.
    pub(super) leaves_ms: u64,
    /// When its tasks were last looked at for other places, if it drains.
    pub(super) emptied_ms: u64,
    /// Tasks that found no other place then.
    pub(super) without_place: u32,
    /// For how long some serving task there has been over its bound, in milliseconds.
    pub(super) over_for_ms: u64,
    /// What serves there, by image.
    pub(super) serving_images: BTreeMap<Name, Serving>,
    /// What each group of serving tasks there can bear, beside what fills at its paces.
    pub(super) rooms: Vec<Room>,
    /// What fills there, by image.
    pub(super) fill_images: BTreeMap<Name, Filling>,
}

impl Minion {
    pub(super) fn new(info: MinionInfo, agent: Name) -> Self {
        Self {
            info,
            agent,
            linked: false,
            known: false,
            looked: false,
            answers: false,
            used: Demand::default(),
            fill_cpus: 0,
            serving_cpus: 0,
            serving: 0,
            runs: BTreeSet::new(),
            last_end: 0,
            unacknowledged: VecDeque::new(),
            acknowledged: 0,
            acknowledge_again: false,
            failures: 0,
            failed_job: None,
            shunned_ms: 0,
            leaves_ms: 0,
            emptied_ms: 0,
            without_place: 0,
            over_for_ms: 0,
            serving_images: BTreeMap::new(),
            rooms: Vec::new(),
            fill_images: BTreeMap::new(),
        }
    }

    /// Returns what is free.
    pub(super) fn free(&self) -> Demand {
        self.info.capacity - self.used
    }

    /// Returns the processors, in thousandths, that filling tasks there could use together.
    pub(super) fn unused_milli_cpus(&self) -> i64 {
        self.free().milli_cpus + self.serving_cpus * SERVING_UNUSED_CPU_PERCENT / 100
    }

    /// Returns which share of its processors so many thousandths of one are.
    pub(super) fn share(&self, milli_cpus: f64) -> f64 {
        milli_cpus / self.info.capacity.milli_cpus.max(1) as f64
    }

    /// Returns whether it has a label.
    pub(super) fn has_label(&self, label: &Name) -> bool {
        self.info.labels.contains(label)
    }
}
