use geraniumpost_schema::{Name, Priority};

use super::deciding::wait;
use super::draft::Draft;
use super::holds::Hold;
use super::turn::Turn;
use super::urgent_room::UrgentRoom;
use super::{Decision, PlacementRequest, Placer, Reason, WorkerKey, amounts};

/// How long room is kept for an urgent job while evicted tasks stop; then another place is tried.
const URGENT_HOLD_MS: u64 = 5_000;
/// Wait after which a worker is kept for a job that finds no room.
const STARVED_MS: u64 = 600_000;
/// How long a worker is kept for a starved job before another one is tried.
const STARVED_HOLD_MS: u64 = 900_000;
/// One worker in this many may be kept for starved jobs.
const HOLD_SHARE: usize = 16;

impl Placer {
    /// Decides on a job that finds no room.
    pub(super) fn no_room(&mut self, turn: &Turn<'_>, draft: &mut Draft) -> Vec<Decision> {
        if turn.wish.priority == Priority::Urgent {
            return self.make_room(turn, draft);
        }
        if turn.wish.excluded.is_empty() && self.holds.of(&turn.wish.job).is_none() {
            draft.note_hopeless(&turn.need);
        }
        vec![self.starve(turn, draft)]
    }

    /// Evicts the cheapest tasks for an urgent job, once.
    fn make_room(&mut self, turn: &Turn<'_>, draft: &mut Draft) -> Vec<Decision> {
        if let Some(hold) = self.holds.of(&turn.wish.job) {
            let worker = turn.fleet.view(hold.worker).name.clone();
            return vec![wait(turn.wish, Reason::AwaitsEviction { worker })];
        }
        let most = self.budget.left(turn.now, self.policy.evictions_per_minute());
        if most == 0 {
            return vec![wait(turn.wish, Reason::EvictionsSpent { need: turn.need })];
        }
        let Some(room) = self.find_room(turn, most, draft) else {
            return vec![wait(turn.wish, Reason::NoRoom { need: turn.need })];
        };
        let until = turn.now.plus(URGENT_HOLD_MS);
        self.keep(turn, Hold { until, evicting: true, ..hold(turn, room.worker) }, draft);
        self.evict_for(turn, room)
    }

    fn find_room(&self, turn: &Turn<'_>, most: u32, draft: &Draft) -> Option<UrgentRoom> {
        let avoided = self.avoided(turn);
        let allowed = |key: WorkerKey| {
            let row = draft.rows.iter().find(|row| row.key == key);
            row.is_some_and(|row| row.limit > 0 && !row.is_held()) && !avoided.contains(&key)
        };
        let spared = |job: &Name| self.evicting.contains_key(job);
        UrgentRoom::find(turn.now, &turn.need, turn.fleet, most, allowed, spared)
    }

    fn evict_for(&mut self, turn: &Turn<'_>, room: UrgentRoom) -> Vec<Decision> {
        let worker = turn.fleet.view(room.worker).name.clone();
        let for_job = turn.wish.job.clone();
        let mut decisions = Vec::new();
        for victim in room.victims {
            self.note_eviction(turn.now, &victim.job);
            let (for_job, worker) = (for_job.clone(), worker.clone());
            let reason =
                Reason::RoomForUrgent { for_job: for_job.clone(), lost_ms: victim.lost_ms };
            decisions.push(Decision::Evict { job: victim.job, worker, for_job, reason });
        }
        decisions.push(wait(turn.wish, Reason::AwaitsEviction { worker }));
        decisions
    }

    /// Keeps a worker for a job that has waited long, as smaller jobs would take all room that
    /// becomes free before it is enough.
    pub(super) fn starve(&mut self, turn: &Turn<'_>, draft: &mut Draft) -> Decision {
        if let Some(hold) = self.holds.of(&turn.wish.job) {
            let worker = turn.fleet.view(hold.worker).name.clone();
            return wait(turn.wish, Reason::Kept { worker });
        }
        let most = (draft.rows.len() / HOLD_SHARE).max(1);
        let waited = turn.now.since(turn.wish.submitted);
        let starved = waited >= STARVED_MS && self.holds.patient() < most;
        let kept = if starved { self.nearest_room(turn, draft) } else { None };
        let Some(worker) = kept else {
            return wait(turn.wish, Reason::NoRoom { need: turn.need });
        };
        let until = turn.now.plus(STARVED_HOLD_MS);
        self.keep(turn, Hold { until, ..hold(turn, worker) }, draft);
        wait(turn.wish, Reason::Kept { worker: turn.fleet.view(worker).name.clone() })
    }

    /// Returns the worker that could hold a job and is nearest to having room for it.
    fn nearest_room(&self, turn: &Turn<'_>, draft: &Draft) -> Option<WorkerKey> {
        let avoided = self.avoided(turn);
        let could = |key: WorkerKey| {
            let allowance = turn.fleet.view(key).allowance();
            amounts::fits(&turn.need, &allowance) && !avoided.contains(&key)
        };
        let open =
            draft.rows.iter().filter(|row| !row.is_held() && row.limit > 0 && could(row.key));
        let short = |row: &super::draft::DraftRow| {
            amounts::dominant_share(&amounts::minus(&turn.need, &row.free), &turn.need)
        };
        open.min_by(|a, b| short(a).total_cmp(&short(b))).map(|row| row.key)
    }

    fn keep(&mut self, turn: &Turn<'_>, hold: Hold, draft: &mut Draft) {
        draft.hold(&hold);
        self.holds.put(&turn.wish.job, hold);
    }

    /// Gives up what is kept for a job, if anything is.
    pub(super) fn give_up_hold(&mut self, wish: &PlacementRequest, draft: &mut Draft) {
        if let Some(hold) = self.holds.drop(&wish.job) {
            draft.release(&hold);
        }
    }
}

/// Builds a patient hold that has yet to be given its end.
fn hold(turn: &Turn<'_>, worker: WorkerKey) -> Hold {
    let customer = turn.wish.customer.clone();
    Hold { worker, customer, need: turn.need, until: turn.now, evicting: false }
}
