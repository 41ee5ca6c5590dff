//! Saturating arithmetic on [`Resources`], so that no reported value can make a sum overflow.

use geraniumpost_schema::{Quota, Reserve, Resources};

use super::Resource;

/// An amount of 0 for each resource.
pub const NONE: Resources = Resources { milli_cpus: 0, memory_mb: 0, accelerators: 0 };

/// Returns a resource of which `need` exceeds `available`, or `None` if `need` fits. Accelerators
/// are checked first, then memory, then processors.
///
/// # Example
///
/// ```
/// use geraniumpost_core::placement::{Resource, amounts};
/// use geraniumpost_schema::Resources;
/// let available = Resources { milli_cpus: 500, memory_mb: 100, accelerators: 0 };
/// let need = Resources { milli_cpus: 500, memory_mb: 101, accelerators: 0 };
/// assert_eq!(amounts::exceeded_resource(&need, &available), Some(Resource::Memory));
/// ```
#[must_use]
pub const fn exceeded_resource(need: &Resources, available: &Resources) -> Option<Resource> {
    if need.accelerators > available.accelerators {
        Some(Resource::Accelerators)
    } else if need.memory_mb > available.memory_mb {
        Some(Resource::Memory)
    } else if need.milli_cpus > available.milli_cpus {
        Some(Resource::Processors)
    } else {
        None
    }
}

/// Returns whether `need` exceeds `available` in no resource.
#[must_use]
pub const fn fits(need: &Resources, available: &Resources) -> bool {
    exceeded_resource(need, available).is_none()
}

/// Returns the sum of `a` and `b` for each resource.
#[must_use]
pub const fn plus(a: &Resources, b: &Resources) -> Resources {
    Resources {
        milli_cpus: a.milli_cpus.saturating_add(b.milli_cpus),
        memory_mb: a.memory_mb.saturating_add(b.memory_mb),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}

/// Returns `a` minus `b` for each resource, or 0 where `b` is larger.
#[must_use]
pub const fn minus(a: &Resources, b: &Resources) -> Resources {
    Resources {
        milli_cpus: a.milli_cpus.saturating_sub(b.milli_cpus),
        memory_mb: a.memory_mb.saturating_sub(b.memory_mb),
        accelerators: a.accelerators.saturating_sub(b.accelerators),
    }
}

/// Returns the larger of `a` and `b` for each resource separately.
#[must_use]
pub fn component_max(a: &Resources, b: &Resources) -> Resources {
    Resources {
        milli_cpus: a.milli_cpus.max(b.milli_cpus),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// Returns the smaller of `a` and `b` for each resource separately.
#[must_use]
pub fn component_min(a: &Resources, b: &Resources) -> Resources {
    Resources {
        milli_cpus: a.milli_cpus.min(b.milli_cpus),
        memory_mb: a.memory_mb.min(b.memory_mb),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// Returns the largest ratio of `part` to `total` over all resources; a total of 0 counts as 1.
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

/// Converts a customer's quota from the configuration document.
#[must_use]
pub const fn of_quota(quota: &Quota) -> Resources {
    Resources {
        milli_cpus: quota.milli_cpus,
        memory_mb: quota.memory_mb,
        accelerators: quota.accelerators,
    }
}

/// Converts a service's reserve from the configuration document.
#[must_use]
pub const fn of_reserve(reserve: &Reserve) -> Resources {
    Resources {
        milli_cpus: reserve.milli_cpus,
        memory_mb: reserve.memory_mb,
        accelerators: reserve.accelerators,
    }
}
