//! Messages between coordinators and agents, as read and written by earlier versions.

use std::sync::Arc;

use geraniumpost_batch::{FromAgent, Order, OrderKind, TaskId, ToAgent};
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// The messages of agents as earlier versions know them, up to the variant that was extended.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierFromAgent {
    Hello { agent: Name },
    Heartbeat { sent_at_ms: u64, minion_ok: bool },
    Minion(geraniumpost_batch::MinionInfo),
    MinionTerminated { minion: Name },
}

/// Entries and agents are replaced one by one. If either version could not read the other's report
/// of a termination, their link would close each time the report is repeated.
#[test]
fn termination_reports_are_read_across_versions() {
    let earlier = EarlierFromAgent::MinionTerminated { minion: "m1".into() };
    let bytes = postcard::to_stdvec(&earlier).expect("the message can be encoded");
    let read: FromAgent = postcard::from_bytes(&bytes).expect("an earlier message is read");
    assert_eq!(
        read,
        FromAgent::MinionTerminated { minion: "m1".into(), crashed: false, replaced_by: None }
    );
    let current = FromAgent::MinionTerminated {
        minion: "m1".into(),
        crashed: true,
        replaced_by: Some("m1@2".into()),
    };
    let bytes = postcard::to_stdvec(&current).expect("the message can be encoded");
    assert_eq!(postcard::from_bytes::<FromAgent>(&bytes), Ok(current));
    assert_eq!(postcard::from_bytes::<EarlierFromAgent>(&bytes), Ok(earlier));
}

/// The messages to agents as earlier versions know them, up to the variant that was extended.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierToAgent {
    Lease { sent_at_ms: u64, lease_ms: u64, fence: u64, store_ok: bool },
    Order(EarlierOrder),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierOrder {
    minion: Name,
    task: TaskId,
    run: u32,
    kind: EarlierOrderKind,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierOrderKind {
    Start { payload: Arc<str>, checkpoint: Name, ticket: Name },
    Stop,
    Pace { percent: u8 },
}

/// Guards against entries and agents of different versions that cannot read each other's start
/// orders: no task would start until all processes are replaced.
#[test]
fn start_orders_are_read_across_versions() {
    let task: TaskId = "0000000000000001.0.0.0".parse().expect("a task's name");
    let earlier = EarlierToAgent::Order(EarlierOrder {
        minion: "m1".into(),
        task,
        run: 3,
        kind: EarlierOrderKind::Start {
            payload: "work".into(),
            checkpoint: "0b".into(),
            ticket: "t-1".into(),
        },
    });
    let current = |expires_ms, pace_percent| {
        ToAgent::Order(Order {
            minion: "m1".into(),
            task,
            run: 3,
            kind: OrderKind::Start {
                payload: "work".into(),
                checkpoint: "0b".into(),
                ticket: "t-1".into(),
                expires_ms,
                pace_percent,
            },
        })
    };
    let bytes = postcard::to_stdvec(&earlier).expect("the message can be encoded");
    assert_eq!(postcard::from_bytes::<ToAgent>(&bytes), Ok(current(None, None)));
    for pace_percent in [None, Some(50)] {
        let order = current(Some(70_000), pace_percent);
        let bytes = postcard::to_stdvec(&order).expect("the message can be encoded");
        assert_eq!(postcard::from_bytes::<ToAgent>(&bytes), Ok(order));
        assert_eq!(postcard::from_bytes::<EarlierToAgent>(&bytes).as_ref(), Ok(&earlier));
    }
    // The version before this one wrote the time limit last.
    let order = postcard::to_stdvec(&current(Some(70_000), None)).expect("it can be encoded");
    let without_pace = &order[..order.len() - 1];
    let read = postcard::from_bytes::<ToAgent>(without_pace);
    assert_eq!(read, Ok(current(Some(70_000), None)));
}
