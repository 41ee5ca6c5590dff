//! Stops of runs whose resources are needed by more urgent tasks.
//!
//! A task of a more urgent job that finds no minion, but can still end in time, takes the place of
//! work that matters less. See docs/design/0703-shares-and-preemption.md.

use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Coordinator;
use super::draining::MIN_MOVE_DURATION_MS;
use super::eligibility::available_resources;
use super::job::Job;
use super::minion::Minion;
use super::placement::{due_ms, lateness};
use super::rejection::Rejection;
use super::run::{OrderState, Run, reserved_resources};
use super::shares::remaining_path_ms;
use crate::shares::{StopBudget, StopCandidate, StopCounts, StopReason, choose_stops};
use crate::tuning::MAX_CONFIRMATION_AGE_MS;
use crate::{Demand, Feature, JobId, Now, StepSpec, TaskId};

/// How often a task is stopped for more urgent ones at most. Without this limit, a task without
/// checkpoints might never end.
const MAX_STOPS_PER_TASK: u8 = 2;
/// How long a best-effort run is suspended before its memory counts as unused, in milliseconds:
/// longer than it takes to revert most changes of pace.
const MIN_SUSPENDED_MS: u64 = 1_000;
/// How long a stopped task is not placed, in milliseconds, so that it does not take the resources
/// back before the task for which it was stopped is placed.
const STOPPED_TASK_DELAY_MS: u64 = 1_000;
/// How long freed resources are held for a task, in milliseconds: longer than a stop and the poll
/// that reports the end may take. After that, other runs may be stopped for the task.
const HOLD_DURATION_MS: u64 = 1_500;
/// Interval in which [`MAX_SEARCHES_PER_INTERVAL`] applies, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 100;
/// Maximum number of tasks for which runs to stop are searched in an interval, because each search
/// checks all runs of the minions without capacity.
const MAX_SEARCHES_PER_INTERVAL: u32 = 16;
/// Delay before runs are searched again for a job for which there were none, in milliseconds.
const FAILED_SEARCH_DELAY_MS: u64 = 300;
/// Time from the beginning of a term until runs are stopped, in milliseconds. A predecessor may
/// have stopped runs already, and the next polls of all minions report their ends.
const TERM_BEGIN_DELAY_MS: u64 = 1_500;
/// Part of the work of a run with checkpoints that a stop loses, as a divisor.
const CHECKPOINT_LOSS_DIVISOR: u64 = 10;

/// Runs that were stopped for more urgent tasks. Kept in memory only: a successor knows none of
/// this, and at worst stops a run that was stopped before.
#[derive(Debug)]
pub(super) struct Preemption {
    term_began_ms: u64,
    budget: StopBudget,
    /// Waiting tasks for which runs were stopped on a minion, and until when the minion's resources
    /// are held for them.
    held: BTreeMap<TaskId, (Name, u64)>,
    /// Stopped tasks: how often they were stopped, and until when they are not placed.
    stopped: BTreeMap<TaskId, (u8, u64)>,
    /// Jobs for which no runs to stop were found, with the time of the next search.
    next_searches: BTreeMap<JobId, u64>,
    interval_began_ms: u64,
    /// Number of tasks for which runs to stop may still be searched in the current interval.
    searches_left: u32,
    /// Resources that become free soon, and for which a waiting task was counted in this round.
    claimed: BTreeMap<Name, Demand>,
    counts: StopCounts,
}

/// How a waiting task gets resources.
#[derive(Debug)]
enum Remedy {
    /// Runs of this minion end soon enough without a stop.
    Wait(Name),
    /// Stop these runs of one minion.
    Stop(Name, Vec<StopCandidate>),
}

impl Preemption {
    pub(super) const fn new(now_ms: u64) -> Self {
        Self {
            term_began_ms: now_ms,
            budget: StopBudget::new(),
            held: BTreeMap::new(),
            stopped: BTreeMap::new(),
            next_searches: BTreeMap::new(),
            interval_began_ms: 0,
            searches_left: 0,
            claimed: BTreeMap::new(),
            counts: StopCounts::new(),
        }
    }

    /// Returns whether a task was stopped too recently to be placed again.
    pub(super) fn is_held_back(&self, task: TaskId, now: Now) -> bool {
        self.stopped.get(&task).is_some_and(|(_, until_ms)| now.steady_ms < *until_ms)
    }

    fn stop_count(&self, task: TaskId) -> u8 {
        self.stopped.get(&task).map_or(0, |(count, _)| *count)
    }
}

impl Coordinator {
    /// Returns how many runs were stopped for more urgent tasks in this term, by reason.
    pub const fn preemption_counts(&self) -> StopCounts {
        self.preemption.counts
    }

