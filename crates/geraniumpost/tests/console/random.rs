//! Tests of the console with random calls.

use geraniumpost::console::{Call, Console, csrf_token};
use geraniumpost_outside::Store;
use geraniumpost_schema::Name;
use http::Method;
use proptest::prelude::*;

use crate::common::{context, document};

/// Generates paths of known and random parts.
fn path() -> impl Strategy<Value = String> {
    let part = prop_oneof![
        Just("api".to_owned()),
        Just("config".to_owned()),
        Just("customers".to_owned()),
        Just("jobs".to_owned()),
        Just("policy".to_owned()),
        Just("+new".to_owned()),
        Just("login".to_owned()),
        Just("delete".to_owned()),
        Just("claro".to_owned()),
        "\\PC{0,8}",
    ];
    prop::collection::vec(part, 0..5).prop_map(|parts| format!("/{}", parts.join("/")))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against calls that make the console panic or fail to respond.
    #[test]
    fn any_bytes_are_answered(
        path in path(),
        method in 0..4_usize,
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        with_proof in any::<bool>(),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let reply = runtime.block_on(async {
            // No store listens at this address, so no change can be written.
            let context = context(Store::new("127.0.0.1:9".parse().unwrap()));
            let value: geraniumpost_schema::Document = serde_json::from_value(document(1)).unwrap();
            context.config.committed(5, Name::from("x"), value);
            let mut body = bytes;
            if with_proof {
                body.splice(..0, format!("proof={}&revision=4&change_id=c&", csrf_token("o")).into_bytes());
            }
            let methods = [Method::GET, Method::PUT, Method::POST, Method::DELETE];
            let call = Call {
                method: methods[method].clone(),
                path,
                bearer: if with_proof { String::new() } else { "o".to_owned() },
                cookie: "o".to_owned(),
                body: body.into(),
                ..Call::default()
            };
            Console::new(context).answer(&call).await
        });
        prop_assert!((200..600).contains(&reply.status));
    }

    #[test]
    fn any_header_is_parsed(value in prop::collection::vec(32..255_u8, 0..80)) {
        let Ok(value) = http::HeaderValue::from_bytes(&value) else { return Ok(()) };
        let mut req = http::Request::new(());
        for name in ["authorization", "cookie", "if-match", "x-change-id", "origin", "host"] {
            let name = http::HeaderName::from_static(name);
            req.headers_mut().insert(name, value.clone());
        }
        let call = Call::from_parts(&req.into_parts().0, bytes::Bytes::new());
        prop_assert!(call.token().len() <= 80);
    }
}
