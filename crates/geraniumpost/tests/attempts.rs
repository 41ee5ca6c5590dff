//! Readings of the store that are repeated until one is answered.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use geraniumpost::batch::{ATTEMPTS, first_answer};
use geraniumpost_platform::StoreError;

const SPACING: Duration = Duration::from_millis(50);

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
    let answer = first_answer(SPACING, attempt, |_| panic!("no attempt fails")).await;
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
    let answer = first_answer(SPACING, attempt, |_| panic!("no attempt fails")).await;
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
    let reading = first_answer(SPACING, attempt, |_| *failed.borrow_mut() += 1);
    let ended = tokio::time::timeout(SPACING * ATTEMPTS * 4, reading).await;
    assert!(ended.is_err(), "it goes on");
    assert!(*failed.borrow() >= 6, "{} failed", failed.borrow());
    assert_eq!(most.get(), ATTEMPTS);
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
        first_answer(Duration::from_secs(20), attempt, |_| failed.set(failed.get() + 1)).await;
    assert_eq!((answer, failed.get()), (Ok(3), 2));
    assert!(began.elapsed() >= Duration::from_millis(300), "{:?}", began.elapsed());
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}

#[tokio::test]
async fn lost_history_is_told_at_once() {
    let attempt = |_| async { Err::<(), _>(StoreError::Compacted) };
    let answer = first_answer(SPACING, attempt, |_| panic!("it is no failure")).await;
    assert_eq!(answer, Err(StoreError::Compacted));
}
