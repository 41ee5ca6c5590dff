use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_schema::{AgentState, Datagram, Heartbeat, HeartbeatAck, Resources};
use tokio::time::MissedTickBehavior;

use super::AgentContext;
use super::tasks::TaskSummary;
use crate::datagram_socket::DatagramSocket;
use crate::drop_reason::reason;

/// Sends heartbeats at the interval of the settings until the process ends.
pub async fn send_periodically(cx: Arc<AgentContext>, socket: Arc<DatagramSocket>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(cx.settings.heartbeat_ms));
    // After a process pause, the missed heartbeats are not sent.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        send_once(&cx, &socket).await;
    }
}

/// Sends a heartbeat to every known entry.
pub async fn send_once(cx: &AgentContext, socket: &DatagramSocket) {
    let addresses: Vec<SocketAddr> = cx.entries().addresses();
    let beat = heartbeat(cx);
    cx.record_heartbeat(beat.sequence);
    let datagram = Datagram::Heartbeat(beat);
    for address in addresses {
        socket.send(&datagram, address).await;
    }
}

/// Receives the entries' answers to heartbeats until the process ends.
pub async fn receive_acks(cx: Arc<AgentContext>, socket: Arc<DatagramSocket>) {
    loop {
        let (from, received) = socket.receive().await;
        match received {
            Ok(Datagram::HeartbeatAck(ack)) if ack.incarnation == cx.me.incarnation => {
                on_ack(&cx, ack);
            }
            Ok(_) => cx.metrics.dropped("datagram", "unexpected", 1),
            Err(error) => {
                spdlog::debug!("dropped a datagram from {from}: {error}");
                cx.metrics.dropped("datagram", reason(&error), 1);
            }
        }
    }
}

fn on_ack(cx: &AgentContext, ack: HeartbeatAck) {
    cx.metrics.heartbeat("entry");
    cx.extend_agent_lease(&ack);
    cx.entries().update(ack.entries);
}

fn heartbeat(cx: &AgentContext) -> Heartbeat {
    let settings = &cx.settings;
    let TaskSummary { term, reserved, tasks } = cx.task_summary();
    Heartbeat {
        agent: cx.me.name.clone(),
        incarnation: cx.me.incarnation,
        sequence: cx.next_sequence(),
        service: cx.service_name(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        rack: settings.rack.clone(),
        address: settings.announce.unwrap_or(settings.listen).to_string().into(),
        state: if cx.is_draining() { AgentState::Draining } else { AgentState::Ready },
        slots: cx.service().slots,
        load: cx.requests().load(),
        config_revision: cx.config.active().load().revision(),
        entries_digest: cx.entries().digest(),
        term,
        has_worker: settings.worker.is_some(),
        capacity: capacity(cx),
        reserved,
        tasks,
    }
}

/// Returns the VM's resources from the settings.
fn capacity(cx: &AgentContext) -> Resources {
    let settings = &cx.settings;
    Resources {
        milli_cpus: settings.milli_cpus,
        memory_mb: settings.memory_mb,
        accelerators: settings.accelerators,
    }
}
