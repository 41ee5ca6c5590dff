use std::collections::HashMap;
use std::mem::{Discriminant, discriminant};

use geraniumpost_core::placement::{Decision, Reason};
use geraniumpost_schema::Name;

use crate::metrics::Metrics;

/// Writes a line for each placement decision.
///
/// A job that waits is decided on several times a second; it gets a line when the kind of its reason
/// changes, as thousands of waiting jobs would otherwise drown everything else.
#[derive(Debug, Default)]
pub(super) struct DecisionLog {
    waits: HashMap<Name, Discriminant<Reason>>,
}

impl DecisionLog {
    /// Logs the decisions of one round and counts the evictions among them.
    pub(super) fn write(&mut self, decisions: &[Decision], metrics: &Metrics) {
        let mut waits = HashMap::new();
        for decision in decisions {
            if let Decision::Wait { job, reason } = decision {
                let kind = discriminant(reason);
                waits.insert(job.clone(), kind);
                if self.waits.get(job) == Some(&kind) {
                    continue;
                }
            }
            if let Decision::Evict { for_job, .. } = decision {
                metrics.eviction(if for_job.is_empty() { "service" } else { "urgent" });
            }
            crate::decision!("place", what = decision);
        }
        self.waits = waits;
    }
}
