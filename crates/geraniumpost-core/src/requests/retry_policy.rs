use geraniumpost_schema::{AskVerdict, Outcome};

use super::{AttemptEvent, NextStep, RequestKind, RetryLimits};
use crate::{Millis, ResultCode};

/// Delay before each query about one attempt, in milliseconds. A link that was cut is usually
/// restored either within a second or not before the deadline. Without delays, an agent that
/// refuses connections would use up all queries at once.
const ASK_DELAYS_MS: [u64; 3] = [0, 100, 400];

/// Whether a retry increases the load of the minions and must be paid from the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryCost {
    Free,
    Budget,
}

/// State of one request at an entry, which decides the next step after each event.
///
/// A request is reported as "not run" only if no attempt can have run. As soon as any attempt may
/// have run, later refusals are no longer reported as "not run". When the entry gives up, the
/// caller gets the final answer immediately, without waiting for its deadline. See
/// `docs/design/0105-retries.md`.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, ResultCode};
/// use geraniumpost_core::requests::{AttemptEvent, NextStep, RequestKind, RetryLimits, RetryPolicy};
/// let mut policy = RetryPolicy::new(RequestKind::Once, Millis(2_000), RetryLimits::default());
/// let now = Millis(10);
/// assert_eq!(policy.on_event(AttemptEvent::LinkLost, now, || true), NextStep::Ask { after_ms: 0 });
/// let code = ResultCode::OutcomeUnknown;
/// let answer = NextStep::Answer { code, retry_after_ms: 0 };
/// assert_eq!(policy.on_event(AttemptEvent::AgentRestarted, now, || true), answer);
/// ```
#[derive(Debug, Clone)]
pub struct RetryPolicy {
    kind: RequestKind,
    deadline: Millis,
    limits: RetryLimits,
    attempts: u32,
    asks: u32,
    is_running: bool,
    may_have_run: bool,
    run_result: Option<ResultCode>,
    refusal_result: Option<ResultCode>,
    retry_after_ms: u64,
}

impl RetryPolicy {
    /// Returns the state of a request whose first attempt is about to be made.
    pub const fn new(kind: RequestKind, deadline: Millis, limits: RetryLimits) -> Self {
        Self {
            kind,
            deadline,
            limits,
            attempts: 1,
            asks: 0,
            is_running: false,
            may_have_run: false,
            run_result: None,
            refusal_result: None,
            retry_after_ms: 0,
        }
    }

    /// Number of the current attempt, from 1.
    pub const fn attempt(&self) -> u32 {
        self.attempts
    }

    /// Records an event of the current attempt and returns the next step.
    ///
    /// `budget` withdraws one retry from the [`super::RetryBudget`] and returns whether a retry was
    /// available. `budget` is called at most once, and only if a retry would increase the load of
    /// the minions.
    #[must_use]
    pub fn on_event(
        &mut self,
        event: AttemptEvent,
        now: Millis,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        match event {
            AttemptEvent::NoAgent => self.record_refusal_and_give_up(ResultCode::NoAgent),
            AttemptEvent::NeverSent => self.on_never_sent(now, budget),
            AttemptEvent::Outcome { outcome, retry_after_ms } => {
                self.on_outcome(outcome, retry_after_ms, now, budget)
            }
            AttemptEvent::LinkLost | AttemptEvent::LinkUnresponsive => {
                self.on_link_lost(now, budget)
            }
            AttemptEvent::Verdict(verdict) => self.on_verdict(verdict, now, budget),
            AttemptEvent::AskFailed => self.on_ask_failed(now, budget),
            AttemptEvent::AgentRestarted => self.on_outcome_unknown(now, budget),
            AttemptEvent::DeadlinePassed { sent } => self.on_deadline_passed(sent),
        }
    }

    fn on_outcome(
        &mut self,
        outcome: Outcome,
        retry_after_ms: u64,
        now: Millis,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        match outcome {
            Outcome::Answered => NextStep::Deliver,
            Outcome::RunTimedOut => self.give_up_with(ResultCode::TimedOut),
            Outcome::RunAnswerLost => self.give_up_with(ResultCode::FirstAnswerLost),
            Outcome::RunFailed => self.on_failure(ResultCode::MinionFailed, now, budget),
            Outcome::RunTruncated => self.on_failure(ResultCode::AnswerTruncated, now, budget),
            Outcome::Unknown => self.on_outcome_unknown(now, budget),
            refusal => {
                let (code, cost) = classify_refusal(refusal);
                self.may_have_run = false;
                self.record_refusal(code, retry_after_ms);
                self.retry_or_answer(cost, now, budget)
            }
        }
    }

    /// Handles an attempt that this entry did not send. Another entry that read the same key claim
    /// may have sent a request with the key to the agent, so a keyed request is not retried before
    /// the agent has barred the key. Any other request has not been sent at all, and its retry is
    /// free.
    fn on_never_sent(&mut self, now: Millis, budget: impl FnOnce() -> bool) -> NextStep {
        self.record_refusal(ResultCode::NoAgent, 0);
        if self.kind == RequestKind::Keyed {
            return self.ask_or_give_up(now);
        }
        self.retry_or_answer(RetryCost::Free, now, budget)
    }

    /// Returns the next step after the link to the agent was lost. For an idempotent request this
    /// is a new attempt at another agent if attempts, time and budget allow, because that is faster
    /// than a query. Otherwise it is a query, which adds no load to the minions, or the final
    /// failure if the queries or the time are used up.
    fn on_link_lost(&mut self, now: Millis, budget: impl FnOnce() -> bool) -> NextStep {
        self.may_have_run = true;
        let may_resend = self.kind == RequestKind::Idempotent && self.may_retry(now);
        if may_resend && budget() { self.next_attempt() } else { self.ask_or_give_up(now) }
    }

