use std::sync::Arc;

use rand::{Rng, RngCore};

use super::{
    AgentView, NoAgent, PeerLoad, Router, RoutingDecision, RoutingQuery, RoutingReason, ServiceView,
};

/// Simple policies to which benchmarks and tests compare the [`Router`]. None is used in
/// production.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineRouter {
    /// Each agent in turn, regardless of its load. The value is the number of earlier decisions.
    RoundRobin(usize),
    /// The agent with the fewest requests by its last report and the entry's own counter, found by
    /// scanning all agents.
    LeastLoaded,
    /// The agent with the fewest requests by its last report alone, found by scanning all agents.
    LeastReported,
    /// A random agent, with a probability inversely proportional to [`Router::cost_us`].
    WeightedRandom,
}

impl BaselineRouter {
    /// Chooses a routable agent of `service` that the request has not tried.
    ///
    /// # Errors
    ///
    /// Returns [`NoAgent::NoneReady`] if there is no such agent.
    pub fn choose(
        &mut self,
        service: &ServiceView,
        query: &RoutingQuery<'_>,
        rng: &mut impl RngCore,
    ) -> Result<RoutingDecision, NoAgent> {
        let usable: Vec<&Arc<AgentView>> = usable_agents(service, query);
        if usable.is_empty() {
            return Err(NoAgent::NoneReady);
        }
        let agent = match self {
            Self::RoundRobin(position) => round_robin(&usable, position),
            Self::LeastLoaded => least_by(&usable, known_load),
            Self::LeastReported => least_by(&usable, reported_load),
            Self::WeightedRandom => weighted_random(&usable, query, rng),
        };
        Ok(RoutingDecision::without_candidates(agent, RoutingReason::Baseline))
    }
}

fn usable_agents<'a>(
    service: &'a ServiceView,
    query: &RoutingQuery<'_>,
) -> Vec<&'a Arc<AgentView>> {
    let agents = service.agents().iter();
    agents.filter(|agent| agent.is_routable() && !query.tried.contains(agent.name())).collect()
}

fn round_robin<'a>(usable: &[&'a Arc<AgentView>], position: &mut usize) -> &'a Arc<AgentView> {
    *position = position.wrapping_add(1);
    usable[*position % usable.len()]
}

fn least_by<'a>(
    usable: &[&'a Arc<AgentView>],
    load: impl Fn(&AgentView) -> u32,
) -> &'a Arc<AgentView> {
    usable.iter().min_by_key(|agent| load(agent)).expect("checked to be non-empty")
}

fn known_load(agent: &AgentView) -> u32 {
    agent.counters().others_in_flight() + agent.counters().in_flight()
}

fn reported_load(agent: &AgentView) -> u32 {
    let load = agent.counters().load();
    load.in_flight + load.queued
}

fn weighted_random<'a>(
    usable: &[&'a Arc<AgentView>],
    query: &RoutingQuery<'_>,
    rng: &mut impl RngCore,
) -> &'a Arc<AgentView> {
    let (router, peers) =
        (Router::default(), PeerLoad::from_agents(usable.iter().map(|agent| &***agent)));
    let weight = |agent: &AgentView| 1.0 / (router.cost_us(agent, &peers, query) + 1) as f64;
    let total: f64 = usable.iter().map(|agent| weight(agent)).sum();
    let mut remaining = rng.random::<f64>() * total;
    let found = usable.iter().find(|agent| {
        remaining -= weight(agent);
        remaining <= 0.0
    });
    found.unwrap_or(&usable[0])
}
