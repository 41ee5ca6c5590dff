//! How many suspects a minion starts at the same time.

use super::crash_verdict::MAX_CRASHES_AT_START;

/// Number of crashes from which a task is placed apart from other such tasks.
const ISOLATED_CRASHES: usize = 2;
/// Maximum number of tasks with two crashes that a minion starts one after the other. Each is known
/// to work after little more than a second, so that none waits for 3 s.
const MAX_QUEUED_TWICE: usize = 2;
/// The same for tasks with three crashes. They are fewer, and smaller groups tell them apart with
/// the two starts that are left.
const MAX_QUEUED_THRICE: usize = 12;

/// Maximum numbers of tasks that must be isolated and that a minion starts at the same time: one,
/// or more if it would otherwise start too many one after the other.
///
/// Crashes may make hundreds of tasks suspect, which would wait for minutes if they started one by
/// one. In groups, the next crash leaves only one group under suspicion, and each crash more makes
/// the groups smaller.
#[derive(Debug, Clone, Copy)]
pub(super) struct IsolationLimits {
    /// Limit for tasks with two crashes.
    twice: usize,
    /// Limit for tasks with three crashes, and for others beside them.
    thrice: usize,
}

impl Default for IsolationLimits {
    fn default() -> Self {
        Self { twice: 1, thrice: 1 }
    }
}

impl IsolationLimits {
    pub(super) fn new(crash_counts: impl Iterator<Item = usize>, minions: usize) -> Self {
        let (mut twice, mut thrice) = (0_usize, 0_usize);
        for crashes in crash_counts {
            twice += usize::from(must_be_isolated(crashes));
            thrice += usize::from(is_decisive(crashes));
        }
        let group = |tasks: usize, queued| tasks.div_ceil(minions.max(1) * queued).max(1);
        Self { twice: group(twice, MAX_QUEUED_TWICE), thrice: group(thrice, MAX_QUEUED_THRICE) }
    }

    /// Returns the limit for a group in which a task has so many crashes, and none has more.
    pub(super) const fn tasks_per_minion(self, most_crashes: usize) -> usize {
        match most_crashes {
            ..=ISOLATED_CRASHES => self.twice,
            MAX_CRASHES_AT_START => self.thrice,
            _ => 1,
        }
    }
}

/// Returns whether a task with so many crashes is placed apart from other such tasks. A crash would
/// not tell which of them is at fault.
///
/// The other task is known to work soon, or gone, so that a task does not wait long for this.
pub(super) const fn must_be_isolated(crashes: usize) -> bool {
    crashes >= ISOLATED_CRASHES
}

/// Returns whether a task with so many crashes is given up at the next one, if that can be put down
/// to it.
pub(super) const fn is_decisive(crashes: usize) -> bool {
    crashes > ISOLATED_CRASHES
}