    fn on_verdict(
        &mut self,
        verdict: AskVerdict,
        now: Millis,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        match verdict {
            AskVerdict::NeverStarted => {
                self.may_have_run = false;
                self.record_refusal(ResultCode::NoAgent, 0);
                self.retry_or_answer(RetryCost::Free, now, budget)
            }
            AskVerdict::Running => {
                self.is_running = true;
                self.asks = 0;
                NextStep::Wait
            }
            AskVerdict::Finished => NextStep::Wait,
            AskVerdict::Unknown => self.on_outcome_unknown(now, budget),
        }
    }

    fn on_ask_failed(&mut self, now: Millis, budget: impl FnOnce() -> bool) -> NextStep {
        if self.kind == RequestKind::Idempotent && self.may_have_run {
            return self.on_outcome_unknown(now, budget);
        }
        self.ask_or_give_up(now)
    }

    /// Handles an attempt whose outcome cannot be determined.
    fn on_outcome_unknown(&mut self, now: Millis, budget: impl FnOnce() -> bool) -> NextStep {
        self.on_failure(ResultCode::OutcomeUnknown, now, budget)
    }

    /// Handles an attempt that has failed or may have run. Only an idempotent request is retried.
    fn on_failure(
        &mut self,
        code: ResultCode,
        now: Millis,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        self.run_result = Some(code);
        if self.kind != RequestKind::Idempotent {
            return self.give_up();
        }
        self.retry_or_answer(RetryCost::Budget, now, budget)
    }

    fn on_deadline_passed(&mut self, sent: bool) -> NextStep {
        if self.is_running {
            return self.give_up_with(ResultCode::TimedOut);
        }
        self.may_have_run |= sent;
        self.record_refusal_and_give_up(ResultCode::DeadlineTooShort)
    }

    fn ask_or_give_up(&mut self, now: Millis) -> NextStep {
        if self.asks >= self.limits.asks || now >= self.deadline {
            return self.give_up();
        }
        let delay = ASK_DELAYS_MS.get(self.asks as usize).or(ASK_DELAYS_MS.last());
        self.asks += 1;
        NextStep::Ask { after_ms: delay.copied().unwrap_or(0) }
    }

    fn retry_or_answer(
        &mut self,
        cost: RetryCost,
        now: Millis,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        if self.may_retry(now) && (cost == RetryCost::Free || budget()) {
            return self.next_attempt();
        }
        self.give_up()
    }

    fn may_retry(&self, now: Millis) -> bool {
        self.attempts < self.limits.attempts && now < self.deadline
    }

    /// Starts the next attempt. If the current attempt may have run, the result of the request can
    /// no longer be "not run".
    const fn next_attempt(&mut self) -> NextStep {
        if self.may_have_run {
            self.run_result = Some(ResultCode::OutcomeUnknown);
        }
        self.may_have_run = false;
        self.is_running = false;
        self.attempts += 1;
        self.asks = 0;
        NextStep::Retry
    }

    /// Records the result and the shortest retry delay to report if no attempt can have run. An
    /// overload remains the reported result if later agents cannot be reached, because it is more
    /// informative to the caller.
    fn record_refusal(&mut self, code: ResultCode, retry_after_ms: u64) {
        if self.refusal_result != Some(ResultCode::Overloaded) {
            self.refusal_result = Some(code);
        }
        let is_shorter = self.retry_after_ms == 0 || retry_after_ms < self.retry_after_ms;
        if retry_after_ms > 0 && is_shorter {
            self.retry_after_ms = retry_after_ms;
        }
    }

    fn record_refusal_and_give_up(&mut self, code: ResultCode) -> NextStep {
        if self.refusal_result.is_none() {
            self.record_refusal(code, 0);
        }
        self.give_up()
    }

    fn give_up_with(&mut self, code: ResultCode) -> NextStep {
        self.run_result = Some(code);
        self.give_up()
    }

    /// Returns the final answer, which is "not run" only if no attempt can have run.
    fn give_up(&self) -> NextStep {
        let unknown = self.may_have_run.then_some(ResultCode::OutcomeUnknown);
        let possible_run = self.run_result.or(unknown);
        let code = possible_run.or(self.refusal_result).unwrap_or(ResultCode::NoAgent);
        let advise_retry = possible_run.is_none() || self.kind == RequestKind::Idempotent;
        NextStep::Answer {
            code,
            retry_after_ms: if advise_retry { self.retry_advice_ms() } else { 0 },
        }
    }

    const fn retry_advice_ms(&self) -> u64 {
        if self.retry_after_ms == 0 { self.limits.no_agent_retry_ms } else { self.retry_after_ms }
    }
}

/// Returns the result and the retry cost of a refusal. Retries after refusals for lack of capacity
/// are paid from the budget, since trying all agents would multiply an overload. Other retries are
/// free, so that no request fails because an agent is draining.
const fn classify_refusal(outcome: Outcome) -> (ResultCode, RetryCost) {
    match outcome {
        Outcome::NotRunOverloaded => (ResultCode::Overloaded, RetryCost::Budget),
        Outcome::NotRunDeadline => (ResultCode::DeadlineTooShort, RetryCost::Budget),
        _ => (ResultCode::NoAgent, RetryCost::Free),
    }
}
