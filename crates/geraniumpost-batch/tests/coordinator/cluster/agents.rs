//! Messages from agents to the coordinator.

use geraniumpost_batch::{FromAgent, MinionInfo, PollResult, RunningTask, TaskId};
use geraniumpost_schema::Name;

use super::{Cluster, agent_name, minion_info};

impl Cluster {
    /// Links the agent of a new or returning minion, reports the minion as `change` describes it,
    /// and sends a heartbeat and a poll.
    pub fn join(&mut self, name: &str, change: impl Fn(MinionInfo) -> MinionInfo) {
        let agent = agent_name(name);
        self.send(name, FromAgent::Hello { agent });
        self.send(name, FromAgent::Minion(change(minion_info(name))));
        self.heartbeat(name);
        self.poll(name);
    }

    /// Like [`Self::join`], for a minion with these labels.
    pub fn join_labelled(&mut self, name: &str, labels: &[&str]) {
        let labels: Vec<Name> = labels.iter().map(|label| (*label).into()).collect();
        self.join(name, |info| MinionInfo { labels: labels.clone(), ..info });
    }

    /// Ends a minion with all its runs, and lets its agent report the crash.
    pub fn crash(&mut self, minion: &str) {
        let name = Name::from(minion);
        self.running.remove(&name);
        self.send(
            minion,
            FromAgent::MinionTerminated { minion: name, crashed: true, replaced_by: None },
        );
    }

    /// Sends a message of a minion's agent to the coordinator, and performs the resulting effects.
    /// After a heartbeat that reports a responsive minion, [`Cluster::advance`] sends further
    /// heartbeats.
    pub fn send(&mut self, minion: &str, message: FromAgent) {
        match message {
            FromAgent::Heartbeat { minion_ok: true, .. } => {
                self.heartbeating_minions.insert(minion.to_owned());
            }
            FromAgent::Heartbeat { .. } | FromAgent::MinionTerminated { .. } => {
                self.stop_heartbeats(minion);
            }
            _ => {}
        }
        self.coordinator.handle_agent_message(&agent_name(minion), message, self.now);
        self.process_effects();
    }

    /// Stops the heartbeats of a minion's agent, while its link stays open.
    pub fn stop_heartbeats(&mut self, minion: &str) {
        self.heartbeating_minions.remove(minion);
    }

    /// Closes the link between a minion's agent and the coordinator.
    pub fn disconnect_agent(&mut self, minion: &str) {
        self.stop_heartbeats(minion);
        self.coordinator.handle_agent_disconnected(&agent_name(minion), self.now);
    }

    /// Kills and restarts a minion's agent. The new process counts its results from zero.
    pub fn restart_agent(&mut self, minion: &str) {
        self.disconnect_agent(minion);
        self.last_result_number = 0;
        self.join(minion, |info| info);
    }

    pub fn heartbeat(&mut self, minion: &str) {
        let sent_at_ms = self.now.steady_ms;
        self.send(minion, FromAgent::Heartbeat { sent_at_ms, minion_ok: true });
    }

    /// Sends a heartbeat that reports the agent's minion as unresponsive, and stops further ones.
    pub fn heartbeat_with_unresponsive_minion(&mut self, minion: &str) {
        let sent_at_ms = self.now.steady_ms;
        self.send(minion, FromAgent::Heartbeat { sent_at_ms, minion_ok: false });
    }

    /// Polls a minion, and sends its lists of running and ended tasks to the coordinator.
    pub fn poll(&mut self, minion: &str) {
        let name = Name::from(minion);
        let running = self.running.get(&name).into_iter().flatten();
        let running = running.map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: Name::default(),
            progress_percent: self.task_percent.get(task).copied().unwrap_or(self.default_percent),
            measurement: self.measurements.get(task).copied().unwrap_or(0),
        });
        let acknowledged = self.acknowledged.get(&name).copied().unwrap_or(0);
        let ended = self.ended_tasks.get(&name).into_iter().flatten();
        let poll_result = PollResult {
            minion: name.clone(),
            running: Some(running.collect()),
            ended: ended.filter(|end| end.sequence > acknowledged).cloned().collect(),
            more_ends: false,
            orders_reported_before: self.last_result_number,
        };
        self.send(minion, FromAgent::PollResult(poll_result));
    }

    /// Sets the measurement in further polls: the tail latency of a serving task in milliseconds,
    /// or the processor use of any other task in thousandths.
    pub fn set_measurement(&mut self, task: TaskId, measurement: u32) {
        self.measurements.insert(task, measurement);
    }
}
