use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_core::Millis;
use geraniumpost_net::{LinkReceiver, connect, open_link};
use geraniumpost_schema::{Adopt, Name, ToAgent, ToEntry};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use super::{AgentLink, EntryContext, LinkEvent};
use crate::drop_reason::reason;
use crate::planner::PlannerInput;

/// Interval of pings on a link that attempts wait for.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Number of ping intervals between two pings on an idle link, which spares idle VMs.
const IDLE_PING_INTERVALS: u32 = 5;
/// Time without an answer to a ping after which a link is considered unresponsive, in milliseconds.
const PING_TIMEOUT_MS: u64 = 600;
/// Minimum delay between two connection attempts, in milliseconds. The delay is random up to twice
/// as long.
const RECONNECT_DELAY_MS: u64 = 100;
/// Time for which an unresponsive link is still read after it was replaced.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Agent to which a link is maintained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkTarget {
    /// Name of the agent.
    pub name: Name,
    /// TCP address of the agent.
    pub address: SocketAddr,
    /// Current incarnation of the agent.
    pub incarnation: u64,
}

/// Maintains a link to an agent until the sender of `target` is dropped.
///
/// A network device between two VMs may drop the state of a connection, which then remains open but
/// transmits nothing. Unanswered pings detect this. The connection is then replaced by a new one,
/// over which attempts that waited for the old connection query their state.
pub async fn maintain_link(cx: Arc<EntryContext>, mut target: watch::Receiver<LinkTarget>) {
    while target.has_changed().is_ok() {
        let agent = target.borrow_and_update().clone();
        match connect(agent.address, &cx.me, &cx.key).await {
            Ok((connection, peer)) if peer.name == agent.name => {
                let metrics = Arc::clone(&cx.metrics);
                let (sender, frames) = open_link(connection, move |error| {
                    metrics.dropped("frame", reason(&error), 1);
                });
                let link = Arc::new(AgentLink::new(peer, sender, cx.clock.now()));
                on_link_up(&cx, &link);
                let reading = tokio::spawn(read(Arc::clone(&cx), Arc::clone(&link), frames));
                monitor(&cx, &link, &mut target).await;
                on_link_down(&cx, &link);
                tokio::spawn(timeout(LATE_ANSWER_TIMEOUT, reading));
            }
            Ok((_, peer)) => spdlog::warn!(
                "connected to agent {} at the address of agent {}",
                peer.name,
                agent.name
            ),
            Err(error) => spdlog::debug!("cannot connect to agent {}: {error}", agent.name),
        }
        sleep(Duration::from_millis(
            RECONNECT_DELAY_MS + rand::random_range(0..RECONNECT_DELAY_MS),
        ))
        .await;
    }
}

fn on_link_up(cx: &EntryContext, link: &Arc<AgentLink>) {
    cx.links.put(link);
    set_connected(cx, link, true);
    let in_force = cx.config.active().load();
    if in_force.revision() > 0 {
        let head = ToAgent::Adopt(Adopt { revision: in_force.revision() });
        link.send_with_body(head, in_force.json().clone());
    } else {
        link.send(ToAgent::FetchConfig);
    }
    cx.send_to_planner(PlannerInput::LinkUp(Arc::clone(link)));
}

/// Stops using a link.
///
/// The waiting attempts are always informed. An agent whose heartbeats have timed out is removed
/// before its pings time out, and its attempts would otherwise wait until their deadline.
fn on_link_down(cx: &EntryContext, link: &Arc<AgentLink>) {
    cx.links.remove(link);
    link.report_unresponsive();
    set_connected(cx, link, false);
    cx.send_to_planner(PlannerInput::LinkDown(Arc::clone(link)));
}

fn set_connected(cx: &EntryContext, link: &AgentLink, connected: bool) {
    let peer = link.peer();
    cx.change_membership(|membership| {
        ((), membership.set_connected(&peer.name, peer.incarnation, connected))
    });
}

