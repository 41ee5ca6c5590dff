use geraniumpost_schema::Resources;

/// Returns whether `need` is within `free` in all three resources.
pub const fn fits(need: Resources, free: Resources) -> bool {
    need.milli_cpus <= free.milli_cpus
        && need.memory_mb <= free.memory_mb
        && need.accelerators <= free.accelerators
}

/// Returns the sum, stopping at the largest value.
#[must_use]
pub const fn plus(a: Resources, b: Resources) -> Resources {
    Resources {
        milli_cpus: a.milli_cpus.saturating_add(b.milli_cpus),
        memory_mb: a.memory_mb.saturating_add(b.memory_mb),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}

/// Returns what is left of `a` without `b`, nothing where `b` is larger.
#[must_use]
pub const fn minus(a: Resources, b: Resources) -> Resources {
    Resources {
        milli_cpus: a.milli_cpus.saturating_sub(b.milli_cpus),
        memory_mb: a.memory_mb.saturating_sub(b.memory_mb),
        accelerators: a.accelerators.saturating_sub(b.accelerators),
    }
}

/// Returns the larger amount of each resource.
///
/// A task counts with the larger of what it declared and what was seen of it, because declared
/// sizes are far off and measurements come late.
#[must_use]
pub fn at_least(a: Resources, b: Resources) -> Resources {
    Resources {
        milli_cpus: a.milli_cpus.max(b.milli_cpus),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
