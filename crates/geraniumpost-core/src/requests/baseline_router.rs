use std::sync::Arc;

use rand::{Rng, RngCore};

use super::{
    AgentView, NoAgent, PeerLoad, Router, RoutingDecision, RoutingQuery, RoutingReason, ServiceView,
};

/// Policies that the [`Router`] is measured against in benches and tests; none is used in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineRouter {
    /// Each agent in turn, whatever its load; the number is the next one's.
    RoundRobin(usize),
    /// The agent with the fewest requests by reports and own counters, by scanning all.
    LeastLoaded,
    /// The agent with the fewest requests by its last report alone, by scanning all.
    LeastReported,
    /// At random, an agent with half the cost twice as often.
    WeightedRandom,
}

impl BaselineRouter {
    /// Chooses an agent of `service`.
    ///
    /// # Errors
    ///
    /// Returns why none can be chosen.
    pub fn choose(
        &mut self,
        service: &ServiceView,
        ask: &RoutingQuery<'_>,
        rng: &mut impl RngCore,
    ) -> Result<RoutingDecision, NoAgent> {
        let usable: Vec<&Arc<AgentView>> = usable(service, ask);
        if usable.is_empty() {
            return Err(NoAgent::NoneReady);
        }
        let agent = match self {
            Self::RoundRobin(next) => in_turn(&usable, next),
            Self::LeastLoaded => least(&usable, load),
            Self::LeastReported => least(&usable, reported),
            Self::WeightedRandom => weighted(&usable, ask, rng),
        };
        Ok(RoutingDecision::of(agent, RoutingReason::Baseline))
    }
}

fn usable<'a>(service: &'a ServiceView, ask: &RoutingQuery<'_>) -> Vec<&'a Arc<AgentView>> {
    let agents = service.agents().iter();
    agents.filter(|agent| agent.is_routable() && !ask.tried.contains(agent.name())).collect()
}

fn in_turn<'a>(usable: &[&'a Arc<AgentView>], next: &mut usize) -> &'a Arc<AgentView> {
    *next = next.wrapping_add(1);
    usable[*next % usable.len()]
}

fn least<'a>(
    usable: &[&'a Arc<AgentView>],
    load: impl Fn(&AgentView) -> u32,
) -> &'a Arc<AgentView> {
    usable.iter().min_by_key(|agent| load(agent)).expect("checked to be non-empty")
}

fn load(agent: &AgentView) -> u32 {
    agent.counters().others_in_flight() + agent.counters().in_flight()
}

fn reported(agent: &AgentView) -> u32 {
    let load = agent.counters().load();
    load.in_flight + load.queued
}

fn weighted<'a>(
    usable: &[&'a Arc<AgentView>],
    ask: &RoutingQuery<'_>,
    rng: &mut impl RngCore,
) -> &'a Arc<AgentView> {
    let (router, peers) =
        (Router::default(), PeerLoad::from_agents(usable.iter().map(|agent| &***agent)));
    let weight = |agent: &AgentView| 1.0 / (router.cost_us(agent, &peers, ask) + 1) as f64;
    let total: f64 = usable.iter().map(|agent| weight(agent)).sum();
    let mut left = rng.random::<f64>() * total;
    let found = usable.iter().find(|agent| {
        left -= weight(agent);
        left <= 0.0
    });
    found.unwrap_or(&usable[0])
}
