use std::collections::{BTreeMap, BTreeSet, VecDeque};

use geraniumpost_schema::Name;

use super::best_effort_tasks::BestEffortTasks;
use super::group_headroom::GroupHeadroom;
use super::serving_tasks::ServingTasks;
use super::young_run::YoungRun;
use crate::failure_odds::MinionEvidence;
use crate::tuning::SERVING_UNUSED_CPU_PERCENT;
use crate::{Demand, JobId, MinionInfo, Now, TaskId};

/// Age of the last poll from which a minion may be down, in milliseconds: two polls, which are due
/// every 0.4 s, were missed.
const MISSED_POLLS_AGE_MS: u64 = 800;

/// A minion as the coordinator knows it: reported properties, link and reserved resources.
#[derive(Debug)]
pub(super) struct Minion {
    pub(super) info: MinionInfo,
    pub(super) agent: Name,
    /// Whether the link from the minion's agent is open.
    pub(super) linked: bool,
    /// Whether the minion has been reported to this coordinator; otherwise it is known only from
    /// job records.
    pub(super) reported: bool,
    /// Whether the minion was polled over the current link.
    pub(super) polled: bool,
    /// Whether heartbeats arrive and report that the minion responds to its agent.
    pub(super) responsive: bool,
    /// Whether the minion left an order without a response, and has responded to no order and no
    /// poll since then. It may have crashed.
    pub(super) left_order_unanswered: bool,
    /// Whether operators have evacuated the minion's failure domain.
    pub(super) domain_evacuated: bool,
    /// Resources reserved by the runs on the minion; best-effort runs reserve no processors.
    pub(super) reserved: Demand,
    /// Resources reserved by persistent runs, which do not end by themselves.
    pub(super) persistent_reserved: Demand,
    /// Resources that are held for persistent tasks that lost their run, as of the last placement
    /// round.
    pub(super) held: Demand,
    /// Processors that its best-effort runs could use, in thousandths of a processor.
    pub(super) best_effort_milli_cpus: i64,
    /// Processors that its serving runs reserve, in thousandths of a processor.
    pub(super) serving_milli_cpus: i64,
    pub(super) runs: BTreeSet<TaskId>,
    /// Tasks whose second run is on the minion.
    pub(super) copies: BTreeSet<TaskId>,
    /// Young runs that ended with the last expiry of the minion's lease. They are suspected if the
    /// minion turns out to have crashed, and forgotten if it responds again.
    pub(super) expired_runs: Vec<YoungRun>,
    /// Time of that expiry, on the monotonic clock.
    pub(super) runs_expired_ms: u64,
    /// Sequence number of the last handled end of a run.
    pub(super) last_end_sequence: u64,
    /// Ends of runs that were handled but not acknowledged: sequence number, and the job and the
    /// version of its record that must be durable first.
    pub(super) unacknowledged: VecDeque<(u64, Option<(JobId, u64)>)>,
    /// Sequence number of the last acknowledged end.
    pub(super) acknowledged_up_to: u64,
    /// Whether the minion listed an end again that had been acknowledged.
    pub(super) resend_acknowledgement: bool,
    /// Failures since the last successful run; consecutive failures of one job count once.
    pub(super) consecutive_failures: u32,
    /// Job of the last counted failure; further failures of this job are not counted until another
    /// job fails or a run succeeds.
    pub(super) last_failed_job: Option<JobId>,
    /// Time at which a poll last listed the running tasks, on the monotonic clock.
    pub(super) last_polled_ms: u64,
    /// What the ends of runs tell about the minion, with
    /// [`Feature::Stragglers`](crate::Feature::Stragglers) instead of the two counts above.
    pub(super) evidence: MinionEvidence,
    /// Time before which no task is placed on the minion, on the monotonic clock.
    pub(super) quarantined_until_ms: u64,
    /// Earliest time at which a draining minion terminates, on the monotonic clock.
    pub(super) drain_deadline_ms: u64,
    /// Time of the last attempt to evacuate the minion, on the monotonic clock.
    pub(super) last_evacuation_ms: u64,
    /// Number of tasks that found no eligible minion in the last evacuation.
    pub(super) tasks_without_place: u32,
    /// Longest time for which any serving run has been over its latency bound, in milliseconds; 0
    /// if none is.
    pub(super) over_latency_bound_ms: u64,
    /// Number and tail latency of the serving runs, by image.
    pub(super) serving_images: BTreeMap<Name, ServingTasks>,
    /// Headroom of each group of serving runs at the current paces of the best-effort runs.
    pub(super) headroom: Vec<GroupHeadroom>,
    /// Number, processors and pace of the best-effort runs, by image.
    pub(super) best_effort_images: BTreeMap<Name, BestEffortTasks>,
}

impl Minion {
    pub(super) fn new(info: MinionInfo, agent: Name) -> Self {
        Self {
            info,
            agent,
            linked: false,
            reported: false,
            polled: false,
            responsive: false,
            left_order_unanswered: false,
            domain_evacuated: false,
            reserved: Demand::default(),
            persistent_reserved: Demand::default(),
            held: Demand::default(),
            best_effort_milli_cpus: 0,
            serving_milli_cpus: 0,
            runs: BTreeSet::new(),
            copies: BTreeSet::new(),
            expired_runs: Vec::new(),
            runs_expired_ms: 0,
            last_end_sequence: 0,
            unacknowledged: VecDeque::new(),
            acknowledged_up_to: 0,
            resend_acknowledgement: false,
            consecutive_failures: 0,
            last_failed_job: None,
            last_polled_ms: 0,
            evidence: MinionEvidence::default(),
            quarantined_until_ms: 0,
            drain_deadline_ms: 0,
            last_evacuation_ms: 0,
            tasks_without_place: 0,
            over_latency_bound_ms: 0,
            serving_images: BTreeMap::new(),
            headroom: Vec::new(),
            best_effort_images: BTreeMap::new(),
        }
    }

    /// Returns the minion's capacity without the resources that runs reserve.
    pub(super) fn unreserved(&self) -> Demand {
        self.info.capacity - self.reserved
    }

    /// Returns the processors that best-effort runs could use together, in thousandths of a
    /// processor.
    pub(super) fn unused_milli_cpus(&self) -> i64 {
        self.unreserved().milli_cpus + self.serving_milli_cpus * SERVING_UNUSED_CPU_PERCENT / 100
    }

    /// Returns whether the minion has missed polls. A suspect that is started there now may get no
    /// response, and the crash that has happened would count against it.
    pub(super) const fn may_be_down(&self, now: Now) -> bool {
        now.steady_ms > self.last_polled_ms + MISSED_POLLS_AGE_MS
    }

    /// Converts thousandths of a processor to a fraction of the minion's capacity.
    pub(super) fn cpu_share(&self, milli_cpus: f64) -> f64 {
        milli_cpus / self.info.capacity.milli_cpus.max(1) as f64
    }

    pub(super) fn has_label(&self, label: &Name) -> bool {
        self.info.labels.contains(label)
    }
}
