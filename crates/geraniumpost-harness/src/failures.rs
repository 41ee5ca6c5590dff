/// Defines a test for each function, on a runtime with several threads. The stand-ins, callers and
/// checkers of a test run concurrently.
#[macro_export]
macro_rules! failures {
    ($($(#[$doc:meta])* async fn $name:ident() $body:block)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() $body
    )*};
}
