//! Tasks under which minions have crashed: whom to suspect, where to place them, when to give up.
//!
//! A task may crash every minion that starts it. It would be started again for as long as it is
//! wanted, and each time everything on its minion would be lost. The coordinator sees only that a
//! minion has crashed; all that had begun there shortly before is suspected. Suspects are placed
//! apart from each other, so that the next crash tells which of them is at fault, and are cleared
//! once they are known to work.

use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Coordinator;
use super::crash_verdict::{CLEAR_LEAD, CountedRun, CrashVerdict};
use super::isolation_limits::{IsolationLimits, must_be_isolated};
use super::main_suspect::{MainSuspect, main_suspect};
use super::minion::Minion;
use super::young_run::YoungRun;
use crate::{JobState, Now, TaskId, TaskPhase};

/// Number of recent crashes of any minions up to which a crash is put down to the only suspect. Two
/// tasks that crash minions cause six until they are given up; more crashes point to the minions.
const MAX_EXPLAINED_CRASHES: usize = 8;
/// Number of recent unexplained crashes above which only crashes soon after a start count. So many
/// minions crash by themselves that they also meet tasks which have worked for seconds. A task that
/// crashes minions causes two before it is a known suspect.
const MAX_UNEXPLAINED_CRASHES: usize = 14;
/// Age of the last poll from which suspects avoid a minion, in milliseconds: one poll, which is due
/// every 0.4 s, is late.
const LATE_POLL_AGE_MS: u64 = 500;
/// Maximum number of lines on suspects after one crash.
const MAX_SUSPECT_LINES: usize = 8;

/// Reasons against placing a suspect on a minion; compared field by field, smaller is better, and
/// the same on all minions for any other task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct SuspectPenalty {
    /// Whether a poll of the minion is late. The minion may be down, and a start there that gets no
    /// response would count as another crash of the task.
    poll_late: bool,
    /// Number of other suspects on the minion.
    suspects: usize,
    /// Number of recent crashes of minions on the same VM. The next crash of one that crashes by
    /// itself says little.
    recent_crashes: usize,
    /// Number of runs that would be lost.
    runs: usize,
}

impl Coordinator {
    /// Counts a crash for each task that had a young run on the minion, and gives up tasks with too
    /// many crashes. The runs have ended already.
    pub(super) fn record_crash(
        &mut self,
        minion: &Name,
        agent: &Name,
        young: &[YoungRun],
        now: Now,
    ) {
        self.agents.entry(agent.clone()).or_default().crashes.add(now.steady_ms);
        if young.iter().any(|run| self.tasks_given_up.contains(&self.suspect_key(run.task))) {
            // A run of a task that was given up meanwhile explains the crash.
            return;
        }
        self.record_crashed_runs(young);
        let suspects = self.suspicions(young);
        let main_suspect = main_suspect(&suspects);
        if main_suspect.is_some_and(|main| self.is_crash_of_stopping_sibling(main, young)) {
            return self
                .log(format!("event=crash_explained minion={minion} young={}", young.len()));
        }
        let has_rival = main_suspect.is_some_and(|main| self.has_rival(main.task, young));
        self.crashes.add(now.steady_ms);
        let has_known_suspect = main_suspect
            .is_some_and(|main| main.lead > 0 && must_be_isolated(self.crash_count(main.task)));
        if !has_known_suspect {
            self.unexplained_crashes.add(now.steady_ms);
        }
        let recent = self.crashes.count(now.steady_ms);
        let unexplained = self.unexplained_crashes.count(now.steady_ms);
        let counts_all = unexplained <= MAX_UNEXPLAINED_CRASHES;
        let counted = young.iter().filter(|run| run.is_at_start || counts_all);
        let counted: Vec<CountedRun> = counted.filter_map(|run| self.count_crash(run)).collect();
        self.log(format!(
            "event=crash_counted minion={minion} young={} at_start={} suspects={} \
             recent_crashes={recent} unexplained_crashes={unexplained} main={} lead={} rival={has_rival}{}",
            young.len(),
            young.iter().filter(|run| run.is_at_start).count(),
            suspects.len(),
            main_suspect.map_or("none".into(), |main| main.task.to_string()),
            main_suspect.map_or(0, |main| main.lead),
            tasks_by_crashes(&counted)
        ));
        self.log_suspects(minion, &counted);
        let verdict = CrashVerdict {
            main: main_suspect,
            blames_main: recent <= MAX_EXPLAINED_CRASHES && !has_rival,
            counts_all,
        };
        for counted in verdict.given_up(counted) {
            self.give_up(&counted, verdict.lead(&counted), now);
        }
        if recent <= MAX_EXPLAINED_CRASHES {
            self.require_separate_starts(young, now);
        }
    }

