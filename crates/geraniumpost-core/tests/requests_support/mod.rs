//! Helpers shared by the tests of decisions on requests.
#![allow(dead_code, unused_macros, unused_imports, reason = "each test file uses a part of it")]

pub mod minion_model;
pub mod reference_queue;

use geraniumpost_core::requests::{AgentView, Location, Snapshot};
use geraniumpost_schema::{AgentState, Heartbeat, Load, RequestId, Resources};

/// Generates one `#[test]` function per line, which calls `$check` with the given arguments.
macro_rules! cases {
    ($check:path; $($(#[$meta:meta])* $name:ident: $($argument:expr),+;)+) => {
        $($(#[$meta])* #[test] fn $name() { $check($($argument),+); })+
    };
}
pub(crate) use cases;

pub const fn id(sequence: u64) -> RequestId {
    RequestId { entry: 1, sequence }
}

pub fn here() -> Location {
    Location::new("lima", "surco")
}

/// A ready, connected agent of the service `filing` at the location [`here`].
pub fn agent(name: impl Into<String>) -> AgentView {
    AgentView::new(name.into(), 1).service("filing").at_location(here())
}

/// Snapshot of `count` agents as returned by [`agent`], named `a0`, `a1` and so on.
pub fn fleet(count: usize) -> Snapshot {
    Snapshot::new((0..count).map(|n| agent(format!("a{n}"))), &here())
}

pub fn heartbeat(agent: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    let none = Resources { milli_cpus: 0, memory_mb: 0, accelerators: 0 };
    Heartbeat {
        agent: agent.into(),
        incarnation,
        sequence,
        service: "filing".into(),
        region: "lima".into(),
        domain: "surco".into(),
        rack: "r1".into(),
        address: "127.0.0.1:7000".into(),
        state: AgentState::Ready,
        slots: 8,
        load: Load::default(),
        config_revision: 1,
        entries_digest: 0,
        term: 0,
        has_worker: false,
        capacity: none,
        reserved: none,
        tasks: 0,
    }
}
