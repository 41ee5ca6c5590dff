//! An entry's console with a stand-in for the store, and calls of operators and browsers.

use std::sync::Arc;
use std::time::Duration;

use geraniumpost::console::{Call, Console, Reply, bootstrap_token, csrf_token};
use geraniumpost_outside::Store;
use geraniumpost_standin::Standin;
use geraniumpost_standin::store::spawn_in_process;
use http::Method;
use serde_json::Value;

use crate::common::{ANY, context, document};

/// An entry's console with a stand-in for the store.
pub struct Fixture {
    pub standin: Standin,
    pub console: Console,
}

impl Fixture {
    pub async fn new() -> Self {
        let standin = spawn_in_process(ANY, ANY).await.unwrap();
        let store = Store::new(standin.address()).timeout(Duration::from_millis(500));
        Self { standin, console: Console::new(context(store)) }
    }

    /// Creates a console with a configuration in force, and returns its revision.
    pub async fn with_document() -> (Self, u64) {
        let fixture = Self::new().await;
        let token = bootstrap_token("0123456789abcdef");
        let reply = fixture.put(&token, Some(0), "first-change", &document(1)).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        let revision = body(&reply)["revision"].as_u64().unwrap();
        (fixture, revision)
    }

    /// Returns a console with the same store and a planner that never responds.
    pub async fn with_silent_planner(&self) -> Console {
        let mut context = context(Store::new(self.standin.address()));
        context.config.refresh(&context.store).await.unwrap();
        context.jobs = Arc::new(|_| Box::pin(std::future::pending()));
        Console::new(context)
    }

    /// Returns the console of another entry with the same store.
    pub async fn other_entry(&self) -> Self {
        let store = Store::new(self.standin.address());
        let context = context(store);
        context.config.refresh(&context.store).await.unwrap();
        let standin = spawn_in_process(ANY, ANY).await.unwrap();
        Self { standin, console: Console::new(context) }
    }

    pub async fn call(&self, method: Method, path: &str, token: &str, body: Vec<u8>) -> Reply {
        let call = Call {
            method,
            path: path.to_owned(),
            bearer: token.to_owned(),
            body: body.into(),
            ..Call::default()
        };
        self.console.answer(&call).await
    }

    pub async fn put(
        &self,
        token: &str,
        revision: Option<u64>,
        id: &str,
        document: &Value,
    ) -> Reply {
        let call = Call {
            method: Method::PUT,
            path: "/api/config".to_owned(),
            bearer: token.to_owned(),
            if_match: revision,
            change_id: id.to_owned(),
            body: document.to_string().into(),
            ..Call::default()
        };
        self.console.answer(&call).await
    }

    pub async fn get(&self, path: &str) -> Value {
        let reply = self.call(Method::GET, path, "o", Vec::new()).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        body(&reply)
    }

    /// Requests a page as a browser with the operator's cookie.
    pub async fn page(&self, path: &str) -> (u16, String) {
        let call = Call { path: path.to_owned(), cookie: "o".to_owned(), ..Call::default() };
        let reply = self.console.answer(&call).await;
        (reply.status, String::from_utf8(reply.body.to_vec()).unwrap())
    }

    /// Sends a form as a browser with the operator's cookie.
    pub async fn post(&self, path: &str, fields: &[(&str, &str)]) -> (u16, String) {
        let reply = self.console.answer(&form(path, fields, &csrf_token("o"))).await;
        (reply.status, String::from_utf8(reply.body.to_vec()).unwrap())
    }
}

/// Returns the submission of a form by a browser with the operator's cookie.
pub fn form(path: &str, fields: &[(&str, &str)], proof: &str) -> Call {
    let mut text = form_urlencoded::Serializer::new(String::new());
    text.append_pair("proof", proof).extend_pairs(fields);
    Call {
        method: Method::POST,
        path: path.to_owned(),
        cookie: "o".to_owned(),
        body: text.finish().into(),
        ..Call::default()
    }
}

/// Returns the JSON body of a response.
pub fn body(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap_or_default()
}
