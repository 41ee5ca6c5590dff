use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumpost_core::Micros;
use geraniumpost_outside::{Answer, MinionError};
use geraniumpost_schema::Outcome;
use http::Method;
use tokio::time::timeout;

use super::{AgentContext, KeptAnswer, MinionRequest};
use crate::headers;

/// Maximum time for which a minion may continue to process a request after its deadline.
///
/// The slot remains occupied meanwhile, because the minion would otherwise process more requests
/// than it has slots. The connection to a minion that hangs is closed after this time; its agent is
/// ejected much earlier because of the failures.
const MAX_OVERRUN: Duration = Duration::from_secs(30);

/// Starts requests on the minion, each in an asynchronous task of its own.
pub fn start_all(cx: &Arc<AgentContext>, work: Vec<MinionRequest>) {
    for work in work {
        tokio::spawn(run(Arc::clone(cx), work));
    }
}

/// Runs one request, answers it, and starts the next requests when its slot is free.
async fn run(cx: Arc<AgentContext>, work: MinionRequest) {
    let id = work.head.id;
    let began = Instant::now();
    let time_left = cx.clock.until(work.deadline);
    let mut sending = Box::pin(send(&cx, work, time_left + MAX_OVERRUN));
    let in_time = timeout(time_left, &mut sending).await;
    let answer = in_time.unwrap_or_else(|_| {
        let timed_out = KeptAnswer::without_answer(Outcome::RunTimedOut, 0);
        cx.requests().finish(id, timed_out.clone(), cx.clock.now());
        timed_out
    });
    let success = answer.is_success();
    if answer == KeptAnswer::without_answer(Outcome::RunTimedOut, 0) {
        // The request is answered. Waits until the minion has finished and the slot is free.
        drop(sending.await);
    }
    let took = Micros(began.elapsed().as_micros() as u64);
    let now = cx.clock.now();
    let next = {
        let mut requests = cx.requests();
        requests.finish(id, answer, now);
        requests.release_slot(id, took, success, now)
    };
    start_all(&cx, next);
}

/// Sends a request to the minion and returns the outcome.
async fn send(cx: &AgentContext, work: MinionRequest, max_time: Duration) -> KeptAnswer {
    let Some(minion) = cx.minion.load_full() else {
        return KeptAnswer::without_answer(Outcome::NotRunUnknownService, 0);
    };
    let Ok(method) = Method::from_bytes(work.head.method.as_bytes()) else {
        return KeptAnswer::without_answer(Outcome::NotRunUnreachable, 0);
    };
    let fields = headers::from_fields(&work.head.headers);
    let sent = minion.send(method, &work.head.path, fields, work.body, max_time).await;
    sent.map_or_else(|error| from_error(&error), from_answer)
}

fn from_answer(answer: Answer) -> KeptAnswer {
    let fields = headers::to_fields(&answer.headers);
    KeptAnswer::answered(answer.status.as_u16(), fields, answer.body)
}

fn from_error(error: &MinionError) -> KeptAnswer {
    spdlog::debug!("request to the minion failed: {error}");
    let outcome = match error {
        MinionError::NotSent(_) => Outcome::NotRunUnreachable,
        MinionError::Failed(_) => Outcome::RunFailed,
        MinionError::Truncated(_) | MinionError::TooLarge(_) => Outcome::RunTruncated,
        MinionError::TimedOut => Outcome::RunTimedOut,
    };
    KeptAnswer::without_answer(outcome, 0)
}
