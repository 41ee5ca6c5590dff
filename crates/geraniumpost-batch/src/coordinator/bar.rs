use std::collections::BTreeMap;
use std::fmt;

use derive_more::Display;

/// Why a minion does not take a task now; the first bound that fails counts.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Bar {
    /// Its agent's link is not open.
    #[display("not_linked")]
    NotLinked,
    /// It stands in records, and has not been heard of by this coordinator.
    #[display("not_reported")]
    NotHeardOf,
    /// It runs another service's tasks.
    #[display("other_service")]
    OtherService,
    /// It lacks the label that the step requires.
    #[display("label")]
    Label,
    /// Its lists have not been read over the present link.
    #[display("not_polled")]
    NotLookedAt,
    /// It does not answer its agent.
    #[display("no_answer")]
    NoAnswer,
    /// It failed or delayed what it was given.
    #[display("quarantined")]
    Shunned,
    /// It leaves.
    #[display("draining")]
    Draining,
    /// Something that serves there is over its bound, so that nothing more may fill.
    #[display("over_bound")]
    OverBound,
    /// What is free is less than the task occupies.
    #[display("no_capacity")]
    NoRoom,
    /// It runs as many tasks of the step as one minion may.
    #[display("spread")]
    Spread,
    /// The admission service has given no ticket that holds.
    #[display("no_approval")]
    NoApproval,
    /// What is free is kept for short tasks, and the task has no end and never ran.
    #[display("reserved_for_short")]
    RoomKeptForShort,
    /// The place that suits best is too slow for what fills.
    #[display("too_slow")]
    TooSlow,
}

/// Counts minions by what keeps them from taking a task; reads as `name=count`, without zeros.
#[derive(Debug, Default)]
pub(super) struct Bars(BTreeMap<Bar, usize>);

impl Bars {
    /// Counts minions that are kept out by a bound.
    pub(super) fn add(&mut self, bar: Bar, minions: usize) {
        *self.0.entry(bar).or_default() += minions;
    }
}

impl fmt::Display for Bars {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (bar, minions) in self.0.iter().filter(|(_, minions)| **minions > 0) {
            write!(f, " {bar}={minions}")?;
        }
        Ok(())
    }
}
