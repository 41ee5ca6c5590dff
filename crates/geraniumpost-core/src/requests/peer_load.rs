use super::AgentView;

/// Service time in microseconds that is assumed when no agent has reported a service time.
const UNKNOWN_SERVICE_US: u64 = 10_000;

/// Mean number of requests of other entries and shortest reported service time of the candidates of
/// a routing decision. The mean replaces old reports of single agents; the shortest time replaces
/// missing service times and those up to twice as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLoad {
    others_in_flight: u64,
    service_us: u64,
}

impl PeerLoad {
    /// Computes the mean number of requests of other entries and the shortest reported service time
    /// of `agents`.
    pub fn from_agents<'a>(agents: impl Iterator<Item = &'a AgentView>) -> Self {
        let (mut count, mut others_in_flight, mut shortest) = (0, 0, u64::MAX);
        for agent in agents {
            let counters = agent.counters();
            count += 1;
            others_in_flight += u64::from(counters.others_in_flight());
            let reported = counters.service_us();
            shortest = if reported > 0 { shortest.min(reported) } else { shortest };
        }
        let service_us = if shortest == u64::MAX { UNKNOWN_SERVICE_US } else { shortest };
        Self { others_in_flight: others_in_flight / count.max(1), service_us }
    }

    /// Mean number of requests of other entries per agent, which replaces the report of an agent in
    /// proportion to the age of the report.
    pub const fn others_in_flight(&self) -> u64 {
        self.others_in_flight
    }

    /// Service time in microseconds that is assumed for an agent that reported `reported_us`, or 0
    /// if it has reported none.
    ///
    /// Only an agent with more than twice the shortest time counts as slower, because smoothed
    /// service times differ by chance. If they were used as reported, the agent that looks fastest
    /// would get nearly twice its share of the requests until its next report: 16 entries with
    /// reports 2 s old sent one agent 1.4 times the mean.
    pub const fn service_us(&self, reported_us: u64) -> u64 {
        if reported_us / 2 > self.service_us { reported_us } else { self.service_us }
    }
}
