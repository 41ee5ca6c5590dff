use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use geraniumpost_batch::{Departures, FromAgent, Incarnation, MinionInfo, OrderResult};
use geraniumpost_net::LinkSender;
use geraniumpost_platform::Minion;
use geraniumpost_schema::Name;
use tokio::sync::Notify;

use super::super::{BootClock, FromPeer};

/// Minimum speed of a minion's clock relative to the agent's clock for which leases are correct, in
/// percent.
const MIN_CLOCK_SPEED_PERCENT: u64 = 98;

/// State that the agent's tasks share.
#[derive(Debug)]
pub struct State {
    /// Name of the agent's VM.
    pub node: Name,
    /// Client of the minion on the same VM.
    pub minion: Minion,
    /// Highest fencing token of a coordinator that has granted a lease; 0 before the first lease.
    pub fence: AtomicU64,
    /// Ends pauses between polls. Notified when ended tasks are acknowledged, an incarnation that
    /// is not the current one sends a heartbeat, the link changes, or a new coordinator grants a
    /// lease.
    pub poll_wakeup: Notify,
    /// Notified when a heartbeat must be sent to the coordinator at once, because a new incarnation
    /// gets no work without a lease.
    pub heartbeat_now: Notify,
    /// Whether the linked coordinator may have a successor: the coordinator reports that it does
    /// not reach the store, or the minion has rejected the coordinator's fencing token.
    pub coordinator_may_be_replaced: std::sync::atomic::AtomicBool,
    /// Time of the coordinator's last message over the current link, on the monotonic clock.
    pub coordinator_heard_ms: AtomicU64,
    lease_end_ms: AtomicU64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The incarnation that responds to calls, as described by its last heartbeat.
    current: Option<MinionInfo>,
    /// Incarnations that have sent heartbeats but have not responded to a call yet.
    unconfirmed: HashMap<Name, MinionInfo>,
    /// Incarnations that have deregistered or terminated, until a coordinator has recorded their
    /// departure.
    departures: Departures,
    /// Last reading of the minion's clock, and the time at which the reading was received, on the
    /// agent's monotonic clock.
    minion_clock: Option<(u64, u64)>,
    /// Time of the minion's last response to a poll, on the monotonic clock.
    minion_responded_ms: u64,
    /// Sequence number of the last ended task that the coordinator has acknowledged.
    acknowledged_sequence: u64,
    /// Sequence number of the last ended task that was reported over the current link.
    reported_sequence: u64,
    /// Whether the next report must include the running tasks.
    full_report: bool,
    link: Option<LinkSender<FromPeer>>,
    reported_result_count: u64,
}

impl State {
    /// Returns the state of an agent that knows neither an incarnation of the minion nor a
    /// coordinator yet.
    pub fn new(node: Name, minion: Minion) -> Self {
        Self {
            node,
            minion,
            fence: AtomicU64::new(0),
            poll_wakeup: Notify::new(),
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

    /// Records a heartbeat. An incarnation becomes the current one only when it responds to a poll,
    /// because a delayed heartbeat of an earlier incarnation may arrive after the first heartbeat
    /// of its successor. A heartbeat of an incarnation that started before a known one under the
    /// same id is such a heartbeat, and is ignored.
    pub fn record_heartbeat(&self, info: MinionInfo) {
        let mut inner = self.lock();
        if inner
            .known_incarnations()
            .any(|known| Incarnation::from_name(known).is_later_than(&info.id))
        {
            return;
        }
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
                inner
                    .unconfirmed
                    .retain(|earlier, _| !Incarnation::have_same_id(earlier, &info.id));
                inner.unconfirmed.insert(info.id.clone(), info);
                drop(inner);
                self.poll_wakeup.notify_waiters();
                return;
            }
        };
        drop(inner);
        if changed {
            spdlog::info!("event=minion_changed minion={} draining={}", info.id, info.draining);
            self.send(FromAgent::Minion(info));
        }
    }

    /// Returns all incarnations that may be running, unconfirmed ones first.
    pub fn possible_incarnations(&self) -> Vec<Name> {
        self.lock().known_incarnations().cloned().collect()
    }

    /// Returns whether an incarnation is known that started later than `minion` under the same id.
    /// Calls that are addressed to `minion` may then reach the later one.
    pub fn is_restart_known(&self, minion: &Name) -> bool {
        self.lock()
            .known_incarnations()
            .any(|known| Incarnation::from_name(known).is_later_than(minion))
    }

    /// Returns whether another process under the same id as `minion` responds to calls.
    pub fn is_restarted(&self, minion: &Name) -> bool {
        self.lock().restarted_as(minion).is_some()
    }

