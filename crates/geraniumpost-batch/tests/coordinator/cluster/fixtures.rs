//! Minions, steps and terms that tests start from, and change as they need.

use geraniumpost_batch::{Demand, JobId, MinionInfo, QueueTerms, StepSpec, TaskId};
use geraniumpost_schema::Name;

/// Returns what a minion of 16 processors and 64 GB says of itself.
pub fn minion_info(name: &str) -> MinionInfo {
    MinionInfo {
        id: name.into(),
        service: "study".into(),
        domain: "surco".into(),
        capacity: Demand { milli_cpus: 16_000, memory_mb: 64_000, accelerators: 0 },
        labels: vec!["a".into(), "r1".into()],
        draining: false,
        remaining_ms: None,
        sequence: 1,
    }
}

/// Returns the name of the agent beside a minion.
pub fn agent_name(minion: &str) -> Name {
    // The incarnation is behind a dash: "m1" and "m1-b" are lives of one machine.
    Name::from(format!("agent-{}", minion.split('-').next().unwrap_or(minion)))
}

/// Returns what a queue grants: two attempts at a task, and no need of approval.
pub fn terms() -> QueueTerms {
    QueueTerms {
        queue: "studies".into(),
        service: "study".into(),
        priority: 1,
        max_attempts: 2,
        stretch_percent: 200,
        target_ms: 500,
        needs_approval: false,
    }
}

/// Returns a step of tasks that take a processor and a gigabyte each.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        demand: Demand { milli_cpus: 1_000, memory_mb: 1_000, accelerators: 0 },
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// Returns a step of such tasks that run until they are stopped.
pub fn persistent_step(count: u32) -> StepSpec {
    StepSpec { persistent: true, ..step(count) }
}

/// Returns the id of a task in the first occurrence of a job.
pub const fn task(job: u64, step: u16, index: u32) -> TaskId {
    TaskId { job: JobId(job), occurrence: 0, step, index }
}
