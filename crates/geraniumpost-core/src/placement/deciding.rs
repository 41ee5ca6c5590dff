use geraniumpost_schema::{Priority, Resources};
use rand::Rng;

use super::draft::Draft;
use super::nearness::Nearness;
use super::scan::{Found, Scan, Scored};
use super::turn::Turn;
use super::{Candidate, Decision, Fleet, PlacementRequest, Placer, Reason, WorkerKey, amounts};
use crate::Millis;

/// Predicted p99, in targets, over which a job rather waits.
const TOO_HARMFUL: f64 = 0.85;
/// Harm, in targets, that is not worth waiting for.
const HARMLESS: f64 = 0.02;
/// How long a normal job waits for a harmless place.
const NORMAL_PATIENCE_MS: u64 = 600_000;
/// How long a scavenger waits for a harmless place.
const SCAVENGER_PATIENCE_MS: u64 = 900_000;
/// One start in this many goes to another of the good candidates, so that pairs are learned.
const EXPLORE_ONE_IN: u32 = 50;
/// Predicted p99, in targets, up to which a start may explore.
const EXPLORE_UNDER: f64 = 0.7;

impl Placer {
    /// Decides on one job; a start comes last.
    pub(super) fn decide<R: Rng + ?Sized>(
        &mut self,
        now: Millis,
        wish: &PlacementRequest,
        fleet: &Fleet,
        draft: &mut Draft,
        rng: &mut R,
    ) -> Vec<Decision> {
        if let Some(refusal) = self.refusal(wish, fleet) {
            return vec![refusal];
        }
        if now < wish.not_before {
            return vec![wait(wish, Reason::BackOff { until: wish.not_before })];
        }
        let turn = Turn { now, wish, need: self.size(wish, fleet), fleet };
        if let Some(reason) = self.over_quota(&turn, draft) {
            self.give_up_hold(wish, draft);
            return vec![wait(wish, reason)];
        }
        if self.is_hopeless(&turn, draft) {
            return vec![self.starve(&turn, draft)];
        }
        let found = self.search(&turn, draft);
        if found.best.is_empty() {
            return self.no_room(&turn, draft);
        }
        vec![self.settle(&turn, &found, draft, rng)]
    }

    /// Returns what to reserve for a job: never less than declared, never more than a worker has
    /// or the quota allows.
    fn size(&self, wish: &PlacementRequest, fleet: &Fleet) -> Resources {
        let Some(largest) = fleet.largest_for(&wish.need) else { return wish.need };
        let quota = self.policy.customer(&wish.customer).map_or(largest, |share| share.quota);
        self.sizes.learned(wish, &amounts::component_min(&largest, &quota))
    }

    fn over_quota(&self, turn: &Turn<'_>, draft: &Draft) -> Option<Reason> {
        let customer = &turn.wish.customer;
        let quota = self.policy.customer(customer)?.quota;
        let own = self.holds.of(&turn.wish.job).map_or(amounts::NONE, |hold| hold.need);
        let held = amounts::minus(&draft.allocated_to(customer, turn.fleet), &own);
        let resource = amounts::exceeded_resource(&amounts::plus(&held, &turn.need), &quota)?;
        Some(Reason::OverQuota { customer: customer.clone(), resource })
    }

    /// Returns whether a scan can be spared, as a smaller need already found no room.
    fn is_hopeless(&self, turn: &Turn<'_>, draft: &Draft) -> bool {
        turn.wish.priority != Priority::Urgent
            && self.holds.of(&turn.wish.job).is_none()
            && draft.is_hopeless(&turn.need)
    }

