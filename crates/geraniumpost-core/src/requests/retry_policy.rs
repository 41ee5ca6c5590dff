use geraniumpost_schema::{AskVerdict, Outcome};

use super::{AttemptEvent, NextStep, RequestKind, RetryLimits};
use crate::{Millis, ResultCode};

/// Pause before each question about one attempt. A link that was cut comes back within a second or
/// not before most deadlines, and an agent that refuses connections would eat all questions at once.
const ASK_PAUSES_MS: [u64; 3] = [0, 100, 400];

/// Whether a retry makes minions work more, so that it must be paid from the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Price {
    Free,
    Budget,
}

/// One request on its way through an entry: what is known of it and what to do next.
///
/// The promise that is easily broken is "not run". It speaks of the request and not of the last
/// attempt, so as soon as any attempt may have run, no later refusal is passed on as "not run".
/// A request that is given up gets its final answer at once and never waits for its deadline.
/// See `docs/design/0105-retries.md`.
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
    running: bool,
    in_doubt: bool,
    ran: Option<ResultCode>,
    refused: Option<ResultCode>,
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
            running: false,
            in_doubt: false,
            ran: None,
            refused: None,
            retry_after_ms: 0,
        }
    }

    /// Number of the present attempt, from 1.
    pub const fn attempt(&self) -> u32 {
        self.attempts
    }

    /// Takes in what happened to the present attempt and says what to do next.
    ///
    /// `budget` is asked at most once, and only when a retry would make minions work more; it takes
    /// from the [`super::RetryBudget`].
    #[must_use]
    pub fn on_event(
        &mut self,
        event: AttemptEvent,
        now: Millis,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        match event {
            AttemptEvent::NoAgent => self.refuse(ResultCode::NoAgent),
            AttemptEvent::NeverSent => self.never_sent(now, budget),
            AttemptEvent::Outcome { outcome, retry_after_ms } => {
                self.outcome(outcome, retry_after_ms, now, budget)
            }
            AttemptEvent::LinkLost | AttemptEvent::LinkUnresponsive => self.lost(now, budget),
            AttemptEvent::Verdict(verdict) => self.verdict(verdict, now, budget),
            AttemptEvent::AskFailed => self.ask_failed(now, budget),
            AttemptEvent::AgentRestarted => self.doubtful(now, budget),
            AttemptEvent::DeadlinePassed { sent } => self.deadline_passed(sent),
        }
    }

    fn outcome(
        &mut self,
        outcome: Outcome,
        retry_after_ms: u64,
        now: Millis,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        match outcome {
            Outcome::Answered => NextStep::Deliver,
            Outcome::RunTimedOut => self.fail(ResultCode::TimedOut),
            Outcome::RunAnswerLost => self.fail(ResultCode::FirstAnswerLost),
            Outcome::RunFailed => self.failed(ResultCode::MinionFailed, now, budget),
            Outcome::RunTruncated => self.failed(ResultCode::AnswerTruncated, now, budget),
            Outcome::Unknown => self.doubtful(now, budget),
            refusal => {
                let (code, price) = refused_as(refusal);
                self.in_doubt = false;
                self.note_refusal(code, retry_after_ms);
                self.retry_or_answer(price, now, budget)
            }
        }
    }

    /// A keyed request may have been sent to the same agent by another entry that read the claim,
    /// so only the agent can bar the key; for the others nothing happened at all.
    fn never_sent(&mut self, now: Millis, budget: impl FnOnce() -> bool) -> NextStep {
        self.note_refusal(ResultCode::NoAgent, 0);
        if self.kind == RequestKind::Keyed {
            return self.ask_or_give_up(now);
        }
        self.retry_or_answer(Price::Free, now, budget)
    }

    /// An idempotent request is sent elsewhere at once, because that is faster than asking; when
    /// the budget is spent it asks instead, which costs no minion any work.
    fn lost(&mut self, now: Millis, budget: impl FnOnce() -> bool) -> NextStep {
        self.in_doubt = true;
        let resend = self.kind == RequestKind::Idempotent && self.may_retry(now);
        if resend && budget() { self.next_attempt() } else { self.ask_or_give_up(now) }
    }

    fn verdict(
        &mut self,
        verdict: AskVerdict,
        now: Millis,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        match verdict {
            AskVerdict::NeverStarted => {
                self.in_doubt = false;
                self.note_refusal(ResultCode::NoAgent, 0);
                self.retry_or_answer(Price::Free, now, budget)
            }
            AskVerdict::Running => {
                self.running = true;
                self.asks = 0;
                NextStep::Wait
            }
            AskVerdict::Finished => NextStep::Wait,
            AskVerdict::Unknown => self.doubtful(now, budget),
        }
    }

    fn ask_failed(&mut self, now: Millis, budget: impl FnOnce() -> bool) -> NextStep {
        if self.kind == RequestKind::Idempotent && self.in_doubt {
            return self.doubtful(now, budget);
        }
        self.ask_or_give_up(now)
    }

    /// Nobody can say whether the attempt ran.
    fn doubtful(&mut self, now: Millis, budget: impl FnOnce() -> bool) -> NextStep {
        self.failed(ResultCode::OutcomeUnknown, now, budget)
    }

    /// The attempt ran badly, or may have.
    fn failed(&mut self, code: ResultCode, now: Millis, budget: impl FnOnce() -> bool) -> NextStep {
        self.ran = Some(code);
        if self.kind != RequestKind::Idempotent {
            return self.give_up();
        }
        self.retry_or_answer(Price::Budget, now, budget)
    }

    fn deadline_passed(&mut self, sent: bool) -> NextStep {
        if self.running {
            return self.fail(ResultCode::TimedOut);
        }
        self.in_doubt |= sent;
        self.refuse(ResultCode::DeadlineTooShort)
    }

    fn ask_or_give_up(&mut self, now: Millis) -> NextStep {
        if self.asks >= self.limits.asks || now >= self.deadline {
            return self.give_up();
        }
        let pause = ASK_PAUSES_MS.get(self.asks as usize).or(ASK_PAUSES_MS.last());
        self.asks += 1;
        NextStep::Ask { after_ms: pause.copied().unwrap_or(0) }
    }

    fn retry_or_answer(
        &mut self,
        price: Price,
        now: Millis,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        if self.may_retry(now) && (price == Price::Free || budget()) {
            return self.next_attempt();
        }
        self.give_up()
    }

    fn may_retry(&self, now: Millis) -> bool {
        self.attempts < self.limits.attempts && now < self.deadline
    }

    /// What is in doubt about this attempt stays so for the request.
    const fn next_attempt(&mut self) -> NextStep {
        if self.in_doubt {
            self.ran = Some(ResultCode::OutcomeUnknown);
        }
        self.in_doubt = false;
        self.running = false;
        self.attempts += 1;
        self.asks = 0;
        NextStep::Retry
    }

    /// An overload stays the reason when later agents were not reached: it tells the caller more.
    fn note_refusal(&mut self, code: ResultCode, retry_after_ms: u64) {
        if self.refused != Some(ResultCode::Overloaded) {
            self.refused = Some(code);
        }
        let sooner = self.retry_after_ms == 0 || retry_after_ms < self.retry_after_ms;
        if retry_after_ms > 0 && sooner {
            self.retry_after_ms = retry_after_ms;
        }
    }

    fn refuse(&mut self, code: ResultCode) -> NextStep {
        if self.refused.is_none() {
            self.note_refusal(code, 0);
        }
        self.give_up()
    }

    fn fail(&mut self, code: ResultCode) -> NextStep {
        self.ran = Some(code);
        self.give_up()
    }

    /// Says "not run" only if every attempt certainly did not.
    fn give_up(&self) -> NextStep {
        let doubt = self.in_doubt.then_some(ResultCode::OutcomeUnknown);
        let harm = self.ran.or(doubt);
        let code = harm.or(self.refused).unwrap_or(ResultCode::NoAgent);
        let come_back = harm.is_none() || self.kind == RequestKind::Idempotent;
        NextStep::Answer { code, retry_after_ms: if come_back { self.pause_ms() } else { 0 } }
    }

    const fn pause_ms(&self) -> u64 {
        if self.retry_after_ms == 0 { self.limits.no_agent_retry_ms } else { self.retry_after_ms }
    }
}

/// Refusals for want of room are paid for, since trying everywhere would multiply an overload; the
/// others are free, so that no request is lost to an agent that merely leaves.
const fn refused_as(outcome: Outcome) -> (ResultCode, Price) {
    match outcome {
        Outcome::NotRunOverloaded => (ResultCode::Overloaded, Price::Budget),
        Outcome::NotRunDeadline => (ResultCode::DeadlineTooShort, Price::Budget),
        _ => (ResultCode::NoAgent, Price::Free),
    }
}
