use std::collections::HashMap;
use std::sync::Arc;

use geraniumpost_schema::Name;

use super::{AgentView, Location, ServiceView};

/// Immutable view of all live agents by service. The view is replaced as a whole when the set of
/// agents or one of their properties changes.
///
/// # Example
///
/// ```
/// use geraniumpost_core::requests::{AgentView, Location, Snapshot};
/// let here = Location::new("lima", "surco");
/// let snapshot = Snapshot::new([AgentView::new("a1", 7).service("filing")], &here);
/// assert_eq!(snapshot.service("filing").unwrap().agents().len(), 1);
/// assert!(snapshot.service("kiosk").is_none());
/// ```
#[derive(Debug, Default)]
pub struct Snapshot {
    services: HashMap<Name, ServiceView>,
    agents: HashMap<Name, Arc<AgentView>>,
}

impl Snapshot {
    /// Groups `agents` by service and by distance from `here`, the location of the entry.
    pub fn new(agents: impl IntoIterator<Item = AgentView>, here: &Location) -> Self {
        let mut groups: HashMap<Name, Vec<Arc<AgentView>>> = HashMap::new();
        let mut by_name = HashMap::new();
        for agent in agents.into_iter().map(Arc::new) {
            by_name.insert(agent.name().clone(), Arc::clone(&agent));
            groups.entry(agent.service_name().clone()).or_default().push(agent);
        }
        let services = groups.into_iter().map(|(name, list)| (name, ServiceView::new(list, here)));
        Self { services: services.collect(), agents: by_name }
    }

    /// Returns the agents of `service`, or `None` if it has no live agent.
    pub fn service(&self, service: &str) -> Option<&ServiceView> {
        self.services.get(service)
    }

    /// Returns the agent named `name`, or `None` if it is not live.
    pub fn agent(&self, name: &str) -> Option<&Arc<AgentView>> {
        self.agents.get(name)
    }

    /// All live agents, in no particular order.
    pub fn agents(&self) -> impl Iterator<Item = &Arc<AgentView>> {
        self.agents.values()
    }
}
