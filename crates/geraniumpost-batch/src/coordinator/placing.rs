//! Which task is placed next, and where.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::barring::unsuitable;
use super::commits::Deferred;
use super::job::Job;
use super::minion::Minion;
use super::rooms::FillSpeed;
use super::run::{OrderState, Run, occupied};
use crate::tuning::{BEST_EFFORT_MEMORY_PERCENT, PERSISTENT_CPU_PERCENT};
use crate::{Demand, JobId, JobRecord, Now, Place, StepSpec, TaskId, TaskPhase, TaskRecord};

/// Least share of its speed that is told of any place, so that places stay comparable.
const LEAST_SPEED: f64 = 0.01;
/// Weight of what a filling task spends of what serving tasks can bear, against its speed.
const SPENT_ROOM: f64 = 0.3;
/// Costs are compared in millionths of a task's speed.
const MILLION: f64 = 1e6;
/// Thousandths in one.
const MILLI: i64 = 1_000;

/// Which jobs go first; compared field by field, smaller first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// 0 in time, 1 late but still worth something, 2 neither.
    lateness: u8,
    /// The queue's urgency; 0 is the most urgent.
    priority: u32,
    /// Whether it is never done, and so never makes room for the next.
    lasts: bool,
    /// Work that is left of it, in processor milliseconds. When more is asked for than fits, the least first
    /// lets most jobs be done in time; by the end of their objectives all would be late together.
    work_left: u64,
    /// When the objective ends, in milliseconds since 1970.
    objective_ends_ms: u64,
}

/// How well a place suits; compared field by field, smaller is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    /// The last run went wrong there.
    avoided: bool,
    /// It is not on the wanted rack.
    far: bool,
    /// How little it suits by load; for filling tasks their speed, negative, in millionths.
    cost: i64,
}

impl Coordinator {
    /// Places all waiting tasks that find room, in the order of their jobs' ranks.
    pub(super) fn place_waiting(&mut self, now: Now) {
        self.placing_due = false;
        let mut order: Vec<(Rank, JobId)> =
            self.open.iter().filter_map(|id| Some((rank(self.jobs.get(id)?, now), *id))).collect();
        order.sort_unstable();
        self.unplaceable.clear();
        for (_, id) in order {
            self.place_job(id, now);
        }
    }

    fn place_job(&mut self, id: JobId, now: Now) {
        let idle = self.runs_of(id).is_empty();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.idle_ms = idle.then(|| job.idle_ms.unwrap_or(now.steady_ms));
        let ready = ready_steps(&job.record);
        let mut placed = 0;
        for (occurrence, step) in ready {
            placed += self.place_step(id, occurrence, step, now);
        }
        if placed > 0 {
            self.touch(id);
        }
    }

    /// Places the waiting tasks of one step; returns how many.
    fn place_step(&mut self, id: JobId, occurrence: u32, step: u16, now: Now) -> u32 {
        let first = TaskId { job: id, occurrence, step, index: 0 };
        let Some(spec) = self.step_spec(first).cloned() else { return 0 };
        let waiting = self.waiting_tasks(first, &spec, now);
        if waiting.is_empty() || (spec.gang && waiting.len() < spec.count as usize) {
            return 0;
        }
        let rack = self.wanted_rack(first, &spec, waiting.len(), now);
        let gang_run = spec.gang.then(|| self.next_gang_run(first, &spec));
        let mut placed = Vec::new();
        let wanted = waiting.len();
        for task in waiting {
            let idle = self.is_idle(task, now);
            if !idle && self.is_unplaceable(id, &spec) {
                break;
            }
            let Some(minion) = self.choose(task, &spec, rack.as_ref(), now) else {
                // Tasks of a step ask for the same, so that the others find no room either.
                self.note_unplaceable(id, &spec);
                break;
            };
            self.assign(task, &minion, gang_run, now);
            placed.push(task);
        }
        let approval = self.jobs.get(&id).is_some_and(|job| job.record.terms.needs_approval);
        if approval && placed.len() < wanted {
            self.ask_approval(first, &spec, now);
        }
        if spec.gang && placed.len() < spec.count as usize {
            self.take_back(&placed);
            return 0;
        }
        if let Some(task) = placed.first() {
            let count = placed.len();
            let minion =
                self.runs.get(task).map(|run| run.place.minion.clone()).unwrap_or_default();
            self.note(format!(
                "decision=place job={id} step={occurrence}.{step} tasks={count} first_on={minion}"
            ));
        }
        placed.len() as u32
    }

    /// Takes placements back that were decided just now, as the rest of their gang found no room.
    fn take_back(&mut self, placed: &[TaskId]) {
        for task in placed {
            self.remove_run(*task);
            self.change_tasks(*task, false, |record| {
                record.run -= 1;
                record.phase = TaskPhase::Waiting;
            });
            if let Some(job) = self.jobs.get_mut(&task.job) {
                let waits = |then: &Deferred| matches!(then, Deferred::Start(t, _) if t == task);
                job.after_commit.retain(|then| !waits(then));
            }
        }
    }

