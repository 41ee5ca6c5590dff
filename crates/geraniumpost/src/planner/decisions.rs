use std::collections::HashMap;
use std::mem::{Discriminant, discriminant};

use geraniumpost_core::placement::{Decision, Reason};
use geraniumpost_schema::Name;

use crate::metrics::Metrics;

/// Logs placement decisions.
///
/// Each waiting job is decided on several times a second. Its decision is logged only if the kind
/// of its reason has changed; otherwise thousands of waiting jobs would flood the log.
#[derive(Debug, Default)]
pub(super) struct DecisionLog {
    /// Kind of the reason of each job that waited in the last round.
    wait_reasons: HashMap<Name, Discriminant<Reason>>,
}

impl DecisionLog {
    /// Logs the decisions of a placement round and counts the evictions.
    pub(super) fn write(&mut self, decisions: &[Decision], metrics: &Metrics) {
        let mut wait_reasons = HashMap::new();
        for decision in decisions {
            if let Decision::Wait { job, reason } = decision {
                let kind = discriminant(reason);
                wait_reasons.insert(job.clone(), kind);
                if self.wait_reasons.get(job) == Some(&kind) {
                    continue;
                }
            }
            if let Decision::Evict { for_job, .. } = decision {
                metrics.eviction(if for_job.is_empty() { "service" } else { "urgent" });
            }
            crate::decision!("place", what = decision);
        }
        self.wait_reasons = wait_reasons;
    }
}