    fn search(&self, turn: &Turn<'_>, draft: &mut Draft) -> Found {
        let (wish, fleet) = (turn.wish, turn.fleet);
        let ask = || {
            let class = self.model.known_class(&wish.class);
            fleet.service_names().iter().map(|name| self.model.slope(name, class)).collect()
        };
        let slopes = draft.slopes(&wish.class, ask).to_vec();
        let avoided = self.avoided(turn);
        let groups = [fleet.group(&wish.customer, &wish.class), draft.group(wish)];
        let mut scan = Scan {
            need: &turn.need,
            slopes: &slopes,
            excluded: &avoided,
            kept: self.holds.of(&wish.job).map(|hold| hold.worker),
            urgent: wish.priority == Priority::Urgent,
            nearness: &Nearness::new(fleet.places(), &groups),
        };
        let found = scan.run(draft);
        if !found.best.is_empty() || self.blame.failed_on(&wish.job).is_empty() {
            return found;
        }
        // With few workers a job may have failed on all that have room; it may try again.
        let excluded = excluded(turn);
        scan.excluded = &excluded;
        scan.run(draft)
    }

    /// Returns the workers that a job should keep away from: those that its caller excludes and
    /// those that it failed on.
    pub(super) fn avoided(&self, turn: &Turn<'_>) -> Vec<WorkerKey> {
        let failed_on = self.blame.failed_on(&turn.wish.job).iter();
        let mut avoided = excluded(turn);
        avoided.extend(failed_on.filter_map(|name| turn.fleet.key(name)));
        avoided
    }

    /// Starts a job on the best worker found, unless that does harm which waiting may spare.
    fn settle<R: Rng + ?Sized>(
        &mut self,
        turn: &Turn<'_>,
        found: &Found,
        draft: &mut Draft,
        rng: &mut R,
    ) -> Decision {
        let wish = turn.wish;
        let name = |scored: &Scored| turn.fleet.view(draft.rows[scored.at].key).name.clone();
        let best = found.best[0];
        if is_too_harmful(turn.now, wish, &best) {
            let after_permille = (best.after * 1000.0) as u32;
            return wait(wish, Reason::TooHarmful { best: name(&best), after_permille });
        }
        let mut named: Vec<Scored> = found.best.clone();
        explore(&mut named, rng);
        let chosen = named[0];
        let candidates = named.iter().map(|s| Candidate { worker: name(s), score: s.score });
        let reason = Reason::LeastHarm { weighed: found.weighed, best: candidates.collect() };
        let worker = name(&chosen);
        draft.start(chosen.at, wish, &turn.need, chosen.added);
        self.give_up_hold(wish, draft);
        if wish.priority == Priority::Urgent {
            self.urgent_demand.note(turn.now, &turn.need);
        }
        let (job, need, score) = (wish.job.clone(), turn.need, chosen.score);
        Decision::Start { job, worker, need, score, reason }
    }
}

/// Returns the workers that a job's caller excludes.
fn excluded(turn: &Turn<'_>) -> Vec<WorkerKey> {
    turn.wish.excluded.iter().filter_map(|name| turn.fleet.key(name)).collect()
}

fn is_too_harmful(now: Millis, wish: &PlacementRequest, best: &Scored) -> bool {
    let patience = match wish.priority {
        Priority::Urgent => return false,
        Priority::Normal => NORMAL_PATIENCE_MS,
        Priority::Scavenger => SCAVENGER_PATIENCE_MS,
    };
    let waited = now.since(wish.submitted.max(wish.not_before));
    best.after > TOO_HARMFUL && best.added > HARMLESS && waited < patience
}

/// Moves another good candidate to the front now and then, but none that harms.
fn explore<R: Rng + ?Sized>(named: &mut [Scored], rng: &mut R) {
    if named.len() < 2 || rng.random_range(0..EXPLORE_ONE_IN) != 0 {
        return;
    }
    let other = rng.random_range(1..named.len());
    if named[other].after < EXPLORE_UNDER {
        named.swap(0, other);
    }
}

/// Keeps a job waiting.
pub(super) fn wait(wish: &PlacementRequest, reason: Reason) -> Decision {
    Decision::Wait { job: wish.job.clone(), reason }
}
