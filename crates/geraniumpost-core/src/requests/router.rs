use std::sync::Arc;

use rand::RngCore;

use super::{
    AgentView, Candidate, NoAgent, PeerLoad, RouterTuning, RoutingDecision, RoutingQuery,
    RoutingReason, ServiceView,
};

/// Maximum number of agents drawn from one distance tier.
const DRAWS_PER_TIER: usize = 2;
/// Maximum share of failures, in thousandths, that the cost takes into account; the limit keeps the
/// cost finite.
const MAX_FAILURES_PERMILLE: u64 = 950;

/// Routes by the power of two choices. The cost of an agent is (requests at the agent) x (smoothed
/// service time) / (slots of its minion), increased according to its share of failures.
///
/// Up to two agents are drawn at random from each distance tier, beginning with the failure domain
/// of the entry, until at least three are drawn. The cost of agents outside the failure domain of
/// the entry includes a surcharge. A nearer agent is thus preferred until its cost exceeds the cost
/// of a farther agent plus the surcharge. Random draws keep several entries with equally old
/// reports from sending all requests to the one agent that appeared idle; see
/// `docs/design/0101-routing.md`.
///
/// # Example
///
/// ```
/// use geraniumpost_core::requests::{AgentView, Location, RoutingQuery, Router, Snapshot};
/// use geraniumpost_core::Millis;
/// use rand::{SeedableRng, rngs::SmallRng};
/// let here = Location::new("lima", "surco");
/// let agents = [AgentView::new("a1", 7).service("filing").at_location(here.clone())];
/// let snapshot = Snapshot::new(agents, &here);
/// let service = snapshot.service("filing").unwrap();
/// let query = RoutingQuery::new(Millis(0));
/// let choice = Router::default().choose(service, &query, &mut SmallRng::seed_from_u64(1)).unwrap();
/// let guard = choice.agent().counters().begin_request();
/// assert_eq!(choice.agent().counters().in_flight(), 1);
/// drop(guard);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Router {
    tuning: RouterTuning,
}

impl Router {
    /// Returns a router that weighs load against distance by `tuning`.
    pub const fn new(tuning: RouterTuning) -> Self {
        Self { tuning }
    }

    /// Chooses an agent of `service` that the request has not tried, or claims a due probe of an
    /// ejected agent.
    ///
    /// # Errors
    ///
    /// Returns [`NoAgent`] if every agent was tried or none accepts work. The request is then not
    /// sent.
    pub fn choose(
        &self,
        service: &ServiceView,
        query: &RoutingQuery<'_>,
        rng: &mut impl RngCore,
    ) -> Result<RoutingDecision, NoAgent> {
        if let Some(agent) = claim_due_probe(service, query) {
            return Ok(RoutingDecision::without_candidates(agent, RoutingReason::Probe));
        }
        let candidates = self.draw_candidates(service, query, rng);
        let cheapest = candidates.iter().flatten().min_by_key(|candidate| candidate.cost_us);
        let Some(agent) = cheapest.map(|candidate| Arc::clone(&candidate.agent)) else {
            return choose_last_resort(service, query);
        };
        let reason =
            if candidates[1].is_some() { RoutingReason::Cheapest } else { RoutingReason::Only };
        Ok(RoutingDecision { agent, candidates, reason })
    }

    /// Expected cost of one more request at `agent`, in microseconds of waiting.
    ///
    /// The reported number of requests of other entries is blended with the mean of the candidates.
    /// The weight of the reported number decreases with the age of the report, and is 0 from an age
    /// of `report_max_age_ms`. Otherwise all entries would send their requests to the agent that
    /// last reported itself idle, until its next report.
    pub fn cost_us(&self, agent: &AgentView, peers: &PeerLoad, query: &RoutingQuery<'_>) -> u64 {
        let counters = agent.counters();
        let max_age_ms = self.tuning.report_max_age_ms;
        let age_ms = counters.report_age_ms(query.now).min(max_age_ms);
        let weighted_others = u64::from(counters.others_in_flight()) * (max_age_ms - age_ms)
            + peers.others_in_flight() * age_ms;
        let own_requests = u64::from(counters.in_flight()) + 1;
        let service_us = peers.service_us(counters.service_us());
        let waiting_us =
            service_us.saturating_mul(own_requests * max_age_ms + weighted_others) / max_age_ms;
        let failures = u64::from(counters.failures_permille()).min(MAX_FAILURES_PERMILLE);
        waiting_us.saturating_mul(1000) / (1000 - failures) / u64::from(agent.slot_count())
    }

