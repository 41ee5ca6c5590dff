//! Tests of the log message about settings that contradict the configuration in force.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use geraniumpost::config::{ActiveConfig, ConfigCell, log_contradictions};
use geraniumpost::logs;
use geraniumpost_config::{check_document_value, check_membership, parse_agent, token_digest};
use geraniumpost_schema::{Document, LogLevel, LogSettings, Name};
use serde_json::json;
use spdlog::sink::WriteSink;

const AGENT: &str = "name='a'\nregion='lima'\ndomain='surco'\nrack='r'\nlisten='10.0.1.4:7100'\n\
                     entries=['10.0.0.4:7002']\nshared_key='0123456789abcdef'\n\
                     service='filing'\nminion='127.0.0.1:80'\n";

/// Writer whose output the test can read.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl SharedBuffer {
    async fn wait_for(&self, text: &str) {
        for _ in 0..100 {
            if String::from_utf8_lossy(&self.0.lock().unwrap()).contains(text) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("{text} is not in the log: {}", String::from_utf8_lossy(&self.0.lock().unwrap()));
    }
}

fn document(service: &str) -> Document {
    check_document_value(json!({
        "customers": {}, "services": { service: {} }, "classes": {},
        "domains": { "surco": { "region": "lima" } },
        "operators": { "rosa": { "token_sha256": token_digest("o") } },
    }))
    .unwrap()
}

/// An operator removes the service of a minion. Its agent keeps running but gets no requests, so
/// its log must contain the reason. This also applies to a revision in force before the task
/// started.
#[tokio::test]
async fn a_contradiction_is_logged_with_its_code() {
    let log = SharedBuffer::default();
    let sink = WriteSink::builder().target(log.clone()).build_arc().unwrap();
    let settings = LogSettings { level: LogLevel::Info, decisions: false };
    logs::start_with(&settings, "agent-1", sink).unwrap();

    let active = Arc::new(ConfigCell::default());
    active.adopt(ActiveConfig::new(1, Name::default(), document("badges")));
    let agent = parse_agent(AGENT, "agent.toml").unwrap();
    let check = move |document: &Document| check_membership(&agent, document);
    let task = tokio::spawn(log_contradictions(Arc::clone(&active), check));
    log.wait_for("settings contradict configuration 1: error 1203").await;
    active.adopt(ActiveConfig::new(2, Name::default(), document("filing")));
    active.adopt(ActiveConfig::new(3, Name::default(), document("kiosk")));
    log.wait_for("settings contradict configuration 3: error 1203").await;
    assert!(!String::from_utf8_lossy(&log.0.lock().unwrap()).contains("configuration 2"));
    drop(active);
    tokio::time::timeout(Duration::from_secs(2), task).await.unwrap().unwrap();
}
