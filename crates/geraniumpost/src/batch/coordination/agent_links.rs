use std::collections::HashMap;

use geraniumpost_schema::Name;

/// The current link of each agent, and which links have been replaced.
///
/// An agent opens a new link when the old one is silent. The old link may still deliver messages
/// afterwards, in particular when a fault of the network ends, and these describe an earlier state
/// of the minion. An agent reports everything again over a new link, so that messages of replaced
/// links can be discarded.
///
/// # Example
///
/// ```
/// use geraniumpost::batch::coordination::AgentLinks;
/// let mut links = AgentLinks::default();
/// links.open(&"agent-1".into(), 7, "old sender");
/// links.open(&"agent-1".into(), 8, "new sender");
/// assert!(!links.accept_message(&"agent-1".into(), 7));
/// assert!(links.accept_message(&"agent-1".into(), 8));
/// ```
#[derive(Debug)]
pub struct AgentLinks<S> {
    /// Number and sender of the current link, by agent.
    current: HashMap<Name, (u64, S)>,
    /// Number of discarded messages of each open link that is not current.
    discarded: HashMap<u64, u64>,
}

/// What the opening of a link has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkOpening {
    /// The agent had no link.
    First,
    /// The link has replaced an earlier one.
    Replacing,
    /// A later link is open already, and remains the current one.
    Outdated,
}

/// What the closing of a link has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkClosing {
    /// The agent has no link any more.
    Disconnected,
    /// The link had been replaced.
    Replaced {
        /// Number of its messages that were discarded.
        discarded: u64,
    },
}

impl<S> Default for AgentLinks<S> {
    fn default() -> Self {
        Self { current: HashMap::new(), discarded: HashMap::new() }
    }
}

impl<S> AgentLinks<S> {
    /// Records a link of an agent. Links are numbered in the order in which their connections were
    /// accepted; the first message of an earlier connection may arrive after that of a later one.
    pub fn open(&mut self, agent: &Name, link: u64, sender: S) -> LinkOpening {
        if self.current.get(agent).is_some_and(|(current, _)| *current > link) {
            return LinkOpening::Outdated;
        }
        match self.current.insert(agent.clone(), (link, sender)) {
            Some(_) => LinkOpening::Replacing,
            None => LinkOpening::First,
        }
    }

    /// Records that a link of an agent has closed.
    pub fn close(&mut self, agent: &Name, link: u64) -> LinkClosing {
        if self.is_current(agent, link) {
            self.current.remove(agent);
            return LinkClosing::Disconnected;
        }
        LinkClosing::Replaced { discarded: self.discarded.remove(&link).unwrap_or(0) }
    }

    /// Returns whether a message of an agent arrived over its current link, and counts it as
    /// discarded if not.
    pub fn accept_message(&mut self, agent: &Name, link: u64) -> bool {
        let is_current = self.is_current(agent, link);
        if !is_current {
            *self.discarded.entry(link).or_default() += 1;
        }
        is_current
    }

    /// Returns the sender of an agent's current link.
    pub fn sender(&self, agent: &Name) -> Option<&S> {
        self.current.get(agent).map(|(_, sender)| sender)
    }

    fn is_current(&self, agent: &Name, link: u64) -> bool {
        self.current.get(agent).is_some_and(|(current, _)| *current == link)
    }
}
