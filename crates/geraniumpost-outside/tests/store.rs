//! Adapter to the store, tested with the stand-in store, with and without injected faults.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use geraniumpost_outside::{Expect, Store, StoreError, Versioned, Watched};
use geraniumpost_standin::Standin;
use geraniumpost_standin::http::Down;
use geraniumpost_standin::relay::{self, Protocol, RelayFaults};
use geraniumpost_standin::store::{StoreCounts, StoreFaults, spawn_in_process};

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

async fn store() -> (Standin, Store) {
    let standin = spawn_in_process(ANY_PORT, ANY_PORT).await.unwrap();
    let store = Store::new(standin.address());
    (standin, store)
}

async fn set_faults(standin: &Standin, faults: StoreFaults) {
    standin.control().set_faults(&faults).await.unwrap();
}

/// Defines one test for each way in which the store is out of service during a write.
macro_rules! write_while_down {
    ($($(#[$doc:meta])* $name:ident: $down:expr => $error:pat,)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let (standin, store) = store().await;
            let store = store.timeout(SHORT_TIMEOUT);
            let first = store.put("job/1", "old", Expect::Absent, None).await.unwrap();
            set_faults(&standin, StoreFaults { down: $down, ..StoreFaults::default() }).await;
            let result = store.put("job/1", "new", Expect::Revision(first), None).await;
            assert_matches!(result, Err($error));
            set_faults(&standin, StoreFaults::default()).await;
            let value = store.get("job/1").await.unwrap().unwrap().value;
            assert_eq!(value, "old");
        }
    )*};
}

write_while_down! {
    /// Guards against a refused connection that is taken for a possible write: the store process is
    /// down, so an operator's change may be repeated at once.
    write_to_a_refused_port_had_no_effect: Down::Refuse => StoreError::Refused(_),
    /// Guards against status 503 that is taken for a possible write; the store sends it only for
    /// calls without effect.
    write_answered_unavailable_had_no_effect: Down::Unavailable => StoreError::Refused(_),
    /// Guards against a timeout that is reported to the operator as a failed write; the write may
    /// still take effect.
    write_never_answered_is_uncertain: Down::Hang => StoreError::Uncertain(_),
}

#[tokio::test]
async fn written_value_is_read_back_with_its_revision() {
    let (_standin, store) = store().await;
    assert_eq!(store.get("config").await, Ok(None));
    let revision = store.put("config", "a", Expect::Absent, None).await.unwrap();
    let read = store.get("config").await.unwrap().unwrap();
    assert_eq!(read, Versioned { revision, value: "a".into() });
}

#[tokio::test]
async fn keys_with_reserved_characters_stay_distinct() {
    let (_standin, store) = store().await;
    store.put("claim/a?b", "1", Expect::Absent, None).await.unwrap();
    store.put("claim/a", "2", Expect::Absent, None).await.unwrap();
    assert_eq!(store.get("claim/a?b").await.unwrap().unwrap().value, "1");
    assert_eq!(store.get("claim/a").await.unwrap().unwrap().value, "2");
}

/// Guards against a lost update when two operators change the same setting: the second write must
/// fail and return the present revision.
#[tokio::test]
async fn second_of_two_writes_conflicts_with_the_first() {
    let (_standin, store) = store().await;
    let base = store.put("config", "a", Expect::Absent, None).await.unwrap();
    let current = store.put("config", "b", Expect::Revision(base), None).await.unwrap();
    let lost = store.put("config", "c", Expect::Revision(base), None).await;
    assert_eq!(lost, Err(StoreError::Conflict { current: Some(current) }));
    let absent = store.put("config", "d", Expect::Absent, None).await;
    assert_eq!(absent, Err(StoreError::Conflict { current: Some(current) }));
    let missing = store.put("other", "e", Expect::Revision(current), None).await;
    assert_eq!(missing, Err(StoreError::Conflict { current: None }));
}

#[tokio::test]
async fn removal_requires_the_current_revision() {
    let (_standin, store) = store().await;
    let first = store.put("job/1", "a", Expect::Absent, None).await.unwrap();
    let second = store.put("job/1", "b", Expect::Revision(first), None).await.unwrap();
    let stale = store.delete("job/1", first).await;
    assert_eq!(stale, Err(StoreError::Conflict { current: Some(second) }));
    store.delete("job/1", second).await.unwrap();
    assert_eq!(store.get("job/1").await, Ok(None));
    assert_eq!(store.delete("job/1", second).await, Err(StoreError::Conflict { current: None }));
}

