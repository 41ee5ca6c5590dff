//! Tests of which link of an agent is the current one.

use geraniumpost::batch::coordination::{AgentLinks, LinkClosing, LinkOpening};
use geraniumpost_schema::Name;

fn agent() -> Name {
    "agent-1".into()
}

/// Guards against lists of running tasks that a replaced link delivers after a fault of the
/// network: tasks started since would be taken for ended and started a second time.
#[test]
fn messages_of_a_replaced_link_are_discarded() {
    let mut links = AgentLinks::default();
    assert_eq!(links.open(&agent(), 1, ()), LinkOpening::First);
    assert!(links.accept_message(&agent(), 1));
    assert_eq!(links.open(&agent(), 2, ()), LinkOpening::Replacing);
    assert!(!links.accept_message(&agent(), 1));
    assert!(links.accept_message(&agent(), 2));
    assert_eq!(links.close(&agent(), 1), LinkClosing::Replaced { discarded: 1 });
    assert!(links.accept_message(&agent(), 2));
    assert_eq!(links.close(&agent(), 2), LinkClosing::Disconnected);
    assert!(!links.accept_message(&agent(), 2));
}

/// Guards against a link that the agent has already abandoned, but whose first message arrives
/// after that of the next link.
#[test]
fn earlier_connection_does_not_replace_a_later_one() {
    let mut links = AgentLinks::default();
    links.open(&agent(), 5, "later");
    assert_eq!(links.open(&agent(), 4, "earlier"), LinkOpening::Outdated);
    assert_eq!(links.sender(&agent()), Some(&"later"));
    assert!(!links.accept_message(&agent(), 4));
    assert_eq!(links.close(&agent(), 4), LinkClosing::Replaced { discarded: 1 });
    assert_eq!(links.sender(&agent()), Some(&"later"));
}
