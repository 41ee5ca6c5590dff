use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use geraniumpost_batch::{Departures, FromAgent, MinionInfo, OrderResult};
use geraniumpost_net::LinkSender;
use geraniumpost_platform::Minion;
use geraniumpost_schema::Name;
use tokio::sync::Notify;

use super::super::{BootClock, FromPeer};

/// How much slower a minion's clock may run, in percent.
const SLOW_CLOCK_PERCENT: u64 = 98;

/// What the agent's tasks share.
#[derive(Debug)]
pub struct State {
    /// The agent's name.
    pub node: Name,
    /// The minion beside it.
    pub minion: Minion,
    /// The coordinator's fencing token; 0 before the first lease.
    pub fence: AtomicU64,
    /// Rings when an end was acknowledged, an incarnation came or a lease was granted.
    pub wake: Notify,
    /// Rings when a beat should leave at once: without a lease a new incarnation gets no work.
    pub beat_now: Notify,
    /// Whether the coordinator says that it misses the store.
    pub coordinator_misses_store: std::sync::atomic::AtomicBool,
    /// When the coordinator was last heard of over the present link, on the boot clock.
    pub heard_ms: AtomicU64,
    lease_ms: AtomicU64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The incarnation that answers, as it last said of itself.
    present: Option<MinionInfo>,
    /// Incarnations that were heard of and have not answered yet.
    unproved: HashMap<Name, MinionInfo>,
    /// Minions that have left, until a coordinator has recorded it.
    departures: Departures,
    /// The minion's clock, and the boot clock when it was read.
    clock: Option<(u64, u64)>,
    /// When the minion answered last, on the boot clock.
    answered_ms: u64,
    /// Number up to which ends are acknowledged.
    forget: u64,
    /// Number of the last end that was passed on over the present link.
    passed_on: u64,
    /// Whether the next look passes on everything.
    whole: bool,
    link: Option<LinkSender<FromPeer>>,
    results: u64,
}

