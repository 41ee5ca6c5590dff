use geraniumpost_schema::{Name, Priority, Resources};
use rand::Rng;

use super::draft::Draft;
use super::holds::Hold;
use super::nearness::Nearness;
use super::scan::{Found, Scan, Scored};
use super::urgent_room::UrgentRoom;
use super::{Candidate, Decision, Fleet, Placer, Reason, Wish, WorkerKey, amounts};
use crate::Millis;

/// How long room is kept for an urgent job while evicted tasks stop.
const URGENT_HOLD_MS: u64 = 5_000;
/// Wait after which a worker is kept for a job that finds no room.
const STARVED_MS: u64 = 600_000;
/// How long a worker is kept for a starved job before another one is tried.
const STARVED_HOLD_MS: u64 = 900_000;
/// One worker in this many may be kept for starved jobs.
const HOLD_SHARE: usize = 16;
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
        wish: &Wish,
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
        let need = self.size(wish, fleet);
        if let Some(why) = self.over_quota(wish, &need, fleet, draft) {
            self.give_up_hold(wish, draft);
            return vec![wait(wish, why)];
        }
        let hold = self.holds.of(&wish.job).map(|hold| hold.worker);
        if hold.is_none() && wish.priority != Priority::Urgent && draft.is_hopeless(&need) {
            return vec![self.starve(now, wish, &need, fleet, draft)];
        }
        let found = self.search(wish, &need, hold, fleet, draft);
        if found.best.is_empty() {
            return self.no_room(now, wish, &need, fleet, draft);
        }
        vec![self.settle(now, wish, &need, &found, fleet, draft, rng)]
    }

    /// Returns what to reserve for a job: never less than declared, never more than a worker has
    /// or the quota allows.
    fn size(&self, wish: &Wish, fleet: &Fleet) -> Resources {
        let Some(largest) = fleet.largest_for(&wish.need) else { return wish.need };
        let quota = self.policy.customer(&wish.customer).map_or(largest, |share| share.quota);
        self.sizes.learned(wish, &amounts::smaller(&largest, &quota))
    }

    fn over_quota(
        &self,
        wish: &Wish,
        need: &Resources,
        fleet: &Fleet,
        draft: &Draft,
    ) -> Option<Reason> {
        let quota = self.policy.customer(&wish.customer)?.quota;
        let own = self.holds.of(&wish.job).map_or(amounts::NONE, |hold| hold.need);
        let held = amounts::minus(&draft.holding(&wish.customer, fleet), &own);
        let resource = amounts::excess(&amounts::plus(&held, need), &quota)?;
        Some(Reason::OverQuota { customer: wish.customer.clone(), resource })
    }

    fn search(
        &self,
        wish: &Wish,
        need: &Resources,
        hold: Option<WorkerKey>,
        fleet: &Fleet,
        draft: &mut Draft,
    ) -> Found {
        let model = &self.model;
        let ask = || {
            let class = model.known_class(&wish.class);
            fleet.service_names().iter().map(|service| model.slope(service, class)).collect()
        };
        let slopes = draft.slopes(&wish.class, ask).to_vec();
        let avoided = wish.excluded.iter().chain(self.blame.failed_on(&wish.job));
        let excluded: Vec<WorkerKey> = avoided.filter_map(|name| fleet.key(name)).collect();
        let groups = [fleet.group(&wish.customer, &wish.class), draft.group(wish)];
        let mut scan = Scan {
            need,
            slopes: &slopes,
            excluded: &excluded,
            kept: hold,
            urgent: wish.priority == Priority::Urgent,
            nearness: &Nearness::new(fleet.places(), &groups),
        };
        let found = scan.run(draft);
        if found.best.is_empty() && excluded.len() > wish.excluded.len() {
            // With few workers a job may have failed on all that have room; it may try again.
            scan.excluded = &excluded[..wish.excluded.len().min(excluded.len())];
            return scan.run(draft);
        }
        found
    }

    /// Starts a job on the best worker found, unless that does harm which waiting may spare.
    #[allow(clippy::too_many_arguments)]
    fn settle<R: Rng + ?Sized>(
        &mut self,
        now: Millis,
        wish: &Wish,
        need: &Resources,
        found: &Found,
        fleet: &Fleet,
        draft: &mut Draft,
        rng: &mut R,
    ) -> Decision {
        let name = |scored: &Scored| fleet.view(draft.rows[scored.at].key).name.clone();
        let best = found.best[0];
        if is_too_harmful(now, wish, &best) {
            let after_permille = (best.after * 1000.0) as u32;
            return wait(wish, Reason::TooHarmful { best: name(&best), after_permille });
        }
        let mut named: Vec<Scored> = found.best.clone();
        explore(&mut named, rng);
        let chosen = named[0];
        let candidates = named.iter().map(|s| Candidate { worker: name(s), score: s.score });
        let why = Reason::LeastHarm { weighed: found.weighed, best: candidates.collect() };
        let worker = name(&chosen);
        draft.start(chosen.at, wish, need, chosen.added);
        self.give_up_hold(wish, draft);
        if wish.priority == Priority::Urgent {
            self.urgent_demand.note(now, need);
        }
        Decision::Start { job: wish.job.clone(), worker, need: *need, score: chosen.score, why }
    }

    fn no_room(
        &mut self,
        now: Millis,
        wish: &Wish,
        need: &Resources,
        fleet: &Fleet,
        draft: &mut Draft,
    ) -> Vec<Decision> {
        if wish.priority == Priority::Urgent {
            return self.make_room(now, wish, need, fleet, draft);
        }
        if wish.excluded.is_empty() && self.holds.of(&wish.job).is_none() {
            draft.note_hopeless(need);
        }
        vec![self.starve(now, wish, need, fleet, draft)]
    }

    /// Evicts the cheapest tasks for an urgent job, once.
    fn make_room(
        &mut self,
        now: Millis,
        wish: &Wish,
        need: &Resources,
        fleet: &Fleet,
        draft: &mut Draft,
    ) -> Vec<Decision> {
        if let Some(hold) = self.holds.of(&wish.job) {
            let worker = fleet.view(hold.worker).name.clone();
            return vec![wait(wish, Reason::AwaitsEviction { worker })];
        }
        let most = self.budget.left(now, self.policy.evictions_per_minute());
        let avoided: Vec<&Name> =
            wish.excluded.iter().chain(self.blame.failed_on(&wish.job)).collect();
        let allowed = |key: WorkerKey| {
            let open =
                draft.rows.iter().any(|row| row.key == key && row.limit > 0 && !row.is_held());
            open && !avoided.contains(&&fleet.view(key).name)
        };
        let evicting = &self.evicting;
        let spared = |job: &Name| evicting.contains_key(job);
        let Some(room) = UrgentRoom::find(now, need, fleet, most, allowed, spared) else {
            return vec![wait(wish, Reason::NoRoom { need: *need })];
        };
        let until = now.plus(URGENT_HOLD_MS);
        self.keep(wish, room.worker, need, until, true, draft);
        let worker = fleet.view(room.worker).name.clone();
        let mut decisions = Vec::new();
        for victim in room.victims {
            self.note_eviction(now, &victim.job);
            let why = Reason::RoomForUrgent { for_job: wish.job.clone(), lost_ms: victim.lost_ms };
            decisions.push(Decision::Evict {
                job: victim.job,
                worker: worker.clone(),
                for_job: wish.job.clone(),
                why,
            });
        }
        decisions.push(wait(wish, Reason::AwaitsEviction { worker }));
        decisions
    }

    fn give_up_hold(&mut self, wish: &Wish, draft: &mut Draft) {
        if let Some(hold) = self.holds.drop(&wish.job) {
            draft.release(&hold);
        }
    }

    fn keep(
        &mut self,
        wish: &Wish,
        worker: WorkerKey,
        need: &Resources,
        until: Millis,
        evicting: bool,
        draft: &mut Draft,
    ) {
        let customer = wish.customer.clone();
        let hold = Hold { worker, customer, need: *need, until, evicting };
        draft.hold(&hold);
        self.holds.put(&wish.job, hold);
    }

    /// Keeps a worker for a job that has waited long, as smaller jobs would take all room that
    /// becomes free before it is enough.
    fn starve(
        &mut self,
        now: Millis,
        wish: &Wish,
        need: &Resources,
        fleet: &Fleet,
        draft: &mut Draft,
    ) -> Decision {
        if let Some(hold) = self.holds.of(&wish.job) {
            let worker = fleet.view(hold.worker).name.clone();
            return wait(wish, Reason::Kept { worker });
        }
        let most = (draft.rows.len() / HOLD_SHARE).max(1);
        let starved = now.since(wish.submitted) >= STARVED_MS && self.holds.patient() < most;
        let kept = if starved { nearest_room(need, fleet, draft) } else { None };
        let Some(worker) = kept else { return wait(wish, Reason::NoRoom { need: *need }) };
        let until = now.plus(STARVED_HOLD_MS);
        self.keep(wish, worker, need, until, false, draft);
        wait(wish, Reason::Kept { worker: fleet.view(worker).name.clone() })
    }
}

/// Returns the worker that could hold a need and is nearest to having room for it.
fn nearest_room(need: &Resources, fleet: &Fleet, draft: &Draft) -> Option<WorkerKey> {
    let could = |key: WorkerKey| amounts::fits(need, &fleet.view(key).allowance());
    let open = draft.rows.iter().filter(|row| !row.is_held() && row.limit > 0 && could(row.key));
    let short = |free: &Resources| amounts::dominant(&amounts::minus(need, free), need);
    open.min_by(|a, b| short(&a.free).total_cmp(&short(&b.free))).map(|row| row.key)
}

fn is_too_harmful(now: Millis, wish: &Wish, best: &Scored) -> bool {
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

fn wait(wish: &Wish, why: Reason) -> Decision {
    Decision::Wait { job: wish.job.clone(), why }
}
