/// The open store call of a [`PlannerLease`](super::PlannerLease).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreCall {
    /// Reads the alive key to check for a planner.
    Poll,
    /// Creates the store lease that the alive key will be attached to.
    Grant,
    /// Creates the alive key under the new lease, if no other process has done so.
    Claim,
    /// Reads the alive key back because the response to the claim was lost.
    CheckClaim,
    /// Reads the term record before a new term is written.
    ReadTerm,
    /// Writes the record of a new or a resumed term.
    WriteTerm,
    /// Renews the store lease of the current term.
    KeepAlive,
    /// Updates the record of the term that this process holds.
    UpdateTerm,
    /// Reads the term record back because the outcome of the update is unknown.
    CheckUpdate,
}
