//! Terminated minions whose termination the stored records do not contain yet.

use geraniumpost_schema::Name;

use super::termination_cause::TerminationCause;
use super::{Coordinator, Effect};
use crate::{JobId, Now, ToAgent};

/// A minion that its agent has reported as terminated.
#[derive(Debug)]
pub(super) struct Departure {
    /// Agent that reported the termination and is notified once the records contain it.
    agent: Name,
    /// Records that were not written yet at the time of the report, with their versions at that
    /// time.
    unwritten_jobs: Vec<(JobId, u64)>,
}

impl Coordinator {
    /// Handles an agent's report that a minion has terminated with all its runs.
    ///
    /// The agent may be the only process that knows of the termination. It repeats the report on
    /// every link until it is notified that the records contain the termination. Otherwise a
    /// coordinator that fails before it has written the records would lose the report: its
    /// successor would wait until the lease of the terminated minion expires, and persistent tasks
    /// would be down meanwhile.
    pub(super) fn handle_minion_terminated(
        &mut self,
        agent: &Name,
        id: &Name,
        crashed: bool,
        replaced_by: Option<&Name>,
        now: Now,
    ) {
        let cause = if crashed { TerminationCause::Crashed } else { TerminationCause::Planned };
        for terminated in self.terminated_incarnations(agent, id) {
            self.remove_minion(&terminated, replaced_by, cause, now);
        }
        // Runs on the minion may have ended earlier, by a stop or an expired lease, and these ends
        // may not be written either.
        let unwritten_jobs = self.jobs.iter().filter(|(_, job)| job.durable_version < job.version);
        let unwritten_jobs = unwritten_jobs.map(|(id, job)| (*id, job.version)).collect();
        self.departures.insert(id.clone(), Departure { agent: agent.clone(), unwritten_jobs });
        self.report_recorded_departures();
    }

    /// Notifies agents of terminations that the records contain, so that the agents stop reporting
    /// them.
    pub(super) fn report_recorded_departures(&mut self) {
        let jobs = &self.jobs;
        let is_durable = |(id, version): &(JobId, u64)| {
            jobs.get(id).is_none_or(|job| job.durable_version >= *version)
        };
        let recorded =
            self.departures.extract_if(.., |_, d| d.unwritten_jobs.iter().all(is_durable));
        for (minion, departure) in recorded {
            let message = ToAgent::DepartureRecorded { minion };
            self.effects.push(Effect::Send { agent: departure.agent, message });
        }
    }
}
