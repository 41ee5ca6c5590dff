//! What a lost VM ran must still be known to the checkers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use geraniumpost_harness::{Scratch, StandinPlace};
use geraniumpost_outside::{TaskOrder, Worker};
use geraniumpost_schema::{Name, Resources};
use geraniumpost_standin::worker::{WorkerEvent, WorkerOptions, spawn_in_process};

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A VM is lost with the task that it ran. If its record went with it, a second run that began too
/// early would pass the checker.
#[tokio::test]
async fn record_outlives_a_lost_worker() {
    let scratch = Scratch::create().unwrap();
    let record = scratch.path().join("worker.record");
    let options = WorkerOptions { record: Some(record.clone()), ..WorkerOptions::default() };
    let standin = spawn_in_process(ANY, ANY, options).await.unwrap();
    let mut place = StandinPlace::here(standin, Some(record));
    let worker = Worker::new(place.address()).timeout(Duration::from_millis(500));
    let order = TaskOrder {
        epoch: 1,
        lease: Duration::from_mins(1),
        need: Resources { milli_cpus: 1000, memory_mb: 1, accelerators: 0 },
        command: "sleep:60000".to_owned(),
        checkpoint: Name::default(),
    };
    worker.start("study", &order).await.unwrap();
    let before: Vec<WorkerEvent> = place.record().await.unwrap();
    place.lose();
    let after: Vec<WorkerEvent> = place.record().await.unwrap();
    assert_eq!((before.len(), &before), (1, &after));
    assert!(worker.list().await.is_err());
}
