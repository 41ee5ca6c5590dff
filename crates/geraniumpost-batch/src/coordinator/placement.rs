//! The order in which tasks are placed, and the choice of minions.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::commits::DeferredAction;
use super::crashes::SuspectPenalty;
use super::eligibility::{available_resources, is_eligible_for_step};
use super::failure_odds::MinionDoubt;
use super::headroom::BestEffortSpeed;
use super::isolation_limits::must_be_isolated;
use super::job::{Job, is_interrupted, is_interrupted_too_long, ready_steps};
use super::minion::Minion;
use super::run::{OrderState, Run, reserved_resources};
use crate::{JobId, JobRecord, Now, Place, StepSpec, TaskId, TaskPhase, TaskRecord};

/// Minimum speed assumed for any minion, as a fraction of full speed, so that minions remain
/// comparable.
const MIN_ASSUMED_SPEED: f64 = 0.01;
/// Weight of the headroom share that a best-effort task uses, relative to its speed.
const HEADROOM_WEIGHT: f64 = 0.3;
/// Factor by which the costs of best-effort tasks, in fractions of full speed, become integers:
/// they are compared in millionths.
const COST_SCALE: f64 = 1e6;
const MILLI_CPUS_PER_CPU: i64 = 1_000;
/// Order in which jobs are placed; compared field by field, smaller first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// 0 for a job within its objective, 1 for a late job that still has value, 2 for any other.
    lateness: u8,
    /// The queue's priority; 0 is the most urgent.
    priority: u32,
    /// Whether the job ends, and whether it is interrupted.
    kind: JobKind,
    /// Whether the job has not waited long enough to go ahead of others (see
    /// [`Coordinator::update_jobs_ahead`]); always true without [`Feature::Shares`].
    in_turn: bool,
    /// Remaining work, in processor milliseconds. Under overload, placing the job with the least
    /// work first completes the most jobs in time; ordered by the end of their objectives, all jobs
    /// would be late together.
    remaining_work: u64,
    /// End of the job's latency objective, in milliseconds since 1970.
    objective_ends_ms: u64,
}

/// Order in which jobs of one priority are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum JobKind {
    /// A persistent job that has been interrupted for [`MAX_INTERRUPTION_MS`]. Its users notice the
    /// absence of a task that ran, and its waiting tasks need only resources that they had before.
    InterruptedTooLong,
    /// A job that ends, and then releases its resources.
    Ending,
    /// A persistent job with a task that lost its run.
    Interrupted,
    /// A persistent job without such a task. It never releases resources for the next job.
    Persistent,
}

/// Reasons against placing a task on a minion; compared field by field, smaller is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementPenalty {
    /// Whether the minion starts a suspect. If that crashes the minion, whatever is started beside it
    /// is lost and suspected as well.
    starts_suspect: bool,
    /// Reasons against a task under which minions have crashed.
    suspect: SuspectPenalty,
    /// Whether the task's last run failed or was refused on the minion.
    avoided: bool,
    /// How little is known in favor of the minion.
    doubt: MinionDoubt,
    /// Whether the minion is not on the preferred rack.
    off_rack: bool,
    /// Cost of the minion's load; for best-effort tasks the negative speed in millionths, corrected
    /// for the headroom and the unused processors.
    cost: i64,
}

impl Coordinator {
    /// Places all waiting tasks that a minion accepts, in the order of their jobs' ranks.
    pub(super) fn place_waiting_tasks(&mut self, now: Now) {
        self.placement_due = false;
        self.record_interruptions(now);
        self.update_jobs_ahead(now);
        let mut order: Vec<(Rank, JobId)> = self
            .open_jobs
            .iter()
            .filter_map(|id| Some((rank(self.jobs.get(id)?, !self.is_ahead(*id), now), *id)))
            .collect();
        order.sort_unstable();
        self.unplaceable.clear();
        self.tasks_wait_for_room = false;
        self.update_isolation();
        self.release_held_room();
        self.begin_preemption_round(now);
        self.approvals.begin_round();
        if self.divides_by_weights() {
            self.place_by_shares(&order, now);
        } else {
            for (_, id) in order {
                self.place_job(id, usize::MAX, now);
            }
        }
        self.request_next_approval(now);
    }

