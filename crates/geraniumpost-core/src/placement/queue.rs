use std::collections::VecDeque;

use geraniumpost_schema::{Name, Priority};

use super::draft::Draft;
use super::{Fleet, PlacementPolicy, PlacementRequest, amounts};
use crate::Millis;

/// Wait after which a scavenger counts as normal, so that it does not starve.
const AGED_MS: u64 = 600_000;
/// Number of priorities.
const LANES: usize = 3;

/// The order in which waiting jobs are decided on.
///
/// Urgent jobs come first. Within a priority it is the turn of the customer with the least weighted
/// dominant share, and of its oldest job.
#[derive(Debug)]
pub struct Queue<'a> {
    lanes: [Vec<Line<'a>>; LANES],
    last: Option<(usize, usize)>,
}

/// One customer's jobs of one priority.
#[derive(Debug)]
struct Line<'a> {
    customer: Name,
    share: f64,
    weight: f64,
    wishes: VecDeque<&'a PlacementRequest>,
}

impl<'a> Queue<'a> {
    /// Sorts the jobs that wait.
    pub fn new(
        now: Millis,
        wishes: &'a [PlacementRequest],
        fleet: &Fleet,
        policy: &PlacementPolicy,
    ) -> Self {
        let mut sorted: Vec<&PlacementRequest> = wishes.iter().collect();
        sorted.sort_by(|a, b| (a.submitted, &a.job).cmp(&(b.submitted, &b.job)));
        let mut queue = Self { lanes: [Vec::new(), Vec::new(), Vec::new()], last: None };
        for wish in sorted {
            queue.push(now, wish, fleet, policy);
        }
        queue
    }

    /// Returns the next job.
    pub fn pop(&mut self) -> Option<&'a PlacementRequest> {
        for (at, lane) in self.lanes.iter_mut().enumerate() {
            let open = lane.iter_mut().enumerate().filter(|(_, line)| !line.wishes.is_empty());
            let least = open.min_by(|a, b| a.1.share.total_cmp(&b.1.share));
            if let Some((line_at, line)) = least {
                self.last = Some((at, line_at));
                return line.wishes.pop_front();
            }
        }
        None
    }

    /// Takes into account that the job returned last starts.
    pub fn started(&mut self, draft: &Draft, fleet: &Fleet) {
        let Some((lane, line)) = self.last else { return };
        let customer = self.lanes[lane][line].customer.clone();
        let held = amounts::dominant_share(&draft.allocated_to(&customer, fleet), fleet.total());
        let lines = self.lanes.iter_mut().flatten().filter(|line| line.customer == customer);
        lines.for_each(|line| line.share = held / line.weight);
    }

    fn push(
        &mut self,
        now: Millis,
        wish: &'a PlacementRequest,
        fleet: &Fleet,
        policy: &PlacementPolicy,
    ) {
        let lane = &mut self.lanes[lane(now, wish)];
        if let Some(line) = lane.iter_mut().find(|line| line.customer == wish.customer) {
            line.wishes.push_back(wish);
            return;
        }
        let weight =
            policy.customer(&wish.customer).map_or(1.0, |share| share.weight.max(1).into());
        let held = amounts::dominant_share(&fleet.allocated_to(&wish.customer), fleet.total());
        lane.push(Line {
            customer: wish.customer.clone(),
            share: held / weight,
            weight,
            wishes: VecDeque::from([wish]),
        });
    }
}

/// Returns the lane of a job.
fn lane(now: Millis, wish: &PlacementRequest) -> usize {
    match wish.priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Scavenger if now.since(wish.submitted) >= AGED_MS => 1,
        Priority::Scavenger => 2,
    }
}
