use crate::StepSpec;

/// Maximum share of a serving step's tasks that best-effort tasks may disturb at the same time, in
/// percent. Users of the other tasks make up for a tenth of the capacity.
const MAX_DISTURBED_PERCENT: u32 = 10;

/// Returns how many tasks of a serving step best-effort tasks may disturb at the same time.
///
/// This is at most the number of tasks that the submitter allows to be interrupted, if stated, and
/// at most a tenth of the tasks, but at least one: with a bound of 0, noise in a single measurement
/// would keep all best-effort work away from a small job.
pub fn disturbance_budget(spec: &StepSpec) -> u32 {
    let share = spec.count * MAX_DISTURBED_PERCENT / 100;
    let stated = if spec.disruption_budget == 0 { u32::MAX } else { spec.disruption_budget };
    share.min(stated).max(1)
}
