//! Approval of steps by an admission service, for each minion.
//!
//! One request covers all tasks of a step, and an approval is valid for a limited time. The service
//! handles one request at a time, and a request takes longer with each minion that it lists.
//! Therefore one request is in flight at a time, and the step and the minions of the next one are
//! chosen only when it is sent. A queue of requests would contain outdated ones, and the service
//! would have no time for the others. See docs/design/0706-approvals.md.

use std::collections::{BTreeMap, HashMap, HashSet};

use geraniumpost_schema::Name;

use super::step_key::{StepKey, step_key};
use super::{Coordinator, Effect};
use crate::{JobId, Now, TaskId};

/// Maximum number of minions in a request: a step seldom needs more, and each minion lengthens the
/// request.
const MAX_MINIONS_PER_REQUEST: usize = 30;
/// Time after which a request without a response is given up, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Pause after a request that failed, in milliseconds, so that a service which rejects all requests
/// is not flooded.
const FAILURE_PAUSE_MS: u64 = 300;
/// Minimum remaining validity with which a ticket is used, in milliseconds; the start order takes
/// time to arrive.
const MIN_TICKET_VALIDITY_MS: u64 = 250;

/// Tickets and refusals of one step.
#[derive(Debug, Default)]
struct StepApprovals {
    /// Turn in which the step began to wait, if it has since its last request.
    waiting_since: Option<u64>,
    /// Ticket and its expiry, on the monotonic clock, by approved minion.
    tickets: BTreeMap<Name, (Name, u64)>,
    /// Minions that the service did not approve; a refusal is final.
    refused: Vec<Name>,
}

/// The request that the service is handling.
#[derive(Debug)]
struct RequestInFlight {
    step: TaskId,
    minions: Vec<Name>,
    sent_ms: u64,
}

/// Approvals of all steps that need them, and the steps that wait for one.
#[derive(Debug, Default)]
pub(super) struct Approvals {
    steps: HashMap<StepKey, StepApprovals>,
    /// Steps that lacked an approval in the current or last placement round, in the order of
    /// placement, with their queues.
    waiting: Vec<(TaskId, Name)>,
    in_flight: Option<RequestInFlight>,
    /// Time before which no request is sent, on the monotonic clock.
    not_before_ms: u64,
    /// Number of the last turn. Each request and each step that begins to wait takes one.
    last_turn: u64,
    /// Turn of the last request for each queue with waiting steps.
    queue_turns: HashMap<Name, u64>,
    /// Turn of the last request for each open job.
    job_turns: HashMap<JobId, u64>,
}

impl Approvals {
    /// Returns the ticket for a task on a minion, if the ticket is valid for long enough.
    pub(super) fn ticket(&self, task: TaskId, minion: &Name, now: Now) -> Option<&Name> {
        let (ticket, expiry_ms) = self.steps.get(&step_key(task))?.tickets.get(minion)?;
        (now.steady_ms + MIN_TICKET_VALIDITY_MS < *expiry_ms).then_some(ticket)
    }

    /// Removes a ticket that a minion did not accept.
    pub(super) fn remove_ticket(&mut self, task: TaskId, minion: &Name) {
        if let Some(approval) = self.steps.get_mut(&step_key(task)) {
            approval.tickets.remove(minion);
        }
    }

    /// Removes the approvals of a finished job.
    pub(super) fn remove_job(&mut self, job: JobId) {
        self.steps.retain(|(owner, _, _), _| *owner != job);
        self.waiting.retain(|(step, _)| step.job != job);
        self.job_turns.remove(&job);
    }

    /// Forgets which steps wait, at the beginning of a placement round.
    pub(super) fn begin_round(&mut self) {
        self.waiting.clear();
    }

    /// Records that a step of a job in `queue` lacks an approval, unless its request is in flight.
    fn wait(&mut self, step: TaskId, queue: &Name, now: Now) {
        if self.request_in_flight(now).is_some_and(|request| request.step == step) {
            return;
        }
        let approval = self.steps.entry(step_key(step)).or_default();
        if approval.waiting_since.is_none() {
            self.last_turn += 1;
            approval.waiting_since = Some(self.last_turn);
        }
        self.waiting.push((step, queue.clone()));
    }

    /// Returns the request in flight, unless it has been given up.
    fn request_in_flight(&self, now: Now) -> Option<&RequestInFlight> {
        let is_pending =
            |request: &&RequestInFlight| now.steady_ms < request.sent_ms + REQUEST_TIMEOUT_MS;
        self.in_flight.as_ref().filter(is_pending)
    }

    fn may_request(&self, now: Now) -> bool {
        self.request_in_flight(now).is_none() && now.steady_ms >= self.not_before_ms
    }

    /// Returns the waiting steps in the order in which requests are due.
    ///
    /// Queues take turns, and so do the jobs of a queue in the order in which their steps began to
    /// wait: neither a queue with many jobs nor a job with many steps delays the others by more
    /// than a request each time.
    fn steps_in_turn(&self) -> Vec<TaskId> {
        let mut steps: Vec<_> = self
            .waiting
            .iter()
            .enumerate()
            .map(|(position, (step, queue))| {
                let queue_turn = self.queue_turns.get(queue).copied().unwrap_or(0);
                let job_turn = self.job_turns.get(&step.job).copied().unwrap_or(0);
                let approval = self.steps.get(&step_key(*step));
                let since = approval.and_then(|approval| approval.waiting_since).unwrap_or(0);
                ((queue_turn, since.max(job_turn), position), *step)
            })
            .collect();
        steps.sort_unstable();
        steps.into_iter().map(|(_, step)| step).collect()
    }