impl State {
    /// Returns the state of an agent that has heard nothing yet.
    pub fn new(node: Name, minion: Minion) -> Self {
        Self {
            node,
            minion,
            fence: AtomicU64::new(0),
            wake: Notify::new(),
            beat_now: Notify::new(),
            coordinator_misses_store: std::sync::atomic::AtomicBool::new(false),
            heard_ms: AtomicU64::new(0),
            lease_ms: AtomicU64::new(0),
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes note of a heartbeat. The incarnation beside the agent is the one that answers calls:
    /// a delayed heartbeat of an earlier life may arrive after the first one of the next.
    pub fn heard(&self, info: MinionInfo) {
        let mut inner = self.lock();
        let news = match &inner.present {
            Some(present) if present.id == info.id => {
                if info.sequence < present.sequence {
                    return;
                }
                let news = present.draining != info.draining
                    || present.capacity != info.capacity
                    || present.labels != info.labels;
                inner.present = Some(info.clone());
                news
            }
            _ => {
                inner.unproved.insert(info.id.clone(), info);
                drop(inner);
                self.wake.notify_waiters();
                return;
            }
        };
        drop(inner);
        if news {
            spdlog::info!("event=minion_news minion={} draining={}", info.id, info.draining);
            self.send(FromAgent::Minion(info));
        }
    }

    /// Returns the incarnations that might be present, those not proved first.
    pub fn candidates(&self) -> Vec<Name> {
        let inner = self.lock();
        let present = inner.present.iter().map(|info| info.id.clone());
        inner.unproved.keys().cloned().chain(present).collect()
    }

    /// Takes note that an incarnation answered at a time on its own clock.
    pub fn answered(&self, id: &Name, clock_ms: u64, heard_ms: u64) {
        let mut inner = self.lock();
        inner.clock = Some((clock_ms, heard_ms));
        inner.answered_ms = heard_ms;
        let Some(info) = inner.unproved.remove(id) else { return };
        spdlog::info!("event=minion_present minion={id}");
        inner.present = Some(info.clone());
        inner.departures.remove(id);
        inner.unproved.clear();
        inner.forget = 0;
        inner.passed_on = 0;
        inner.whole = true;
        drop(inner);
        self.send(FromAgent::Minion(info));
        self.beat_now.notify_one();
    }

    /// Takes note that another incarnation than this one answers.
    pub fn gone(&self, id: &Name) {
        let mut inner = self.lock();
        inner.unproved.remove(id);
        if inner.present.as_ref().is_some_and(|present| present.id == *id) {
            tell_departure(&mut inner, id);
        }
    }

    /// Takes note that an incarnation has said its farewell.
    pub fn leaves(&self, id: &Name) {
        self.lock().departures.record_leaving(id);
    }

    /// Takes note that an incarnation has ended after its farewell. A process that has just started may
    /// hear of it first in this way.
    pub fn left(&self, id: &Name) {
        let mut inner = self.lock();
        inner.unproved.remove(id);
        tell_departure(&mut inner, id);
    }

    /// Takes note that the coordinator's records hold a departure.
    pub fn departure_settled(&self, id: &Name) {
        self.lock().departures.remove(id);
        spdlog::info!("event=departure_settled minion={id}");
    }

    /// Returns whether no departure is left to tell.
    pub fn departures_settled(&self) -> bool {
        self.lock().departures.is_empty()
    }

    /// Returns the incarnation that answers.
    pub fn present(&self) -> Option<MinionInfo> {
        self.lock().present.clone()
    }

    /// Returns whether the minion has answered within `ms` milliseconds.
    pub fn answers_within(&self, ms: u64) -> bool {
        let inner = self.lock();
        inner.present.is_some() && BootClock.now_ms().saturating_sub(inner.answered_ms) < ms
    }

    /// Extends the lease. It counts from the sending of the beat that is answered, so that a late
    /// answer extends nothing beyond what the coordinator counts with.
    pub fn lease(&self, sent_at_ms: u64, lease_ms: u64, fence: u64) {
        if self.fence.fetch_max(fence, Ordering::SeqCst) < fence {
            spdlog::info!("event=coordinator_obeyed fence={fence}");
            self.wake.notify_waiters();
        }
        if fence == self.fence.load(Ordering::SeqCst) && lease_ms > 0 {
            self.lease_ms.fetch_max(sent_at_ms + lease_ms, Ordering::SeqCst);
        }
    }

    /// Returns the end of the lease on the minion's clock, if it lies ahead.
    pub fn hold_until(&self) -> Option<u64> {
        let (clock_ms, heard_ms) = self.lock().clock?;
        let lease_ms = self.lease_ms.load(Ordering::SeqCst);
        if lease_ms <= BootClock.now_ms() {
            return None;
        }
        let left_ms = lease_ms.saturating_sub(heard_ms);
        // A slow clock reaches the same figure later.
        Some(clock_ms + left_ms * SLOW_CLOCK_PERCENT / 100)
    }

    /// Takes note that ends up to a number are committed.
    pub fn acknowledge(&self, minion: &Name, up_to: u64) {
        let mut inner = self.lock();
        if inner.present.as_ref().is_some_and(|present| present.id == *minion) {
            inner.forget = inner.forget.max(up_to);
        }
        drop(inner);
        self.wake.notify_waiters();
    }

    /// Returns the numbers of the last end acknowledged and the last one passed on.
    pub fn ends(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.forget, inner.passed_on)
    }

    /// Takes note that ends up to a number are passed on, and returns whether this look is to be
    /// passed on whole.
    pub fn pass_on(&self, last: Option<u64>, whole: bool) -> bool {
        let mut inner = self.lock();
        if let Some(last) = last {
            inner.passed_on = inner.passed_on.max(last);
        }
        let was_whole = inner.whole || whole;
        inner.whole = false;
        was_whole
    }

    /// Opens or closes the way to the coordinator. A new one learns everything anew.
    pub fn set_link(&self, link: Option<LinkSender<FromPeer>>) {
        let mut inner = self.lock();
        inner.link = link;
        inner.passed_on = inner.forget;
        inner.whole = true;
        for minion in inner.departures.unrecorded().cloned().collect::<Vec<_>>() {
            tell(&inner, FromAgent::MinionTerminated { minion });
        }
        if let Some(info) = inner.present.clone() {
            tell(&inner, FromAgent::Minion(info));
        }
        drop(inner);
        self.wake.notify_waiters();
    }

    /// Returns for how long the coordinator has been silent, in milliseconds.
    pub fn silent_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.heard_ms.load(Ordering::Relaxed))
    }

    /// Returns whether there is a link, and how many results were passed on so far.
    pub fn results(&self) -> Option<u64> {
        let inner = self.lock();
        inner.link.as_ref().map(|_| inner.results)
    }

    /// Tells the coordinator something; it learns all of it again on the next link.
    pub fn send(&self, message: FromAgent) {
        tell(&self.lock(), message);
    }

    /// Tells the coordinator what became of an order, under the next number.
    pub fn send_result(&self, mut result: OrderResult) {
        let mut inner = self.lock();
        inner.results += 1;
        result.number = inner.results;
        tell(&inner, FromAgent::Result(result));
    }
}

/// Tells the coordinator something; false if there is no link.
fn tell(inner: &Inner, message: FromAgent) -> bool {
    inner.link.as_ref().is_some_and(|link| link.send(FromPeer::AgentMessage(message)).is_ok())
}

/// Keeps the departure of an incarnation in mind, and tells the coordinator.
fn tell_departure(inner: &mut Inner, id: &Name) {
    if inner.present.as_ref().is_some_and(|present| present.id == *id) {
        inner.present = None;
        inner.clock = None;
    }
    inner.departures.record_terminated(id);
    let told = tell(inner, FromAgent::MinionTerminated { minion: id.clone() });
    spdlog::info!("event=minion_gone minion={id} told={told}");
}
