//! Tests of the records of stand-ins on lost VMs.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use geraniumpost_harness::{ScratchDirectory, StandinHandle};
use geraniumpost_outside::{TaskOrder, Worker};
use geraniumpost_schema::{Name, Resources};
use geraniumpost_standin::worker::{WorkerEvent, WorkerOptions, spawn_in_process};

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Guards against losing the record of a worker with its VM: the checker would not notice a second
/// run of a task that began before the first had ended.
#[tokio::test]
async fn record_can_be_read_after_the_worker_was_lost() {
    let scratch = ScratchDirectory::create().unwrap();
    let record = scratch.path().join("worker.record");
    let options = WorkerOptions { record: Some(record.clone()), ..WorkerOptions::default() };
    let standin = spawn_in_process(ANY, ANY, options).await.unwrap();
    let mut handle = StandinHandle::in_process(standin, Some(record));
    let worker = Worker::new(handle.address()).timeout(Duration::from_millis(500));
    let order = TaskOrder {
        epoch: 1,
        lease: Duration::from_mins(1),
        need: Resources { milli_cpus: 1000, memory_mb: 1, accelerators: 0 },
        command: "sleep:60000".to_owned(),
        checkpoint: Name::default(),
    };
    worker.start("study", &order).await.unwrap();
    let before: Vec<WorkerEvent> = handle.record().await.unwrap();
    handle.kill();
    let after: Vec<WorkerEvent> = handle.record().await.unwrap();
    assert_eq!((before.len(), &before), (1, &after));
    assert!(worker.list().await.is_err());
}
