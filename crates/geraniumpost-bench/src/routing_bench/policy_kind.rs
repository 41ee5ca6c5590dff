use geraniumpost_core::requests::{
    BaselineRouter, NoAgent, Router, RoutingDecision, RoutingQuery, ServiceView,
};
use rand::rngs::SmallRng;

/// A routing policy of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// The policy that entries use.
    Product,
    /// The policy that entries use, without ejection of failing agents.
    WithoutEjection,
    /// The policy that entries use, with a second attempt at another agent for slow requests.
    Hedged,
    RoundRobin,
    LeastReported,
    LeastLoaded,
    WeightedRandom,
}

/// State of a policy at one entry.
#[derive(Debug)]
pub enum Policy {
    Router(Router),
    Baseline(BaselineRouter),
}

impl PolicyKind {
    pub const ALL: [Self; 6] = [
        Self::Product,
        Self::WithoutEjection,
        Self::RoundRobin,
        Self::LeastReported,
        Self::LeastLoaded,
        Self::WeightedRandom,
    ];

    /// Policies that the hedging scenarios compare.
    pub const HEDGING: [Self; 2] = [Self::Product, Self::Hedged];

    pub const fn title(self) -> &'static str {
        match self {
            Self::Product => "geraniumpost",
            Self::WithoutEjection => "without ejection",
            Self::Hedged => "with hedging",
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least reported",
            Self::LeastLoaded => "least loaded",
            Self::WeightedRandom => "weighted random",
        }
    }

    /// Creates the policy's state for an entry; round robin starts at a different agent at each, so
    /// that entries do not choose the same agents at the same time.
    pub fn create_policy(self, entry: usize) -> Policy {
        match self {
            Self::Product | Self::WithoutEjection | Self::Hedged => {
                Policy::Router(Router::default())
            }
            Self::RoundRobin => Policy::Baseline(BaselineRouter::RoundRobin(entry * 3)),
            Self::LeastReported => Policy::Baseline(BaselineRouter::LeastReported),
            Self::LeastLoaded => Policy::Baseline(BaselineRouter::LeastLoaded),
            Self::WeightedRandom => Policy::Baseline(BaselineRouter::WeightedRandom),
        }
    }

    pub fn ejects(self) -> bool {
        matches!(self, Self::Product | Self::Hedged)
    }
}

impl Policy {
    pub fn choose(
        &mut self,
        service: &ServiceView,
        query: &RoutingQuery<'_>,
        rng: &mut SmallRng,
    ) -> Result<RoutingDecision, NoAgent> {
        match self {
            Self::Router(router) => router.choose(service, query, rng),
            Self::Baseline(router) => router.choose(service, query, rng),
        }
    }
}
