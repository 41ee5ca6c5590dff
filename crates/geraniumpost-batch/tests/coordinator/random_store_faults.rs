//! Random outcomes of writes, under which no refused job is ever stored or started.

use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_batch::{CallerRequest, CallerResponse, EndKind, JobId, OrderKind};
use proptest::collection::vec;
use proptest::prelude::*;

use crate::cluster::{Cluster, step};

#[derive(Debug, Clone)]
enum Event {
    /// A new job is submitted.
    Submit {
        count: u32,
    },
    /// Another copy of the submission of a job arrives that was not refused yet.
    SubmitAgain {
        at: usize,
    },
    Cancel {
        at: usize,
    },
    /// The store commits the oldest write.
    Commit,
    /// The store refuses the oldest write.
    Refuse,
    /// The store commits nothing for a while, and refuses all writes.
    RefuseFor {
        ms: u64,
    },
    /// The oldest write has no result; the store may have applied it nonetheless.
    LoseResult {
        applied: bool,
    },
    CarryOutOrders,
    EndRuns,
    Advance {
        ms: u64,
    },
    TakeOver,
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1..6_u32).prop_map(|count| Event::Submit { count }),
        2 => (0..4_usize).prop_map(|at| Event::SubmitAgain { at }),
        1 => (0..4_usize).prop_map(|at| Event::Cancel { at }),
        4 => Just(Event::Commit),
        3 => Just(Event::Refuse),
        2 => (100..500_u64).prop_map(|ms| Event::RefuseFor { ms }),
        2 => any::<bool>().prop_map(|applied| Event::LoseResult { applied }),
        2 => Just(Event::CarryOutOrders),
        1 => Just(Event::EndRuns),
        4 => (50..1_200_u64).prop_map(|ms| Event::Advance { ms }),
        1 => Just(Event::TakeOver),
    ]
}

/// A cluster, and the submissions of its callers.
struct Callers {
    cluster: Cluster,
    /// Request ids of the submissions of each job.
    submissions: BTreeMap<u64, Vec<u64>>,
    /// Requests that were sent to a coordinator that was replaced, and get no response.
    lost_requests: BTreeSet<u64>,
    started: BTreeSet<u64>,
}

impl Callers {
    fn new() -> Self {
        Self {
            cluster: Cluster::new().with_admission().with_minions(&["m1", "m2"]),
            submissions: BTreeMap::new(),
            lost_requests: BTreeSet::new(),
            started: BTreeSet::new(),
        }
    }

    fn submit(&mut self, job: u64, count: u32) {
        let request = self.cluster.submit(job, vec![step(count)]);
        self.submissions.entry(job).or_default().push(request);
    }

    /// Returns one of the latest jobs of which no submission was refused.
    fn recent_job(&self, at: usize) -> Option<u64> {
        let is_open = |job: &u64| !self.is_any_refused(*job);
        self.submissions.keys().rev().copied().filter(is_open).nth(at)
    }

    fn is_any_refused(&self, job: u64) -> bool {
        let is_refused = |request: &u64| {
            matches!(self.cluster.response(*request), Some(CallerResponse::Refused { .. }))
        };
        self.submissions[&job].iter().any(is_refused)
    }

    fn handle(&mut self, event: &Event) {
        let cluster = &mut self.cluster;
        match *event {
            Event::Submit { count } => self.submit(self.submissions.len() as u64 + 1, count),
            Event::SubmitAgain { at } => {
                if let Some(job) = self.recent_job(at) {
                    self.submit(job, 1);
                }
            }
            Event::Cancel { at } => {
                if let Some(job) = self.recent_job(at) {
                    self.cluster.request(CallerRequest::Cancel(JobId(job)));
                }
            }
            Event::Commit => cluster.commit_first_write(),
            Event::Refuse => cluster.refuse_first_write(),
            Event::RefuseFor { ms } => cluster.refuse_writes_for(ms),
            Event::LoseResult { applied } => {
                if !cluster.pending_writes.is_empty() {
                    cluster.lose_result_of_first_write();
                    let first = cluster.pending_writes[0].clone();
                    cluster.store.extend(first.put.into_iter().filter(|_| applied));
                }
            }
            Event::CarryOutOrders => {
                let is_start = |kind: &OrderKind| matches!(kind, OrderKind::Start { .. });
                let starts = cluster.orders.iter().filter(|order| is_start(&order.kind));
                self.started.extend(starts.map(|order| order.task.job.0));
                cluster.carry_out_orders();
            }
            Event::EndRuns => cluster.end_all_runs(EndKind::Done),
            Event::Advance { ms } => cluster.advance(ms),
            Event::TakeOver => self.take_over(),
        }
    }

    fn take_over(&mut self) {
        let requests = self.submissions.values().flatten().copied();
        let is_unanswered = |request: &u64| self.cluster.response(*request).is_none();
        self.lost_requests.extend(requests.filter(is_unanswered));
        self.cluster.take_over();
        for minion in ["m1", "m2"] {
            self.cluster.join(minion, |info| info);
        }
    }

    /// Checks that no job is stored or started of which a submission was refused.
    fn check(&self) -> Result<(), TestCaseError> {
        for job in self.submissions.keys().filter(|job| self.is_any_refused(**job)) {
            prop_assert!(!self.cluster.is_written(*job), "refused job {job} is stored");
            prop_assert!(!self.started.contains(job), "refused job {job} was started");
        }
        Ok(())
    }

    /// Checks that every submission is answered once the store commits again.
    fn check_answered(&self) -> Result<(), TestCaseError> {
        for request in self.submissions.values().flatten() {
            let answered = self.cluster.response(*request).is_some();
            prop_assert!(answered || self.lost_requests.contains(request), "request {request}");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Writes are committed, refused or without a result in any order, and the coordinator is
    /// replaced. A job that is stored or started although the response to its caller says that it
    /// never runs would be done twice by a caller that submits the work again.
    #[test]
    fn refused_jobs_are_never_stored_or_started(events in vec(any_event(), 1..80)) {
        let mut callers = Callers::new();
        callers.cluster.confirm_writes = false;
        for event in &events {
            callers.handle(event);
            callers.check()?;
        }
        callers.cluster.confirm_pending_writes();
        callers.cluster.advance(1_000);
        callers.handle(&Event::CarryOutOrders);
        callers.check()?;
        callers.check_answered()?;
    }
}
