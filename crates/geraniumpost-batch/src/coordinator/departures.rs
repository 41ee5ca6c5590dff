//! Minions that are certainly gone, until that is recorded.

use geraniumpost_schema::Name;

use super::{Coordinator, Effect};
use crate::{JobId, Now, ToAgent};

/// A minion whose agent has said that it is gone.
#[derive(Debug)]
pub(super) struct Departure {
    /// Who said so, and is told once it is settled.
    agent: Name,
    /// Records that were not written yet when it was said, and the versions that hold all that was known
    /// by then.
    unwritten: Vec<(JobId, u64)>,
}

impl Coordinator {
    /// Takes an agent's word that a minion is gone, with all that ran there.
    ///
    /// The agent may be the only one that knows, and it repeats its word on every link until it is told
    /// that the records hold it. A coordinator that is lost before it has written them would otherwise
    /// take the knowledge along: its successor waits for the lease of a minion that is gone, and users
    /// miss standing tasks for as long.
    pub(super) fn minion_departed(&mut self, agent: &Name, id: &Name, now: Now) {
        self.minion_gone(id, now);
        // What ran there may have ended before, by a stop or a lapse that is not written either.
        let unwritten = self.jobs.iter().filter(|(_, job)| job.durable < job.version);
        let unwritten = unwritten.map(|(id, job)| (*id, job.version)).collect();
        self.departures.insert(id.clone(), Departure { agent: agent.clone(), unwritten });
        self.settle_departures();
    }

    /// Tells agents which of their words need not be repeated any more.
    pub(super) fn settle_departures(&mut self) {
        let jobs = &self.jobs;
        let durable =
            |(id, version): &(JobId, u64)| jobs.get(id).is_none_or(|job| job.durable >= *version);
        let settled = self.departures.extract_if(.., |_, d| d.unwritten.iter().all(durable));
        for (minion, departure) in settled {
            let message = ToAgent::DepartureRecorded { minion };
            self.effects.push(Effect::Send { agent: departure.agent, message });
        }
    }
}
