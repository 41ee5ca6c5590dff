use std::sync::Arc;

use rand::RngCore;

use super::{
    AgentView, Candidate, NoAgent, PeerLoad, RouterTuning, RoutingDecision, RoutingQuery,
    RoutingReason, ServiceView,
};

/// Agents weighed from the nearest tier that has any, and again from the next one.
const PER_TIER: usize = 2;
/// Largest share of failures that is weighed, in thousandths; it bounds the cost's growth.
const MOST_FAILURES: u64 = 950;

/// Power of two choices over (requests at the agent) x (smoothed service time).
///
/// Two agents are drawn at random from the entry's own failure domain and two from the next
/// farther tier, which carry a surcharge, so the own domain is preferred until it costs more than
/// the way. Random draws are what keeps several entries with equally old reports from sending
/// everything to the one agent that looked idle; see `docs/design/0101-routing.md`.
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
/// let ask = RoutingQuery::new(Millis(0));
/// let choice = Router::default().choose(service, &ask, &mut SmallRng::seed_from_u64(1)).unwrap();
/// let guard = choice.agent().counters().begin_request();
/// assert_eq!(choice.agent().counters().in_flight(), 1);
/// drop(guard);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Router {
    tuning: RouterTuning,
}

impl Router {
    /// Returns a router with `tuning`.
    pub const fn new(tuning: RouterTuning) -> Self {
        Self { tuning }
    }

    /// Chooses an agent of `service`.
    ///
    /// # Errors
    ///
    /// Returns why none can be chosen: the request is certainly not sent.
    pub fn choose(
        &self,
        service: &ServiceView,
        ask: &RoutingQuery<'_>,
        rng: &mut impl RngCore,
    ) -> Result<RoutingDecision, NoAgent> {
        if let Some(agent) = probe(service, ask) {
            return Ok(RoutingDecision::of(agent, RoutingReason::Probe));
        }
        let considered = self.draw(service, ask, rng);
        let cheapest = considered.iter().flatten().min_by_key(|seen| seen.cost_us);
        let Some(agent) = cheapest.map(|seen| Arc::clone(&seen.agent)) else {
            return last_resort(service, ask);
        };
        let why =
            if considered[1].is_some() { RoutingReason::Cheapest } else { RoutingReason::Only };
        Ok(RoutingDecision { agent, considered, why })
    }

    /// Expected cost of one more request at `agent`, in microseconds of waiting.
    ///
    /// The number of other entries' requests in a report is believed less and less until the report
    /// is `fresh_ms` old, and their usual number takes its place. Otherwise all entries would send
    /// their requests to whoever reported "idle" last until its next report, again and again.
    pub fn cost_us(&self, agent: &AgentView, peers: &PeerLoad, ask: &RoutingQuery<'_>) -> u64 {
        let gauge = agent.counters();
        let fresh_ms = self.tuning.fresh_ms;
        let age = gauge.report_age(ask.now).min(fresh_ms);
        let others =
            u64::from(gauge.others_in_flight()) * (fresh_ms - age) + peers.others_in_flight() * age;
        let own = u64::from(gauge.in_flight()) + 1;
        let service_us = peers.service_us(gauge.service_us());
        let busy = service_us.saturating_mul(own * fresh_ms + others) / fresh_ms;
        let failures = u64::from(gauge.failures_permille()).min(MOST_FAILURES);
        busy.saturating_mul(1000) / (1000 - failures) / u64::from(agent.slot_count())
    }

    fn draw(
        &self,
        service: &ServiceView,
        ask: &RoutingQuery<'_>,
        rng: &mut impl RngCore,
    ) -> [Option<Candidate>; RoutingDecision::MAX_CANDIDATES] {
        let mut considered = [const { None }; RoutingDecision::MAX_CANDIDATES];
        let mut len = 0;
        for tier in 0..ServiceView::TIERS {
            for index in draw_tier(service, tier, ask, rng).into_iter().flatten() {
                let agent = Arc::clone(service.agent(index));
                let cost_us = self.tuning.tier_cost_us(tier);
                considered[len] = Some(Candidate { agent, cost_us });
                len += 1;
            }
            if len + PER_TIER > RoutingDecision::MAX_CANDIDATES {
                break;
            }
        }
        self.weigh(ask, &mut considered);
        considered
    }

    /// Adds to each drawn agent's surcharge what waiting there costs.
    fn weigh(
        &self,
        ask: &RoutingQuery<'_>,
        considered: &mut [Option<Candidate>; RoutingDecision::MAX_CANDIDATES],
    ) {
        let peers = PeerLoad::from_agents(considered.iter().flatten().map(|one| &*one.agent));
        for one in considered.iter_mut().flatten() {
            one.cost_us = one.cost_us.saturating_add(self.cost_us(&one.agent, &peers, ask));
        }
    }
}

/// Draws two different usable agents of a tier, or as many as there are.
fn draw_tier(
    service: &ServiceView,
    tier: usize,
    ask: &RoutingQuery<'_>,
    rng: &mut impl RngCore,
) -> [Option<u32>; PER_TIER] {
    let indexes = service.tier(tier);
    let len = indexes.len();
    if len == 0 {
        return [None; PER_TIER];
    }
    let find = |start: usize, taken: Option<usize>| {
        let mut turn = (start..start + len).map(|position| position % len);
        turn.find(|&position| {
            Some(position) != taken && usable(service.agent(indexes[position]), ask)
        })
    };
    let first = find(below(len, rng), None);
    let second = match first {
        Some(first) if len > 1 => find(first + 1 + below(len - 1, rng), Some(first)),
        _ => None,
    };
    [first, second].map(|position| position.map(|position| indexes[position]))
}

fn usable(agent: &AgentView, ask: &RoutingQuery<'_>) -> bool {
    !agent.counters().is_ejected() && !ask.tried.contains(agent.name())
}

fn probe<'a>(service: &'a ServiceView, ask: &RoutingQuery<'_>) -> Option<&'a Arc<AgentView>> {
    let mut due = service.ejected().filter(|agent| !ask.tried.contains(agent.name()));
    due.find(|agent| agent.counters().claim_probe(ask.now, ask.retryable))
}

fn last_resort(service: &ServiceView, ask: &RoutingQuery<'_>) -> Result<RoutingDecision, NoAgent> {
    let mut ejected = service.ejected().filter(|agent| !ask.tried.contains(agent.name()));
    if let Some(agent) = ejected.next() {
        return Ok(RoutingDecision::of(agent, RoutingReason::LastResort));
    }
    let none_ready = service.routable_count() == 0 && service.ejected().next().is_none();
    Err(if none_ready { NoAgent::NoneReady } else { NoAgent::AllTried })
}

/// Returns a number below `len` by multiplication, which is cheaper than a division and whose bias
/// of one in 2^32 does not matter here.
fn below(len: usize, rng: &mut impl RngCore) -> usize {
    ((u64::from(rng.next_u32()) * len as u64) >> 32) as usize
}
