//! Gauges of an entry, computed from the routing snapshot.

use geraniumpost_core::requests::{AgentView, Snapshot};

use super::EntryContext;

/// States of an agent in the gauge. Each agent is counted in the first of these states that
/// applies.
const STATES: [&str; 4] = ["disconnected", "draining", "ejected", "ready"];

/// Records the number of agents in each state and of attempts in flight to them.
pub(super) fn record(cx: &EntryContext) {
    let snapshot = cx.snapshot.load();
    for (state, count) in STATES.iter().zip(counts(&snapshot)) {
        cx.metrics.agents(state, count);
    }
    let in_flight = snapshot.agents().map(|agent| u64::from(agent.counters().in_flight()));
    cx.metrics.in_flight(in_flight.sum());
}

fn counts(snapshot: &Snapshot) -> [u64; 4] {
    let mut counts = [0; 4];
    for agent in snapshot.agents() {
        counts[state_index(agent)] += 1;
    }
    counts
}

/// Returns the index of an agent's state in [`STATES`].
fn state_index(agent: &AgentView) -> usize {
    if !agent.is_connected() {
        0
    } else if agent.is_draining() {
        1
    } else if agent.counters().is_ejected() {
        2
    } else {
        3
    }
}