    fn waiting_tasks(&self, first: TaskId, spec: &StepSpec, now: Now) -> Vec<TaskId> {
        let Some(job) = self.jobs.get(&first.job) else { return Vec::new() };
        let may_begin = |task: &TaskId| {
            job.hints.get(task).is_none_or(|hint| hint.not_before_ms <= now.steady_ms)
        };
        let waits = |task: &TaskId| {
            !self.runs.contains_key(task)
                && self.task_record(*task).is_some_and(|r| r.phase == TaskPhase::Waiting)
        };
        (0..spec.count)
            .map(|index| TaskId { index, ..first })
            .filter(|task| may_begin(task) && waits(task))
            .collect()
    }

    fn next_gang_run(&self, first: TaskId, spec: &StepSpec) -> u32 {
        let runs = (0..spec.count).map(|index| TaskId { index, ..first });
        let runs = runs.filter_map(|task| self.task_record(task)).map(|record| record.run);
        runs.max().unwrap_or(0) + 1
    }

    /// Gives a task its place; its start order leaves once this is committed.
    fn assign(&mut self, task: TaskId, minion: &Name, run: Option<u32>, now: Now) {
        let Some(agent) = self.minions.get(minion).map(|m| m.agent.clone()) else { return };
        let place = Place { minion: minion.clone(), agent };
        let mut number = 0;
        self.change_tasks(task, false, |record| {
            record.run = run.unwrap_or(record.run + 1);
            record.phase = TaskPhase::Placed(place.clone());
            number = record.run;
        });
        let spec = self.step_spec(task).cloned().unwrap_or_default();
        let run = Run::new(place, number, OrderState::Committing, &spec, now.steady_ms);
        self.insert_run(task, run);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.after_commit.push(Deferred::Start(task, number));
        }
    }

    /// Returns whether a task could be placed on another minion than its present one.
    pub(super) fn has_other_place(&self, task: TaskId, now: Now) -> bool {
        let Some(spec) = self.step_spec(task) else { return false };
        self.choose(task, spec, None, now).is_some()
    }

    /// Chooses the minion for a task.
    pub(super) fn choose(
        &self,
        task: TaskId,
        spec: &StepSpec,
        rack: Option<&Name>,
        now: Now,
    ) -> Option<Name> {
        let job = self.jobs.get(&task.job)?;
        let needs = self.needs(task, spec)?;
        let avoid = job.hints.get(&task).and_then(|hint| hint.avoid.as_ref());
        let fits = |minion: &&Minion| self.barred(&needs, minion, now).is_none();
        let fit = |minion: &&Minion| -> Fit {
            let far = rack.is_some_and(|rack| !minion.has_label(rack));
            let avoided = avoid == Some(&minion.info.id);
            Fit { avoided, far, cost: self.preference(minion, spec) }
        };
        let fast = |minion: &&Minion| {
            !spec.best_effort || self.takes(task, spec, self.fill_speed(minion, spec), now)
        };
        let best = self.minions.values().filter(fits).filter(fast).min_by_key(fit)?;
        Some(best.info.id.clone())
    }

    /// Returns how little a minion suits a task that fits there.
    ///
    /// What fills goes where it will work fastest without harm, and rather where it spends little of what
    /// serving tasks can bear: other images may have no other place. What serves goes where it leaves most
    /// to what fills, and the rest where most is free.
    fn preference(&self, minion: &Minion, spec: &StepSpec) -> i64 {
        /// Weight of one serving task against processors, in thousandths of a processor.
        const BESIDE_SERVING: i64 = 1_000_000;
        let free_cpus = minion.free().milli_cpus;
        if spec.best_effort {
            let FillSpeed { unused, harmless, spent } = self.fill_speed(minion, spec);
            // Among minions at full speed, the one with the most room keeps it longest.
            let left = minion.unused_milli_cpus() - minion.fill_cpus;
            let cost = SPENT_ROOM * spent - unused * harmless.max(LEAST_SPEED);
            return (cost * MILLION) as i64 - left / MILLI;
        }
        if spec.serves() {
            return mixing_cost(minion, &spec.image) * BESIDE_SERVING + free_cpus;
        }
        -free_cpus + minion.fill_cpus
    }

    /// Returns the rack on which a step's tasks should run: where its data lies, where its other
    /// tasks run, or where all of them fit.
    pub(super) fn wanted_rack(
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
        for minion in self.minions.values().filter(|m| suits(m, service, spec, now)) {
            if let Some(rack) = minion.info.labels.last() {
                *racks.entry(rack).or_default() += how_many(minion, spec);
            }
        }
        let best = racks.into_iter().max_by_key(|(_, room)| (*room).min(tasks))?;
        Some(best.0.clone())
    }
}

