//! The stand-ins as processes of their own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use geraniumpost_standin::Control;
use geraniumpost_standin::http::fetch;

/// A process that is ended with the test.
struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a stand-in and reads where it listens.
fn start(words: &[&str]) -> (Ended, SocketAddr, SocketAddr) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_geraniumpost-standin"))
        .args(words)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let lines: Vec<String> = lines.take(2).map(Result::unwrap).collect();
    let address = |line: &str, word: &str| line.strip_prefix(word).unwrap().parse().unwrap();
    (Ended(child), address(&lines[0], "listening "), address(&lines[1], "control "))
}

/// Names each case of a stand-in that is started and asked for a page.
macro_rules! started {
    ($($name:ident: $words:expr, $page:expr => $status:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (_child, address, control) = start(&$words);
            let fault: serde_json::Value = Control::new(control).read("fault").await.unwrap();
            assert!(fault.is_object());
            let (status, _) =
                fetch(address, http::Method::GET, $page, bytes::Bytes::new()).await.unwrap();
            assert_eq!(status.as_u16(), $status);
        }
    )*};
}

started! {
    store_answers: ["store"], "/v1/kv/none" => 404;
    worker_answers: ["worker", "--name", "w1", "--milli-cpus", "8000"], "/v1/tasks" => 200;
    minion_answers: ["minion", "--slots", "2"], "/filing" => 200;
}

#[test]
fn relay_starts_and_unknown_words_are_refused() {
    let (_child, address, _) = start(&["relay", "--to", "127.0.0.1:9"]);
    assert_ne!(address.port(), 0);
    let refused = Command::new(env!("CARGO_BIN_EXE_geraniumpost-standin"))
        .args(["relay", "--to", "localhost:9"])
        .stderr(Stdio::null())
        .status();
    assert!(!refused.unwrap().success());
}
