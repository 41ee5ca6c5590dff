//! How events begin, and what each part of them does to the site.

use super::act::Act;
use super::machine::CAPACITY_MILLI_CPUS;
use super::{Event, STEP_MS, Site};
use crate::world::task;

/// Time from a farewell until the agent takes the minion for gone, in milliseconds.
const FAREWELL_MS: u64 = 300;
/// How long an agent that was asked to stop may stay, in milliseconds.
const GRACE_MS: u64 = 5_000;

impl Site {
    /// Puts an event's parts on the agenda, at the machine where the task of an index ran last.
    pub(super) fn begin(&mut self, event: Event, index: u32) {
        let now_ms = self.world.now.steady_ms;
        let at = self.watch.last_place(task(1, 0, index)).unwrap_or(0);
        self.trace(&format!("event {event:?} at {}", self.machines[at].name));
        let acts = event.acts().iter();
        self.agenda.extend(acts.map(|(after_ms, act)| (now_ms + after_ms, at, *act)));
        if let Some(lasts_ms) = event.trouble_ms() {
            self.watch.expect_trouble(now_ms, now_ms + lasts_ms);
        }
    }

    /// Does what is due. A part may put another one on the agenda, so that each is looked for anew.
    pub(super) fn act_on_agenda(&mut self) {
        let now_ms = self.world.now.steady_ms;
        while let Some(next) = self.agenda.iter().position(|(at_ms, _, _)| *at_ms <= now_ms) {
            let (_, at, act) = self.agenda.remove(next);
            self.act(at, act);
        }
    }

    fn act(&mut self, at: usize, act: Act) {
        match act {
            Act::Drain => self.drain(at),
            Act::Farewell => self.say_farewell(at),
            Act::Crash => drop(self.end_minion(at)),
            Act::Reborn => self.reborn(at),
            Act::Cut => self.machines[at].path_open = false,
            Act::Mend => self.mend_path(at),
            Act::StopAgent => self.ask_agent_to_stop(at),
            Act::KillAgent => self.end_agent(at),
            Act::StartAgent => self.start_agent(at),
            Act::TakeOver(loss) => self.lose_coordinator(loss),
            Act::Word(number) => self.succession.answers_again(number),
            Act::CutOff => self.cut_coordinator_off(at),
            Act::Heal => self.end_cut_off(),
            Act::HoldWrites => self.world.writes_pass = false,
            Act::PassWrites => self.pass_writes(),
            Act::StoreAway => self.set_store(false),
            Act::StoreBack => self.set_store(true),
            Act::Late(late) => self.orders.held_up = late,
            Act::Full(full) => self.fill_others(at, full),
        }
    }

    fn drain(&mut self, at: usize) {
        if let Some(minion) = &mut self.machines[at].minion {
            minion.draining = true;
        }
    }

    fn say_farewell(&mut self, at: usize) {
        let gone_ms = self.world.now.steady_ms + FAREWELL_MS;
        let heard = self.machines[at].agent_up;
        if let Some(id) = self.end_minion(at).filter(|_| heard) {
            self.machines[at].departures.record_leaving(&id);
            self.machines[at].leaving = Some((gone_ms, id));
        }
    }

    fn mend_path(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        machine.path_open = true;
        machine.linked = false;
        machine.link_at_ms = self.world.now.steady_ms + 200;
    }

    fn ask_agent_to_stop(&mut self, at: usize) {
        self.machines[at].stopping_ms = Some(self.world.now.steady_ms + GRACE_MS);
    }

    /// Starts an agent, or waits for the one that is still about to stop.
    fn start_agent(&mut self, at: usize) {
        let now_ms = self.world.now.steady_ms;
        let machine = &mut self.machines[at];
        if machine.stopping_ms.is_some() {
            self.agenda.push((now_ms + STEP_MS, at, Act::StartAgent));
            return;
        }
        machine.agent_up = true;
        machine.link_at_ms = now_ms + 300;
    }

    /// Lets writes pass, unless the store is away, which ends by itself.
    fn pass_writes(&mut self) {
        if self.world.store_confirms {
            self.world.pass_writes();
        }
    }

    fn set_store(&mut self, there: bool) {
        self.world.store_confirms = there;
        if there {
            self.world.pass_writes();
        } else {
            self.world.writes_pass = false;
        }
    }

    /// Lets all other machines offer what is in use there and no more, or all they have.
    fn fill_others(&mut self, at: usize, full: bool) {
        for other in (0..self.machines.len()).filter(|other| *other != at) {
            let used = self.used(other);
            self.machines[other].milli_cpus = if full { used } else { CAPACITY_MILLI_CPUS };
        }
    }
}
