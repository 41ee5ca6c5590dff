use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::direct::{Ask, Target};
use super::figures::Figures;

/// Requests that may be under way at once; beyond that the machine itself is measured.
const MOST_UNDER_WAY: usize = 20_000;

/// Sends at a rate for a time, whether answers come or not, and counts from when each was due.
///
/// A closed loop would send less as soon as answers come late and so hide the waiting; see the
/// problem's usual name, coordinated omission.
pub async fn open_loop(
    target: &Target,
    ask: Ask,
    per_second: f64,
    time: Duration,
    seed: u64,
) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let (tx, mut rx) = mpsc::channel(MOST_UNDER_WAY);
    let start = Instant::now();
    let mut due = start;
    let mut number = 0;
    while due < start + time {
        sleep_until(due).await;
        spawn(target.clone(), number, ask, due, tx.clone());
        number += 1;
        // Exponential gaps make Poisson arrivals, as many independent callers do.
        let gap = -(1.0 - rng.random::<f64>()).ln() / per_second;
        due += Duration::from_secs_f64(gap);
    }
    drop(tx);
    let mut figures = Figures::new();
    while let Some(took) = rx.recv().await {
        match took {
            Some(took) => figures.answered(took, ask.deadline),
            None => figures.refused(),
        }
    }
    figures.spanning(time)
}

fn spawn(
    target: Target,
    number: usize,
    ask: Ask,
    due: Instant,
    tx: mpsc::Sender<Option<Duration>>,
) {
    tokio::spawn(async move {
        let answered = target.send(number, ask).await;
        // The receiver waits for all.
        let _ = tx.send(answered.then(|| due.elapsed())).await;
    });
}
