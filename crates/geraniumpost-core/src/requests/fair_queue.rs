use std::collections::{BTreeSet, HashMap};

use geraniumpost_schema::{Load, Name, RequestId};
use slotmap::{SlotMap, new_key_type};

use super::flow::Flow;
use super::service_times::ServiceTimes;
use super::slot_reserve::{SlotReserve, SlotUse};
use super::{QueueAction, QueueLimits, QueuedRequest, Refusal};
use crate::{Micros, Millis};

new_key_type! {
    /// Key of a customer's flow.
    struct FlowKey;
}

/// How long an idle customer's smoothed service time is remembered.
const KEEP_IDLE_MS: u64 = 60_000;

/// Most slot time that a customer may be ahead of its share when it wakes, in rounds of all slots.
const BURST_ROUNDS: u64 = 4;

/// Fewest slots of which one is spared for customers under their share.
const LEAST_TO_SPARE: usize = 4;

/// A request on the minion.
#[derive(Debug, Clone, Copy)]
struct Running {
    flow: FlowKey,
    charged: u64,
}

/// Gives the slots of one minion to customers by weight, and refuses at once what cannot be done.
///
/// Start-time fair queueing: each customer has a virtual time that grows by the slot time it used
/// over its weight, and the customer furthest behind goes next. A customer that wakes starts a
/// small allowance before the present virtual time, so it is served next but has saved nothing up.
/// One slot stays free of customers over their share while others are active. Without this a burst of one
/// customer fills the queue, and every other customer waits behind it.
///
/// What would miss its deadline by the smoothed service time is refused when it comes, so that the
/// caller learns at once when to come back and slots are not spent on answers nobody waits for.
/// A free slot always takes a request: otherwise a service time smoothed too high would refuse
/// everything and never be corrected. See `docs/design/0103-fair-queue.md`.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, Micros, requests::{FairQueue, QueueAction, QueueLimits, QueuedRequest}};
/// use geraniumpost_schema::RequestId;
/// let mut queue = FairQueue::new(QueueLimits::new().slots(1));
/// let id = |sequence| RequestId { entry: 1, sequence };
/// let first = queue.offer(QueuedRequest::new(id(1), "a", Millis(500), ()), Millis(0));
/// assert!(matches!(first[..], [QueueAction::Run(_)]));
/// assert!(queue.offer(QueuedRequest::new(id(2), "a", Millis(500), ()), Millis(0)).is_empty());
/// let next = queue.finish(id(1), Micros(4_000), true, Millis(4));
/// assert!(matches!(next[..], [QueueAction::Run(_)]));
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    flows: SlotMap<FlowKey, Flow<T>>,
    by_customer: HashMap<Name, FlowKey>,
    waiting: HashMap<RequestId, FlowKey>,
    running: HashMap<RequestId, Running>,
    order: BTreeSet<(u64, FlowKey)>,
    virtual_time: u64,
    latest: u64,
    times: ServiceTimes,
    reserve: SlotReserve,
    draining: bool,
    now: Millis,
}