    /// Gives up a task and fails its job, unless the job was given up for another of its tasks.
    fn give_up(&mut self, counted: &CountedRun, lead: usize, now: Now) {
        let task = counted.run.task;
        if !self.open_jobs.contains(&task.job) {
            return;
        }
        let crashes = counted.crashes.runs.len();
        self.log(format!(
            "decision=fail job={} task={task} crashes={crashes} lead={lead}",
            task.job
        ));
        self.tasks_given_up.insert(counted.key);
        self.explain_crashes_by(task);
        self.finish_job(task.job, JobState::Failed, now);
    }

    /// Returns whether a crash is put down to a sibling of a task that was given up, and counts for
    /// nobody: the sibling is the main suspect by a clear lead, had to be isolated itself and is
    /// known to have started. It is being stopped and causes no further crash.
    fn is_crash_of_stopping_sibling(&self, main: MainSuspect, young: &[YoungRun]) -> bool {
        let mut runs = young.iter().filter(|run| self.suspect_key(run.task) == main.task);
        main.lead >= CLEAR_LEAD
            && self.explained_crashes.is_culprit(main.task)
            && runs.any(YoungRun::is_known_to_have_started)
    }

    /// Logs the tasks with the most crashes, out of those for which a crash was counted.
    fn log_suspects(&mut self, minion: &Name, counted: &[CountedRun]) {
        let is_known = |counted: &&CountedRun| counted.crashes.runs.len() > 1;
        let mut known: Vec<_> = counted.iter().filter(is_known).collect();
        known.sort_by_key(|counted| std::cmp::Reverse(counted.crashes.runs.len()));
        for CountedRun { run, crashes, .. } in known.into_iter().take(MAX_SUSPECT_LINES) {
            self.log(format!(
                "decision=suspect job={} task={} run={} minion={minion} crashes={} at_start={}",
                run.task.job,
                run.task,
                run.number,
                crashes.runs.len(),
                crashes.at_start
            ));
        }
    }

    /// Counts a crash for the task of a run, and returns the task's crashes. Returns `None` if the
    /// crash was counted before, or says nothing about the task: it is done, or a later run is
    /// known to work.
    fn count_crash(&mut self, run: &YoungRun) -> Option<CountedRun> {
        let key = self.suspect_key(run.task);
        let is_wanted = self.open_jobs.contains(&key.job)
            && self.task_record(run.task).is_some_and(|record| record.phase != TaskPhase::Done);
        let works = self.runs.get(&run.task).is_some_and(super::Run::is_known_to_work);
        let job = self.jobs.get_mut(&key.job).filter(|_| is_wanted && !works)?;
        let crashes = job.record.crashes.entry(key).or_default();
        if crashes.runs.contains(&run.number) {
            return None;
        }
        crashes.runs.push(run.number);
        crashes.at_start += u32::from(run.is_at_start);
        let crashes = crashes.clone();
        let unexplained = self.explained_crashes.unexplained_count(key, &crashes);
        self.mark_dirty(key.job);
        Some(CountedRun { run: *run, key, crashes, unexplained })
    }

    /// Returns how many minions have crashed under a task since it was last cleared.
    pub(super) fn crash_count(&self, task: TaskId) -> usize {
        let Some(job) = self.jobs.get(&task.job) else { return 0 };
        if job.record.crashes.is_empty() {
            return 0;
        }
        let crashes = job.record.crashes.get(&self.suspect_key(task));
        crashes.map_or(0, |crashes| crashes.runs.len())
    }

    /// Returns the task under which crashes are counted: the first one of a gang, whose members
    /// start and end together.
    pub(super) fn suspect_key(&self, task: TaskId) -> TaskId {
        let is_gang = self.step_spec(task).is_some_and(|step| step.gang);
        TaskId { index: if is_gang { 0 } else { task.index }, ..task }
    }

