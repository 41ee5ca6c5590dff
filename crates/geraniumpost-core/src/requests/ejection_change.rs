use derive_more::Display;

use crate::Millis;

/// Change to the ejection of an agent caused by the result of an attempt. `Display` gives the text
/// for the log.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum EjectionChange {
    /// Nothing changed; no new snapshot is needed.
    #[display("unchanged")]
    None,
    /// The agent is ejected: it gets only probes, and requests for which no other agent remains.
    #[display("ejected probe_at={probe_at}ms ejections={ejections}")]
    Ejected {
        /// Time from which the agent may be probed.
        probe_at: Millis,
        /// Number of recent ejections, which determines the delay before the probe.
        ejections: u32,
    },
    /// An attempt succeeded after the probe became due, and the agent gets all kinds of requests
    /// again.
    #[display("restored")]
    Restored,
    /// The agent exceeds the failure limits but is not ejected, because too many agents of its
    /// service are ejected already. Reported once until an attempt succeeds or the agent is
    /// ejected.
    #[display("kept because too many agents are ejected")]
    Capped,
}
