use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use geraniumpost_core::config::Source;
use geraniumpost_schema::{Adopt, Name, ToAgent};

use super::{AgentLink, EntryContext};
use crate::config::FetchRequest;

/// Current link to each agent. Requests read it without a lock.
#[derive(Debug, Default)]
pub struct Links(ArcSwap<HashMap<Name, Arc<AgentLink>>>);

impl Links {
    /// Returns the link to an agent.
    pub fn get(&self, agent: &str) -> Option<Arc<AgentLink>> {
        self.0.load().get(agent).cloned()
    }

    /// Returns the link to one incarnation of an agent.
    pub fn to_incarnation(&self, agent: &str, incarnation: u64) -> Option<Arc<AgentLink>> {
        self.get(agent).filter(|link| link.peer().incarnation == incarnation)
    }

    /// Returns all links.
    pub fn all(&self) -> Vec<Arc<AgentLink>> {
        self.0.load().values().cloned().collect()
    }

    /// Replaces the current link to the agent.
    pub fn put(&self, link: &Arc<AgentLink>) {
        self.0.rcu(|links| {
            let mut links = HashMap::clone(links);
            links.insert(link.peer().name.clone(), Arc::clone(link));
            links
        });
    }

    /// Removes a link, unless it was replaced by another.
    pub fn remove(&self, link: &Arc<AgentLink>) {
        self.0.rcu(|links| {
            let mut links = HashMap::clone(links);
            if links.get(&link.peer().name).is_some_and(|present| Arc::ptr_eq(present, link)) {
                links.remove(&link.peer().name);
            }
            links
        });
    }
}

/// Requests configurations from agents.
///
/// Agents receive every configuration that entries put in force, and each entry has links to them.
/// Therefore entries fetch configurations from agents instead of from each other.
pub fn fetch(cx: &EntryContext, requests: &[FetchRequest]) {
    for request in requests {
        match request {
            FetchRequest::AllPeers => {
                for link in cx.links.all() {
                    link.send(ToAgent::FetchConfig);
                }
            }
            FetchRequest::One(Source::Peer(name)) => {
                if let Some(link) = cx.links.get(name) {
                    link.send(ToAgent::FetchConfig);
                }
            }
            // `follow_store` reads the store.
            FetchRequest::One(Source::Store) => {}
        }
    }
}

/// Sends the configuration in force to all linked agents. Other agents get it when their link is
/// established, or when a heartbeat shows that they have an older revision.
pub fn push_config(cx: &EntryContext) {
    let in_force = cx.config.active().load();
    if in_force.revision() == 0 {
        return;
    }
    for link in cx.links.all() {
        let head = ToAgent::Adopt(Adopt { revision: in_force.revision() });
        link.send_with_body(head, in_force.json().clone());
    }
}