    /// Records that an incarnation has responded to a poll with the time `clock_ms` on its own
    /// clock. An unconfirmed incarnation becomes the current one.
    pub fn record_response(&self, id: &Name, clock_ms: u64, received_ms: u64) {
        let mut inner = self.lock();
        let Some(info) = inner.unconfirmed.remove(id) else {
            if inner.current.as_ref().is_some_and(|current| current.id == *id) {
                inner.record_clock(clock_ms, received_ms);
            }
            return;
        };
        // A crashed minion announces nothing, and the first sign of its end is the response of the
        // next incarnation.
        let previous = inner.current.replace(info.clone()).filter(|previous| previous.id != *id);
        if let Some(previous) = previous {
            inner.departures.record_replaced(&previous.id, previous.draining);
            let replaced_by = inner.restarted_as(&previous.id);
            report_departure(&mut inner, &previous.id, replaced_by);
        }
        spdlog::info!("event=minion_confirmed minion={id}");
        inner.record_clock(clock_ms, received_ms);
        inner.departures.remove(id);
        inner.unconfirmed.clear();
        inner.acknowledged_sequence = 0;
        inner.reported_sequence = 0;
        inner.full_report = true;
        drop(inner);
        self.send(FromAgent::Minion(info));
        self.heartbeat_now.notify_one();
    }

    /// Records that another incarnation has responded to a call that was addressed to `id`;
    /// `replaced_by` is its name if it has the same id.
    pub fn record_replaced(&self, id: &Name, replaced_by: Option<Name>) {
        let mut inner = self.lock();
        inner.unconfirmed.remove(id);
        if let Some(current) = inner.current.clone().filter(|current| current.id == *id) {
            inner.departures.record_replaced(id, current.draining);
            report_departure(&mut inner, id, replaced_by);
        }
    }

    /// Records that a minion has deregistered and is about to terminate. Returns the incarnations
    /// that this may be, because a deregistration contains no start time: all known ones with the
    /// minion's id, or the id if there are none.
    pub fn record_deregistration(&self, id: &Name) -> Vec<Name> {
        let mut inner = self.lock();
        let unknown = Incarnation { id: id.clone(), born_ms: None }.to_name();
        let mut possible: Vec<Name> = inner
            .known_incarnations()
            .filter(|known| Incarnation::have_same_id(known, &unknown))
            .cloned()
            .collect();
        if possible.is_empty() {
            possible.push(unknown);
        }
        for minion in &possible {
            inner.departures.record_termination_notice(minion);
        }
        possible
    }

    /// Records that an incarnation has terminated after its deregistration. The incarnation may be
    /// unknown, because the agent may have started after its last heartbeat.
    pub fn record_terminated(&self, id: &Name) {
        let mut inner = self.lock();
        inner.unconfirmed.remove(id);
        inner.departures.record_terminated(id);
        let replaced_by = inner.restarted_as(id);
        report_departure(&mut inner, id, replaced_by);
    }

    /// Handles the coordinator's confirmation that it has recorded a departure.
    pub fn handle_departure_recorded(&self, id: &Name) {
        self.lock().departures.remove(id);
        spdlog::info!("event=departure_recorded minion={id}");
    }

    /// Returns whether a coordinator has recorded every departure that the agent knows of.
    pub fn are_departures_recorded(&self) -> bool {
        self.lock().departures.is_empty()
    }

    /// Returns the incarnation that responds to calls, if any.
    pub fn current_minion(&self) -> Option<MinionInfo> {
        self.lock().current.clone()
    }

    /// Returns whether the minion has responded to a poll within the last `ms` milliseconds.
    pub fn has_responded_within(&self, ms: u64) -> bool {
        let inner = self.lock();
        inner.current.is_some() && BootClock.now_ms().saturating_sub(inner.minion_responded_ms) < ms
    }

    /// Extends the lease as granted in response to a heartbeat. The lease counts from the time at
    /// which the heartbeat was sent, so that a late response does not extend the lease beyond the
    /// end that the coordinator assumes. Leases of superseded coordinators are ignored.
    pub fn extend_lease(&self, sent_at_ms: u64, duration_ms: u64, fence: u64) {
        if self.fence.fetch_max(fence, Ordering::SeqCst) < fence {
            spdlog::info!("event=coordinator_accepted fence={fence}");
            self.poll_wakeup.notify_waiters();
        }
        if fence == self.fence.load(Ordering::SeqCst) && duration_ms > 0 {
            self.lease_end_ms.fetch_max(sent_at_ms + duration_ms, Ordering::SeqCst);
        }
    }

    /// Returns the end of the lease in milliseconds on the minion's clock, or `None` if the lease
    /// has expired or the agent has no reading of that clock.
    pub fn lease_end_on_minion_clock_ms(&self) -> Option<u64> {
        let (clock_ms, received_ms) = self.lock().minion_clock?;
        let lease_end_ms = self.lease_end_ms.load(Ordering::SeqCst);
        if lease_end_ms <= BootClock.now_ms() {
            return None;
        }
        let remaining_ms = lease_end_ms.saturating_sub(received_ms);
        // The minion's clock may be slow. The remaining time is shortened so that the minion's
        // lease does not outlast the agent's.
        Some(clock_ms + remaining_ms * MIN_CLOCK_SPEED_PERCENT / 100)
    }

