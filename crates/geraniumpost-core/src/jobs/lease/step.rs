/// The store call that a [`PlannerLease`](super::PlannerLease) has open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Looks whether anybody plans.
    Look,
    /// Takes a store lease.
    Grant,
    /// Claims the alive key.
    Claim,
    /// Reads the alive key back, as the answer to the claim was lost.
    CheckClaim,
    /// Reads the term record.
    ReadTerm,
    /// Writes the term record.
    WriteTerm,
    /// Extends the lease.
    KeepAlive,
    /// Rewrites the term record of this tenure.
    Rewrite,
    /// Reads the term record back, as the answer to the rewriting was lost.
    CheckRewrite,
}
