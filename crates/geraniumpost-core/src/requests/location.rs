use geraniumpost_schema::Name;

/// Region and failure domain of a process, by which routing groups agents into distance tiers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Location {
    region: Name,
    domain: Name,
}

impl Location {
    /// Returns the location in the failure domain `domain` of `region`.
    pub fn new(region: impl Into<Name>, domain: impl Into<Name>) -> Self {
        Self { region: region.into(), domain: domain.into() }
    }

    /// Name of the region, as configured for the process.
    pub const fn region(&self) -> &Name {
        &self.region
    }

    /// Name of the failure domain, which is compared only within a region.
    pub const fn domain(&self) -> &Name {
        &self.domain
    }
}
