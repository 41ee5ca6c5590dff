//! Default minions, steps and queue terms, which tests modify.

use geraniumpost_batch::{Demand, JobId, MinionInfo, QueueTerms, StepSpec, TaskId};
use geraniumpost_schema::Name;

/// Returns the description of a minion with 16 processors and 64 GB.
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

/// Returns the name of a minion's agent, which is the same for all incarnations of the minion.
pub fn agent_name(minion: &str) -> Name {
    // The incarnation follows a dash: "m1" and "m1-b" are incarnations of the same minion. So are
    // "m1@1" and "m1@2", which have the same id.
    Name::from(format!("agent-{}", minion.split(['-', '@']).next().unwrap_or(minion)))
}

/// Returns queue terms that allow two attempts per task and require no approval.
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

/// Returns a step of `count` tasks that need one processor and 1 GB each.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        demand: Demand { milli_cpus: 1_000, memory_mb: 1_000, accelerators: 0 },
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// Like [`step`], for minions with a label.
pub fn labelled_step(count: u32, label: &str) -> StepSpec {
    StepSpec { required_label: label.into(), ..step(count) }
}

/// Returns a step of `count` persistent tasks that need one processor and 1 GB each.
pub fn persistent_step(count: u32) -> StepSpec {
    StepSpec { persistent: true, ..step(count) }
}

/// Returns the id of a task in the first occurrence of job `job`.
pub const fn task(job: u64, step: u16, index: u32) -> TaskId {
    TaskId { job: JobId(job), occurrence: 0, step, index }
}