impl<T> FairQueue<T> {
    /// Returns an empty queue with `limits`.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            flows: SlotMap::with_key(),
            by_customer: HashMap::new(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            order: BTreeSet::new(),
            virtual_time: 0,
            latest: 0,
            times: ServiceTimes::default(),
            reserve: SlotReserve::new(),
            draining: false,
            now: Millis(0),
        }
    }

    /// Changes the bounds; what runs or waits already stays.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Refuses all that comes from now on; what waits still runs.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether nothing runs or waits, so that a leaving agent may end.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Requests waiting.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Requests on the minion.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the load for heartbeats and answers.
    pub fn load(&self) -> Load {
        self.times.load(self.running.len(), self.waiting.len())
    }

    /// Takes in a request. It waits if no action names it.
    pub fn offer(&mut self, waiting: QueuedRequest<T>, now: Millis) -> Vec<QueueAction<T>> {
        if self.draining {
            return vec![refuse(waiting, Refusal::Draining, 0)];
        }
        if now >= waiting.deadline() {
            return vec![refuse(waiting, Refusal::Deadline, 0)];
        }
        let flow = self.flow_of(&waiting, now);
        if self.flows[flow].queue.is_empty() && self.may_take(flow) {
            self.wake(flow);
            return vec![self.run(flow, waiting)];
        }
        let wait_us = self.wait_us(flow);
        if self.flows[flow].misses(waiting.deadline(), now.plus(wait_us / 1000)) {
            return vec![refuse(waiting, Refusal::Deadline, wait_us)];
        }
        let mut actions = Vec::new();
        if self.waiting.len() >= self.limits.queue {
            match self.displace(flow) {
                Some(victim) => actions.push(refuse(victim, Refusal::Displaced, wait_us)),
                None => return vec![refuse(waiting, Refusal::Overloaded, self.drain_us())],
            }
        }
        self.enqueue(flow, waiting);
        actions
    }

    /// Takes in that a request left the minion after `took`, and fills the free slot.
    ///
    /// `success` is false if the minion failed; its time then does not count as service time.
    /// An id that does not run is ignored.
    pub fn finish(
        &mut self,
        id: RequestId,
        took: Micros,
        success: bool,
        now: Millis,
    ) -> Vec<QueueAction<T>> {
        let Some(Running { flow, charged }) = self.running.remove(&id) else {
            return Vec::new();
        };
        self.times.record(took, success);
        self.reorder(flow, |flow| flow.settle(charged, took, success));
        let actions = self.fill(now);
        self.rest();
        actions
    }

    /// Takes a waiting request out because its caller left; returns it if it was waiting.
    pub fn cancel(&mut self, id: RequestId) -> Option<QueuedRequest<T>> {
        let flow = self.waiting.remove(&id)?;
        let queue = &mut self.flows[flow].queue;
        let index = queue.iter().position(|waiting| waiting.id() == id)?;
        let waiting = queue.remove(index);
        self.unlist_if_empty(flow);
        waiting
    }

    /// Refuses waiting requests that can no longer meet their deadlines, gives slots back that were
    /// kept for customers now idle, and forgets customers long idle. To be called every 10 to 50 ms.
    pub fn tick(&mut self, now: Millis) -> Vec<QueueAction<T>> {
        let wait_us = self.drain_us();
        let late: Vec<RequestId> = self.late(now).collect();
        let taken = late.into_iter().filter_map(|id| self.cancel(id));
        let refused = taken.map(|waiting| refuse(waiting, Refusal::Deadline, wait_us));
        let mut actions: Vec<QueueAction<T>> = refused.collect();
        self.forget_idle(now);
        self.measure(now);
        actions.extend(self.fill(now));
        actions
    }

    /// Customers remembered, for tests of bounded memory.
    pub fn customers(&self) -> usize {
        self.flows.len()
    }

    fn late(&self, now: Millis) -> impl Iterator<Item = RequestId> {
        let all = self.flows.values().flat_map(|flow| flow.queue.iter().map(move |w| (flow, w)));
        all.filter(move |(flow, w)| flow.misses(w.deadline(), now)).map(|(_, w)| w.id())
    }

    fn flow_of(&mut self, waiting: &QueuedRequest<T>, now: Millis) -> FlowKey {
        self.now = now;
        let key = match self.by_customer.get(waiting.customer()) {
            Some(&key) => key,
            None => self.add_flow(waiting.customer().clone()),
        };
        let flow = &mut self.flows[key];
        flow.weight = waiting.share_weight();
        flow.used_at = now;
        self.reserve.note(flow.service.mean_us());
        key
    }

    fn add_flow(&mut self, customer: Name) -> FlowKey {
        let key = self.flows.insert(Flow::new(self.times.smoothed()));
        self.by_customer.insert(customer, key);
        key
    }

    /// Brings a customer that had nothing waiting up to the present.
    ///
    /// How far it may be ahead grows with the slots it has used of late, up to the most at half of
    /// all slots. A customer that comes out of nowhere gets nothing ahead: the first requests of a
    /// burst would otherwise go before everybody else's for several service times.
    fn wake(&mut self, key: FlowKey) {
        let mean_us = self.times.smoothed().mean_us();
        let most_us = BURST_ROUNDS * self.slots().saturating_mul(mean_us);
        let recent_us =
            2 * BURST_ROUNDS * self.flows[key].busy_milli().saturating_mul(mean_us) / 1000;
        self.flows[key].wake(self.virtual_time, recent_us.min(most_us));
    }

    fn enqueue(&mut self, key: FlowKey, waiting: QueuedRequest<T>) {
        self.waiting.insert(waiting.id(), key);
        if self.flows[key].queue.is_empty() {
            self.wake(key);
            self.order.insert((self.flows[key].virtual_time, key));
        }
        self.flows[key].queue.push_back(waiting);
    }

    fn run(&mut self, key: FlowKey, waiting: QueuedRequest<T>) -> QueueAction<T> {
        self.virtual_time = self.virtual_time.max(self.flows[key].virtual_time);
        let charged = self.reorder(key, Flow::charge);
        self.running.insert(waiting.id(), Running { flow: key, charged });
        QueueAction::Run(waiting)
    }

    /// Changes a flow and puts it where it now belongs in the order.
    fn reorder<R>(&mut self, key: FlowKey, change: impl FnOnce(&mut Flow<T>) -> R) -> R {
        let flow = &mut self.flows[key];
        let listed = self.order.remove(&(flow.virtual_time, key));
        let result = change(flow);
        if listed {
            self.order.insert((flow.virtual_time, key));
        }
        self.latest = self.latest.max(flow.virtual_time);
        result
    }

    fn unlist_if_empty(&mut self, key: FlowKey) {
        let flow = &self.flows[key];
        if flow.queue.is_empty() {
            self.order.remove(&(flow.virtual_time, key));
        }
    }

    fn fill(&mut self, now: Millis) -> Vec<QueueAction<T>> {
        self.now = now;
        let mut actions = Vec::new();
        loop {
            let mut turn = self.order.iter().map(|&(_, key)| key);
            let Some(key) = turn.find(|&key| self.may_take(key)) else { break };
            let Some(waiting) = self.flows[key].queue.pop_front() else { break };
            self.waiting.remove(&waiting.id());
            self.unlist_if_empty(key);
            if self.flows[key].misses(waiting.deadline(), now) {
                actions.push(refuse(waiting, Refusal::Deadline, self.drain_us()));
            } else {
                actions.push(self.run(key, waiting));
            }
        }
        actions
    }

    /// Ends a busy period: whoever comes next starts level with everyone else.
    fn rest(&mut self) {
        if self.is_empty() {
            self.virtual_time = self.latest;
        }
    }

    /// Takes the newest waiting request of the customer furthest over its share, if that customer
    /// is further over than `comer` would be with one more.
    fn displace(&mut self, comer: FlowKey) -> Option<QueuedRequest<T>> {
        let listed = self.order.iter().map(|&(_, key)| key);
        let most = listed.max_by_key(|&key| (self.flows[key].occupancy(0), key))?;
        if self.flows[most].occupancy(0) <= self.flows[comer].occupancy(1) {
            return None;
        }
        let newest = self.flows[most].queue.back()?.id();
        self.cancel(newest)
    }

    /// Expected wait of one more request of `key` for a slot, in microseconds.
    ///
    /// The customer's own queue drains at its share among those who wait; and no queue takes longer
    /// than all of them together.
    fn wait_us(&self, key: FlowKey) -> u64 {
        let flow = &self.flows[key];
        let others = self.order.iter().map(|&(_, key)| &self.flows[key]);
        let weights: u64 = others.map(|flow| u64::from(flow.weight)).sum();
        let own = if flow.queue.is_empty() { u64::from(flow.weight) } else { 0 };
        let ahead = (flow.queue.len() as u64 + 1).saturating_mul(flow.service.mean_us());
        let by_share = ahead * (weights + own) / u64::from(flow.weight) / self.slots();
        by_share.min(self.drain_us())
    }

    /// Expected time until everything that waits now has a slot, in microseconds.
    fn drain_us(&self) -> u64 {
        (self.waiting.len() as u64 + 1).saturating_mul(self.times.smoothed().mean_us())
            / self.slots()
    }

    /// Whether a request of `key` may take a slot now.
    fn may_take(&self, key: FlowKey) -> bool {
        if self.running.len() >= self.limits.slots {
            return false;
        }
        if self.is_last_for_others(key) {
            return false;
        }
        let is_long = |flow: &Flow<T>| self.reserve.is_long(flow.service.mean_us());
        if !is_long(&self.flows[key]) {
            return true;
        }
        let held = self.flows.values().filter(|flow| is_long(flow)).map(|flow| flow.running).sum();
        self.reserve.leaves_room(held, self.limits.slots)
    }

    /// Whether one slot is left, and `key` holds its share of slots while others are active.
    ///
    /// Requests of one length that started together end together, so without a slot to spare a
    /// quiet customer's request waits for up to a whole run of the others.
    fn is_last_for_others(&self, key: FlowKey) -> bool {
        if self.running.len() + 1 < self.limits.slots || self.limits.slots < LEAST_TO_SPARE {
            return false;
        }
        let active = self.flows.values().filter(|flow| flow.is_active(self.now));
        let weights: u64 = active.map(|flow| u64::from(flow.weight)).sum();
        let flow = &self.flows[key];
        let share = self.slots() * u64::from(flow.weight);
        let holds_share = flow.running as u64 * weights >= share;
        holds_share && flow.busy_milli() * weights >= share * 1000
    }

    fn measure(&mut self, now: Millis) {
        let Some(window_ms) = self.reserve.window(now) else { return };
        self.flows.values_mut().for_each(|flow| flow.measure(window_ms));
        let uses: Vec<SlotUse> = self.flows.values().map(Flow::slot_use).collect();
        self.reserve.refresh(&uses, self.limits.slots, now);
    }

    const fn slots(&self) -> u64 {
        self.limits.slots as u64
    }

    fn forget_idle(&mut self, now: Millis) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| {
            let owes = flow.virtual_time > virtual_time;
            owes || !flow.is_idle() || now.since(flow.used_at) <= KEEP_IDLE_MS
        });
        let flows = &self.flows;
        self.by_customer.retain(|_, key| flows.contains_key(*key));
    }
}

fn refuse<T>(waiting: QueuedRequest<T>, refusal: Refusal, wait_us: u64) -> QueueAction<T> {
    let retry_after_ms = wait_us.div_ceil(1000).max(1);
    QueueAction::Refuse { request: waiting, refusal, retry_after_ms }
}
