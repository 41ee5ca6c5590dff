use std::sync::Arc;

use rand::RngCore;

use super::{AgentView, Choice, Considered, NoAgent, RouteAsk, RouterTuning, ServiceView, Why};

/// Draws from one tier before the tier is searched in order.
const DRAWS: usize = 4;
/// Agents weighed from the nearest tier that has any, and again from the next one.
const PER_TIER: usize = 2;
/// Largest share of failures that is weighed, in thousandths; it bounds the cost's growth.
const MOST_FAILURES: u64 = 950;
/// An agent is never taken to be faster than this fraction of the typical service time.
///
/// A minion that fails at once reports a short service time; believed, it would draw all requests.
const FASTEST_SHARE: u64 = 4;

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
/// use geraniumpost_core::requests::{AgentView, Place, RouteAsk, Router, Snapshot};
/// use geraniumpost_core::Millis;
/// use rand::{SeedableRng, rngs::SmallRng};
/// let here = Place::new("lima", "surco");
/// let agents = [AgentView::new("a1", 7).service("filing").place(here.clone())];
/// let snapshot = Snapshot::new(agents, &here);
/// let service = snapshot.service("filing").unwrap();
/// let ask = RouteAsk::new(Millis(0));
/// let choice = Router::default().choose(service, &ask, &mut SmallRng::seed_from_u64(1)).unwrap();
/// let guard = choice.agent().counters().begin();
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
        ask: &RouteAsk<'_>,
        rng: &mut impl RngCore,
    ) -> Result<Choice, NoAgent> {
        if let Some(agent) = probe(service, ask) {
            return Ok(Choice::of(agent, Why::Probe));
        }
        let considered = self.draw(service, ask, rng);
        let cheapest = considered.iter().flatten().min_by_key(|seen| seen.cost_us);
        let Some(agent) = cheapest.map(|seen| Arc::clone(&seen.agent)) else {
            return last_resort(service, ask);
        };
        let why = if considered[1].is_some() { Why::Cheapest } else { Why::Only };
        Ok(Choice { agent, considered, why })
    }

    /// Expected cost of one more request at `agent`, in microseconds of waiting.
    pub fn cost_us(&self, service: &ServiceView, agent: &AgentView, ask: &RouteAsk<'_>) -> u64 {
        let gauge = agent.counters();
        let typical = service.typical_us();
        let known = gauge.service_us();
        let service_us = if known == 0 { typical } else { known.max(typical / FASTEST_SHARE) };
        let outstanding = gauge.outstanding(ask.now, self.tuning.stale_after_ms);
        let failures = u64::from(gauge.failures_permille()).min(MOST_FAILURES);
        let busy = service_us.saturating_mul(u64::from(outstanding) + 1);
        busy.saturating_mul(1000) / (1000 - failures) / u64::from(agent.slot_count())
    }

    fn draw(
        &self,
        service: &ServiceView,
        ask: &RouteAsk<'_>,
        rng: &mut impl RngCore,
    ) -> [Option<Considered>; Choice::MOST] {
        let mut considered = [const { None }; Choice::MOST];
        let mut len = 0;
        for tier in 0..ServiceView::TIERS {
            let indexes = draw_tier(service, tier, ask, rng);
            for index in indexes.into_iter().flatten() {
                let agent = Arc::clone(service.agent(index));
                let way = self.tuning.tier_cost_us(tier);
                let cost_us = self.cost_us(service, &agent, ask).saturating_add(way);
                considered[len] = Some(Considered { agent, cost_us });
                len += 1;
            }
            if len + PER_TIER > Choice::MOST {
                break;
            }
        }
        considered
    }
}

fn draw_tier(
    service: &ServiceView,
    tier: usize,
    ask: &RouteAsk<'_>,
    rng: &mut impl RngCore,
) -> [Option<u32>; PER_TIER] {
    let indexes = service.tier(tier);
    let mut drawn = [None; PER_TIER];
    let mut len = 0;
    for _ in 0..DRAWS {
        if len == PER_TIER || indexes.is_empty() {
            return drawn;
        }
        let index = indexes[below(indexes.len(), rng)];
        if drawn[0] != Some(index) && usable(service.agent(index), ask) {
            drawn[len] = Some(index);
            len += 1;
        }
    }
    if len == 0 {
        drawn[0] = search(service, indexes, ask, rng);
    }
    drawn
}

/// Finds any usable agent, starting at random; needed only when most agents of the tier were tried
/// or have been ejected since the snapshot was made.
fn search(
    service: &ServiceView,
    indexes: &[u32],
    ask: &RouteAsk<'_>,
    rng: &mut impl RngCore,
) -> Option<u32> {
    let start = below(indexes.len(), rng);
    let mut turn = indexes.iter().cycle().skip(start).take(indexes.len());
    turn.find(|&&index| usable(service.agent(index), ask)).copied()
}

fn usable(agent: &AgentView, ask: &RouteAsk<'_>) -> bool {
    !agent.counters().is_ejected() && !ask.tried.contains(agent.name())
}

fn probe<'a>(service: &'a ServiceView, ask: &RouteAsk<'_>) -> Option<&'a Arc<AgentView>> {
    let mut due = service.ejected().filter(|agent| !ask.tried.contains(agent.name()));
    due.find(|agent| agent.counters().claim_probe(ask.now, ask.harmless))
}

fn last_resort(service: &ServiceView, ask: &RouteAsk<'_>) -> Result<Choice, NoAgent> {
    let mut ejected = service.ejected().filter(|agent| !ask.tried.contains(agent.name()));
    if let Some(agent) = ejected.next() {
        return Ok(Choice::of(agent, Why::LastResort));
    }
    let none_ready = service.routable() == 0 && service.ejected().next().is_none();
    Err(if none_ready { NoAgent::NoneReady } else { NoAgent::AllTried })
}

/// Returns a number below `len` by multiplication, which is cheaper than a division and whose bias
/// of one in 2^32 does not matter here.
fn below(len: usize, rng: &mut impl RngCore) -> usize {
    ((u64::from(rng.next_u32()) * len as u64) >> 32) as usize
}
