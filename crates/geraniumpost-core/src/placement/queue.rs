use std::collections::VecDeque;

use geraniumpost_schema::{Name, Priority};

use super::planned_fleet::PlannedFleet;
use super::{Fleet, PlacementPolicy, PlacementRequest, amounts};
use crate::Millis;

/// Waiting time after which a scavenger job is queued as a normal job, so that it does not starve.
const SCAVENGER_AGING_MS: u64 = 600_000;
/// Number of priority levels: urgent, normal and scavenger.
const PRIORITY_LEVELS: usize = 3;

/// Queue of waiting jobs that orders them for decisions.
///
/// Jobs of a higher priority come first. Within a priority the next job is the oldest job of the
/// customer with the smallest dominant share in relation to its weight.
#[derive(Debug)]
pub struct Queue<'a> {
    /// Queues of customers by priority level, of which level 0 is the highest.
    levels: [Vec<CustomerQueue<'a>>; PRIORITY_LEVELS],
    /// Level and index of the customer queue from which the last job was popped.
    last_popped: Option<(usize, usize)>,
}

/// One customer's jobs of one priority.
#[derive(Debug)]
struct CustomerQueue<'a> {
    customer: Name,
    /// The customer's dominant share divided by its weight.
    weighted_share: f64,
    weight: f64,
    requests: VecDeque<&'a PlacementRequest>,
}

impl<'a> Queue<'a> {
    /// Queues all waiting jobs with the customers' current shares of `fleet`.
    pub fn new(
        now: Millis,
        requests: &'a [PlacementRequest],
        fleet: &Fleet,
        policy: &PlacementPolicy,
    ) -> Self {
        let mut sorted: Vec<&PlacementRequest> = requests.iter().collect();
        sorted.sort_by(|a, b| (a.submitted, &a.job).cmp(&(b.submitted, &b.job)));
        let mut queue = Self { levels: [Vec::new(), Vec::new(), Vec::new()], last_popped: None };
        for request in sorted {
            queue.push(now, request, fleet, policy);
        }
        queue
    }

    /// Removes and returns the next job to decide on.
    pub fn pop(&mut self) -> Option<&'a PlacementRequest> {
        for (level_index, level) in self.levels.iter_mut().enumerate() {
            let available =
                level.iter_mut().enumerate().filter(|(_, queue)| !queue.requests.is_empty());
            let next = available.min_by(|a, b| a.1.weighted_share.total_cmp(&b.1.weighted_share));
            if let Some((queue_index, queue)) = next {
                self.last_popped = Some((level_index, queue_index));
                return queue.requests.pop_front();
            }
        }
        None
    }

    /// Updates the share of the customer whose job [`pop`](Self::pop) returned last, after the
    /// start of that job.
    pub fn record_start(&mut self, planned: &PlannedFleet, fleet: &Fleet) {
        let Some((level, queue)) = self.last_popped else { return };
        let customer = self.levels[level][queue].customer.clone();
        let allocated =
            amounts::dominant_share(&planned.allocated_to(&customer, fleet), fleet.total());
        let queues = self.levels.iter_mut().flatten().filter(|queue| queue.customer == customer);
        queues.for_each(|queue| queue.weighted_share = allocated / queue.weight);
    }

    fn push(
        &mut self,
        now: Millis,
        request: &'a PlacementRequest,
        fleet: &Fleet,
        policy: &PlacementPolicy,
    ) {
        let level = &mut self.levels[level(now, request)];
        if let Some(queue) = level.iter_mut().find(|queue| queue.customer == request.customer) {
            queue.requests.push_back(request);
            return;
        }
        let weight = policy
            .customer(&request.customer)
            .map_or(1.0, |settings| settings.weight.max(1).into());
        let allocated =
            amounts::dominant_share(&fleet.allocated_to(&request.customer), fleet.total());
        level.push(CustomerQueue {
            customer: request.customer.clone(),
            weighted_share: allocated / weight,
            weight,
            requests: VecDeque::from([request]),
        });
    }
}

/// Returns the priority level of a job. A scavenger job rises by one level after
/// [`SCAVENGER_AGING_MS`].
fn level(now: Millis, request: &PlacementRequest) -> usize {
    match request.priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Scavenger if now.since(request.submitted) >= SCAVENGER_AGING_MS => 1,
        Priority::Scavenger => 2,
    }
}
