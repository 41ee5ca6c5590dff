//! Shared code of the tests of the console and the command line.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use geraniumpost::config::{ConfigCell, ConfigUpdater};
use geraniumpost::console::{
    ApiError, AuthenticatedJobCall, ConsoleContext, JobCall, bootstrap_token,
};
use geraniumpost::metrics::Metrics;
use geraniumpost_config::token_digest;
use geraniumpost_outside::Store;
use geraniumpost_schema::Name;
use serde_json::{Value, json};

/// Any free port on the loopback interface.
pub const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Returns the context of an entry's console, with a fake planner.
pub fn context(store: Store) -> ConsoleContext {
    ConsoleContext {
        name: Name::from("entry-1"),
        config: Arc::new(ConfigUpdater::new(Arc::new(ConfigCell::default()), 100)),
        store,
        metrics: Arc::new(Metrics::new().unwrap()),
        bootstrap_token: bootstrap_token("0123456789abcdef"),
        status: Arc::new(|| json!({ "agents": 11 })),
        in_force: Arc::new(|| json!([{ "name": "agent-1", "role": "agent", "revision": 1 }])),
        jobs: Arc::new(|ask| Box::pin(async move { fake_planner(&ask) })),
    }
}

/// Responds to a call with fixed values or with the values in the call.
fn fake_planner(ask: &AuthenticatedJobCall) -> Result<Value, ApiError> {
    match &ask.call {
        JobCall::Submit { id, job } => Ok(json!({ "id": id, "state": "pending", "job": job })),
        JobCall::Status { id } => Ok(json!({ "id": id, "state": "<b>odd</b>" })),
        JobCall::Explain { id } => Ok(json!({ "id": id, "why": "waits for room" })),
        JobCall::List => Ok(json!([{ "id": "study-1", "state": "running" }])),
        JobCall::Cancel { .. } => Err(ApiError::new(404, 3010, "There is no such job.")),
    }
}

/// Returns a small configuration document.
pub fn document(weight: u32) -> Value {
    json!({
        "customers": { "claro": { "token_sha256": token_digest("c"), "weight": weight } },
        "services": { "filing": {} },
        "classes": { "study": {} },
        "domains": { "surco": { "region": "lima" } },
        "operators": { "rosa": { "token_sha256": token_digest("o") } },
    })
}
