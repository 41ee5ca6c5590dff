use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use crate::check::{Told, Word};
use crate::{Caller, Send};

/// Times a caller repeats a keyed request that was not answered.
const REPEATS: usize = 4;
/// Pause of a caller after it was told to come back.
const PAUSE: Duration = Duration::from_millis(50);

/// Callers that keep sending a mix of requests to several entries until they are stopped.
///
/// A third each is idempotent, non-idempotent without a key, and non-idempotent with one. Keyed
/// requests that were not answered are repeated through whatever entry comes, as callers do.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Vec<Told>>,
}

impl Load {
    /// Starts `callers` callers; the seed decides what each of them sends where.
    pub fn start(entries: &[SocketAddr], callers: u64, seed: u64) -> Self {
        println!("load of {callers} callers with seed {seed}");
        let stop = Arc::new(AtomicBool::new(false));
        let mut running = JoinSet::new();
        for number in 0..callers {
            let rng = StdRng::seed_from_u64(seed.wrapping_mul(1009).wrapping_add(number));
            running.spawn(run(entries.to_vec(), rng, Arc::clone(&stop)));
        }
        Self { stop, callers: running }
    }

    /// Lets each caller finish its last request and returns what all were told.
    pub async fn stop(mut self) -> Vec<Told> {
        self.stop.store(true, Ordering::Relaxed);
        let mut told = Vec::new();
        while let Some(caller) = self.callers.join_next().await {
            told.extend(caller.expect("a caller does not panic"));
        }
        told
    }
}

async fn run(entries: Vec<SocketAddr>, mut rng: StdRng, stop: Arc<AtomicBool>) -> Vec<Told> {
    let mut all = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let mut send = draw(&mut rng);
        for _ in 0..REPEATS {
            let entry = entries[rng.random_range(0..entries.len())];
            let told = Caller::new(entry).send(&send).await;
            let answered = matches!(told.word, Word::Answered { .. });
            all.push(told);
            if answered || stop.load(Ordering::Relaxed) {
                break;
            }
            tokio::time::sleep(PAUSE).await;
            if send.key.is_empty() {
                break;
            }
            send = send.again();
        }
    }
    all
}

fn draw(rng: &mut StdRng) -> Send {
    let send = match rng.random_range(0..3) {
        0 => Send::get(),
        1 => Send::post(),
        _ => Send::post().key(format!("key-{}", rng.random::<u64>())),
    };
    let size = rng.random_range(0..2000);
    let body: Vec<u8> = (0..size).map(|_| rng.random()).collect();
    send.body(body).work_ms(rng.random_range(0..20)).answer_bytes(rng.random_range(0..5000))
}