    /// Forgets what concerns earlier placement rounds.
    pub(super) fn begin_preemption_round(&mut self, now: Now) {
        if !self.features.contains(Feature::Shares) {
            return;
        }
        let Self { preemption, runs, open_jobs, minions, .. } = self;
        preemption.claimed.clear();
        preemption.held.retain(|task, (minion, until_ms)| {
            now.steady_ms < *until_ms
                && open_jobs.contains(&task.job)
                && !runs.contains_key(task)
                && minions.contains_key(minion)
        });
        preemption.stopped.retain(|task, _| open_jobs.contains(&task.job));
        preemption.next_searches.retain(|_, at_ms| now.steady_ms < *at_ms);
        if now.steady_ms >= preemption.interval_began_ms + SEARCH_INTERVAL_MS {
            preemption.interval_began_ms = now.steady_ms;
            preemption.budget.refill(minions.len(), now.steady_ms);
            preemption.searches_left = MAX_SEARCHES_PER_INTERVAL;
        }
    }

    /// Stops runs that matter less for those of `waiting` that can still be in time. The tasks
    /// belong to one step, and no minion accepts them now.
    pub(super) fn preempt_for(&mut self, waiting: &[TaskId], spec: &StepSpec, now: Now) {
        if !self.features.contains(Feature::Shares) {
            return;
        }
        let may_stop = self.may_stop_for(waiting, spec, now);
        for task in waiting {
            if self.held_for.contains(task) {
                continue;
            }
            if let Some(minion) = self.minion_held_for(*task, spec, now) {
                self.hold_preempted_room(*task, spec, &minion);
                continue;
            }
            if !may_stop || self.preemption.searches_left == 0 {
                continue;
            }
            self.preemption.searches_left -= 1;
            match self.find_remedy(*task, spec, now) {
                Some(Remedy::Wait(minion)) => {
                    *self.preemption.claimed.entry(minion).or_default() += reserved_resources(spec);
                }
                Some(Remedy::Stop(minion, stops)) if self.preemption.budget.take(stops.len()) => {
                    self.stop_for(*task, &minion, &stops, now);
                    self.hold_preempted_room(*task, spec, &minion);
                }
                _ => {
                    let at_ms = now.steady_ms + FAILED_SEARCH_DELAY_MS;
                    self.preemption.next_searches.insert(task.job, at_ms);
                    return;
                }
            }
        }
    }

    /// Returns the minion on which runs were stopped for a task, if it still lacks nothing but their
    /// resources; it may have been lost since, or begun to drain.
    fn minion_held_for(&self, task: TaskId, spec: &StepSpec, now: Now) -> Option<Name> {
        let (id, _) = self.preemption.held.get(&task)?;
        let requirements = self.requirements(task, spec)?;
        let rejection = self.task_rejection(&requirements, self.minions.get(id)?, now);
        (rejection == Some(Rejection::NoCapacity)).then(|| id.clone())
    }

    /// Returns whether runs may be stopped now for waiting tasks of one step.
    ///
    /// While the store commits nothing, a stop would only lose work, because no placement can be
    /// committed.
    fn may_stop_for(&self, waiting: &[TaskId], spec: &StepSpec, now: Now) -> bool {
        let Some(first) = waiting.first() else { return false };
        let Some(job) = self.jobs.get(&first.job) else { return false };
        let preemption = &self.preemption;
        !spec.best_effort
            && !spec.gang
            && !job.record.terms.needs_approval
            && preemption.budget.has_any()
            && !preemption.next_searches.contains_key(&first.job)
            && now.steady_ms >= preemption.term_began_ms + TERM_BEGIN_DELAY_MS
            && now.steady_ms <= self.confirmed_ms + MAX_CONFIRMATION_AGE_MS
            && can_be_in_time(job, now)
    }

    /// Returns how a task can get resources at the smallest cost; `None` if no minion has runs that
    /// matter less and reserve enough.
    fn find_remedy(&self, task: TaskId, spec: &StepSpec, now: Now) -> Option<Remedy> {
        let requirements = self.requirements(task, spec)?;
        let urgent = self.jobs.get(&task.job)?;
        let mut options = Vec::new();
        for (id, minion) in &self.minions {
            if self.task_rejection(&requirements, minion, now) != Some(Rejection::NoCapacity)
                || self.has_overdue_stop(minion, now)
            {
                continue;
            }
            let lacking = self.lacking_soon(minion, spec, now);
            if lacking.fits(Demand::default()) {
                return Some(Remedy::Wait(id.clone()));
            }
            let Some(stops) = choose_stops(lacking, self.stop_candidates(minion, urgent, now))
            else {
                continue;
            };
            let Some(worst) = stops.iter().map(|stop| stop.reason).max() else { continue };
            let lost_work: u64 = stops.iter().map(|stop| stop.lost_work).sum();
            options.push(((worst, lost_work, stops.len()), id, stops));
        }
        let (_, id, stops) = options.into_iter().min_by_key(|(cost, ..)| *cost)?;
        Some(Remedy::Stop(id.clone(), stops))
    }

    /// Returns what a minion lacks for a task of a step once the runs are over that are being
    /// stopped or end about as soon as a stop would take. Negative amounts remain free.
    fn lacking_soon(&self, minion: &Minion, spec: &StepSpec, now: Now) -> Demand {
        let soon = minion.runs.iter().filter(|task| self.ends_soon(**task, now));
        let freed = soon
            .filter_map(|task| self.runs.get(task))
            .fold(Demand::default(), |freed, run| freed + run.reserved);
        let claimed = self.preemption.claimed.get(&minion.info.id).copied().unwrap_or_default();
        reserved_resources(spec) + claimed - available_resources(minion, spec) - freed
    }

