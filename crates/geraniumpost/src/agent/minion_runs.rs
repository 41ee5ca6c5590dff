use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumpost_core::Micros;
use geraniumpost_outside::{Answer, MinionError};
use geraniumpost_schema::Outcome;
use http::Method;
use tokio::time::timeout;

use super::{AgentContext, KeptAnswer, Work};
use crate::headers;

/// How long a minion may go on with a request after the caller has stopped waiting.
///
/// The slot stays taken meanwhile, because the minion is still at work: handing it on would put
/// more requests on the minion than its slots. A minion that hangs for good loses its connection
/// after this time, and its agent is ejected long before by its failures.
const OVERTIME: Duration = Duration::from_secs(30);

/// Starts work on the minion, each piece in a task of its own.
pub fn start_all(cx: &Arc<AgentContext>, work: Vec<Work>) {
    for work in work {
        tokio::spawn(run(Arc::clone(cx), work));
    }
}

/// Runs one request, answers it and starts what the free slot is given to.
async fn run(cx: Arc<AgentContext>, work: Work) {
    let id = work.head.id;
    let began = Instant::now();
    let time = cx.clock.until(work.deadline);
    let mut sending = Box::pin(send(&cx, work, time + OVERTIME));
    let in_time = timeout(time, &mut sending).await;
    let answer = in_time.unwrap_or_else(|_| {
        let late = KeptAnswer::without_answer(Outcome::RunTimedOut, 0);
        cx.requests().finished(id, late.clone(), cx.clock.now());
        late
    });
    let success = answer.is_success();
    if answer == KeptAnswer::without_answer(Outcome::RunTimedOut, 0) {
        // The caller has its answer; only the slot is waited for.
        drop(sending.await);
    }
    let took = Micros(began.elapsed().as_micros() as u64);
    let now = cx.clock.now();
    let next = {
        let mut requests = cx.requests();
        requests.finished(id, answer, now);
        requests.left(id, took, success, now)
    };
    start_all(&cx, next);
}

/// Sends a request to the minion and tells what became of it.
async fn send(cx: &AgentContext, work: Work, longest: Duration) -> KeptAnswer {
    let Some(minion) = cx.minion.load_full() else {
        return KeptAnswer::without_answer(Outcome::NotRunUnknownService, 0);
    };
    let Ok(method) = Method::from_bytes(work.head.method.as_bytes()) else {
        return KeptAnswer::without_answer(Outcome::NotRunUnreachable, 0);
    };
    let fields = headers::from_fields(&work.head.headers);
    let sent = minion.send(method, &work.head.path, fields, work.body, longest).await;
    sent.map_or_else(|error| failed(&error), answered)
}

fn answered(answer: Answer) -> KeptAnswer {
    let fields = headers::to_fields(&answer.headers);
    KeptAnswer::answered(answer.status.as_u16(), fields, answer.body)
}

fn failed(error: &MinionError) -> KeptAnswer {
    spdlog::debug!("minion: {error}");
    let outcome = match error {
        MinionError::NotSent(_) => Outcome::NotRunUnreachable,
        MinionError::Failed(_) => Outcome::RunFailed,
        MinionError::Truncated(_) | MinionError::TooLarge(_) => Outcome::RunTruncated,
        MinionError::TimedOut => Outcome::RunTimedOut,
    };
    KeptAnswer::without_answer(outcome, 0)
}