    /// Records since when persistent jobs have been interrupted.
    fn record_interruptions(&mut self, now: Now) {
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let interrupted = job.record.spec.is_persistent() && is_interrupted(&job.record);
            job.interrupted_since_ms =
                interrupted.then(|| job.interrupted_since_ms.unwrap_or(now.steady_ms));
        }
    }

    /// Places waiting tasks of a job, and returns how many were placed. No further step is begun
    /// once `limit` tasks are placed, and only a gang exceeds the limit.
    pub(super) fn place_job(&mut self, id: JobId, limit: usize, now: Now) -> usize {
        let idle = self.tasks_with_runs(id).is_empty();
        let Some(job) = self.jobs.get_mut(&id) else { return 0 };
        job.idle_since_ms = idle.then(|| job.idle_since_ms.unwrap_or(now.steady_ms));
        let ready = ready_steps(&job.record);
        let mut placed = 0;
        for (occurrence, step) in ready {
            if placed >= limit {
                break;
            }
            placed += self.place_step(id, occurrence, step, limit - placed, now);
        }
        if placed > 0 {
            self.mark_dirty(id);
        }
        placed
    }

    /// Places up to `limit` waiting tasks of one step, or a gang, and returns how many were placed.
    fn place_step(
        &mut self,
        id: JobId,
        occurrence: u32,
        step: u16,
        limit: usize,
        now: Now,
    ) -> usize {
        let first = TaskId { job: id, occurrence, step, index: 0 };
        let Some(spec) = self.step_spec(first).cloned() else { return 0 };
        let mut waiting = self.tasks_to_place(first, &spec, now);
        if !spec.gang {
            waiting.truncate(limit);
        }
        if waiting.is_empty() || (spec.gang && waiting.len() < spec.count as usize) {
            return 0;
        }
        let rack = self.preferred_rack(first, &spec, waiting.len(), now);
        let gang_run = spec.gang.then(|| self.next_gang_run_number(first, &spec));
        let mut placed = Vec::new();
        let wanted = waiting.len();
        for &task in &waiting {
            let idle = self.is_job_idle(task, now);
            if !idle && self.is_unplaceable(id, &spec) {
                break;
            }
            let Some(minion) = self.choose_minion(task, &spec, rack.as_ref(), now) else {
                if must_be_isolated(self.unexplained_crash_count(task)) && !spec.gang {
                    // The others may be placed beside what this one must not be placed beside.
                    continue;
                }
                // Tasks of a step have the same requirements, and no minion accepts the others
                // either.
                self.record_unplaceable(id, &spec);
                break;
            };
            self.assign_task(task, &minion, gang_run, now);
            placed.push(task);
        }
        // A suspect that has to be isolated waits for its turn and not for resources.
        let waits_for_room = |task: &&TaskId| {
            !placed.contains(*task) && !must_be_isolated(self.unexplained_crash_count(**task))
        };
        let unplaced: Vec<TaskId> = waiting.iter().filter(waits_for_room).copied().collect();
        if placed.len() < wanted {
            self.await_approval(first, now);
        }
        self.tasks_wait_for_room |= !spec.best_effort && !unplaced.is_empty();
        if spec.gang && placed.len() < spec.count as usize {
            self.roll_back_placements(&placed);
            return 0;
        }
        self.hold_room(&unplaced, &spec, now);
        self.preempt_for(&unplaced, &spec, now);
        if let Some(task) = placed.first() {
            let count = placed.len();
            let minion =
                self.runs.get(task).map(|run| run.place.minion.clone()).unwrap_or_default();
            self.log(format!(
                "decision=place job={id} step={occurrence}.{step} tasks={count} first_on={minion}"
            ));
        }
        placed.len()
    }

    /// Reverts placements of this round, because the rest of their gang was not placed.
    fn roll_back_placements(&mut self, placed: &[TaskId]) {
        for task in placed {
            self.remove_run(*task);
            self.update_tasks(*task, false, |record| {
                record.run -= 1;
                record.phase = TaskPhase::Waiting;
            });
            if let Some(job) = self.jobs.get_mut(&task.job) {
                let is_start = |action: &DeferredAction| matches!(action, DeferredAction::Start(t, _) if t == task);
                job.after_commit.retain(|action| !is_start(action));
            }
        }
    }

    fn tasks_to_place(&self, first: TaskId, spec: &StepSpec, now: Now) -> Vec<TaskId> {
        let Some(job) = self.jobs.get(&first.job) else { return Vec::new() };
        let is_ready = |task: &TaskId| {
            job.next_placements.get(task).is_none_or(|next| next.not_before_ms <= now.steady_ms)
        };
        let waits = |task: &TaskId| {
            !self.runs.contains_key(task)
                && !self.copies.contains_key(task)
                && self.task_record(*task).is_some_and(|r| r.phase == TaskPhase::Waiting)
        };
        (0..spec.count)
            .map(|index| TaskId { index, ..first })
            .filter(|task| is_ready(task) && waits(task))
            .filter(|task| self.remaining_report_wait_ms(*task, now) == 0)
            .filter(|task| !self.preemption.is_held_back(*task, now))
            .collect()
    }

    fn next_gang_run_number(&self, first: TaskId, spec: &StepSpec) -> u32 {
        let runs = (0..spec.count).map(|index| TaskId { index, ..first });
        let runs = runs.filter_map(|task| self.task_record(task)).map(|record| record.run);
        runs.max().unwrap_or(0) + 1
    }

    /// Assigns a task to a minion. The start order is sent once the assignment is committed.
    fn assign_task(&mut self, task: TaskId, minion: &Name, run: Option<u32>, now: Now) {
        let Some(agent) = self.minions.get(minion).map(|m| m.agent.clone()) else { return };
        let place = Place { minion: minion.clone(), agent };
        let next = self.jobs.get(&task.job).and_then(|job| job.next_placements.get(&task));
        let last_copy_run = next.map_or(0, |next| next.last_copy_run);
        let mut number = 0;
        self.update_tasks(task, false, |record| {
            record.run = run.unwrap_or(record.run.max(last_copy_run) + 1);
            record.phase = TaskPhase::Placed(place.clone());
            number = record.run;
        });
        let spec = self.step_spec(task).cloned().unwrap_or_default();
        let run = Run::new(place, number, OrderState::Committing, &spec, now.steady_ms);
        self.insert_run(task, run);
        self.record_suspect_start(task, minion);
        self.limit_first_pace(task, minion, now);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.after_commit.push(DeferredAction::Start(task, number));
        }
    }

    /// Returns whether any minion accepts a new run of a task now.
    pub(super) fn has_eligible_minion(&self, task: TaskId, now: Now) -> bool {
        let Some(spec) = self.step_spec(task) else { return false };
        self.choose_minion(task, spec, None, now).is_some()
    }

    /// Returns the minion that suits a task best, or `None` if no minion accepts it.
    pub(super) fn choose_minion(
        &self,
        task: TaskId,
        spec: &StepSpec,
        rack: Option<&Name>,
        now: Now,
    ) -> Option<Name> {
        self.choose_other_minion(task, spec, rack, None, now)
    }

    /// Returns the minion that suits a copy of a task best, or `None` if no minion accepts it
    /// beside `original`, the minion of the task's run.
    pub(super) fn choose_minion_for_copy(
        &self,
        task: TaskId,
        spec: &StepSpec,
        original: &Name,
        now: Now,
    ) -> Option<Name> {
        let rack = self.preferred_rack(task, spec, 1, now);
        self.choose_other_minion(task, spec, rack.as_ref(), Some(original), now)
    }

    fn choose_other_minion(
        &self,
        task: TaskId,
        spec: &StepSpec,
        rack: Option<&Name>,
        excluded: Option<&Name>,
        now: Now,
    ) -> Option<Name> {
        let job = self.jobs.get(&task.job)?;
        let requirements = self.requirements(task, spec)?;
        let avoided_minion =
            job.next_placements.get(&task).and_then(|next| next.avoided_minion.as_ref());
        let is_eligible =
            |minion: &&Minion| self.task_rejection(&requirements, minion, now).is_none();
        let is_other = |minion: &&Minion| excluded != Some(&minion.info.id);
        let is_last_attempt = self.is_last_attempt(task, spec);
        let penalty = |minion: &&Minion| -> PlacementPenalty {
            let off_rack = rack.is_some_and(|rack| !minion.has_label(rack));
            let avoided = avoided_minion == Some(&minion.info.id);
            let starts_suspect = self.suspect_starts.contains(&minion.info.id);
            let suspect = self.suspect_penalty(requirements.crashes(), minion, now);
            let doubt = self.minion_doubt(minion, is_last_attempt, now);
            let cost = self.placement_cost(minion, spec);
            PlacementPenalty { starts_suspect, suspect, avoided, doubt, off_rack, cost }
        };
        let is_fast_enough = |minion: &&Minion| {
            !spec.best_effort
                || self.accepts_speed(task, spec, self.best_effort_speed(minion, spec), now)
        };
        let best = self
            .minions
            .values()
            .filter(is_other)
            .filter(is_eligible)
            .filter(is_fast_enough)
            .min_by_key(penalty)?;
        Some(best.info.id.clone())
    }

    /// Returns the cost of placing a task on a minion that accepts it; smaller is better.
    ///
    /// A best-effort task goes where it works fastest without slowing serving tasks, preferably
    /// where it uses little of their headroom, because other images may fit on no other minion. A
    /// serving task goes where it leaves the most headroom for best-effort tasks, and any other
    /// task where the most processors are free.
    fn placement_cost(&self, minion: &Minion, spec: &StepSpec) -> i64 {
        /// Weight of one level of [`image_mixing_cost`], in thousandths of a processor.
        const IMAGE_MIXING_WEIGHT: i64 = 1_000_000;
        let free_milli_cpus = minion.unreserved().milli_cpus;
        if spec.best_effort {
            let BestEffortSpeed {
                speed_on_unused_cpus,
                tolerated_speed,
                headroom_share,
                budget_share,
            } = self.best_effort_speed(minion, spec);
            // Among minions at full speed, the minion with the most unused processors can sustain
            // full speed longest.
            let unused_milli_cpus = minion.unused_milli_cpus() - minion.best_effort_milli_cpus;
            let cost = HEADROOM_WEIGHT * headroom_share * (1.0 + budget_share)
                - speed_on_unused_cpus * tolerated_speed.max(MIN_ASSUMED_SPEED);
            return (cost * COST_SCALE) as i64 - unused_milli_cpus / MILLI_CPUS_PER_CPU;
        }
        if spec.is_serving() {
            return image_mixing_cost(minion, &spec.image) * IMAGE_MIXING_WEIGHT + free_milli_cpus;
        }
        -free_milli_cpus + minion.best_effort_milli_cpus
    }

    /// Returns the preferred rack of a step: the rack that stores its data, or for a step with
    /// `same_rack` the rack of a placed task, else the rack that can take the largest number of the
    /// tasks. Returns `None` if the step prefers no rack or no rack has an eligible minion.
    pub(super) fn preferred_rack(
        &self,
        first: TaskId,
        spec: &StepSpec,
        tasks: usize,
        now: Now,
    ) -> Option<Name> {
        if !spec.data_rack.is_empty() {
            return Some(spec.data_rack.clone());
        }
        if !spec.same_rack {
            return None;
        }
        let mut others = (0..spec.count).map(|index| TaskId { index, ..first });
        let placed = others.find_map(|task| self.runs.get(&task));
        if let Some(minion) = placed.and_then(|run| self.minions.get(&run.place.minion)) {
            return minion.info.labels.last().cloned();
        }
        let service = &self.jobs.get(&first.job)?.record.terms.service;
        let mut racks: std::collections::BTreeMap<&Name, usize> = std::collections::BTreeMap::new();
        for minion in self.minions.values().filter(|m| is_eligible_for_step(m, service, spec, now))
        {
            if let Some(rack) = minion.info.labels.last() {
                *racks.entry(rack).or_default() += task_capacity(minion, spec);
            }
        }
        let best = racks.into_iter().max_by_key(|(_, capacity)| (*capacity).min(tasks))?;
        Some(best.0.clone())
    }
}

