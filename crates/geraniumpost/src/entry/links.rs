use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use geraniumpost_core::config::Source;
use geraniumpost_schema::{Adopt, Name, ToAgent};

use super::{AgentLink, EntryContext};
use crate::config::FetchRequest;

/// The present link to each agent, read without a lock on a request's path.
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

    /// Puts a link in place of the one before.
    pub fn put(&self, link: &Arc<AgentLink>) {
        self.0.rcu(|links| {
            let mut links = HashMap::clone(links);
            links.insert(link.peer().name.clone(), Arc::clone(link));
            links
        });
    }

    /// Takes a link out, unless another has taken its place.
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

/// Asks agents for the configurations that the adoption rule wants.
///
/// Agents hold what entries hold, and there is a link to each already, so entries need no way of
/// their own to each other's document.
pub fn fetch(cx: &EntryContext, wanted: &[FetchRequest]) {
    for one in wanted {
        match one {
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
            // The store is followed by a task of its own.
            FetchRequest::One(Source::Store) => {}
        }
    }
}

/// Sends the configuration in force to every agent. An agent without a link gets it when the link
/// comes up, or when its heartbeat shows an older revision.
pub fn push_config(cx: &EntryContext) {
    let in_force = cx.config.active().load();
    if in_force.revision() == 0 {
        return;
    }
    for link in cx.links.all() {
        let head = ToAgent::Adopt(Adopt { revision: in_force.revision() });
        link.send_with(head, in_force.json().clone());
    }
}
