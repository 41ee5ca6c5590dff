use std::collections::BTreeMap;
use std::fmt;

use derive_more::Display;

/// Why a minion cannot take a task now; the first check that fails determines the reason.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rejection {
    /// The link from the minion's agent is not open.
    #[display("not_linked")]
    NotLinked,
    /// The minion is known only from job records: its agent is linked but has not reported it.
    #[display("not_reported")]
    NotReported,
    /// The minion runs tasks of another service.
    #[display("other_service")]
    OtherService,
    /// The minion lacks the label that the step requires.
    #[display("label")]
    MissingLabel,
    /// The minion was not polled over the current link.
    #[display("not_polled")]
    NotPolled,
    /// No heartbeats arrive from the minion's agent, they report that the minion does not respond,
    /// or the minion has left an order without a response; for a task under which minions have
    /// crashed, also if the minion has missed polls.
    #[display("no_answer")]
    NotResponding,
    /// The minion is quarantined after failed or stalled runs, or after it refused a task as
    /// unhealthy.
    #[display("quarantined")]
    Quarantined,
    /// The minion is draining and will terminate.
    #[display("draining")]
    Draining,
    /// Operators have evacuated the minion's failure domain.
    #[display("evacuated")]
    DomainEvacuated,
    /// It is not known which failure domains are evacuated.
    #[display("evacuations_unknown")]
    EvacuationsUnknown,
    /// A serving task on the minion is over its latency bound; the minion gets no further
    /// best-effort tasks meanwhile.
    #[display("over_bound")]
    LatencyOverBound,
    /// The minion's free resources are less than the task reserves.
    #[display("no_capacity")]
    NoCapacity,
    /// The minion runs as many tasks of the step as the step allows on one minion.
    #[display("spread")]
    PerMinionLimit,
    /// Two minions have crashed under the task, as well as under another one that the minion runs.
    #[display("beside_suspect")]
    BesideSuspect,
    /// The admission service has given no valid ticket.
    #[display("no_approval")]
    NoApproval,
    /// The minion's free processors are reserved for short tasks, and the task is persistent and
    /// never ran.
    #[display("reserved_for_short")]
    ReservedForShort,
    /// A best-effort task would be too slow on the minion.
    #[display("too_slow")]
    TooSlow,
}

/// Number of minions by rejection; displayed as ` name=count` fields without zeros.
#[derive(Debug, Default)]
pub(super) struct RejectionCounts(BTreeMap<Rejection, usize>);

impl RejectionCounts {
    pub(super) fn add(&mut self, rejection: Rejection, minions: usize) {
        *self.0.entry(rejection).or_default() += minions;
    }
}

impl fmt::Display for RejectionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (rejection, minions) in self.0.iter().filter(|(_, minions)| **minions > 0) {
            write!(f, " {rejection}={minions}")?;
        }
        Ok(())
    }
}
