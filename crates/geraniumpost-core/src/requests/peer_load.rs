use super::AgentView;

/// Service time taken when nothing is known of any agent, in microseconds.
const UNKNOWN_SERVICE_US: u64 = 10_000;

/// What the agents that a routing decision weighs have in common, by which doubtful reports of one
/// of them are replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLoad {
    others: u64,
    service_us: u64,
}

impl PeerLoad {
    /// Takes the mean number of other entries' requests and the shortest known service time.
    pub fn from_agents<'a>(agents: impl Iterator<Item = &'a AgentView>) -> Self {
        let (mut count, mut others, mut shortest) = (0, 0, u64::MAX);
        for agent in agents {
            let gauge = agent.counters();
            count += 1;
            others += u64::from(gauge.others_in_flight());
            let known = gauge.service_us();
            shortest = if known > 0 { shortest.min(known) } else { shortest };
        }
        let service_us = if shortest == u64::MAX { UNKNOWN_SERVICE_US } else { shortest };
        Self { others: others / count.max(1), service_us }
    }

    /// Requests of other entries at an agent whose own report is too old.
    pub const fn others_in_flight(&self) -> u64 {
        self.others
    }

    /// Service time that counts for an agent that reported `known_us`, 0 if it did not.
    ///
    /// Smoothed service times differ by chance. Taken as they are, the agent that looks fastest
    /// gets nearly twice its part of the requests until its next report, and 16 entries with
    /// reports 2 s old ran 1.4 times the mean on one agent. Only twice the time counts as slower.
    pub const fn service_us(&self, known_us: u64) -> u64 {
        if known_us / 2 > self.service_us { known_us } else { self.service_us }
    }
}
