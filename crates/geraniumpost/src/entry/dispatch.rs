use std::time::Duration;

use geraniumpost_core::ResultCode;
use geraniumpost_core::requests::{AttemptEvent, NextStep, RetryLimits, RetryPolicy};
use geraniumpost_schema::{AnswerHead, Outcome};
use tokio::time::sleep;

use super::attempt::{AskError, Attempt};
use super::route::{NoTarget, Route, Target};
use super::{EntryContext, Incoming, LinkEvent, Reply};
use crate::decision;

/// When to come back after a refusal for want of the store.
const STORE_RETRY_MS: u64 = 1_000;

/// Carries a request to its last word.
pub async fn dispatch(cx: &EntryContext, req: &Incoming) -> Reply {
    cx.budget.deposit();
    let mut policy = RetryPolicy::new(req.kind, req.deadline, RetryLimits::default());
    let mut route = Route::default();
    loop {
        let step = match route.next(cx, req, policy.attempt()).await {
            Ok(target) => attempt(cx, req, &mut policy, target).await,
            Err(NoTarget::Refused(code)) => return Reply::without_answer(code, STORE_RETRY_MS),
            Err(NoTarget::NoAgent) => {
                Ended::Step(step(cx, req, &mut policy, AttemptEvent::NoAgent))
            }
            Err(NoTarget::HolderGone) => {
                Ended::Step(step(cx, req, &mut policy, AttemptEvent::AgentRestarted))
            }
        };
        match step {
            Ended::Reply(reply) => return reply,
            Ended::Step(NextStep::Answer { code, retry_after_ms }) => {
                return Reply::without_answer(code, retry_after_ms);
            }
            Ended::Step(_) => cx.metrics.retry("next_agent"),
        }
    }
}

/// How an attempt ended.
enum Ended {
    /// With the minion's answer.
    Reply(Reply),
    /// With a step that concerns the whole request.
    Step(NextStep),
}

/// Makes one attempt and follows the policy until it leads elsewhere.
async fn attempt(
    cx: &EntryContext,
    req: &Incoming,
    policy: &mut RetryPolicy,
    target: Target,
) -> Ended {
    let mut attempt = Attempt::send(cx, req, &target, policy.attempt());
    let mut event = if attempt.is_sent() {
        wait(cx, req, &mut attempt).await
    } else if target.repeat {
        // What this request repeats may have run there, so this is no certain "not run".
        Heard::Event(AttemptEvent::LinkLost)
    } else {
        Heard::Event(AttemptEvent::NeverSent)
    };
    loop {
        let next = match event {
            Heard::Reply(reply) => return Ended::Reply(reply),
            Heard::Event(happened) => step(cx, req, policy, happened),
        };
        event = match next {
            NextStep::Wait => wait(cx, req, &mut attempt).await,
            NextStep::Ask { after_ms } => {
                sleep(Duration::from_millis(after_ms)).await;
                ask(cx, req, &mut attempt, target.incarnation).await
            }
            NextStep::Deliver | NextStep::Retry | NextStep::Answer { .. } => {
                return Ended::Step(next);
            }
        };
    }
}

/// What an attempt heard.
enum Heard {
    Reply(Reply),
    Event(AttemptEvent),
}

async fn wait(cx: &EntryContext, req: &Incoming, attempt: &mut Attempt) -> Heard {
    match attempt.next(cx, req).await {
        Some(event) => heard(cx, attempt, event),
        None => Heard::Event(AttemptEvent::DeadlinePassed { sent: attempt.is_sent() }),
    }
}

async fn ask(cx: &EntryContext, req: &Incoming, attempt: &mut Attempt, incarnation: u64) -> Heard {
    match attempt.ask(cx, req, incarnation).await {
        Ok(event) => heard(cx, attempt, event),
        Err(AskError::Restarted) => Heard::Event(AttemptEvent::AgentRestarted),
        Err(AskError::NoLink | AskError::NoAnswer) => Heard::Event(AttemptEvent::AskFailed),
    }
}

fn heard(cx: &EntryContext, attempt: &Attempt, event: LinkEvent) -> Heard {
    match event {
        LinkEvent::Answer(head, body) => {
            note(cx, attempt, &head);
            if head.outcome == Outcome::Answered {
                return Heard::Reply(Reply::answered(&head, body));
            }
            let (outcome, retry_after_ms) = (head.outcome, head.retry_after_ms);
            Heard::Event(AttemptEvent::Outcome { outcome, retry_after_ms })
        }
        LinkEvent::Verdict(verdict) => Heard::Event(AttemptEvent::Verdict(verdict)),
        LinkEvent::Lost => Heard::Event(AttemptEvent::LinkLost),
        LinkEvent::Silent => Heard::Event(AttemptEvent::LinkUnresponsive),
    }
}

/// Counts how the agent's minion did; refusals for want of room are no fault of it.
fn note(cx: &EntryContext, attempt: &Attempt, head: &AnswerHead) {
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

/// Takes one step of the policy and logs it, unless it is the ordinary one.
fn step(
    cx: &EntryContext,
    req: &Incoming,
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
        spdlog::warn!("request {} of {}: outcome unknown", req.id, req.caller.name);
    }
    next
}
