//! Steps that an admission service must approve for each minion.
//!
//! Its answers hold for all tasks of a step and for a while, so that one question serves them all;
//! questions take time for each minion they name, and the service answers one at a time.

use std::collections::{BTreeMap, HashMap};

use geraniumpost_schema::Name;

use super::{Coordinator, Effect};
use crate::{JobId, Now, StepSpec, TaskId};

/// Minions that one question names: a step seldom needs more, and each one costs time.
const MOST_NAMED: usize = 30;
/// Time after which a question without an answer is asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 2_000;
/// Part of a ticket's time that is left for the way of the start, in milliseconds.
const WAY_MS: u64 = 250;

/// A step of one occurrence.
type StepKey = (JobId, u32, u16);

/// What is known of a step's approvals.
#[derive(Debug, Default)]
struct Approval {
    /// When the last question left, on the steady clock, if it is not answered.
    asked_ms: Option<u64>,
    /// Ticket for each approved minion, and until when it holds.
    tickets: BTreeMap<Name, (Name, u64)>,
    /// Minions that were not approved; that does not change.
    refused: Vec<Name>,
    /// Minions that the last question named.
    asked: Vec<Name>,
}

/// Approvals of all steps that need them.
#[derive(Debug, Default)]
pub(super) struct Approvals(HashMap<StepKey, Approval>);

impl Approvals {
    /// Returns the ticket for a task on a minion, if one holds long enough.
    pub(super) fn ticket(&self, task: TaskId, minion: &Name, now: Now) -> Option<&Name> {
        let (ticket, until_ms) = self.0.get(&key(task))?.tickets.get(minion)?;
        (now.steady_ms + WAY_MS < *until_ms).then_some(ticket)
    }

    /// Forgets a ticket that a minion did not accept.
    pub(super) fn forget(&mut self, task: TaskId, minion: &Name) {
        if let Some(approval) = self.0.get_mut(&key(task)) {
            approval.tickets.remove(minion);
        }
    }

    /// Forgets the steps of a job that is over.
    pub(super) fn forget_job(&mut self, job: JobId) {
        self.0.retain(|(of, _, _), _| *of != job);
    }
}

impl Coordinator {
    /// Takes in the answer to an [`Effect::RequestApproval`] that named the minions `asked`: the approved ones
    /// with their tickets, and how long these hold. `None` says that there was no answer.
    ///
    /// A question that waits for long is put again, perhaps with other minions, and the first answer may
    /// come after that. It speaks only for the minions that it was asked about: one taken for refused is
    /// never asked about again, and a step that has no other place would wait for ever.
    pub fn handle_approval(
        &mut self,
        step: TaskId,
        asked: &[Name],
        answer: Option<(Vec<(Name, Name)>, u64)>,
        now: Now,
    ) {
        let Some(approval) = self.approvals.0.get_mut(&key(step)) else { return };
        if approval.asked == *asked {
            approval.asked_ms = None;
        }
        let Some((tickets, valid_ms)) = answer else { return };
        let until_ms = now.steady_ms + valid_ms;
        let refused =
            asked.iter().filter(|minion| !tickets.iter().any(|(good, _)| good == *minion));
        approval.refused.extend(refused.cloned());
        for (minion, ticket) in tickets {
            approval.tickets.insert(minion, (ticket, until_ms));
        }
        let (good, bad) = (approval.tickets.len(), approval.refused.len());
        self.note(format!("decision=approval job={} step={step} good={good} bad={bad}", step.job));
        self.placing_due = true;
    }

    /// Asks for a step's approvals where tasks wait and no ticket lets them begin.
    pub(super) fn ask_approval(&mut self, step: TaskId, spec: &StepSpec, now: Now) {
        let Some(service) = self.jobs.get(&step.job).map(|job| job.record.terms.service.clone())
        else {
            return;
        };
        let approval = self.approvals.0.entry(key(step)).or_default();
        if approval.asked_ms.is_some_and(|asked| now.steady_ms < asked + ASK_AGAIN_MS) {
            return;
        }
        let unknown = |id: &&Name| {
            let held = approval.tickets.get(*id).is_some_and(|(_, until)| now.steady_ms < *until);
            !held && !approval.refused.contains(id)
        };
        let mut named: Vec<(i64, Name)> = self
            .minions
            .iter()
            .filter(|(_, minion)| super::placing::suits(minion, &service, spec, now))
            .filter(|(id, _)| unknown(id))
            .map(|(id, minion)| (-minion.free().milli_cpus, id.clone()))
            .collect();
        named.sort();
        named.truncate(MOST_NAMED);
        if named.is_empty() {
            return;
        }
        approval.asked = named.into_iter().map(|(_, id)| id).collect();
        approval.asked_ms = Some(now.steady_ms);
        let minions = approval.asked.clone();
        self.effects.push(Effect::RequestApproval { step, minions });
    }
}

const fn key(task: TaskId) -> StepKey {
    (task.job, task.occurrence, task.step)
}
