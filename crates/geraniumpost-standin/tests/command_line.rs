//! The stand-ins as separate processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use geraniumpost_standin::Control;
use geraniumpost_standin::http::fetch;

/// A child process that is killed when the value is dropped.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a stand-in, and returns its process with the two addresses that it prints.
fn start(args: &[&str]) -> (ChildGuard, SocketAddr, SocketAddr) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_geraniumpost-standin"))
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let lines: Vec<String> = lines.take(2).map(Result::unwrap).collect();
    let address = |line: &str, word: &str| line.strip_prefix(word).unwrap().parse().unwrap();
    (ChildGuard(child), address(&lines[0], "listening "), address(&lines[1], "control "))
}

/// Defines one test per stand-in, which must start and serve a page with the expected status.
macro_rules! started_standins {
    ($($name:ident: $args:expr, $page:expr => $status:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (_child, address, control) = start(&$args);
            let fault: serde_json::Value = Control::new(control).read("fault").await.unwrap();
            assert!(fault.is_object());
            let (status, _) =
                fetch(address, http::Method::GET, $page, bytes::Bytes::new()).await.unwrap();
            assert_eq!(status.as_u16(), $status);
        }
    )*};
}

started_standins! {
    store_responds: ["store"], "/v1/kv/none" => 404;
    worker_responds: ["worker", "--name", "w1", "--milli-cpus", "8000"], "/v1/tasks" => 200;
    minion_responds: ["minion", "--slots", "2"], "/filing" => 200;
}

#[test]
fn relay_starts_and_host_names_are_rejected() {
    let (_child, address, _) = start(&["relay", "--to", "127.0.0.1:9"]);
    assert_ne!(address.port(), 0);
    let rejected = Command::new(env!("CARGO_BIN_EXE_geraniumpost-standin"))
        .args(["relay", "--to", "localhost:9"])
        .stderr(Stdio::null())
        .status();
    assert!(!rejected.unwrap().success());
}
