/// A decision to place no tasks on a minion for some time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quarantine {
    /// Duration in milliseconds.
    pub duration_ms: u64,
    /// Evidence at the time of the decision, as in
    /// [`MinionEvidence::log_odds`](super::MinionEvidence::log_odds).
    pub log_odds: f64,
    /// Number of quarantines since the evidence against the minion was last gone, this one
    /// included.
    pub count: u32,
}
