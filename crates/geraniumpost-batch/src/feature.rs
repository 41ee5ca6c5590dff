use derive_more::{Display, Error};

/// A set of decisions that a deployment may switch on, see
/// docs/design/0700-decisions-under-scarcity.md.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Feature {
    /// Jobs that cannot be stored now, or whose callers could not hear of the answer, are refused at
    /// once.
    Admission,
    /// Queues divide scarce capacity by weight, and urgent work takes capacity from other work.
    Shares,
    /// The number of disturbed tasks of a serving job is bounded over all its minions.
    DisturbanceBudget,
    /// Slow runs get a second copy, and failure odds are learned by image and by minion.
    Stragglers,
}

impl Feature {
    /// All features, in the order of their documentation.
    pub const ALL: [Self; 4] =
        [Self::Admission, Self::Shares, Self::DisturbanceBudget, Self::Stragglers];
}

/// No feature has this name.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("unknown feature {_0:?}")]
#[error(ignore)]
pub struct UnknownFeature(String);

impl std::str::FromStr for Feature {
    type Err = UnknownFeature;

    fn from_str(name: &str) -> Result<Self, UnknownFeature> {
        let matches = |feature: &Self| feature.to_string() == name;
        Self::ALL.into_iter().find(matches).ok_or_else(|| UnknownFeature(name.to_owned()))
    }
}

/// The features that a process uses; by default none.
///
/// # Example
///
/// ```
/// use geraniumpost_batch::{Feature, Features};
///
/// let features = Features::default().with(Feature::Admission);
/// assert!(features.contains(Feature::Admission) && !features.contains(Feature::Shares));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Features([bool; Feature::ALL.len()]);

impl Features {
    /// Adds a feature.
    #[must_use]
    pub const fn with(mut self, feature: Feature) -> Self {
        self.0[feature as usize] = true;
        self
    }

    /// Returns whether a feature is used.
    pub const fn contains(self, feature: Feature) -> bool {
        self.0[feature as usize]
    }
}

impl FromIterator<Feature> for Features {
    fn from_iter<I: IntoIterator<Item = Feature>>(features: I) -> Self {
        features.into_iter().fold(Self::default(), Self::with)
    }
}
