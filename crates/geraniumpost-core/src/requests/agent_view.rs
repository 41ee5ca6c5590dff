use std::sync::Arc;

use geraniumpost_schema::{AgentState, Heartbeat, Name};

use super::{AgentGauge, Location};

/// One incarnation of an agent as a [`super::Snapshot`] shows it.
///
/// # Example
///
/// ```
/// use geraniumpost_core::requests::{AgentView, Location};
/// let view = AgentView::new("a1", 7).service("filing").at_location(Location::new("lima", "surco")).slots(8);
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
    gauge: Arc<AgentGauge>,
}

impl AgentView {
    /// Returns a ready, connected agent with eight slots and no load.
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
            gauge: Arc::default(),
        }
    }

    /// Sets the service of the minion beside the agent.
    #[must_use]
    pub fn service(mut self, service: impl Into<Name>) -> Self {
        self.service = service.into();
        self
    }

    /// Sets where the agent runs.
    #[must_use]
    pub fn at_location(mut self, location: Location) -> Self {
        self.location = location;
        self
    }

    /// Sets the requests that the minion runs at once.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets whether the agent accepts new work.
    #[must_use]
    pub const fn state(mut self, state: AgentState) -> Self {
        self.state = state;
        self
    }

    /// Sets whether a link to the agent is up.
    #[must_use]
    pub const fn connected(mut self, connected: bool) -> Self {
        self.connected = connected;
        self
    }

    /// Sets the shared counters, so that they survive a new snapshot.
    #[must_use]
    pub fn gauge(mut self, gauge: Arc<AgentGauge>) -> Self {
        self.gauge = gauge;
        self
    }

    /// Name of the agent.
    pub const fn name(&self) -> &Name {
        &self.name
    }

    /// Random number that the agent drew at its start.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Service of the minion beside the agent, empty if there is none.
    pub const fn service_name(&self) -> &Name {
        &self.service
    }

    /// Where the agent runs.
    pub const fn location(&self) -> &Location {
        &self.location
    }

    /// TCP address of the agent as IP:port.
    pub const fn address(&self) -> &Name {
        &self.address
    }

    /// Requests that the minion runs at once, at least 1.
    pub fn slot_count(&self) -> u32 {
        self.slots.max(1)
    }

    /// Whether the agent announced that it leaves.
    pub fn is_draining(&self) -> bool {
        self.state == AgentState::Draining
    }

    /// Whether a link to the agent is up.
    pub const fn is_connected(&self) -> bool {
        self.connected
    }

    /// Shared counters of the agent.
    pub const fn counters(&self) -> &Arc<AgentGauge> {
        &self.gauge
    }

    /// Whether ordinary requests may go to the agent.
    pub fn is_routable(&self) -> bool {
        self.connected && !self.is_draining() && !self.gauge.is_ejected()
    }
}

impl From<&Heartbeat> for AgentView {
    fn from(beat: &Heartbeat) -> Self {
        let place = Location::new(beat.region.clone(), beat.domain.clone());
        let mut view = Self::new(beat.agent.clone(), beat.incarnation)
            .service(beat.service.clone())
            .at_location(place)
            .slots(beat.slots)
            .state(beat.state)
            .connected(false);
        view.address = beat.address.clone();
        view
    }
}
