use geraniumpost_core::requests::{
    BaselineRouter, NoAgent, Router, RoutingDecision, RoutingQuery, ServiceView,
};
use rand::rngs::SmallRng;

/// A routing policy that takes part in the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contender {
    /// The product's policy.
    Product,
    /// The product's policy without ejection of failing agents.
    WithoutEjection,
    /// The product's policy, with a second attempt elsewhere for what takes long.
    Hedged,
    RoundRobin,
    LeastReported,
    LeastLoaded,
    WeightedRandom,
}

/// One entry's state of a policy.
#[derive(Debug)]
pub enum Policy {
    Router(Router),
    Baseline(BaselineRouter),
}

impl Contender {
    pub const ALL: [Self; 6] = [
        Self::Product,
        Self::WithoutEjection,
        Self::RoundRobin,
        Self::LeastReported,
        Self::LeastLoaded,
        Self::WeightedRandom,
    ];

    /// The policies of the scenarios on hedging.
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

    /// Starts the policy at entry number `entry`, so that entries do not go in step.
    pub fn policy(self, entry: usize) -> Policy {
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
        ask: &RoutingQuery<'_>,
        rng: &mut SmallRng,
    ) -> Result<RoutingDecision, NoAgent> {
        match self {
            Self::Router(router) => router.choose(service, ask, rng),
            Self::Baseline(router) => router.choose(service, ask, rng),
        }
    }
}
