use std::time::Duration;

use geraniumpost_core::ResultCode;
use geraniumpost_core::requests::{AttemptEvent, NextStep, RetryLimits, RetryPolicy};
use geraniumpost_schema::{AnswerHead, Outcome};
use tokio::time::sleep;

use super::attempt::{Attempt, QueryError};
use super::route::{NoTarget, Route, Target};
use super::{CallerRequest, EntryContext, LinkEvent, Reply};
use crate::decision;

/// Delay advised to callers whose keyed request is refused because the store is unavailable.
const STORE_RETRY_MS: u64 = 1_000;

/// Makes attempts at a request until it has a final result.
pub async fn dispatch(cx: &EntryContext, req: &CallerRequest) -> Reply {
    cx.budget.deposit();
    let mut policy = RetryPolicy::new(req.kind, req.deadline, RetryLimits::default());
    let mut route = Route::default();
    loop {
        let step = match route.next(cx, req, policy.attempt()).await {
            Ok(target) => attempt(cx, req, &mut policy, target).await,
            Err(NoTarget::Refused(code)) => return Reply::without_answer(code, STORE_RETRY_MS),
            Err(NoTarget::NoAgent) => {
                AttemptResult::Step(step(cx, req, &mut policy, AttemptEvent::NoAgent))
            }
            Err(NoTarget::ClaimantGone) => {
                AttemptResult::Step(step(cx, req, &mut policy, AttemptEvent::AgentRestarted))
            }
        };
        match step {
            AttemptResult::Reply(reply) => return reply,
            AttemptResult::Step(NextStep::Answer { code, retry_after_ms }) => {
                return Reply::without_answer(code, retry_after_ms);
            }
            AttemptResult::Step(_) => cx.metrics.retry("next_agent"),
        }
    }
}

/// How an attempt has ended.
enum AttemptResult {
    /// The minion's answer.
    Reply(Reply),
    /// The next step of the request.
    Step(NextStep),
}

/// Makes one attempt, and follows the policy's steps until one ends the attempt.
async fn attempt(
    cx: &EntryContext,
    req: &CallerRequest,
    policy: &mut RetryPolicy,
    target: Target,
) -> AttemptResult {
    let mut attempt = Attempt::send(cx, req, &target, policy.attempt());
    let mut event = if attempt.is_sent() {
        wait(cx, req, &mut attempt).await
    } else if target.repeat {
        // An earlier request with the same key may have run there, so this attempt must not count
        // as certainly not run.
        Received::Event(AttemptEvent::LinkLost)
    } else {
        Received::Event(AttemptEvent::NeverSent)
    };
    loop {
        let next = match event {
            Received::Reply(reply) => return AttemptResult::Reply(reply),
            Received::Event(attempt_event) => step(cx, req, policy, attempt_event),
        };
        event = match next {
            NextStep::Wait => wait(cx, req, &mut attempt).await,
            NextStep::Ask { after_ms } => {
                sleep(Duration::from_millis(after_ms)).await;
                query(cx, req, &mut attempt, target.incarnation).await
            }
            NextStep::Deliver | NextStep::Retry | NextStep::Answer { .. } => {
                return AttemptResult::Step(next);
            }
        };
    }
}

/// Event of an attempt as the policy needs it.
enum Received {
    Reply(Reply),
    Event(AttemptEvent),
}

async fn wait(cx: &EntryContext, req: &CallerRequest, attempt: &mut Attempt) -> Received {
    match attempt.next(cx, req).await {
        Some(event) => from_link(cx, attempt, event),
        None => Received::Event(AttemptEvent::DeadlinePassed { sent: attempt.is_sent() }),
    }
}

async fn query(
    cx: &EntryContext,
    req: &CallerRequest,
    attempt: &mut Attempt,
    incarnation: u64,
) -> Received {
    match attempt.query(cx, req, incarnation).await {
        Ok(event) => from_link(cx, attempt, event),
        Err(QueryError::Restarted) => Received::Event(AttemptEvent::AgentRestarted),
        Err(QueryError::NoLink | QueryError::NoAnswer) => Received::Event(AttemptEvent::AskFailed),
    }
}

fn from_link(cx: &EntryContext, attempt: &Attempt, event: LinkEvent) -> Received {
    match event {
        LinkEvent::Answer(head, body) => {
            record_result(cx, attempt, &head);
            if head.outcome == Outcome::Answered {
                return Received::Reply(Reply::answered(&head, body));
            }
            let (outcome, retry_after_ms) = (head.outcome, head.retry_after_ms);
            Received::Event(AttemptEvent::Outcome { outcome, retry_after_ms })
        }
        LinkEvent::Verdict(verdict) => Received::Event(AttemptEvent::Verdict(verdict)),
        LinkEvent::Lost => Received::Event(AttemptEvent::LinkLost),
        LinkEvent::Unresponsive => Received::Event(AttemptEvent::LinkUnresponsive),
    }
}

/// Records whether the agent's minion succeeded. Refusals for lack of capacity are not failures of
/// the minion.
fn record_result(cx: &EntryContext, attempt: &Attempt, head: &AnswerHead) {
    let success = match head.outcome {
        Outcome::Answered => head.status < 500,
        Outcome::RunFailed
        | Outcome::RunTruncated
        | Outcome::RunTimedOut
        | Outcome::NotRunUnreachable => false,
        _ => return,
    };
    cx.record_result(attempt.agent(), success);
}

/// Returns the policy's next step after an event, and logs the decision.
fn step(
    cx: &EntryContext,
    req: &CallerRequest,
    policy: &mut RetryPolicy,
    event: AttemptEvent,
) -> NextStep {
    let next = policy.on_event(event, cx.clock.now(), || cx.budget.try_withdraw());
    decision!(
        "retry",
        request = req.id,
        customer = req.caller.name,
        kind = req.kind,
        attempt = policy.attempt(),
        event = format_args!("{event:?}"),
        next = next
    );
    if let NextStep::Answer { code: ResultCode::OutcomeUnknown, .. } = next {
        spdlog::warn!("request {} of customer {}: outcome unknown", req.id, req.caller.name);
    }
    next
}