/// Lists the steps with waiting tasks whose earlier steps are done, by occurrence.
pub(super) fn ready_steps(record: &JobRecord) -> Vec<(u32, u16)> {
    let mut ready = Vec::new();
    for occurrence in &record.occurrences {
        for (number, step) in record.spec.steps.iter().enumerate() {
            let waiting =
                occurrence.steps[number].iter().any(|task| task.phase == TaskPhase::Waiting);
            let due = waiting && step.after.iter().all(|&s| occurrence.step_done(usize::from(s)));
            if due {
                ready.push((occurrence.number, number as u16));
            }
        }
    }
    ready
}

#[inline]
pub(super) fn spread_allows(task: TaskId, spec: &StepSpec, minion: &Minion) -> bool {
    if spec.max_per_minion == 0 {
        return true;
    }
    let first = TaskId { index: 0, ..task };
    let last = TaskId { index: u32::MAX, ..task };
    (minion.runs.range(first..=last).count() as u32) < spec.max_per_minion
}

/// Returns whether a minion can take one task of a step.
pub(super) fn suits(minion: &Minion, service: &Name, spec: &StepSpec, now: Now) -> bool {
    unsuitable(minion, service, spec, now).is_none()
}

/// Returns whether a task leaves some processors to short tasks, if it is one without end.
///
/// One that ran before and ended takes its room back all the same: its users wait for it.
#[inline]
pub(super) fn leaves_room_for_short(minion: &Minion, spec: &StepSpec) -> bool {
    let kept = minion.info.capacity.milli_cpus * (100 - PERSISTENT_CPU_PERCENT) / 100;
    !spec.persistent
        || spec.best_effort
        || spec.demand.milli_cpus + kept <= minion.free().milli_cpus
}

/// Returns what is free for a task of a step.
#[inline]
pub(super) fn room_for(minion: &Minion, spec: &StepSpec) -> Demand {
    let mut free = minion.free();
    if spec.best_effort {
        let kept = minion.info.capacity.memory_mb * (100 - BEST_EFFORT_MEMORY_PERCENT) / 100;
        free.memory_mb -= kept;
    }
    free
}

/// Returns how many tasks of a step a minion can take.
fn how_many(minion: &Minion, spec: &StepSpec) -> usize {
    let (free, need) = (room_for(minion, spec), occupied(spec));
    let by = |free: i64, need: i64| if need > 0 { free.max(0) / need } else { i64::MAX };
    by(free.milli_cpus, need.milli_cpus)
        .min(by(free.memory_mb, need.memory_mb))
        .min(by(free.accelerators, need.accelerators))
        .min(i64::from(spec.count)) as usize
}

/// Ranks a job.
fn rank(job: &Job, now: Now) -> Rank {
    let terms = &job.record.terms;
    let objective_ms = terms.objective_ms(job.critical_path_ms);
    let due_ms = job.record.occurrences.first().map_or(job.record.accepted_ms, |o| o.due_ms);
    let age_ms = now.wall_ms.saturating_sub(due_ms);
    // A late job is still worth something up to three times its objective, and nothing after it.
    let lateness = if job.record.spec.persistent() || age_ms <= objective_ms {
        0
    } else if age_ms <= 3 * objective_ms {
        1
    } else {
        2
    };
    let lasts = job.record.spec.persistent();
    Rank {
        lateness,
        priority: terms.priority,
        lasts,
        work_left: if lasts { 0 } else { work_left(&job.record) },
        objective_ends_ms: due_ms + objective_ms,
    }
}

/// Returns the work that is left of a job by its estimates, in processor milliseconds.
fn work_left(record: &JobRecord) -> u64 {
    let steps = record.occurrences.iter().flat_map(|o| o.steps.iter().zip(&record.spec.steps));
    let of_step = |(tasks, spec): (&Vec<TaskRecord>, &StepSpec)| {
        let left = tasks.iter().filter(|task| task.phase != TaskPhase::Done).count() as u64;
        let cpus = u64::try_from(spec.demand.milli_cpus).unwrap_or(0);
        left * cpus * u64::from(spec.estimate_ms) / 1_000
    };
    steps.map(of_step).sum()
}

/// Returns how much a serving task of an image would narrow what can fill a minion; smaller is
/// better.
///
/// What fills must be harmless to every image that serves there, and about two pairs in five are.
/// So images gather by themselves, and those that cannot share minions that are mixed already.
fn mixing_cost(minion: &Minion, image: &Name) -> i64 {
    let own = minion.serving_images.contains_key(image);
    match (own, minion.serving_images.len()) {
        (true, 1) => 0,
        (true, _) => 1,
        (false, 2..) => 2,
        (false, 1) => 3,
        (false, _) => 4,
    }
}