/// Returns how many tasks of a step a minion can take.
fn task_capacity(minion: &Minion, spec: &StepSpec) -> usize {
    let (free, need) = (available_resources(minion, spec), reserved_resources(spec));
    let count_by = |free: i64, need: i64| if need > 0 { free.max(0) / need } else { i64::MAX };
    count_by(free.milli_cpus, need.milli_cpus)
        .min(count_by(free.memory_mb, need.memory_mb))
        .min(count_by(free.accelerators, need.accelerators))
        .min(i64::from(spec.count)) as usize
}

impl Rank {
    /// Returns whether jobs of two ranks compete for shares; if they do not, the smaller rank goes
    /// first whatever its queue uses.
    pub(super) fn shares_with(&self, other: &Self) -> bool {
        let class = |rank: &Self| (rank.lateness, rank.priority, rank.kind, rank.in_turn);
        class(self) == class(other)
    }
}

fn rank(job: &Job, in_turn: bool, now: Now) -> Rank {
    let terms = &job.record.terms;
    Rank {
        lateness: lateness(job, now),
        priority: terms.priority,
        kind: job_kind(job, now),
        in_turn,
        remaining_work: if job.record.spec.is_persistent() {
            0
        } else {
            remaining_work(&job.record)
        },
        objective_ends_ms: due_ms(job) + terms.objective_ms(job.critical_path_ms),
    }
}