/// Sends pings until the link has ended or is unresponsive, or the agent is removed or has another
/// incarnation.
async fn monitor(
    cx: &EntryContext,
    link: &Arc<AgentLink>,
    target: &mut watch::Receiver<LinkTarget>,
) {
    let mut ticks = interval(PING_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pings = PingState::default();
    for turn in 0_u32.. {
        tokio::select! {
            _ = ticks.tick() => {}
            () = link.closed() => return,
            changed = target.changed() => match changed {
                Ok(()) if target.borrow().incarnation == link.peer().incarnation => continue,
                _ => return,
            },
        }
        let now = cx.clock.now();
        if pings.is_timed_out(link, now) {
            spdlog::warn!("link to agent {} does not answer pings", link.peer().name);
            return;
        }
        if link.has_waiting_attempts() || turn % IDLE_PING_INTERVALS == 0 {
            pings.ping(link, now);
        }
    }
}

/// State of the pings on a link.
#[derive(Debug, Default)]
struct PingState {
    number: u64,
    /// Time of the oldest ping without an answer.
    unanswered_since: Option<Millis>,
    checked_at: Millis,
}

impl PingState {
    fn is_timed_out(&mut self, link: &AgentLink, now: Millis) -> bool {
        let since_check = now.since(std::mem::replace(&mut self.checked_at, now));
        let answered =
            self.unanswered_since.is_some_and(|sent| link.silent_ms(now) <= now.since(sent));
        // After a process pause, answers may still be unread in the socket.
        let paused = since_check > 2 * PING_INTERVAL.as_millis() as u64;
        if answered || paused {
            self.unanswered_since = None;
        }
        self.unanswered_since.is_some_and(|sent| now.since(sent) > PING_TIMEOUT_MS)
    }

    fn ping(&mut self, link: &AgentLink, now: Millis) {
        self.number += 1;
        if link.send(ToAgent::Ping(self.number)) {
            self.unanswered_since.get_or_insert(now);
        }
    }
}

/// Handles the agent's messages until the link ends.
async fn read(cx: Arc<EntryContext>, link: Arc<AgentLink>, mut frames: LinkReceiver<ToEntry>) {
    while let Some(frame) = frames.next().await {
        link.record_received(cx.clock.now());
        let late = match frame.head {
            ToEntry::Answer(head) => {
                record_load(&cx, &link, &head.load);
                !link.deliver_answer(head.id, LinkEvent::Answer(head, frame.body))
            }
            ToEntry::Verdict(verdict) => {
                link.deliver_event(verdict.id, LinkEvent::Verdict(verdict.verdict));
                false
            }
            ToEntry::Pong(pong) => {
                record_load(&cx, &link, &pong.load);
                false
            }
            ToEntry::Leaving => {
                on_draining(&cx, &link);
                false
            }
            ToEntry::Config(adopt) if adopt.revision > 0 => {
                let peer = &link.peer().name;
                let requests = cx.config.received(peer, adopt.revision, &frame.body);
                super::links::fetch(&cx, &requests);
                false
            }
            ToEntry::Config(_) => false,
            ToEntry::InForce(revision) => {
                cx.record_in_force(&link.peer().name, revision);
                false
            }
            ToEntry::Report(_) | ToEntry::Inventory(_) => {
                cx.send_to_planner(PlannerInput::Message(Arc::clone(&link), frame.head));
                false
            }
        };
        if late {
            cx.metrics.dropped("answer", "late", 1);
        }
    }
    link.end();
}

fn record_load(cx: &EntryContext, link: &AgentLink, load: &geraniumpost_schema::Load) {
    let snapshot = cx.snapshot.load();
    let agent = snapshot.agent(&link.peer().name);
    if let Some(agent) = agent.filter(|a| a.incarnation() == link.peer().incarnation) {
        agent.counters().record_load(load, cx.clock.now());
    }
}

fn on_draining(cx: &EntryContext, link: &AgentLink) {
    let peer = link.peer();
    spdlog::info!("agent {} is draining", peer.name);
    cx.change_membership(|membership| ((), membership.mark_draining(&peer.name, peer.incarnation)));
}
