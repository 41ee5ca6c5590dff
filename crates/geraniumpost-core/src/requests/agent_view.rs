use std::sync::Arc;

use geraniumpost_schema::{AgentState, Heartbeat, Name};

use super::{AgentCounters, Location};

/// Properties of one incarnation of an agent that routing uses, as contained in a
/// [`super::Snapshot`].
///
/// # Example
///
/// ```
/// use geraniumpost_core::requests::{AgentView, Location};
/// let location = Location::new("lima", "surco");
/// let view = AgentView::new("a1", 7).service("filing").at_location(location).slots(8);
/// assert!(view.is_routable());
/// assert!(!view.connected(false).is_routable());
/// ```
#[derive(Debug, Clone)]
pub struct AgentView {
    name: Name,
    incarnation: u64,
    service: Name,
    location: Location,
    address: Name,
    state: AgentState,
    slots: u32,
    connected: bool,
    counters: Arc<AgentCounters>,
}

impl AgentView {
    /// Returns a ready, connected agent with eight slots, no load, and no service, location or
    /// address.
    pub fn new(name: impl Into<Name>, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            incarnation,
            service: Name::default(),
            location: Location::default(),
            address: Name::default(),
            state: AgentState::Ready,
            slots: 8,
            connected: true,
            counters: Arc::default(),
        }
    }

    /// Sets the service of the minion on the same VM as the agent.
    #[must_use]
    pub fn service(mut self, service: impl Into<Name>) -> Self {
        self.service = service.into();
        self
    }

    /// Sets the region and failure domain of the agent.
    #[must_use]
    pub fn at_location(mut self, location: Location) -> Self {
        self.location = location;
        self
    }

    /// Sets the number of requests that the minion runs concurrently.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets whether the agent accepts new work or is draining.
    #[must_use]
    pub const fn state(mut self, state: AgentState) -> Self {
        self.state = state;
        self
    }

    /// Sets whether this entry has a link to the agent.
    #[must_use]
    pub const fn connected(mut self, connected: bool) -> Self {
        self.connected = connected;
        self
    }

    /// Sets the counters, which the views of this incarnation in successive snapshots share.
    #[must_use]
    pub fn with_counters(mut self, counters: Arc<AgentCounters>) -> Self {
        self.counters = counters;
        self
    }

    /// Name of the agent, which a restart does not change.
    pub const fn name(&self) -> &Name {
        &self.name
    }

    /// Random number that the agent drew when it started.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Service of the minion on the same VM as the agent, empty if there is none.
    pub const fn service_name(&self) -> &Name {
        &self.service
    }

    /// Region and failure domain of the agent.
    pub const fn location(&self) -> &Location {
        &self.location
    }

    /// TCP address of the agent, as IP:port.
    pub const fn address(&self) -> &Name {
        &self.address
    }

    /// Number of requests that the minion runs concurrently, at least 1.
    pub fn slot_count(&self) -> u32 {
        self.slots.max(1)
    }

    /// Whether the agent has announced that it is shutting down.
    pub fn is_draining(&self) -> bool {
        self.state == AgentState::Draining
    }

    /// Whether this entry has a link to the agent.
    pub const fn is_connected(&self) -> bool {
        self.connected
    }

    /// Counters of this incarnation, shared with its views in other snapshots.
    pub const fn counters(&self) -> &Arc<AgentCounters> {
        &self.counters
    }

    /// Whether the router draws the agent for ordinary requests: the agent is connected and neither
    /// draining nor ejected.
    pub fn is_routable(&self) -> bool {
        self.connected && !self.is_draining() && !self.counters.is_ejected()
    }
}

impl From<&Heartbeat> for AgentView {
    fn from(heartbeat: &Heartbeat) -> Self {
        let location = Location::new(heartbeat.region.clone(), heartbeat.domain.clone());
        let mut view = Self::new(heartbeat.agent.clone(), heartbeat.incarnation)
            .service(heartbeat.service.clone())
            .at_location(location)
            .slots(heartbeat.slots)
            .state(heartbeat.state)
            .connected(false);
        view.address = heartbeat.address.clone();
        view
    }
}
