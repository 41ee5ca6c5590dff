/// Defines a test for each function, on a runtime with several threads that is shared by the
/// stand-ins, callers and checkers of the test.
#[macro_export]
macro_rules! failures {
    ($($(#[$doc:meta])* async fn $name:ident() $body:block)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() $body
    )*};
}