/// Guards against a lost reply that is taken for a failed write. An operator's change would be
/// reported as rejected while it is in force everywhere.
#[tokio::test]
async fn write_with_a_lost_reply_is_uncertain_and_took_effect() {
    let (standin, store) = store().await;
    set_faults(&standin, StoreFaults { lose_replies: 1, ..StoreFaults::default() }).await;
    let lost = store.put("config", "a", Expect::Absent, None).await;
    assert_matches!(lost, Err(e @ StoreError::Uncertain(_)) if !e.had_no_effect());
    assert_eq!(store.get("config").await.unwrap().unwrap().value, "a");
    assert_eq!(standin.control().read::<StoreCounts>("counts").await.unwrap().lost_replies, 1);
}

/// Guards against failures that cannot be reproduced: the same seed must lose the same replies.
#[tokio::test]
async fn randomly_lost_replies_are_determined_by_the_seed() {
    let mut patterns = Vec::new();
    for _ in 0..2 {
        let (standin, store) = store().await;
        set_faults(&standin, StoreFaults { lose_permille: 400, seed: 7, ..StoreFaults::default() })
            .await;
        let mut lost = Vec::new();
        for n in 0..40 {
            let put = store.put(&format!("k/{n}"), "v", Expect::Absent, None).await;
            lost.push(put.is_err());
        }
        patterns.push(lost);
    }
    assert_eq!(patterns[0], patterns[1]);
    let lost = patterns[0].iter().filter(|lost| **lost).count();
    assert!((5..35).contains(&lost), "{lost} of 40 lost");
}

/// Guards against a write over the platform's rate limit that is taken for a possible write; it had
/// no effect and may be repeated later.
#[tokio::test]
async fn write_over_the_rate_limit_had_no_effect() {
    let (standin, store) = store().await;
    set_faults(&standin, StoreFaults { writes_per_second: 2, ..StoreFaults::default() }).await;
    for key in ["a", "b"] {
        store.put(key, "v", Expect::Absent, None).await.unwrap();
    }
    let over = store.put("c", "v", Expect::Absent, None).await;
    assert_matches!(over, Err(e @ StoreError::Refused(_)) if e.had_no_effect());
    assert_eq!(store.get("c").await, Ok(None));
}

/// Guards against writes on idle connections that the store closed when it restarted. Each restart
/// would leave the outcome of a write uncertain.
#[tokio::test]
async fn connection_closed_while_idle_is_replaced() {
    let (standin, store) = store().await;
    for round in 0..10 {
        let key = format!("k/{round}");
        store.put(&key, "v", Expect::Absent, None).await.unwrap();
        set_faults(&standin, StoreFaults { down: Down::Close, ..StoreFaults::default() }).await;
        set_faults(&standin, StoreFaults::default()).await;
        wait_for_close().await;
    }
}

/// Waits until the tasks that drive the connections have noticed that they are closed.
async fn wait_for_close() {
    tokio::time::sleep(Duration::from_millis(50)).await;
}

#[tokio::test]
async fn value_over_a_megabyte_is_rejected() {
    let (_standin, store) = store().await;
    let full = vec![7; 1 << 20];
    store.put("full", full.clone(), Expect::Absent, None).await.unwrap();
    assert_eq!(store.get("full").await.unwrap().unwrap().value, full);
    let over = store.put("over", vec![7; (1 << 20) + 1], Expect::Absent, None).await;
    assert_eq!(over, Err(StoreError::TooLarge));
}

/// Guards against two planners at once: after a planner is paused for longer than its lease, its
/// key must be removed and its writes with the expired lease must fail.
#[tokio::test]
async fn expired_lease_removes_its_keys() {
    let (_standin, store) = store().await;
    let lease = store.grant(Duration::from_millis(100)).await.unwrap();
    let revision = store.put("planner", "p", Expect::Absent, Some(lease)).await.unwrap();
    let seen = store.watch("planner", revision, Duration::from_secs(5)).await.unwrap();
    assert_matches!(seen, Watched::Removed { revision: removed } if removed > revision);
    assert_eq!(store.keep_alive(lease).await, Err(StoreError::LeaseGone));
    let late = store.put("planner", "p", Expect::Absent, Some(lease)).await;
    assert_eq!(late, Err(StoreError::LeaseGone));
}

