//! Readings of the store that are repeated until one is answered.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use geraniumpost::batch::{MAX_CONCURRENT_ATTEMPTS, hedged_read};
use geraniumpost_platform::{Store, StoreError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SPACING: Duration = Duration::from_millis(50);

/// Returns a client of a store that these tests do not call.
fn store() -> Store {
    Store::new(([127, 0, 0, 1], 9).into())
}

fn failure() -> StoreError {
    StoreError::Failed("refused".to_owned())
}

/// Guards against an attempt that is given up as the next one begins: over a busy link each answer is
/// late, and none would ever be taken.
#[tokio::test]
async fn late_answer_of_an_earlier_attempt_is_taken() {
    let number = Cell::new(0);
    let attempt = |_| {
        number.set(number.get() + 1);
        let mine = number.get();
        async move {
            tokio::time::sleep(SPACING * 2 + SPACING / 2).await;
            Ok(mine)
        }
    };
    let answer = hedged_read(&store(), SPACING, attempt, |_| panic!("no attempt fails")).await;
    assert_eq!((answer, number.get()), (Ok(1), 3));
}

/// Guards against a connection that has gone silent: it must not keep others from being tried.
#[tokio::test]
async fn attempt_beside_a_silent_one_is_answered() {
    let number = Cell::new(0);
    let attempt = |_| {
        number.set(number.get() + 1);
        let mine = number.get();
        async move {
            if mine == 1 {
                std::future::pending::<()>().await;
            }
            Ok(mine)
        }
    };
    let began = Instant::now();
    let answer = hedged_read(&store(), SPACING, attempt, |_| panic!("no attempt fails")).await;
    assert_eq!(answer, Ok(2));
    assert!(began.elapsed() < SPACING * 2, "{:?}", began.elapsed());
}

#[tokio::test]
async fn no_more_attempts_than_allowed_are_under_way() {
    let (under_way, most) = (Cell::new(0), Cell::new(0));
    let failed = RefCell::new(0);
    let attempt = |timeout| {
        under_way.set(under_way.get() + 1);
        most.set(most.get().max(under_way.get()));
        let under_way = &under_way;
        async move {
            tokio::time::sleep(timeout).await;
            under_way.set(under_way.get() - 1);
            Err::<(), _>(failure())
        }
    };
    let store = store();
    let reading = hedged_read(&store, SPACING, attempt, |_| *failed.borrow_mut() += 1);
    let ended = tokio::time::timeout(SPACING * MAX_CONCURRENT_ATTEMPTS * 4, reading).await;
    assert!(ended.is_err(), "it goes on");
    assert!(*failed.borrow() >= 6, "{} failed", failed.borrow());
    assert_eq!(most.get(), MAX_CONCURRENT_ATTEMPTS);
}

#[tokio::test]
async fn refused_attempts_are_repeated_after_a_pause() {
    let number = Cell::new(0);
    let attempt = |_| {
        number.set(number.get() + 1);
        let mine = number.get();
        async move { if mine < 3 { Err(failure()) } else { Ok(mine) } }
    };
    let began = Instant::now();
    let failed = Cell::new(0);
    let answer =
        hedged_read(&store(), Duration::from_secs(20), attempt, |_| failed.set(failed.get() + 1))
            .await;
    assert_eq!((answer, failed.get()), (Ok(3), 2));
    assert!(began.elapsed() >= Duration::from_millis(300), "{:?}", began.elapsed());
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}

#[tokio::test]
async fn lost_history_is_told_at_once() {
    let attempt = |_| async { Err::<(), _>(StoreError::Compacted) };
    let answer = hedged_read(&store(), SPACING, attempt, |_| panic!("it is no failure")).await;
    assert_eq!(answer, Err(StoreError::Compacted));
}

/// Answers each request on a connection as if there were no such key, while `answers` holds.
async fn serve(mut stream: TcpStream, answers: Arc<AtomicBool>) {
    let mut buf = [0; 4096];
    while let Ok(1..) = stream.read(&mut buf).await {
        if !answers.load(Ordering::SeqCst) {
            return std::future::pending().await;
        }
        let answer = b"HTTP/1.1 404 Not Found\r\ncontent-length: 2\r\n\r\n{}";
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}

/// Starts a store of which the first two connections answer only while the flag holds.
async fn two_connections_that_fall_silent() -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let first_two = Arc::new(AtomicBool::new(true));
    let answers = Arc::clone(&first_two);
    tokio::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            let always = Arc::new(AtomicBool::new(true));
            tokio::spawn(serve(stream, if number < 2 { Arc::clone(&answers) } else { always }));
        }
    });
    (address, first_two)
}

/// Guards against connections that all fell silent at once: each that is idle would cost one more attempt
/// its time, although a new connection works.
#[tokio::test]
async fn second_attempt_uses_no_connection_that_was_idle() {
    let (address, answers) = two_connections_that_fall_silent().await;
    let store = Store::new(address);
    let long = Duration::from_secs(20);
    let store = &store;
    let get = |timeout| async move { store.begin_get("a", timeout).await?.receive(long).await };
    let (one, other) = tokio::join!(get(long), get(long));
    assert!(one.is_ok() && other.is_ok());
    answers.store(false, Ordering::SeqCst);
    let began = Instant::now();
    let answer = hedged_read(store, SPACING, get, |_| panic!("no attempt fails")).await;
    assert!(answer.is_ok());
    assert!(began.elapsed() < SPACING * 2, "{:?}", began.elapsed());
}
