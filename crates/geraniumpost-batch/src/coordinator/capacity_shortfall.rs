//! What a minion lacks for a task.

use std::fmt::Write;

use super::Coordinator;
use super::eligibility::{TaskRequirements, available_resources};
use super::minion::Minion;
use super::rejection::Rejection;
use super::run::{Run, reserved_resources};
use crate::{Demand, Now, StepSpec};

/// Returns the resources that a minion lacks for a task of a step.
pub(super) fn shortfall(minion: &Minion, spec: &StepSpec) -> Demand {
    let lacking = reserved_resources(spec) - available_resources(minion, spec);
    Demand {
        milli_cpus: lacking.milli_cpus.max(0),
        memory_mb: lacking.memory_mb.max(0),
        accelerators: lacking.accelerators.max(0),
    }
}

/// Returns a shortfall in thousandths of the minion's capacity, summed over all resources, so that
/// minions are comparable.
pub(super) fn relative_shortfall(minion: &Minion, spec: &StepSpec) -> i64 {
    let (lacking, capacity) = (shortfall(minion, spec), minion.info.capacity);
    let share = |lacking: i64, capacity: i64| lacking * 1_000 / capacity.max(1);
    share(lacking.milli_cpus, capacity.milli_cpus)
        + share(lacking.memory_mb, capacity.memory_mb)
        + share(lacking.accelerators, capacity.accelerators)
}

impl Coordinator {
    /// Returns fields of a log line that say how much the minion with the smallest shortfall lacks
    /// for a task, and which runs reserve its resources; an empty string if no minion lacks
    /// capacity. For log lines only.
    ///
    /// The number of minions without capacity alone does not tell whether short runs, persistent
    /// runs, runs that have not started or the memory of best-effort runs keep a task waiting.
    pub(super) fn shortfall_fields(
        &self,
        requirements: &TaskRequirements<'_>,
        spec: &StepSpec,
        now: Now,
    ) -> String {
        let lacks_capacity = |minion: &&Minion| {
            self.task_rejection(requirements, minion, now) == Some(Rejection::NoCapacity)
        };
        let nearest = self
            .minions
            .values()
            .filter(lacks_capacity)
            .min_by_key(|minion| relative_shortfall(minion, spec));
        let Some(minion) = nearest else { return String::new() };
        let lacking = shortfall(minion, spec);
        let mut fields = format!(
            " nearest={} lacks_milli_cpus={} lacks_memory_mb={}",
            minion.info.id, lacking.milli_cpus, lacking.memory_mb
        );
        let runs = || minion.runs.iter().filter_map(|task| Some((task, self.runs.get(task)?)));
        let reserved_by = |is_counted: &dyn Fn(&Run, &StepSpec) -> bool| {
            runs()
                .filter(|(task, run)| self.step_spec(**task).is_some_and(|s| is_counted(run, s)))
                .fold(Demand::default(), |sum, (_, run)| sum + run.reserved)
        };
        let holders: [(&str, Demand); 4] = [
            ("persistent", reserved_by(&|_, s| s.persistent && !s.best_effort)),
            ("ending", reserved_by(&|r, s| !s.persistent && !s.best_effort && r.has_started())),
            ("unstarted", reserved_by(&|r, s| !s.persistent && !s.best_effort && !r.has_started())),
            ("best_effort", reserved_by(&|_, s| s.best_effort)),
        ];
        for (holder, demand) in holders {
            let _ = write!(fields, " {holder}={}m/{}MB", demand.milli_cpus, demand.memory_mb);
        }
        fields
    }
}