#[tokio::test]
async fn renewed_lease_keeps_its_keys_until_revoked() {
    let (_standin, store) = store().await;
    let lease = store.grant(Duration::from_millis(600)).await.unwrap();
    store.put("planner", "p", Expect::Absent, Some(lease)).await.unwrap();
    for _ in 0..8 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        store.keep_alive(lease).await.unwrap();
    }
    assert!(store.get("planner").await.unwrap().is_some());
    store.revoke(lease).await.unwrap();
    assert_eq!(store.get("planner").await, Ok(None));
}

#[tokio::test]
async fn watch_returns_at_a_change_or_after_the_wait() {
    let (_standin, store) = store().await;
    let first = store.put("config", "a", Expect::Absent, None).await.unwrap();
    let none = store.watch("config", first, Duration::from_millis(50)).await;
    assert_eq!(none, Ok(Watched::Unchanged));
    let watching = store.clone();
    let seen = tokio::spawn(async move {
        watching.watch("config", first, Duration::from_secs(10)).await.unwrap()
    });
    let revision = store.put("config", "b", Expect::Revision(first), None).await.unwrap();
    let expected = Versioned { revision, value: "b".into() };
    assert_eq!(seen.await.unwrap(), Watched::Written(expected));
}

#[tokio::test]
async fn client_and_store_count_the_same_calls() {
    let (standin, store) = store().await;
    let lease = store.grant(Duration::from_secs(5)).await.unwrap();
    store.put("k", "v", Expect::Absent, Some(lease)).await.unwrap();
    store.put("k", "v", Expect::Absent, None).await.unwrap_err();
    store.get("k").await.unwrap();
    store.watch("k", 99, Duration::ZERO).await.unwrap();
    store.keep_alive(lease).await.unwrap();
    store.revoke(lease).await.unwrap();
    let counts: StoreCounts = standin.control().read("counts").await.unwrap();
    assert_eq!(counts.total(), store.calls());
    assert_eq!((counts.put, counts.conflicts, counts.watch, counts.writes()), (2, 1, 1, 5));
}

/// Guards against a timeout of the whole transfer: on a slow link, each attempt to read a long
/// value would start again from the first byte and time out.
#[tokio::test]
async fn long_value_is_read_over_a_slow_link() {
    let (standin, direct) = store().await;
    direct.put("jobs", vec![b'x'; 200_000], Expect::Absent, None).await.unwrap();
    let link = relay::spawn_in_process(ANY_PORT, ANY_PORT, Protocol::Tcp, standin.address())
        .await
        .unwrap();
    // The transfer takes 0.7 s, longer than the timeout.
    let faults = RelayFaults { back_bytes_per_s: 300_000, ..RelayFaults::default() };
    link.control().set_faults(&faults).await.unwrap();
    let slow = Store::new(link.address()).timeout(SHORT_TIMEOUT);
    let read = slow.get("jobs").await.unwrap().expect("it was written");
    assert_eq!(read.value.len(), 200_000);
    let watched = slow.watch("jobs", 0, SHORT_TIMEOUT).await.unwrap();
    assert_matches!(watched, Watched::Written(read) if read.value.len() == 200_000);
}

/// Guards against metrics that show a healthy store during an outage; they count the calls that the
/// observer gets.
#[tokio::test]
async fn observer_gets_every_call_with_its_result() {
    let (standin, store) = store().await;
    let observed = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let recorded = std::sync::Arc::clone(&observed);
    let store = store.timeout(SHORT_TIMEOUT).observer(move |call| {
        recorded.lock().unwrap().push((call.operation, call.result.to_string()));
    });
    store.put("a", "1", Expect::Absent, None).await.unwrap();
    store.put("a", "2", Expect::Absent, None).await.unwrap_err();
    store.get("none").await.unwrap();
    store.watch("a", 9, Duration::from_millis(1)).await.unwrap();
    store.grant(Duration::from_secs(1)).await.unwrap();
    set_faults(&standin, StoreFaults { down: Down::Unavailable, ..StoreFaults::default() }).await;
    store.delete("a", 1).await.unwrap_err();
    set_faults(&standin, StoreFaults { down: Down::Hang, ..StoreFaults::default() }).await;
    store.get("a").await.unwrap_err();
    let observed: Vec<(&str, String)> = observed.lock().unwrap().clone();
    let expected = [
        ("put", "ok"),
        ("put", "conflict"),
        ("get", "ok"),
        ("watch", "ok"),
        ("lease", "ok"),
        ("delete", "refused"),
        ("get", "lost"),
    ];
    assert_eq!(observed, expected.map(|(operation, result)| (operation, result.to_owned())));
}