/// Returns 0 for a job within its objective, 1 for a late job that still has value, 2 for any
/// other.
pub(super) fn lateness(job: &Job, now: Now) -> u8 {
    let objective_ms = job.record.terms.objective_ms(job.critical_path_ms);
    let age_ms = now.wall_ms.saturating_sub(due_ms(job));
    // A late job still has value up to three times its objective, and none after that.
    if job.record.spec.is_persistent() || age_ms <= objective_ms {
        0
    } else if age_ms <= 3 * objective_ms {
        1
    } else {
        2
    }
}

/// Returns when the oldest occurrence of a job was due, in milliseconds since 1970.
pub(super) fn due_ms(job: &Job) -> u64 {
    job.record.occurrences.first().map_or(job.record.accepted_ms, |o| o.due_ms)
}

fn job_kind(job: &Job, now: Now) -> JobKind {
    if !job.record.spec.is_persistent() {
        JobKind::Ending
    } else if is_interrupted_too_long(job, now) {
        JobKind::InterruptedTooLong
    } else if job.interrupted_since_ms.is_some() {
        JobKind::Interrupted
    } else {
        JobKind::Persistent
    }
}

/// Returns the remaining work of a job by its estimates, in processor milliseconds.
pub(super) fn remaining_work(record: &JobRecord) -> u64 {
    let steps = record.occurrences.iter().flat_map(|o| o.steps.iter().zip(&record.spec.steps));
    let of_step = |(tasks, spec): (&Vec<TaskRecord>, &StepSpec)| {
        let left = tasks.iter().filter(|task| task.phase != TaskPhase::Done).count() as u64;
        let milli_cpus = u64::try_from(spec.demand.milli_cpus).unwrap_or(0);
        left * milli_cpus * u64::from(spec.estimate_ms) / 1_000
    };
    steps.map(of_step).sum()
}

/// Returns how much a serving task of an image would restrict which best-effort images may run on a
/// minion; smaller is better.
///
/// A best-effort image has to be harmless to every serving image of its minion, and about two pairs
/// of images in five are harmless. Serving tasks of one image are therefore placed on the same
/// minions, and the other serving images share minions that already run several of them.
fn image_mixing_cost(minion: &Minion, image: &Name) -> i64 {
    let has_image = minion.serving_images.contains_key(image);
    match (has_image, minion.serving_images.len()) {
        (true, 1) => 0,
        (true, _) => 1,
        (false, 2..) => 2,
        (false, 1) => 3,
        (false, _) => 4,
    }
}
