//! What agents tell the coordinator.

use geraniumpost_batch::{FromAgent, MinionInfo, PollResult, RunningTask, TaskId};
use geraniumpost_schema::Name;

use super::{World, agent, minion};

impl World {
    pub fn join(&mut self, name: &str, change: impl Fn(MinionInfo) -> MinionInfo) {
        let agent = agent(name);
        self.say(name, FromAgent::Hello { agent });
        self.say(name, FromAgent::Minion(change(minion(name))));
        self.beat(name);
        self.look(name);
    }

    pub fn say(&mut self, minion: &str, message: FromAgent) {
        match message {
            FromAgent::Heartbeat { minion_ok: true, .. } => {
                self.beating.insert(minion.to_owned());
            }
            FromAgent::Heartbeat { .. } | FromAgent::MinionTerminated { .. } => {
                self.fall_silent(minion)
            }
            _ => {}
        }
        self.coordinator.handle_agent_message(&agent(minion), message, self.now);
        self.settle();
    }

    /// Lets an agent fall silent, while its link stays open.
    pub fn fall_silent(&mut self, minion: &str) {
        self.beating.remove(minion);
    }

    /// Lets the coordinator lose the link to a minion's agent.
    pub fn lose_agent(&mut self, minion: &str) {
        self.fall_silent(minion);
        self.coordinator.agent_disconnected(&agent(minion), self.now);
    }

    /// Lets a minion's agent be killed and start again, which counts its results from the beginning.
    pub fn restart_agent(&mut self, minion: &str) {
        self.lose_agent(minion);
        self.results = 0;
        self.join(minion, |info| info);
    }

    pub fn beat(&mut self, minion: &str) {
        let sent_at_ms = self.now.steady_ms;
        self.say(minion, FromAgent::Heartbeat { sent_at_ms, minion_ok: true });
    }

    /// Lets an agent beat whose minion does not answer it.
    pub fn beat_without_answer(&mut self, minion: &str) {
        let sent_at_ms = self.now.steady_ms;
        self.say(minion, FromAgent::Heartbeat { sent_at_ms, minion_ok: false });
    }

    /// Lets a minion's agent pass its lists on.
    pub fn look(&mut self, minion: &str) {
        let name = Name::from(minion);
        let running = self.running.get(&name).into_iter().flatten();
        let running = running.map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: Name::default(),
            progress_percent: self.progress.get(task).copied().unwrap_or(self.percent),
            gauge: self.gauges.get(task).copied().unwrap_or(0),
        });
        let acknowledged = self.acknowledged.get(&name).copied().unwrap_or(0);
        let ended = self.ends.get(&name).into_iter().flatten();
        let look = PollResult {
            minion: name.clone(),
            running: Some(running.collect()),
            ended: ended.filter(|end| end.sequence > acknowledged).cloned().collect(),
            more_ends: false,
            orders_reported_before: self.results,
        };
        self.say(minion, FromAgent::PollResult(look));
    }

    pub fn set_gauge(&mut self, task: TaskId, gauge: u32) {
        self.gauges.insert(task, gauge);
    }
}