    /// Returns the last reading of the minion's clock; 0 if there is none.
    pub fn last_minion_clock_ms(&self) -> u64 {
        self.lock().minion_clock.map_or(0, |(clock_ms, _)| clock_ms)
    }

    /// Records that the coordinator has committed the ends of tasks up to a sequence number. The
    /// minion may then remove these tasks from its list.
    pub fn record_acknowledged(&self, minion: &Name, up_to: u64) {
        let mut inner = self.lock();
        if inner.current.as_ref().is_some_and(|current| current.id == *minion) {
            inner.acknowledged_sequence = inner.acknowledged_sequence.max(up_to);
        }
        drop(inner);
        self.poll_wakeup.notify_waiters();
    }

    /// Returns the sequence numbers of the last acknowledged and of the last reported ended task.
    pub fn end_sequences(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.acknowledged_sequence, inner.reported_sequence)
    }

    /// Records that ended tasks up to a sequence number are being reported. Returns whether the
    /// report must include the running tasks: if `full_report` is set, and in the first report
    /// about a new incarnation or over a new link.
    pub fn begin_report(&self, last_sequence: Option<u64>, full_report: bool) -> bool {
        let mut inner = self.lock();
        if let Some(last_sequence) = last_sequence {
            inner.reported_sequence = inner.reported_sequence.max(last_sequence);
        }
        let is_full_report = inner.full_report || full_report;
        inner.full_report = false;
        is_full_report
    }

    /// Sets or clears the link to the coordinator. Over a new link the minion, departures, and all
    /// ended tasks that are not acknowledged are reported again.
    pub fn set_link(&self, link: Option<LinkSender<FromPeer>>) {
        let mut inner = self.lock();
        inner.link = link;
        inner.reported_sequence = inner.acknowledged_sequence;
        inner.full_report = true;
        for minion in inner.departures.unrecorded_terminations().cloned().collect::<Vec<_>>() {
            let crashed = inner.departures.has_crashed(&minion);
            let replaced_by = inner.restarted_as(&minion);
            send_on_link(&inner, FromAgent::MinionTerminated { minion, crashed, replaced_by });
        }
        if let Some(info) = inner.current.clone() {
            send_on_link(&inner, FromAgent::Minion(info));
        }
        drop(inner);
        self.poll_wakeup.notify_waiters();
    }

    /// Returns for how long the coordinator has been silent, in milliseconds.
    pub fn coordinator_silence_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.coordinator_heard_ms.load(Ordering::Relaxed))
    }

    /// Returns the number of order results reported so far, or `None` if there is no link.
    pub fn reported_result_count(&self) -> Option<u64> {
        let inner = self.lock();
        inner.link.as_ref().map(|_| inner.reported_result_count)
    }

    /// Sends a message to the coordinator. Drops the message if there is no link, because the state
    /// is reported again over the next link.
    pub fn send(&self, message: FromAgent) {
        send_on_link(&self.lock(), message);
    }

    /// Sends the result of an order to the coordinator, with the number of results reported so far.
    pub fn send_result(&self, mut result: OrderResult) {
        let mut inner = self.lock();
        inner.reported_result_count += 1;
        result.results_reported = inner.reported_result_count;
        send_on_link(&inner, FromAgent::Result(result));
    }
}

impl Inner {
    /// Returns the incarnations that have sent heartbeats and may be running, unconfirmed ones
    /// first.
    fn known_incarnations(&self) -> impl Iterator<Item = &Name> {
        self.unconfirmed.keys().chain(self.current.iter().map(|info| &info.id))
    }

    /// Returns the incarnation that responds to calls if it is another process under the same id
    /// as `minion`.
    fn restarted_as(&self, minion: &Name) -> Option<Name> {
        let current = self.current.as_ref().map(|info| &info.id);
        current.filter(|current| Incarnation::is_other_process(current, minion)).cloned()
    }

    const fn record_clock(&mut self, clock_ms: u64, received_ms: u64) {
        self.minion_clock = Some((clock_ms, received_ms));
        self.minion_responded_ms = received_ms;
    }
}

/// Sends a message to the coordinator; returns false if there is no open link.
fn send_on_link(inner: &Inner, message: FromAgent) -> bool {
    inner.link.as_ref().is_some_and(|link| link.send(FromPeer::AgentMessage(message)).is_ok())
}

/// Reports a departure that was just recorded, if there is a link. The departure is kept until a
/// coordinator confirms it. `replaced_by` is the incarnation that runs under the same id now.
fn report_departure(inner: &mut Inner, id: &Name, replaced_by: Option<Name>) {
    if inner.current.as_ref().is_some_and(|current| current.id == *id) {
        inner.current = None;
        inner.minion_clock = None;
    }
    let crashed = inner.departures.has_crashed(id);
    let restarted = replaced_by.is_some();
    let message = FromAgent::MinionTerminated { minion: id.clone(), crashed, replaced_by };
    let reported = send_on_link(inner, message);
    spdlog::info!(
        "event=minion_terminated minion={id} crashed={crashed} restarted={restarted} \
         reported={reported}"
    );
}
