/// What the modelled fleet goes through.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub title: &'static str,
    pub agents: usize,
    pub entries: usize,
    /// Requests as a share of what all agents together can answer at their normal speed.
    pub load: f64,
    /// Interval of heartbeats.
    pub beat_us: u64,
    /// Whether answers carry the agent's load.
    pub load_on_answers: bool,
    pub odd: Odd,
}

/// What is wrong with the first agent's minion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Odd {
    Nothing,
    /// It takes this many times as long.
    Slow(u64),
    /// It fails everything at once.
    Fails,
}

impl Scenario {
    const fn new(title: &'static str, load: f64) -> Self {
        Self {
            title,
            agents: 11,
            entries: 4,
            load,
            beat_us: 500_000,
            load_on_answers: true,
            odd: Odd::Nothing,
        }
    }

    /// All scenarios in the order printed.
    pub const fn all() -> [Self; 7] {
        let stale = Self {
            beat_us: 2_000_000,
            load_on_answers: false,
            ..Self::new("reports 2 s old, 11 agents, load 0.7", 0.7)
        };
        [
            Self::new("11 agents, load 0.5", 0.5),
            Self::new("11 agents, load 0.9", 0.9),
            Self { agents: 100, ..Self::new("100 agents, load 0.7", 0.7) },
            stale,
            Self { odd: Odd::Slow(5), ..Self::new("one minion 5 times slower, load 0.6", 0.6) },
            Self { odd: Odd::Fails, ..Self::new("one minion fails at once, load 0.6", 0.6) },
            Self { entries: 16, ..stale.titled("reports 2 s old, 16 entries, load 0.7") },
        ]
    }

    const fn titled(self, title: &'static str) -> Self {
        Self { title, ..self }
    }
}
