use geraniumpost_schema::Name;

/// Region and failure domain of a process, by which routing tells near from far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Location {
    region: Name,
    domain: Name,
}

impl Location {
    /// Returns the place in failure domain `domain` of `region`.
    pub fn new(region: impl Into<Name>, domain: impl Into<Name>) -> Self {
        Self { region: region.into(), domain: domain.into() }
    }

    /// Region.
    pub const fn region(&self) -> &Name {
        &self.region
    }

    /// Failure domain.
    pub const fn domain(&self) -> &Name {
        &self.domain
    }
}
