//! Approval of steps by an admission service, for each minion.
//!
//! One request covers all tasks of a step, and an approval is valid for a limited time. A request
//! takes longer with each minion that it lists, and the service handles one request at a time.

use std::collections::{BTreeMap, HashMap};

use geraniumpost_schema::Name;

use super::{Coordinator, Effect};
use crate::{JobId, Now, StepSpec, TaskId};

/// Maximum number of minions in a request: a step seldom needs more, and each minion lengthens the
/// request.
const MAX_MINIONS_PER_REQUEST: usize = 30;
/// Time after which a request without a response is repeated, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Minimum remaining validity with which a ticket is used, in milliseconds; the start order takes
/// time to arrive.
const MIN_TICKET_VALIDITY_MS: u64 = 250;

/// Identifies a step of one occurrence: job, number of the occurrence, number of the step.
type StepKey = (JobId, u32, u16);

/// Tickets and refusals of one step.
#[derive(Debug, Default)]
struct StepApprovals {
    /// Time at which the last request was sent, on the monotonic clock, if that request has no
    /// response yet.
    requested_ms: Option<u64>,
    /// Ticket and its expiry, on the monotonic clock, by approved minion.
    tickets: BTreeMap<Name, (Name, u64)>,
    /// Minions that the service did not approve; a refusal is final.
    refused: Vec<Name>,
    /// Minions that the last request listed.
    requested: Vec<Name>,
}

/// Approvals of all steps that need them.
#[derive(Debug, Default)]
pub(super) struct Approvals(HashMap<StepKey, StepApprovals>);

impl Approvals {
    /// Returns the ticket for a task on a minion, if the ticket is valid for long enough.
    pub(super) fn ticket(&self, task: TaskId, minion: &Name, now: Now) -> Option<&Name> {
        let (ticket, expiry_ms) = self.0.get(&step_key(task))?.tickets.get(minion)?;
        (now.steady_ms + MIN_TICKET_VALIDITY_MS < *expiry_ms).then_some(ticket)
    }

    /// Removes a ticket that a minion did not accept.
    pub(super) fn remove_ticket(&mut self, task: TaskId, minion: &Name) {
        if let Some(approval) = self.0.get_mut(&step_key(task)) {
            approval.tickets.remove(minion);
        }
    }

    /// Removes the approvals of a finished job.
    pub(super) fn remove_job(&mut self, job: JobId) {
        self.0.retain(|(owner, _, _), _| *owner != job);
    }
}

impl Coordinator {
    /// Handles the response to an [`Effect::RequestApproval`] that listed the minions `requested`:
    /// the approved minions with their tickets, and the tickets' validity in milliseconds. `None`
    /// means that the request got no response.
    ///
    /// A request without a response is repeated, perhaps with other minions, and the response to
    /// the first request may arrive after the repetition. A response therefore applies only to the
    /// minions that its own request listed: a minion that is wrongly considered refused is never
    /// requested again, and a step without any other minion would wait forever.
    pub fn handle_approval(
        &mut self,
        step: TaskId,
        requested: &[Name],
        response: Option<(Vec<(Name, Name)>, u64)>,
        now: Now,
    ) {
        let Some(approval) = self.approvals.0.get_mut(&step_key(step)) else {
            self.log(format!("event=approval_unused job={} step={step}", step.job));
            return;
        };
        let waited_ms = approval.requested_ms.map_or(0, |at_ms| now.steady_ms - at_ms);
        if approval.requested == *requested {
            approval.requested_ms = None;
        }
        let Some((tickets, valid_ms)) = response else { return };
        let expiry_ms = now.steady_ms + valid_ms;
        let refused = requested
            .iter()
            .filter(|minion| !tickets.iter().any(|(approved, _)| approved == *minion));
        approval.refused.extend(refused.cloned());
        for (minion, ticket) in tickets {
            approval.tickets.insert(minion, (ticket, expiry_ms));
        }
        let (approved, refused) = (approval.tickets.len(), approval.refused.len());
        self.log(format!(
            "decision=approval job={} step={step} approved={approved} refused={refused} \
             waited_ms={waited_ms}",
            step.job
        ));
        self.placement_due = true;
    }

    /// Requests approval of a step on eligible minions that have neither a valid ticket nor a
    /// refusal.
    pub(super) fn request_approval(&mut self, step: TaskId, spec: &StepSpec, now: Now) {
        let Some(service) = self.jobs.get(&step.job).map(|job| job.record.terms.service.clone())
        else {
            return;
        };
        let approval = self.approvals.0.entry(step_key(step)).or_default();
        if approval.requested_ms.is_some_and(|at_ms| now.steady_ms < at_ms + REQUEST_TIMEOUT_MS) {
            return;
        }
        let is_undecided = |id: &&Name| {
            let has_ticket =
                approval.tickets.get(*id).is_some_and(|(_, expiry_ms)| now.steady_ms < *expiry_ms);
            !has_ticket && !approval.refused.contains(id)
        };
        let mut candidates: Vec<(i64, Name)> = self
            .minions
            .iter()
            .filter(|(_, minion)| {
                super::eligibility::is_eligible_for_step(minion, &service, spec, now)
            })
            .filter(|(id, _)| is_undecided(id))
            .map(|(id, minion)| (-minion.unreserved().milli_cpus, id.clone()))
            .collect();
        candidates.sort();
        candidates.truncate(MAX_MINIONS_PER_REQUEST);
        if candidates.is_empty() {
            return;
        }
        approval.requested = candidates.into_iter().map(|(_, id)| id).collect();
        approval.requested_ms = Some(now.steady_ms);
        let minions = approval.requested.clone();
        self.effects.push(Effect::RequestApproval { step, minions });
    }
}

const fn step_key(task: TaskId) -> StepKey {
    (task.job, task.occurrence, task.step)
}
