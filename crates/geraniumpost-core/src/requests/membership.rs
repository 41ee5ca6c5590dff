use std::collections::HashMap;

use geraniumpost_schema::{AgentState, Heartbeat, Name};
use slotmap::{SlotMap, new_key_type};

use super::member::Member;
use super::{Location, MembershipChange, MembershipLimits, Snapshot};
use crate::Millis;

new_key_type! {
    /// Key of a [`Member`].
    struct MemberKey;
}

/// Set of live agents, determined by their heartbeats.
///
/// Heartbeats are datagrams: they can be lost, repeated, delayed and reordered, and an agent that
/// was suspended or partitioned may resume where it stopped. Each heartbeat carries the incarnation
/// of the agent and a sequence number, by which late heartbeats are recognized and ignored.
/// Incarnations are random and have no order: an unknown incarnation supersedes the current one. A
/// superseded incarnation becomes current again only if its sequence number still advances after
/// the current incarnation has failed.
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
    /// Returns a membership without agents for an entry at the location `here`, from which the
    /// distance of agents is measured.
    pub fn new(here: Location, limits: MembershipLimits) -> Self {
        Self { here, limits, members: SlotMap::with_key(), by_name: HashMap::new() }
    }

    /// Records a heartbeat received at `now` and returns the change that it caused. A late or
    /// repeated heartbeat is ignored, unless it announces that the current incarnation is draining.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Millis) -> MembershipChange {
        let Some(member) = self.find_member(&heartbeat.agent) else {
            let key = self.members.insert(Member::new(heartbeat, now));
            self.by_name.insert(heartbeat.agent.clone(), key);
            return MembershipChange::Joined;
        };
        if member.heartbeat.incarnation == heartbeat.incarnation {
            record_same_incarnation(member, heartbeat, now)
        } else {
            record_other_incarnation(member, heartbeat, now)
        }
    }

    /// Records that the incarnation `incarnation` of `agent` announced over a link that it is
    /// draining. Returns whether a new snapshot must be published.
    pub fn mark_draining(&mut self, agent: &str, incarnation: u64) -> bool {
        let Some(member) = self.find_member_if_current(agent, incarnation) else { return false };
        let previous = std::mem::replace(&mut member.heartbeat.state, AgentState::Draining);
        previous != AgentState::Draining
    }

    /// Records whether a link to the incarnation `incarnation` of `agent` is up. Returns whether a
    /// new snapshot must be published.
    pub fn set_connected(&mut self, agent: &str, incarnation: u64, connected: bool) -> bool {
        let Some(member) = self.find_member_if_current(agent, incarnation) else { return false };
        std::mem::replace(&mut member.connected, connected) != connected
    }

    /// Marks agents as failed that have missed heartbeats, and returns those newly marked. If there
    /// are any, a new snapshot must be published. Must be called about every 100 ms.
    #[must_use]
    pub fn tick(&mut self, now: Millis) -> Vec<Name> {
        let limits = self.limits;
        let mut failed = Vec::new();
        for member in self.members.values_mut() {
            let silent = now.since(member.last_heard) > limits.failed_after_ms;
            if member.alive && silent {
                member.alive = false;
                failed.push(member.heartbeat.agent.clone());
            }
        }
        self.members.retain(|_, member| now.since(member.last_heard) <= limits.forget_after_ms);
        let members = &self.members;
        self.by_name.retain(|_, key| members.contains_key(*key));
        failed
    }

    /// Returns a snapshot of the live agents.
    pub fn snapshot(&self) -> Snapshot {
        let live = self.members.values().filter(|member| member.alive);
        Snapshot::new(live.map(Member::view), &self.here)
    }

    /// Returns the last heartbeat of each live agent, for placement and the console.
    pub fn heartbeats(&self) -> impl Iterator<Item = &Heartbeat> {
        self.members.values().filter(|member| member.alive).map(|member| &member.heartbeat)
    }

    fn find_member(&mut self, agent: &str) -> Option<&mut Member> {
        self.members.get_mut(*self.by_name.get(agent)?)
    }

    fn find_member_if_current(&mut self, agent: &str, incarnation: u64) -> Option<&mut Member> {
        self.find_member(agent).filter(|member| member.heartbeat.incarnation == incarnation)
    }
}

fn record_same_incarnation(
    member: &mut Member,
    heartbeat: &Heartbeat,
    now: Millis,
) -> MembershipChange {
    if heartbeat.sequence <= member.heartbeat.sequence {
        return record_late_heartbeat(member, heartbeat);
    }
    let was_alive = std::mem::replace(&mut member.alive, true);
    let was_draining = member.heartbeat.state == AgentState::Draining;
    let changed = member.refresh(heartbeat, now);
    let draining = member.heartbeat.state == AgentState::Draining;
    match (was_alive, draining && !was_draining, changed) {
        (false, _, _) => MembershipChange::Joined,
        (true, true, _) => MembershipChange::Draining,
        (true, false, true) => MembershipChange::Changed,
        (true, false, false) => MembershipChange::Refreshed,
    }
}

/// Ignores a late heartbeat unless it announces draining, which is final and applies whenever the
/// announcement arrives.
fn record_late_heartbeat(member: &mut Member, heartbeat: &Heartbeat) -> MembershipChange {
    let starts_draining =
        heartbeat.state == AgentState::Draining && member.heartbeat.state == AgentState::Ready;
    if !starts_draining {
        return MembershipChange::Stale;
    }
    member.heartbeat.state = AgentState::Draining;
    MembershipChange::Draining
}

fn record_other_incarnation(
    member: &mut Member,
    heartbeat: &Heartbeat,
    now: Millis,
) -> MembershipChange {
    let retired =
        member.retired.iter().find(|retired| retired.incarnation == heartbeat.incarnation);
    let supersedes =
        retired.is_none_or(|retired| !member.alive && heartbeat.sequence > retired.sequence);
    if !supersedes {
        return MembershipChange::Stale;
    }
    let previous = member.heartbeat.incarnation;
    member.replace_incarnation(heartbeat, now);
    MembershipChange::Restarted { previous }
}
