use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::latency_figures::LatencyFigures;
use super::load_client::{LoadClient, RequestProfile};

/// Results that are buffered until they are counted; with more requests in flight than this, the
/// machine itself would limit the measurement.
const RESULT_BUFFER: usize = 20_000;

/// Sends requests at a rate whether or not answers arrive, and measures latency from the time at
/// which each request was due.
///
/// A closed loop would send fewer requests when answers are late and so hide the waiting time,
/// which is known as coordinated omission.
pub async fn open_loop(
    target: &LoadClient,
    profile: RequestProfile,
    per_second: f64,
    time: Duration,
    seed: u64,
) -> LatencyFigures {
    let mut rng = StdRng::seed_from_u64(seed);
    let (tx, mut rx) = mpsc::channel(RESULT_BUFFER);
    let start = Instant::now();
    let mut due = start;
    let mut number = 0;
    while due < start + time {
        sleep_until(due).await;
        spawn_request(target.clone(), number, profile, due, tx.clone());
        number += 1;
        // Exponential gaps give Poisson arrivals, like those of many independent callers.
        let gap = -(1.0 - rng.random::<f64>()).ln() / per_second;
        due += Duration::from_secs_f64(gap);
    }
    drop(tx);
    let mut figures = LatencyFigures::new();
    while let Some(took) = rx.recv().await {
        match took {
            Some(took) => figures.record_answer(took, profile.deadline),
            None => figures.record_refusal(),
        }
    }
    figures.period(time)
}

fn spawn_request(
    target: LoadClient,
    number: usize,
    profile: RequestProfile,
    due: Instant,
    tx: mpsc::Sender<Option<Duration>>,
) {
    tokio::spawn(async move {
        let answered = target.send(number, profile).await;
        // The receiver exists until all senders are dropped.
        let _ = tx.send(answered.then(|| due.elapsed())).await;
    });
}
