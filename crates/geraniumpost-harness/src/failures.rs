/// Names each failure test and gives it a runtime with several threads, which stand-ins, callers
/// and checkers share.
#[macro_export]
macro_rules! failures {
    ($($(#[$doc:meta])* async fn $name:ident() $body:block)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() $body
    )*};
}
