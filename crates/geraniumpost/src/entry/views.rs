use geraniumpost_core::Millis;
use geraniumpost_core::requests::AgentView;
use serde_json::{Value, json};

use super::EntryContext;

/// Returns the state of the entry, and of the agents and entries that it knows, for the console.
pub fn status(cx: &EntryContext) -> Value {
    let now = cx.clock.now();
    let in_force = cx.config.active().load();
    let snapshot = cx.snapshot.load();
    let entries = entries(cx, now);
    let membership = cx.membership();
    let agents = membership.heartbeats().map(|beat| {
        let view = snapshot.agent(&beat.agent);
        json!({
            "name": beat.agent,
            "service": beat.service,
            "domain": beat.domain,
            "rack": beat.rack,
            "address": beat.address,
            "state": beat.state,
            "slots": beat.slots,
            "in_flight": view.map_or(0, |view| view.counters().load().in_flight),
            "queued": view.map_or(0, |view| view.counters().load().queued),
            "service_us": view.map_or(0, |view| view.counters().service_us()),
            "connected": view.is_some_and(|view| view.is_connected()),
            "ejected": view.is_some_and(is_ejected),
            "revision": beat.config_revision,
            "capacity": beat.capacity,
            "reserved": beat.reserved,
            "tasks": beat.tasks,
        })
    });
    json!({
        "entry": cx.me.name,
        "incarnation": format!("{:x}", cx.me.incarnation),
        "revision": in_force.revision(),
        "term": cx.term(),
        "draining": cx.is_draining(),
        "store_calls": cx.store.calls(),
        "agents": agents.collect::<Vec<_>>(),
        "entries": entries,
        "planner": planner(cx),
    })
}

/// Returns the planner's state, or the term and console address of the entry that plans.
fn planner(cx: &EntryContext) -> Value {
    if let Some(state) = cx.planner_state() {
        return Value::clone(&state);
    }
    let elsewhere = cx.peers().planner(cx.clock.now());
    elsewhere.map_or(Value::Null, |(term, console)| json!({ "term": term, "console": console }))
}

fn entries(cx: &EntryContext, now: Millis) -> Vec<Value> {
    let peers = cx.peers();
    let entries = peers.beats(now).map(|(beat, age)| {
        json!({
            "name": beat.peer.name,
            "heard_ms_ago": age,
            "revision": beat.config_revision,
            "term": beat.term,
            "draining": beat.draining,
        })
    });
    entries.collect()
}

/// Returns the revision that each known process last reported as in force.
pub fn in_force(cx: &EntryContext) -> Value {
    let own = cx.config.active().load().revision();
    let mut all = vec![json!({ "name": cx.me.name, "role": "entry", "revision": own })];
    all.extend(cx.peers().beats(cx.clock.now()).map(|(beat, _)| {
        json!({ "name": beat.peer.name, "role": "entry", "revision": beat.config_revision })
    }));
    let membership = cx.membership();
    let agents = membership.heartbeats().map(|beat| {
        let revision = cx.in_force_on(&beat.agent).unwrap_or(0).max(beat.config_revision);
        json!({ "name": beat.agent, "role": "agent", "revision": revision })
    });
    all.extend(agents);
    Value::Array(all)
}

fn is_ejected(view: &std::sync::Arc<AgentView>) -> bool {
    view.counters().is_ejected()
}