    fn draw_candidates(
        &self,
        service: &ServiceView,
        query: &RoutingQuery<'_>,
        rng: &mut impl RngCore,
    ) -> [Option<Candidate>; RoutingDecision::MAX_CANDIDATES] {
        let mut candidates = [const { None }; RoutingDecision::MAX_CANDIDATES];
        let mut len = 0;
        for tier in 0..ServiceView::TIERS {
            for index in draw_from_tier(service, tier, query, rng).into_iter().flatten() {
                let agent = Arc::clone(service.agent(index));
                let cost_us = self.tuning.tier_cost_us(tier);
                candidates[len] = Some(Candidate { agent, cost_us });
                len += 1;
            }
            if len + DRAWS_PER_TIER > RoutingDecision::MAX_CANDIDATES {
                break;
            }
        }
        self.add_load_cost(query, &mut candidates);
        candidates
    }

    /// Adds the expected cost of waiting at each candidate to the surcharge for its distance.
    fn add_load_cost(
        &self,
        query: &RoutingQuery<'_>,
        candidates: &mut [Option<Candidate>; RoutingDecision::MAX_CANDIDATES],
    ) {
        let peers =
            PeerLoad::from_agents(candidates.iter().flatten().map(|candidate| &*candidate.agent));
        for candidate in candidates.iter_mut().flatten() {
            candidate.cost_us =
                candidate.cost_us.saturating_add(self.cost_us(&candidate.agent, &peers, query));
        }
    }
}

/// Draws up to two different usable agents of `tier`.
fn draw_from_tier(
    service: &ServiceView,
    tier: usize,
    query: &RoutingQuery<'_>,
    rng: &mut impl RngCore,
) -> [Option<u32>; DRAWS_PER_TIER] {
    let indexes = service.agents_in_tier(tier);
    let len = indexes.len();
    if len == 0 {
        return [None; DRAWS_PER_TIER];
    }
    let find = |start: usize, excluded: Option<usize>| {
        let mut positions = (start..start + len).map(|position| position % len);
        positions.find(|&position| {
            Some(position) != excluded && is_usable(service.agent(indexes[position]), query)
        })
    };
    let first = find(random_below(len, rng), None);
    let second = match first {
        Some(first) if len > 1 => find(first + 1 + random_below(len - 1, rng), Some(first)),
        _ => None,
    };
    [first, second].map(|position| position.map(|position| indexes[position]))
}

fn is_usable(agent: &AgentView, query: &RoutingQuery<'_>) -> bool {
    !agent.counters().is_ejected() && query.admits(agent)
}

fn claim_due_probe<'a>(
    service: &'a ServiceView,
    query: &RoutingQuery<'_>,
) -> Option<&'a Arc<AgentView>> {
    let mut ejected = service.ejected().filter(|agent| query.admits(agent));
    ejected.find(|agent| agent.counters().claim_probe(query.now, query.retryable))
}

fn choose_last_resort(
    service: &ServiceView,
    query: &RoutingQuery<'_>,
) -> Result<RoutingDecision, NoAgent> {
    let mut ejected = service.ejected().filter(|agent| query.admits(agent));
    if let Some(agent) = ejected.next() {
        return Ok(RoutingDecision::without_candidates(agent, RoutingReason::LastResort));
    }
    let is_evacuated =
        |agent: &&Arc<AgentView>| query.evacuated_domains.contains(agent.location().domain());
    let accepts_work = |agent: &Arc<AgentView>| agent.is_connected() && !agent.is_draining();
    let none_ready = !service.agents().iter().filter(|a| !is_evacuated(a)).any(accepts_work);
    Err(if none_ready { NoAgent::NoneReady } else { NoAgent::AllTried })
}

/// Returns a random number below `len` by multiplication, which is cheaper than a division. The
/// bias of one in 2^32 is irrelevant here.
fn random_below(len: usize, rng: &mut impl RngCore) -> usize {
    ((u64::from(rng.next_u32()) * len as u64) >> 32) as usize
}
