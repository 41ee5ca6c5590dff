//! Tests of reads of the store that start further attempts until one attempt succeeds.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use geraniumpost::batch::{MAX_CONCURRENT_ATTEMPTS, hedged_read};
use geraniumpost_platform::{Store, StoreError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ATTEMPT_INTERVAL: Duration = Duration::from_millis(50);

/// Returns a client for tests whose attempts do not call the store.
fn store() -> Store {
    Store::new(([127, 0, 0, 1], 9).into())
}

fn failure() -> StoreError {
    StoreError::Failed("refused".to_owned())
}

/// Guards against cancelling an attempt when the next one starts: over a busy link every response
/// is late, and no response would be used.
#[tokio::test]
async fn late_response_to_an_earlier_attempt_is_used() {
    let attempts = Cell::new(0);
    let attempt = |_| {
        attempts.set(attempts.get() + 1);
        let attempt_number = attempts.get();
        async move {
            tokio::time::sleep(ATTEMPT_INTERVAL * 2 + ATTEMPT_INTERVAL / 2).await;
            Ok(attempt_number)
        }
    };
    let result =
        hedged_read(&store(), ATTEMPT_INTERVAL, attempt, |_| panic!("no attempt fails")).await;
    assert_eq!((result, attempts.get()), (Ok(1), 3));
}

/// Guards against waiting for a response on a broken connection without trying another connection.
#[tokio::test]
async fn second_attempt_succeeds_while_the_first_is_silent() {
    let attempts = Cell::new(0);
    let attempt = |_| {
        attempts.set(attempts.get() + 1);
        let attempt_number = attempts.get();
        async move {
            if attempt_number == 1 {
                std::future::pending::<()>().await;
            }
            Ok(attempt_number)
        }
    };
    let started_at = Instant::now();
    let result =
        hedged_read(&store(), ATTEMPT_INTERVAL, attempt, |_| panic!("no attempt fails")).await;
    assert_eq!(result, Ok(2));
    assert!(started_at.elapsed() < ATTEMPT_INTERVAL * 2, "{:?}", started_at.elapsed());
}

#[tokio::test]
async fn number_of_concurrent_attempts_is_limited() {
    let (in_flight, max_in_flight) = (Cell::new(0), Cell::new(0));
    let failures = RefCell::new(0);
    let attempt = |timeout| {
        in_flight.set(in_flight.get() + 1);
        max_in_flight.set(max_in_flight.get().max(in_flight.get()));
        let in_flight = &in_flight;
        async move {
            tokio::time::sleep(timeout).await;
            in_flight.set(in_flight.get() - 1);
            Err::<(), _>(failure())
        }
    };
    let store = store();
    let read = hedged_read(&store, ATTEMPT_INTERVAL, attempt, |_| *failures.borrow_mut() += 1);
    let ended = tokio::time::timeout(ATTEMPT_INTERVAL * MAX_CONCURRENT_ATTEMPTS * 4, read).await;
    assert!(ended.is_err(), "the read must still be running");
    assert!(*failures.borrow() >= 6, "{} failed", failures.borrow());
    assert_eq!(max_in_flight.get(), MAX_CONCURRENT_ATTEMPTS);
}

#[tokio::test]
async fn refused_attempts_are_repeated_after_a_pause() {
    let attempts = Cell::new(0);
    let attempt = |_| {
        attempts.set(attempts.get() + 1);
        let attempt_number = attempts.get();
        async move { if attempt_number < 3 { Err(failure()) } else { Ok(attempt_number) } }
    };
    let started_at = Instant::now();
    let failures = Cell::new(0);
    let result = hedged_read(&store(), Duration::from_secs(20), attempt, |_| {
        failures.set(failures.get() + 1);
    })
    .await;
    assert_eq!((result, failures.get()), (Ok(3), 2));
    assert!(started_at.elapsed() >= Duration::from_millis(300), "{:?}", started_at.elapsed());
    assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
}

#[tokio::test]
async fn compacted_history_is_reported_at_once() {
    let attempt = |_| async { Err::<(), _>(StoreError::Compacted) };
    let result = hedged_read(&store(), ATTEMPT_INTERVAL, attempt, |_| {
        panic!("a compacted history is not a failed attempt")
    })
    .await;
    assert_eq!(result, Err(StoreError::Compacted));
}

/// Responds with 404 to each request on a connection while `responding` is true. After a request
/// that arrives while it is false, the connection never gets a response again.
async fn serve(mut stream: TcpStream, responding: Arc<AtomicBool>) {
    let mut buf = [0; 4096];
    while let Ok(1..) = stream.read(&mut buf).await {
        if !responding.load(Ordering::SeqCst) {
            return std::future::pending().await;
        }
        let response = b"HTTP/1.1 404 Not Found\r\ncontent-length: 2\r\n\r\n{}";
        if stream.write_all(response).await.is_err() {
            return;
        }
    }
}

/// Starts a fake store whose first two connections respond only while the returned flag is true.
async fn start_store() -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let first_two_respond = Arc::new(AtomicBool::new(true));
    let responding = Arc::clone(&first_two_respond);
    tokio::spawn(async move {
        for connection in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            let always = Arc::new(AtomicBool::new(true));
            tokio::spawn(serve(
                stream,
                if connection < 2 { Arc::clone(&responding) } else { always },
            ));
        }
    });
    (address, first_two_respond)
}

/// Guards against trying idle connections one after the other when all of them are broken: each
/// would cost another attempt, although a new connection works.
#[tokio::test]
async fn second_attempt_uses_a_new_connection() {
    let (address, responding) = start_store().await;
    let store = Store::new(address);
    let long_timeout = Duration::from_secs(20);
    let store = &store;
    let get =
        |timeout| async move { store.begin_get("a", timeout).await?.receive(long_timeout).await };
    let (first, second) = tokio::join!(get(long_timeout), get(long_timeout));
    assert!(first.is_ok() && second.is_ok());
    responding.store(false, Ordering::SeqCst);
    let started_at = Instant::now();
    let result = hedged_read(store, ATTEMPT_INTERVAL, get, |_| panic!("no attempt fails")).await;
    assert!(result.is_ok());
    assert!(started_at.elapsed() < ATTEMPT_INTERVAL * 2, "{:?}", started_at.elapsed());
}