    fn begin_request(&mut self, step: TaskId, minions: Vec<Name>, now: Now) {
        // A queue without waiting steps is forgotten, and is next when one of its steps waits.
        let queues: HashSet<&Name> = self.waiting.iter().map(|(_, queue)| queue).collect();
        self.queue_turns.retain(|queue, _| queues.contains(queue));
        self.last_turn += 1;
        let queue = self.waiting.iter().find(|(waiting, _)| *waiting == step).map(|(_, q)| q);
        if let Some(queue) = queue {
            self.queue_turns.insert(queue.clone(), self.last_turn);
        }
        self.job_turns.insert(step.job, self.last_turn);
        if let Some(approval) = self.steps.get_mut(&step_key(step)) {
            approval.waiting_since = None;
        }
        self.in_flight = Some(RequestInFlight { step, minions, sent_ms: now.steady_ms });
    }

    /// Ends the request in flight if it is this one, and returns how long it took in milliseconds.
    fn end_request(&mut self, step: TaskId, minions: &[Name], now: Now) -> Option<u64> {
        let request = self
            .in_flight
            .take_if(|request| request.step == step && request.minions == *minions)?;
        Some(now.steady_ms.saturating_sub(request.sent_ms))
    }
}

impl Coordinator {
    /// Handles the response to an [`Effect::RequestApproval`] that listed the minions `requested`:
    /// the approved minions with their tickets, and the tickets' validity in milliseconds. `None`
    /// means that the request got no response or was not sent.
    ///
    /// A request that was given up may get its response after the next request was sent, perhaps
    /// with other minions. A response therefore applies only to the minions that its own request
    /// listed: a minion that is wrongly considered refused is never requested again, and a step
    /// without any other minion would wait forever.
    pub fn handle_approval(
        &mut self,
        step: TaskId,
        requested: &[Name],
        response: Option<(Vec<(Name, Name)>, u64)>,
        now: Now,
    ) {
        let took_ms = self.approvals.end_request(step, requested, now);
        // The next request is sent after the next placement round.
        self.placement_due = true;
        let Some((tickets, valid_ms)) = response else {
            self.approvals.not_before_ms = now.steady_ms + FAILURE_PAUSE_MS;
            return;
        };
        let Some(approval) = self.approvals.steps.get_mut(&step_key(step)) else {
            self.log(format!("event=approval_unused job={} step={step}", step.job));
            return;
        };
        let expiry_ms = now.steady_ms + valid_ms;
        let refused = requested
            .iter()
            .filter(|minion| !tickets.iter().any(|(approved, _)| approved == *minion));
        approval.refused.extend(refused.cloned());
        for (minion, ticket) in tickets {
            approval.tickets.insert(minion, (ticket, expiry_ms));
        }
        let (approved, refused) = (approval.tickets.len(), approval.refused.len());
        let took_ms = took_ms.map_or_else(|| "late".to_owned(), |ms| ms.to_string());
        let waiting = self.approvals.waiting.len();
        self.log(format!(
            "decision=approval job={} step={step} approved={approved} refused={refused} \
             took_ms={took_ms} waiting={waiting}",
            step.job
        ));
    }

    /// Records that tasks of a step were not placed, if they need an approval.
    pub(super) fn await_approval(&mut self, step: TaskId, now: Now) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        if job.record.terms.needs_approval {
            self.approvals.wait(step, &job.record.terms.queue, now);
        }
    }

    /// Requests the approval of the waiting step whose turn it is, if no request is in flight.
    pub(super) fn request_next_approval(&mut self, now: Now) {
        if self.approvals.waiting.is_empty() || !self.approvals.may_request(now) {
            return;
        }
        for step in self.approvals.steps_in_turn() {
            let minions = self.minions_to_approve(step, now);
            if !minions.is_empty() {
                self.approvals.begin_request(step, minions.clone(), now);
                self.effects.push(Effect::RequestApproval { step, minions });
                return;
            }
        }
    }

    /// Returns minions that can take a task of a step and have neither a valid ticket nor a refusal,
    /// those with most free processors first.
    fn minions_to_approve(&self, step: TaskId, now: Now) -> Vec<Name> {
        let Some(job) = self.jobs.get(&step.job) else { return Vec::new() };
        let Some(spec) = self.step_spec(step) else { return Vec::new() };
        let Some(approval) = self.approvals.steps.get(&step_key(step)) else { return Vec::new() };
        let service = &job.record.terms.service;
        let is_undecided = |id: &&Name| {
            let has_ticket =
                approval.tickets.get(*id).is_some_and(|(_, expiry_ms)| now.steady_ms < *expiry_ms);
            !has_ticket && !approval.refused.contains(id)
        };
        let mut minions: Vec<(i64, &Name)> = self
            .minions
            .iter()
            .filter(|(_, minion)| {
                super::eligibility::is_eligible_for_step(minion, service, spec, now)
            })
            .filter(|(id, _)| is_undecided(id))
            .map(|(id, minion)| (-minion.unreserved().milli_cpus, id))
            .collect();
        minions.sort_unstable();
        minions.into_iter().take(MAX_MINIONS_PER_REQUEST).map(|(_, id)| id.clone()).collect()
    }
}
