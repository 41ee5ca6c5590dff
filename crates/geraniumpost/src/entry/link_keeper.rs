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

/// Interval of pings on a link that attempts wait on.
const PING: Duration = Duration::from_millis(200);
/// Every how many intervals an idle link is pinged, to spare idle VMs.
const IDLE_PINGS: u32 = 5;
/// How long a ping may go unanswered before the link counts as silent, in milliseconds.
const SILENT_MS: u64 = 600;
/// Shortest pause between two tries to connect; up to twice as long.
const RETRY_MS: u64 = 100;
/// How long a silent link is still listened to after another has taken its place.
const LATE_ANSWERS: Duration = Duration::from_secs(30);

/// Where an agent is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the agent.
    pub name: Name,
    /// Its TCP address.
    pub address: SocketAddr,
    /// Its present incarnation.
    pub incarnation: u64,
}

/// Keeps a link to an agent until the target's sender is dropped.
///
/// Something between two VMs may lose track of a connection, which then stays open and carries
/// nothing. It is noticed by pings that are not answered; a second connection is opened beside it,
/// and whoever waited on the first asks over the second what became of the attempt.
pub async fn keep_link(cx: Arc<EntryContext>, mut target: watch::Receiver<Target>) {
    while target.has_changed().is_ok() {
        let aim = target.borrow_and_update().clone();
        match connect(aim.address, &cx.me, &cx.key).await {
            Ok((connection, peer)) if peer.name == aim.name => {
                let metrics = Arc::clone(&cx.metrics);
                let (sender, frames) = open_link(connection, move |error| {
                    metrics.dropped("frame", reason(&error), 1);
                });
                let link = Arc::new(AgentLink::new(peer, sender, cx.clock.now()));
                come_up(&cx, &link);
                let reading = tokio::spawn(read(Arc::clone(&cx), Arc::clone(&link), frames));
                watch_over(&cx, &link, &mut target).await;
                go_down(&cx, &link);
                tokio::spawn(timeout(LATE_ANSWERS, reading));
            }
            Ok((_, peer)) => spdlog::warn!("{} answers instead of {}", peer.name, aim.name),
            Err(error) => spdlog::debug!("link to {}: {error}", aim.name),
        }
        sleep(Duration::from_millis(RETRY_MS + rand::random_range(0..RETRY_MS))).await;
    }
}

fn come_up(cx: &EntryContext, link: &Arc<AgentLink>) {
    cx.links.put(link);
    set_connected(cx, link, true);
    let in_force = cx.config.active().load();
    if in_force.revision() > 0 {
        let head = ToAgent::Adopt(Adopt { revision: in_force.revision() });
        link.send_with(head, in_force.json().clone());
    } else {
        link.send(ToAgent::FetchConfig);
    }
    cx.send_to_planner(PlannerInput::LinkUp(Arc::clone(link)));
}

/// Takes a link out of use.
///
/// Whoever waits on it is told so, whatever the reason: an agent that has gone silent is forgotten
/// sooner than its pings run out, and its attempts would otherwise wait for their whole deadline.
fn go_down(cx: &EntryContext, link: &Arc<AgentLink>) {
    cx.links.remove(link);
    link.tell_silent();
    set_connected(cx, link, false);
    cx.send_to_planner(PlannerInput::LinkDown(Arc::clone(link)));
}

fn set_connected(cx: &EntryContext, link: &AgentLink, connected: bool) {
    let peer = link.peer();
    cx.change_membership(|membership| {
        ((), membership.set_connected(&peer.name, peer.incarnation, connected))
    });
}

/// Pings until the link ends, falls silent or its agent is forgotten.
async fn watch_over(
    cx: &EntryContext,
    link: &Arc<AgentLink>,
    target: &mut watch::Receiver<Target>,
) {
    let mut ticks = interval(PING);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pings = PingRecord::default();
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
        if pings.is_silent(link, now) {
            spdlog::warn!("link to {} is silent", link.peer().name);
            return;
        }
        if link.is_waited_on() || turn % IDLE_PINGS == 0 {
            pings.ping(link, now);
        }
    }
}

/// The oldest ping that is not answered yet.
#[derive(Debug, Default)]
struct PingRecord {
    number: u64,
    asked_at: Option<Millis>,
    looked_at: Millis,
}

impl PingRecord {
    fn is_silent(&mut self, link: &AgentLink, now: Millis) -> bool {
        let since_look = now.since(std::mem::replace(&mut self.looked_at, now));
        let answered = self.asked_at.is_some_and(|asked| link.silent_ms(now) <= now.since(asked));
        // After a pause of this process the answers lie unread in the socket: that is no silence.
        let paused = since_look > 2 * PING.as_millis() as u64;
        if answered || paused {
            self.asked_at = None;
        }
        self.asked_at.is_some_and(|asked| now.since(asked) > SILENT_MS)
    }

    fn ping(&mut self, link: &AgentLink, now: Millis) {
        self.number += 1;
        if link.send(ToAgent::Ping(self.number)) {
            self.asked_at.get_or_insert(now);
        }
    }
}

/// Passes what the agent says on, until the link ends.
async fn read(cx: Arc<EntryContext>, link: Arc<AgentLink>, mut frames: LinkReceiver<ToEntry>) {
    while let Some(frame) = frames.next().await {
        link.heard(cx.clock.now());
        let late = match frame.head {
            ToEntry::Answer(head) => {
                report_load(&cx, &link, &head.load);
                !link.answer(head.id, LinkEvent::Answer(head, frame.body))
            }
            ToEntry::Verdict(verdict) => {
                link.tell(verdict.id, LinkEvent::Verdict(verdict.verdict));
                false
            }
            ToEntry::Pong(pong) => {
                report_load(&cx, &link, &pong.load);
                false
            }
            ToEntry::Leaving => {
                leaving(&cx, &link);
                false
            }
            ToEntry::Config(adopt) if adopt.revision > 0 => {
                let peer = &link.peer().name;
                let wanted = cx.config.received(peer, adopt.revision, &frame.body);
                super::links::fetch(&cx, &wanted);
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

fn report_load(cx: &EntryContext, link: &AgentLink, load: &geraniumpost_schema::Load) {
    let snapshot = cx.snapshot.load();
    let agent = snapshot.agent(&link.peer().name);
    if let Some(agent) = agent.filter(|a| a.incarnation() == link.peer().incarnation) {
        agent.counters().record_load(load, cx.clock.now());
    }
}

fn leaving(cx: &EntryContext, link: &AgentLink) {
    let peer = link.peer();
    spdlog::info!("agent {} is leaving", peer.name);
    cx.change_membership(|membership| ((), membership.mark_draining(&peer.name, peer.incarnation)));
}
