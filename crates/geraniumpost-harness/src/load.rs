use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use crate::check::{ObservedRequest, Outcome};
use crate::{Caller, RequestSpec};

/// Maximum number of attempts for a request with a key.
const MAX_ATTEMPTS: usize = 4;
/// Delay of a caller after a request that was not answered.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Callers that send a mix of requests to several entries until they are stopped.
///
/// One third of the requests is idempotent, one third is non-idempotent without a key, and the rest
/// is non-idempotent with a key. Unanswered requests with a key are retried through random entries,
/// because real callers retry through whichever entry the load balancer chooses.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Vec<ObservedRequest>>,
}

impl Load {
    /// Starts `callers` callers. The seed determines what each of them sends to which entry.
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

    /// Waits for each caller's last outcome and returns all requests with their outcomes.
    pub async fn stop(mut self) -> Vec<ObservedRequest> {
        self.stop.store(true, Ordering::Relaxed);
        let mut requests = Vec::new();
        while let Some(caller) = self.callers.join_next().await {
            requests.extend(caller.expect("a caller does not panic"));
        }
        requests
    }
}

async fn run(
    entries: Vec<SocketAddr>,
    mut rng: StdRng,
    stop: Arc<AtomicBool>,
) -> Vec<ObservedRequest> {
    let mut all = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let mut spec = random_request(&mut rng);
        for _ in 0..MAX_ATTEMPTS {
            let entry = entries[rng.random_range(0..entries.len())];
            let request = Caller::new(entry).send(&spec).await;
            let answered = matches!(request.outcome, Outcome::Answered { .. });
            all.push(request);
            if answered || stop.load(Ordering::Relaxed) {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
            if spec.key.is_empty() {
                break;
            }
            spec = spec.retry();
        }
    }
    all
}

fn random_request(rng: &mut StdRng) -> RequestSpec {
    let spec = match rng.random_range(0..3) {
        0 => RequestSpec::get(),
        1 => RequestSpec::post(),
        _ => RequestSpec::post().key(format!("key-{}", rng.random::<u64>())),
    };
    let size = rng.random_range(0..2000);
    let body: Vec<u8> = (0..size).map(|_| rng.random()).collect();
    spec.body(body).work_ms(rng.random_range(0..20)).answer_bytes(rng.random_range(0..5000))
}