    /// Clears a task, or all of its gang, if its present run is known to work.
    pub(super) fn clear_if_known_to_work(&mut self, task: TaskId) {
        if self.crash_count(task) == 0 {
            return;
        }
        let gang_size = self.step_spec(task).filter(|step| step.gang).map(|step| step.count);
        let members = gang_size.map_or(task.index..task.index + 1, |count| 0..count);
        let works = |index| {
            self.runs.get(&TaskId { index, ..task }).is_some_and(super::Run::is_known_to_work)
        };
        if members.into_iter().all(works) {
            self.clear_crashes(task, "works");
        }
    }

    /// Forgets the crashes of a task that is not at fault.
    pub(super) fn clear_crashes(&mut self, task: TaskId, why: &str) {
        let crashes = self.crash_count(task);
        if crashes == 0 {
            return;
        }
        let key = self.suspect_key(task);
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.record.crashes.remove(&key);
        }
        self.mark_dirty(key.job);
        if crashes > 1 {
            self.log(format!(
                "decision=clear_suspect job={} task={task} crashes={crashes} why={why}",
                task.job
            ));
        }
    }

    /// Returns whether a minion starts too many other tasks that must be isolated for this one,
    /// which has `crashes` crashes. Members of the same gang do not count.
    pub(super) fn starts_isolated_tasks(
        &self,
        minion: &Minion,
        task: TaskId,
        crashes: usize,
    ) -> bool {
        let key = self.suspect_key(task);
        let others = minion.runs.iter().filter(|other| {
            self.suspect_key(**other) != key
                && self.runs.get(*other).is_some_and(super::Run::is_at_start)
        });
        let others = others.map(|other| self.unexplained_crash_count(*other));
        let others: Vec<usize> = others.filter(|crashes| must_be_isolated(*crashes)).collect();
        let most = others.iter().copied().fold(crashes, usize::max);
        others.len() >= self.isolation_limits.tasks_per_minion(most)
    }

    /// Updates how many tasks that must be isolated a minion may start at the same time, and which
    /// minions start one.
    pub(super) fn update_isolation(&mut self) {
        let starts_tasks =
            |minion: &&Minion| minion.linked && minion.responsive && !minion.domain_evacuated;
        let minions = self.minions.values().filter(starts_tasks).count();
        let suspects: Vec<(TaskId, usize)> = self.unexplained_crash_counts().collect();
        let crashes = suspects.iter().map(|(_, crashes)| *crashes);
        self.isolation_limits = IsolationLimits::new(crashes, minions);
        let isolated = suspects.iter().filter(|(_, crashes)| must_be_isolated(*crashes));
        let runs = isolated.filter_map(|(task, _)| self.runs.get(task));
        let starting = runs.filter(|run| run.is_at_start());
        self.suspect_starts = starting.map(|run| run.place.minion.clone()).collect();
    }

    /// Records that a task is started on a minion, for the rest of the placement round.
    pub(super) fn record_suspect_start(&mut self, task: TaskId, minion: &Name) {
        if must_be_isolated(self.unexplained_crash_count(task)) {
            self.suspect_starts.insert(minion.clone());
        }
    }

    /// Returns the reasons against placing a task with so many crashes on a minion.
    pub(super) fn suspect_penalty(
        &self,
        crashes: usize,
        minion: &Minion,
        now: Now,
    ) -> SuspectPenalty {
        if crashes == 0 {
            return SuspectPenalty::default();
        }
        let of_agent = self.agents.get(&minion.agent).map(|agent| &agent.crashes);
        SuspectPenalty {
            poll_late: now.steady_ms > minion.last_polled_ms + LATE_POLL_AGE_MS,
            suspects: minion
                .runs
                .iter()
                .filter(|other| self.unexplained_crash_count(**other) > 0)
                .count(),
            recent_crashes: of_agent.map_or(0, |crashes| crashes.count(now.steady_ms)),
            runs: minion.runs.len(),
        }
    }
}

/// Formats how many tasks have how many crashes, as ` tasks_with_1=30 tasks_with_2=4`.
fn tasks_by_crashes(counted: &[CountedRun]) -> String {
    let mut tasks = BTreeMap::<usize, usize>::new();
    for counted in counted {
        *tasks.entry(counted.crashes.runs.len()).or_default() += 1;
    }
    tasks.iter().fold(String::new(), |text, (crashes, tasks)| {
        text + &format!(" tasks_with_{crashes}={tasks}")
    })
}
