/// Load, size and faults of a modelled fleet.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub title: &'static str,
    pub agents: usize,
    pub entries: usize,
    /// Request rate as a share of the rate that all agents together can serve at normal speed.
    pub load: f64,
    /// Interval of heartbeats.
    pub heartbeat_us: u64,
    /// Whether answers carry the agent's load.
    pub load_on_answers: bool,
    pub minion_fault: MinionFault,
    /// Whether the service time is a property of the request and thus equal for all its attempts.
    pub inherent: bool,
}

/// Fault of the first agent's minion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MinionFault {
    None,
    /// Each request takes this many times as long.
    Slow(u64),
    /// Each request fails immediately.
    Fails,
}

impl Scenario {
    const fn new(title: &'static str, load: f64) -> Self {
        Self {
            title,
            agents: 11,
            entries: 4,
            load,
            heartbeat_us: 500_000,
            load_on_answers: true,
            minion_fault: MinionFault::None,
            inherent: false,
        }
    }

    /// Returns the scenarios of the comparison in the order in which they are printed.
    pub const fn all() -> [Self; 7] {
        let stale = Self {
            heartbeat_us: 2_000_000,
            load_on_answers: false,
            ..Self::new("reports 2 s old, 11 agents, load 0.7", 0.7)
        };
        [
            Self::new("11 agents, load 0.5", 0.5),
            Self::new("11 agents, load 0.9", 0.9),
            Self { agents: 100, ..Self::new("100 agents, load 0.7", 0.7) },
            stale,
            Self {
                minion_fault: MinionFault::Slow(5),
                ..Self::new("one minion 5 times slower, load 0.6", 0.6)
            },
            Self {
                minion_fault: MinionFault::Fails,
                ..Self::new("one minion fails at once, load 0.6", 0.6)
            },
            Self { entries: 16, ..stale.with_title("reports 2 s old, 16 entries, load 0.7") },
        ]
    }

    /// Returns the scenarios that compare hedging.
    pub const fn hedging() -> [Self; 5] {
        let slow = Self {
            minion_fault: MinionFault::Slow(5),
            ..Self::new("one minion 5 times slower, 0.6", 0.6)
        };
        [
            Self::new("times belong to runs, load 0.3", 0.3),
            Self::new("times belong to runs, load 0.6", 0.6),
            Self { inherent: true, ..Self::new("times belong to requests, load 0.3", 0.3) },
            Self { inherent: true, ..Self::new("times belong to requests, load 0.6", 0.6) },
            Self {
                inherent: true,
                ..slow.with_title("to requests, one minion 5 times slower, load 0.6")
            },
        ]
    }

    const fn with_title(self, title: &'static str) -> Self {
        Self { title, ..self }
    }
}