    /// Returns whether a run is being stopped, or ends about as soon as a stop would take. A run
    /// whose minion has not carried out the stop in time may go on for long.
    fn ends_soon(&self, task: TaskId, now: Now) -> bool {
        if self.runs.get(&task).is_some_and(Run::is_stopping) {
            return self.preemption.stop_count(task) == 0
                || self.preemption.is_held_back(task, now);
        }
        self.remaining_run_ms(task, now)
            .is_some_and(|remaining_ms| remaining_ms < MIN_MOVE_DURATION_MS)
    }

    /// Returns whether a minion has not carried out a stop in time. It may carry out further stops
    /// no sooner.
    fn has_overdue_stop(&self, minion: &Minion, now: Now) -> bool {
        let is_stopping = |task: &TaskId| self.runs.get(task).is_some_and(Run::is_stopping);
        minion.runs.iter().any(|task| is_stopping(task) && !self.ends_soon(*task, now))
    }

    /// Lists the runs of a minion that may be stopped for a job.
    fn stop_candidates(&self, minion: &Minion, urgent: &Job, now: Now) -> Vec<StopCandidate> {
        let candidate = |task: &TaskId| -> Option<StopCandidate> {
            let (run, spec) = (self.runs.get(task)?, self.step_spec(*task)?);
            let job = self.jobs.get(&task.job)?;
            let is_protected = spec.persistent || spec.is_serving() || spec.gang;
            if is_protected
                || job.record.state.is_final()
                || !matches!(run.order, OrderState::Started { .. })
                || self.preemption.stop_count(*task) >= MAX_STOPS_PER_TASK
                || self.ends_soon(*task, now)
            {
                return None;
            }
            let reason = stop_reason(run, spec, job, urgent, now)?;
            let lost_work = lost_work(run, spec);
            Some(StopCandidate { task: *task, reason, lost_work, frees: run.reserved })
        };
        minion.runs.iter().filter_map(candidate).collect()
    }

    /// Stops runs on a minion, and holds the minion's resources for a task.
    fn stop_for(&mut self, task: TaskId, minion: &Name, stops: &[StopCandidate], now: Now) {
        let hold_until_ms = now.steady_ms + HOLD_DURATION_MS;
        self.preemption.held.insert(task, (minion.clone(), hold_until_ms));
        for stop in stops {
            let StopCandidate { task: stopped, reason, lost_work, frees } = stop;
            self.log(format!(
                "decision=preempt job={} task={stopped} for={task} minion={minion} why={reason} \
                 frees_milli_cpus={} frees_memory_mb={} lost_cpu_ms={lost_work}",
                stopped.job, frees.milli_cpus, frees.memory_mb
            ));
            self.preemption.counts.add(*reason);
            let count = self.preemption.stop_count(*stopped) + 1;
            let not_before_ms = now.steady_ms + STOPPED_TASK_DELAY_MS;
            self.preemption.stopped.insert(*stopped, (count, not_before_ms));
            self.stop_run(*stopped, now);
        }
    }
}

/// Returns whether a job can still end within its objective if its waiting tasks start now. A
/// persistent job always can, because its users wait until it is up.
fn can_be_in_time(job: &Job, now: Now) -> bool {
    let objective_ms = job.record.terms.objective_ms(job.critical_path_ms);
    let age_ms = now.wall_ms.saturating_sub(due_ms(job));
    job.record.spec.is_persistent() || age_ms + remaining_path_ms(job) <= objective_ms
}

/// Returns why a run may be stopped for a job, or `None` if it may not.
fn stop_reason(
    run: &Run,
    spec: &StepSpec,
    job: &Job,
    urgent: &Job,
    now: Now,
) -> Option<StopReason> {
    if lateness(job, now) >= 2 {
        return Some(StopReason::PastValue);
    }
    let (priority, urgent_priority) = (job.record.terms.priority, urgent.record.terms.priority);
    let is_suspended = spec.best_effort
        && run.pace_percent == 0
        && run
            .throttled_since_ms
            .is_some_and(|since_ms| now.steady_ms >= since_ms + MIN_SUSPENDED_MS);
    if is_suspended && priority >= urgent_priority {
        return Some(StopReason::StandsStill);
    }
    (priority > urgent_priority).then_some(if spec.best_effort {
        StopReason::BestEffort
    } else {
        StopReason::LowerPriority
    })
}

/// Returns the work that a stop of a run loses, in processor milliseconds.
fn lost_work(run: &Run, spec: &StepSpec) -> u64 {
    let milli_cpus = u64::try_from(spec.demand.milli_cpus).unwrap_or(0);
    let work = milli_cpus * u64::from(spec.estimate_ms) / 1_000;
    let done = work * u64::from(run.progress_percent) / 100;
    if spec.checkpoints { done / CHECKPOINT_LOSS_DIVISOR } else { done }
}
