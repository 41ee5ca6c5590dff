//! Which bound keeps a minion from taking a task.
//!
//! Placement and the lines that tell why a task waits both ask here, so that they cannot differ.
//! Each waiting task asks every minion, so that the checks are inlined across modules.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::bar::Bar;
use super::minion::Minion;
use super::placing::{leaves_room_for_short, room_for, spread_allows};
use super::run::occupied;
use crate::{Now, QueueTerms, StepSpec, TaskId};

/// What a task asks of a minion.
#[derive(Debug, Clone, Copy)]
pub(super) struct TaskNeeds<'a> {
    task: TaskId,
    spec: &'a StepSpec,
    terms: &'a QueueTerms,
    /// Whether it ran before, in which case it takes its room back.
    ran: bool,
}

impl Coordinator {
    /// Returns what a task asks of a minion.
    pub(super) fn needs<'a>(&'a self, task: TaskId, spec: &'a StepSpec) -> Option<TaskNeeds<'a>> {
        let terms = &self.jobs.get(&task.job)?.record.terms;
        let ran = self.task_record(task).is_some_and(|record| record.run > 0);
        Some(TaskNeeds { task, spec, terms, ran })
    }

    /// Returns why a minion does not take a task, or `None` if it does.
    #[inline]
    pub(super) fn barred(&self, needs: &TaskNeeds<'_>, minion: &Minion, now: Now) -> Option<Bar> {
        let TaskNeeds { task, spec, terms, ran } = *needs;
        let bar = unsuitable(minion, &terms.service, spec, now);
        if bar.is_some() {
            return bar;
        }
        if !spread_allows(task, spec, minion) {
            return Some(Bar::Spread);
        }
        if terms.needs_approval && self.approvals.ticket(task, &minion.info.id, now).is_none() {
            return Some(Bar::NoApproval);
        }
        let kept = !ran && !leaves_room_for_short(minion, spec);
        kept.then_some(Bar::RoomKeptForShort)
    }
}

/// Returns why a minion does not take any task of a step, or `None` if it does.
///
/// What never changes comes first, so that a minion of another service counts as that one, whatever
/// else keeps it out.
#[inline]
pub(super) fn unsuitable(
    minion: &Minion,
    service: &Name,
    spec: &StepSpec,
    now: Now,
) -> Option<Bar> {
    if !minion.known {
        return Some(if minion.linked { Bar::NotHeardOf } else { Bar::NotLinked });
    }
    if minion.info.service != *service {
        return Some(Bar::OtherService);
    }
    if !spec.required_label.is_empty() && !minion.has_label(&spec.required_label) {
        return Some(Bar::Label);
    }
    closed(minion, now).or_else(|| full(minion, spec))
}

/// Returns why no new run at all may be placed on a minion.
#[inline]
fn closed(minion: &Minion, now: Now) -> Option<Bar> {
    if !minion.linked {
        return Some(Bar::NotLinked);
    }
    if !minion.looked {
        return Some(Bar::NotLookedAt);
    }
    if !minion.answers {
        return Some(Bar::NoAnswer);
    }
    if now.steady_ms < minion.shunned_ms {
        return Some(Bar::Shunned);
    }
    minion.info.draining.then_some(Bar::Draining)
}

/// Returns why a minion cannot hold a task of a step beside what it has.
#[inline]
fn full(minion: &Minion, spec: &StepSpec) -> Option<Bar> {
    if spec.best_effort && minion.over_for_ms > 0 {
        return Some(Bar::OverBound);
    }
    let fits = occupied(spec).fits(room_for(minion, spec));
    (!fits).then_some(Bar::NoRoom)
}
