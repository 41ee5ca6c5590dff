use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use geraniumpost_batch::{Departures, FromAgent, MinionInfo, OrderResult};
use geraniumpost_net::LinkSender;
use geraniumpost_platform::Minion;
use geraniumpost_schema::Name;
use tokio::sync::Notify;

use super::super::{BootClock, FromPeer};

/// Lowest speed of a minion's clock relative to the agent's, in percent.
const SLOW_CLOCK_PERCENT: u64 = 98;

/// State that the agent's tasks share.
#[derive(Debug)]
pub struct State {
    /// Name of the agent.
    pub node: Name,
    /// Client of the minion beside the agent.
    pub minion: Minion,
    /// The coordinator's fencing token; 0 before the first lease.
    pub fence: AtomicU64,
    /// Notified when ends are acknowledged, a new incarnation is heard of, the link changes or a
    /// new coordinator grants a lease.
    pub wake: Notify,
    /// Notified when a heartbeat should be sent at once: without a lease a new incarnation gets no
    /// work.
    pub heartbeat_now: Notify,
    /// Whether the linked coordinator may have a successor: it reports that it does not reach the
    /// store, or the minion has rejected its fencing token.
    pub coordinator_may_be_replaced: std::sync::atomic::AtomicBool,
    /// When the coordinator last sent a message over the current link, on the boot clock.
    pub coordinator_heard_ms: AtomicU64,
    lease_end_ms: AtomicU64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The incarnation that answers calls, as of its last heartbeat.
    current: Option<MinionInfo>,
    /// Incarnations that have sent heartbeats but have not answered a call yet.
    unconfirmed: HashMap<Name, MinionInfo>,
    /// Incarnations that have left, until a coordinator has recorded their departure.
    departures: Departures,
    /// The minion's clock, and the boot clock when that was received.
    clock: Option<(u64, u64)>,
    /// When the minion last answered, on the boot clock.
    minion_answered_ms: u64,
    /// Sequence number up to which ends are acknowledged.
    acknowledged: u64,
    /// Sequence number of the last end that was reported over the current link.
    reported: u64,
    /// Whether the next poll is reported in full.
    full_report: bool,
    link: Option<LinkSender<FromPeer>>,
    reported_results: u64,
}

