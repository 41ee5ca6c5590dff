//! Minions that are certainly gone, until that is recorded.

use geraniumpost_schema::Name;

use super::{Coordinator, Effect};
use crate::{JobId, Now, ToAgent};

/// A minion whose agent has said that it is gone.
#[derive(Debug)]
pub(super) struct Departure {
    /// Who said so, and is told once it is settled.
    agent: Name,
    /// Records and their versions that say that what ran there has ended.
    changes: Vec<(JobId, u64)>,
}

impl Coordinator {
    /// Takes an agent's word that a minion is gone, with all that ran there.
    ///
    /// The agent may be the only one that knows, and it repeats its word on every link until it is told
    /// that the records hold it. A coordinator that is lost before it has written them would otherwise
    /// take the knowledge along: its successor waits for the lease of a minion that is gone, and users
    /// miss standing tasks for as long.
    pub(super) fn minion_departed(&mut self, agent: &Name, id: &Name, now: Now) {
        let changes = self.minion_gone(id, now);
        let told = self.departures.entry(id.clone());
        let departure =
            told.or_insert_with(|| Departure { agent: agent.clone(), changes: Vec::new() });
        departure.agent = agent.clone();
        departure.changes.extend(changes);
        self.settle_departures();
    }

    /// Tells agents which of their words need not be repeated any more.
    pub(super) fn settle_departures(&mut self) {
        let jobs = &self.jobs;
        let durable =
            |(id, version): &(JobId, u64)| jobs.get(id).is_none_or(|job| job.durable >= *version);
        let settled = self.departures.extract_if(.., |_, d| d.changes.iter().all(durable));
        for (minion, departure) in settled {
            let message = ToAgent::DepartureSettled { minion };
            self.effects.push(Effect::Tell { agent: departure.agent, message });
        }
    }
}
