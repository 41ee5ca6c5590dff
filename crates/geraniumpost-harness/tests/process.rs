//! Tests of child processes and of reserved addresses.

use std::path::Path;
use std::time::Duration;

use geraniumpost_harness::{Loopback, Process, wait_until};

const TIMEOUT: Duration = Duration::from_secs(20);

fn sleeper(name: &str) -> Process {
    let log = std::env::temp_dir().join(format!("geraniumpost-{}-{name}", std::process::id()));
    Process::start(name, Path::new("/bin/sleep"), &["600"], log).unwrap()
}

/// Returns the state of a process as a letter in `/proc`, `None` if the process does not exist.
fn state(id: u32) -> Option<char> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    stat.rsplit(')').next()?.trim().chars().next()
}

#[tokio::test]
async fn process_freezes_thaws_and_ends() {
    let mut process = sleeper("freezes");
    let id = process.id().unwrap();
    process.freeze().unwrap();
    wait_until("frozen", TIMEOUT, || async { state(id) == Some('T') }).await;
    process.thaw().unwrap();
    wait_until("thawed", TIMEOUT, || async { state(id) == Some('S') }).await;
    process.term().unwrap();
    assert!(!process.ended(TIMEOUT).await.unwrap().success());
    assert!(!process.is_running());
}

/// Guards against processes that outlive a failed test: they would occupy ports and memory and make
/// later tests fail.
#[tokio::test]
async fn drop_kills_a_frozen_process() {
    let process = sleeper("dropped");
    let id = process.id().unwrap();
    process.freeze().unwrap();
    drop(process);
    assert_eq!(state(id), None);
}

#[tokio::test]
async fn restarted_process_has_another_id() {
    let mut process = sleeper("restarted");
    let first = process.id().unwrap();
    process.kill();
    assert!(!process.is_running());
    process.restart().unwrap();
    assert_ne!(process.id().unwrap(), first);
    assert!(process.is_running());
}

#[test]
fn reserved_addresses_differ() {
    let mut all: Vec<_> = (0..50).map(|_| Loopback::reserve().unwrap()).collect();
    let mut addresses: Vec<_> = all.iter_mut().map(Loopback::next_address).collect();
    addresses.extend(all.iter_mut().map(Loopback::next_address));
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), 100);
}
