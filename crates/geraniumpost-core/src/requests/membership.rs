use std::collections::HashMap;

use geraniumpost_schema::{AgentState, Heartbeat, Name};
use slotmap::{SlotMap, new_key_type};

use super::member::Member;
use super::{Location, MembershipChange, MembershipLimits, Snapshot};
use crate::Millis;

new_key_type! {
    /// Key of a member.
    struct MemberKey;
}

/// Which agents live, by their heartbeats.
///
/// Heartbeats are datagrams: they are lost, repeated, delayed and reordered, and an agent that was
/// frozen or cut off may go on where it stopped. Each carries the agent's incarnation and a
/// sequence number, by which late ones are told and ignored. Incarnations are random and have no
/// order: one not heard of before supersedes the present one, and a superseded one comes back only
/// when it still counts on while the present one is dead.
///
/// See `docs/design/0102-membership.md`.
#[derive(Debug)]
pub struct Membership {
    here: Location,
    limits: MembershipLimits,
    members: SlotMap<MemberKey, Member>,
    by_name: HashMap<Name, MemberKey>,
}

impl Membership {
    /// Returns a membership without agents, as seen from `here`.
    pub fn new(here: Location, limits: MembershipLimits) -> Self {
        Self { here, limits, members: SlotMap::with_key(), by_name: HashMap::new() }
    }

    /// Takes in a heartbeat.
    pub fn record_heartbeat(&mut self, beat: &Heartbeat, now: Millis) -> MembershipChange {
        let Some(member) = self.find(&beat.agent) else {
            let key = self.members.insert(Member::new(beat, now));
            self.by_name.insert(beat.agent.clone(), key);
            return MembershipChange::Joined;
        };
        if member.beat.incarnation == beat.incarnation {
            heard_again(member, beat, now)
        } else {
            heard_other(member, beat, now)
        }
    }

    /// Takes in a word that incarnation `incarnation` of `agent` is leaving, received over a link;
    /// returns whether a new snapshot must be published.
    pub fn mark_draining(&mut self, agent: &str, incarnation: u64) -> bool {
        let Some(member) = self.incarnation(agent, incarnation) else { return false };
        let before = std::mem::replace(&mut member.beat.state, AgentState::Draining);
        before != AgentState::Draining
    }

    /// Takes in whether a link to incarnation `incarnation` of `agent` is up; returns whether a new
    /// snapshot must be published.
    pub fn set_connected(&mut self, agent: &str, incarnation: u64, connected: bool) -> bool {
        let Some(member) = self.incarnation(agent, incarnation) else { return false };
        std::mem::replace(&mut member.connected, connected) != connected
    }

    /// Finds the agents that have gone silent; if any is returned, a new snapshot must be
    /// published. To be called every 100 ms or so.
    #[must_use]
    pub fn tick(&mut self, now: Millis) -> Vec<Name> {
        let limits = self.limits;
        let mut dead = Vec::new();
        for member in self.members.values_mut() {
            let silent = now.since(member.heard_at) > limits.failed_after_ms;
            if member.alive && silent {
                member.alive = false;
                dead.push(member.beat.agent.clone());
            }
        }
        self.members.retain(|_, member| now.since(member.heard_at) <= limits.forget_after_ms);
        let members = &self.members;
        self.by_name.retain(|_, key| members.contains_key(*key));
        dead
    }

    /// Returns the live agents.
    pub fn snapshot(&self) -> Snapshot {
        let live = self.members.values().filter(|member| member.alive);
        Snapshot::new(live.map(Member::view), &self.here)
    }

    /// Returns the last heartbeat of each live agent, for placement and the console.
    pub fn heartbeats(&self) -> impl Iterator<Item = &Heartbeat> {
        self.members.values().filter(|member| member.alive).map(|member| &member.beat)
    }

    fn find(&mut self, agent: &str) -> Option<&mut Member> {
        self.members.get_mut(*self.by_name.get(agent)?)
    }

    fn incarnation(&mut self, agent: &str, incarnation: u64) -> Option<&mut Member> {
        self.find(agent).filter(|member| member.beat.incarnation == incarnation)
    }
}

fn heard_again(member: &mut Member, beat: &Heartbeat, now: Millis) -> MembershipChange {
    if beat.sequence <= member.beat.sequence {
        return sticky_drain(member, beat);
    }
    let was_alive = std::mem::replace(&mut member.alive, true);
    let was_draining = member.beat.state == AgentState::Draining;
    let changed = member.refresh(beat, now);
    let draining = member.beat.state == AgentState::Draining;
    match (was_alive, draining && !was_draining, changed) {
        (false, _, _) => MembershipChange::Joined,
        (true, true, _) => MembershipChange::Draining,
        (true, false, true) => MembershipChange::Changed,
        (true, false, false) => MembershipChange::Refreshed,
    }
}

/// A late heartbeat is ignored but for one thing: leaving is final, so it is believed whenever it
/// arrives.
fn sticky_drain(member: &mut Member, beat: &Heartbeat) -> MembershipChange {
    let news = beat.state == AgentState::Draining && member.beat.state == AgentState::Ready;
    if !news {
        return MembershipChange::Stale;
    }
    member.beat.state = AgentState::Draining;
    MembershipChange::Draining
}

fn heard_other(member: &mut Member, beat: &Heartbeat, now: Millis) -> MembershipChange {
    let known = member.retired.iter().find(|known| known.incarnation == beat.incarnation);
    let comes_back = known.is_none_or(|known| !member.alive && beat.sequence > known.sequence);
    if !comes_back {
        return MembershipChange::Stale;
    }
    let was = member.beat.incarnation;
    member.supersede(beat, now);
    MembershipChange::Restarted { was }
}