impl State {
    /// Returns the state of an agent that has not heard of a minion or a coordinator yet.
    pub fn new(node: Name, minion: Minion) -> Self {
        Self {
            node,
            minion,
            fence: AtomicU64::new(0),
            wake: Notify::new(),
            heartbeat_now: Notify::new(),
            coordinator_may_be_replaced: std::sync::atomic::AtomicBool::new(false),
            coordinator_heard_ms: AtomicU64::new(0),
            lease_end_ms: AtomicU64::new(0),
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a heartbeat. An incarnation becomes the current one only when it answers a call,
    /// because a delayed heartbeat of an earlier incarnation may arrive after the first one of the
    /// next.
    pub fn record_heartbeat(&self, info: MinionInfo) {
        let mut inner = self.lock();
        let changed = match &inner.current {
            Some(current) if current.id == info.id => {
                if info.sequence < current.sequence {
                    return;
                }
                let changed = current.draining != info.draining
                    || current.capacity != info.capacity
                    || current.labels != info.labels;
                inner.current = Some(info.clone());
                changed
            }
            _ => {
                inner.unconfirmed.insert(info.id.clone(), info);
                drop(inner);
                self.wake.notify_waiters();
                return;
            }
        };
        drop(inner);
        if changed {
            spdlog::info!("event=minion_changed minion={} draining={}", info.id, info.draining);
            self.send(FromAgent::Minion(info));
        }
    }

    /// Returns the incarnations that may be running, unconfirmed ones first.
    pub fn candidates(&self) -> Vec<Name> {
        let inner = self.lock();
        let current = inner.current.iter().map(|info| info.id.clone());
        inner.unconfirmed.keys().cloned().chain(current).collect()
    }

    /// Records that an incarnation has answered, with the time on its own clock. An unconfirmed
    /// incarnation becomes the current one.
    pub fn record_answer(&self, id: &Name, clock_ms: u64, received_ms: u64) {
        let mut inner = self.lock();
        inner.clock = Some((clock_ms, received_ms));
        inner.minion_answered_ms = received_ms;
        let Some(info) = inner.unconfirmed.remove(id) else { return };
        spdlog::info!("event=minion_confirmed minion={id}");
        inner.current = Some(info.clone());
        inner.departures.remove(id);
        inner.unconfirmed.clear();
        inner.acknowledged = 0;
        inner.reported = 0;
        inner.full_report = true;
        drop(inner);
        self.send(FromAgent::Minion(info));
        self.heartbeat_now.notify_one();
    }

    /// Records that an incarnation has been replaced by another one.
    pub fn record_replaced(&self, id: &Name) {
        let mut inner = self.lock();
        inner.unconfirmed.remove(id);
        if inner.current.as_ref().is_some_and(|current| current.id == *id) {
            report_departure(&mut inner, id);
        }
    }

    /// Records that an incarnation has deregistered and is about to terminate.
    pub fn record_leaving(&self, id: &Name) {
        self.lock().departures.record_leaving(id);
    }

    /// Records that an incarnation has terminated after its deregistration. An agent that has just
    /// started may not know the incarnation before.
    pub fn record_terminated(&self, id: &Name) {
        let mut inner = self.lock();
        inner.unconfirmed.remove(id);
        report_departure(&mut inner, id);
    }

    /// Handles the coordinator's message that it has recorded a departure.
    pub fn departure_recorded(&self, id: &Name) {
        self.lock().departures.remove(id);
        spdlog::info!("event=departure_recorded minion={id}");
    }

    /// Returns whether a coordinator has recorded all departures.
    pub fn departures_recorded(&self) -> bool {
        self.lock().departures.is_empty()
    }

    /// Returns the incarnation that answers calls, if any.
    pub fn current_minion(&self) -> Option<MinionInfo> {
        self.lock().current.clone()
    }

    /// Returns whether the minion has answered within `ms` milliseconds.
    pub fn answers_within(&self, ms: u64) -> bool {
        let inner = self.lock();
        inner.current.is_some() && BootClock.now_ms().saturating_sub(inner.minion_answered_ms) < ms
    }

    /// Extends the lease. It counts from the sending of the heartbeat that is answered, so that a
    /// late response does not extend it beyond the end that the coordinator assumes.
    pub fn extend_lease(&self, sent_at_ms: u64, duration_ms: u64, fence: u64) {
        if self.fence.fetch_max(fence, Ordering::SeqCst) < fence {
            spdlog::info!("event=coordinator_accepted fence={fence}");
            self.wake.notify_waiters();
        }
        if fence == self.fence.load(Ordering::SeqCst) && duration_ms > 0 {
            self.lease_end_ms.fetch_max(sent_at_ms + duration_ms, Ordering::SeqCst);
        }
    }

    /// Returns the end of the lease on the minion's clock, or `None` if it has expired.
    pub fn lease_end(&self) -> Option<u64> {
        let (clock_ms, received_ms) = self.lock().clock?;
        let lease_end_ms = self.lease_end_ms.load(Ordering::SeqCst);
        if lease_end_ms <= BootClock.now_ms() {
            return None;
        }
        let remaining_ms = lease_end_ms.saturating_sub(received_ms);
        // A slow clock takes longer for the same number of milliseconds.
        Some(clock_ms + remaining_ms * SLOW_CLOCK_PERCENT / 100)
    }

    /// Records that the ends up to a sequence number are committed, so that the minion may forget
    /// them.
    pub fn acknowledge(&self, minion: &Name, up_to: u64) {
        let mut inner = self.lock();
        if inner.current.as_ref().is_some_and(|current| current.id == *minion) {
            inner.acknowledged = inner.acknowledged.max(up_to);
        }
        drop(inner);
        self.wake.notify_waiters();
    }

    /// Returns the sequence numbers of the last acknowledged end and of the last reported one.
    pub fn end_sequences(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.acknowledged, inner.reported)
    }

    /// Records that the ends up to a sequence number are reported; returns whether this poll is to
    /// be reported in full.
    pub fn record_reported(&self, last_sequence: Option<u64>, full_report: bool) -> bool {
        let mut inner = self.lock();
        if let Some(last_sequence) = last_sequence {
            inner.reported = inner.reported.max(last_sequence);
        }
        let is_full_report = inner.full_report || full_report;
        inner.full_report = false;
        is_full_report
    }

    /// Sets or clears the link to the coordinator. Over a new link everything is reported again.
    pub fn set_link(&self, link: Option<LinkSender<FromPeer>>) {
        let mut inner = self.lock();
        inner.link = link;
        inner.reported = inner.acknowledged;
        inner.full_report = true;
        for minion in inner.departures.unrecorded_terminations().cloned().collect::<Vec<_>>() {
            send_on_link(&inner, FromAgent::MinionTerminated { minion });
        }
        if let Some(info) = inner.current.clone() {
            send_on_link(&inner, FromAgent::Minion(info));
        }
        drop(inner);
        self.wake.notify_waiters();
    }

    /// Returns for how long the coordinator has been silent, in milliseconds.
    pub fn silent_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.coordinator_heard_ms.load(Ordering::Relaxed))
    }

    /// Returns the number of order results reported so far, or `None` if there is no link.
    pub fn reported_results(&self) -> Option<u64> {
        let inner = self.lock();
        inner.link.as_ref().map(|_| inner.reported_results)
    }

    /// Sends a message to the coordinator if there is a link. The next link reports the state
    /// again.
    pub fn send(&self, message: FromAgent) {
        send_on_link(&self.lock(), message);
    }

    /// Sends the result of an order to the coordinator under the next number.
    pub fn send_result(&self, mut result: OrderResult) {
        let mut inner = self.lock();
        inner.reported_results += 1;
        result.results_reported = inner.reported_results;
        send_on_link(&inner, FromAgent::Result(result));
    }
}

/// Sends a message to the coordinator; returns false if there is no link.
fn send_on_link(inner: &Inner, message: FromAgent) -> bool {
    inner.link.as_ref().is_some_and(|link| link.send(FromPeer::AgentMessage(message)).is_ok())
}

/// Records the departure of an incarnation until it is confirmed, and reports it to the
/// coordinator.
fn report_departure(inner: &mut Inner, id: &Name) {
    if inner.current.as_ref().is_some_and(|current| current.id == *id) {
        inner.current = None;
        inner.clock = None;
    }
    inner.departures.record_terminated(id);
    let reported = send_on_link(inner, FromAgent::MinionTerminated { minion: id.clone() });
    spdlog::info!("event=minion_terminated minion={id} reported={reported}");
}
