//! Arithmetic on [`Resources`], saturating so that no report can wrap a ledger around.

use geraniumpost_schema::{Quota, Reserve, Resources};

use super::Resource;

/// No resources at all.
pub const NONE: Resources = Resources { milli_cpus: 0, memory_mb: 0, accelerators: 0 };

/// Returns the resource that `need` has too much of to fit into `room`, if any.
///
/// # Example
///
/// ```
/// use geraniumpost_core::placement::{Resource, amounts};
/// use geraniumpost_schema::Resources;
/// let room = Resources { milli_cpus: 500, memory_mb: 100, accelerators: 0 };
/// let need = Resources { milli_cpus: 500, memory_mb: 101, accelerators: 0 };
/// assert_eq!(amounts::exceeded_resource(&need, &room), Some(Resource::Memory));
/// ```
#[must_use]
pub const fn exceeded_resource(need: &Resources, room: &Resources) -> Option<Resource> {
    if need.accelerators > room.accelerators {
        Some(Resource::Accelerators)
    } else if need.memory_mb > room.memory_mb {
        Some(Resource::Memory)
    } else if need.milli_cpus > room.milli_cpus {
        Some(Resource::Processors)
    } else {
        None
    }
}

/// Returns whether `need` fits into `room`.
#[must_use]
pub const fn fits(need: &Resources, room: &Resources) -> bool {
    exceeded_resource(need, room).is_none()
}

/// Returns the sum.
#[must_use]
pub const fn plus(a: &Resources, b: &Resources) -> Resources {
    Resources {
        milli_cpus: a.milli_cpus.saturating_add(b.milli_cpus),
        memory_mb: a.memory_mb.saturating_add(b.memory_mb),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}

/// Returns the difference, 0 where `b` is larger.
#[must_use]
pub const fn minus(a: &Resources, b: &Resources) -> Resources {
    Resources {
        milli_cpus: a.milli_cpus.saturating_sub(b.milli_cpus),
        memory_mb: a.memory_mb.saturating_sub(b.memory_mb),
        accelerators: a.accelerators.saturating_sub(b.accelerators),
    }
}

/// Returns the larger amount of each resource.
#[must_use]
pub fn component_max(a: &Resources, b: &Resources) -> Resources {
    Resources {
        milli_cpus: a.milli_cpus.max(b.milli_cpus),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// Returns the smaller amount of each resource.
#[must_use]
pub fn component_min(a: &Resources, b: &Resources) -> Resources {
    Resources {
        milli_cpus: a.milli_cpus.min(b.milli_cpus),
        memory_mb: a.memory_mb.min(b.memory_mb),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// Returns the largest share that `part` has of any resource of `total`.
///
/// # Example
///
/// ```
/// use geraniumpost_core::placement::amounts;
/// use geraniumpost_schema::Resources;
/// let total = Resources { milli_cpus: 1000, memory_mb: 100, accelerators: 0 };
/// let part = Resources { milli_cpus: 100, memory_mb: 50, accelerators: 0 };
/// assert!((amounts::dominant_share(&part, &total) - 0.5).abs() < 1e-9);
/// ```
#[must_use]
pub fn dominant_share(part: &Resources, total: &Resources) -> f64 {
    let share = |part: u64, total: u64| part as f64 / total.max(1) as f64;
    share(part.milli_cpus, total.milli_cpus)
        .max(share(part.memory_mb, total.memory_mb))
        .max(share(part.accelerators.into(), total.accelerators.into()))
}

/// Returns a customer's quota as resources.
#[must_use]
pub const fn of_quota(quota: &Quota) -> Resources {
    Resources {
        milli_cpus: quota.milli_cpus,
        memory_mb: quota.memory_mb,
        accelerators: quota.accelerators,
    }
}

/// Returns a service's reserve as resources.
#[must_use]
pub const fn of_reserve(reserve: &Reserve) -> Resources {
    Resources {
        milli_cpus: reserve.milli_cpus,
        memory_mb: reserve.memory_mb,
        accelerators: reserve.accelerators,
    }
}
