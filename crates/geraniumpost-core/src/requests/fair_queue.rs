use std::collections::{BTreeSet, HashMap};

use geraniumpost_schema::{Load, Name, RequestId};
use slotmap::{SlotMap, new_key_type};

use super::flow::Flow;
use super::service_times::ServiceTimes;
use super::slot_reserve::{SlotReserve, SlotUse};
use super::{QueueAction, QueueLimits, QueuedRequest, Refusal};
use crate::{Micros, Millis};

new_key_type! {
    /// Key of the [`Flow`] of one customer.
    struct FlowKey;
}

/// Time after which an idle customer and its smoothed service time are forgotten.
const IDLE_CUSTOMER_TTL_MS: u64 = 60_000;

/// Maximum lead over its share that a customer gets when it becomes active, as a multiple of one
/// mean service time on every slot.
const BURST_ROUNDS: u64 = 4;

/// Minimum number of slots at which one slot is reserved for customers below their share.
const MIN_SLOTS_FOR_RESERVE: usize = 4;

/// Flow of a running request, and the virtual time charged to it at the start.
#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    flow: FlowKey,
    charged: u64,
}

/// Assigns the slots of one minion to customers by weight, and immediately refuses requests that
/// cannot be answered in time.
///
/// The queue uses start-time fair queueing. Each customer has a virtual time that grows by the slot
/// time it has used divided by its weight, and the customer with the lowest virtual time is served
/// next. A customer that becomes active starts a small allowance before the current virtual time,
/// so it is served next but accumulates no credit while idle. While several customers are active,
/// the last free slot is denied to customers above their share. Otherwise a burst of one customer
/// would occupy all slots, and every other customer would wait behind it.
///
/// A request is refused on arrival if, judged by smoothed service times, it would miss its
/// deadline. The caller then learns immediately when to retry, and no slots are spent on answers
/// that nobody awaits. A free slot accepts a request regardless of the estimate: otherwise an
/// estimate that is too high would cause every request to be refused and would never be corrected.
/// See `docs/design/0103-fair-queue.md`.
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
    running: HashMap<RequestId, RunningRequest>,
    waiting_flows: BTreeSet<(u64, FlowKey)>,
    virtual_time: u64,
    max_virtual_time: u64,
    service_times: ServiceTimes,
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
            waiting_flows: BTreeSet::new(),
            virtual_time: 0,
            max_virtual_time: 0,
            service_times: ServiceTimes::default(),
            reserve: SlotReserve::new(),
            draining: false,
            now: Millis(0),
        }
    }

    /// Replaces the limits. Running and waiting requests remain, even if they exceed the new
    /// limits.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Refuses all further requests. Waiting requests still run.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether no request runs or waits; a draining agent may then exit.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Number of waiting requests.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests running on the minion.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the load to report in heartbeats and answers.
    pub fn load(&self) -> Load {
        self.service_times.load(self.running.len(), self.waiting.len())
    }

    /// Accepts or refuses a request. If no returned action names the request, the request waits; an
    /// action may also refuse a waiting request that is displaced.
    pub fn offer(&mut self, request: QueuedRequest<T>, now: Millis) -> Vec<QueueAction<T>> {
        if self.draining {
            return vec![refuse(request, Refusal::Draining, 0)];
        }
        if now >= request.deadline() {
            return vec![refuse(request, Refusal::Deadline, 0)];
        }
        let flow = self.record_arrival(&request, now);
        if self.flows[flow].queue.is_empty() && self.may_start(flow) {
            self.activate(flow);
            return vec![self.start(flow, request)];
        }
        let wait_us = self.expected_wait_us(flow);
        if self.flows[flow].misses_deadline(request.deadline(), now.plus(wait_us / 1000)) {
            return vec![refuse(request, Refusal::Deadline, wait_us)];
        }
        let mut actions = Vec::new();
        if self.waiting.len() >= self.limits.queue {
            match self.displace(flow) {
                Some(victim) => actions.push(refuse(victim, Refusal::Displaced, wait_us)),
                None => return vec![refuse(request, Refusal::Overloaded, self.queue_drain_us())],
            }
        }
        self.enqueue(flow, request);
        actions
    }

    /// Records that a request ended at the minion after `duration`, and returns the waiting
    /// requests to run or to refuse now.
    ///
    /// `success` is false if the minion failed; the duration is then charged to the customer but
    /// not used to estimate service times. An id that is not running is ignored.
    pub fn finish(
        &mut self,
        id: RequestId,
        duration: Micros,
        success: bool,
        now: Millis,
    ) -> Vec<QueueAction<T>> {
        let Some(RunningRequest { flow, charged }) = self.running.remove(&id) else {
            return Vec::new();
        };
        self.service_times.record(duration, success);
        self.modify_flow(flow, |flow| flow.settle(charged, duration, success));
        let actions = self.dispatch(now);
        self.end_busy_period();
        actions
    }

    /// Removes a waiting request whose caller disconnected, and returns it if it was waiting.
    pub fn cancel(&mut self, id: RequestId) -> Option<QueuedRequest<T>> {
        let flow = self.waiting.remove(&id)?;
        let queue = &mut self.flows[flow].queue;
        let index = queue.iter().position(|request| request.id() == id)?;
        let request = queue.remove(index);
        self.remove_waiting_flow_if_empty(flow);
        request
    }

    /// Refuses waiting requests that can no longer meet their deadlines, releases slots reserved
    /// for customers that have become idle, and forgets customers that have been idle for a minute.
    /// Must be called every 10 to 50 ms.
    pub fn tick(&mut self, now: Millis) -> Vec<QueueAction<T>> {
        let wait_us = self.queue_drain_us();
        let missing_deadline: Vec<RequestId> = self.requests_missing_deadline(now).collect();
        let removed = missing_deadline.into_iter().filter_map(|id| self.cancel(id));
        let refused = removed.map(|request| refuse(request, Refusal::Deadline, wait_us));
        let mut actions: Vec<QueueAction<T>> = refused.collect();
        self.forget_idle_customers(now);
        self.measure_slot_use(now);
        actions.extend(self.dispatch(now));
        actions
    }

    /// Number of customers with a flow, including recently idle customers, for tests of the memory
    /// bound.
    pub fn customer_count(&self) -> usize {
        self.flows.len()
    }

    fn requests_missing_deadline(&self, now: Millis) -> impl Iterator<Item = RequestId> {
        let all = self
            .flows
            .values()
            .flat_map(|flow| flow.queue.iter().map(move |request| (flow, request)));
        all.filter(move |(flow, request)| flow.misses_deadline(request.deadline(), now))
            .map(|(_, request)| request.id())
    }

    fn record_arrival(&mut self, request: &QueuedRequest<T>, now: Millis) -> FlowKey {
        self.now = now;
        let key = match self.by_customer.get(request.customer()) {
            Some(&key) => key,
            None => self.add_flow(request.customer().clone()),
        };
        let flow = &mut self.flows[key];
        flow.weight = request.share_weight();
        flow.last_request_at = now;
        self.reserve.record_active_mean_us(flow.service_time.mean_us());
        key
    }

    fn add_flow(&mut self, customer: Name) -> FlowKey {
        let key = self.flows.insert(Flow::new(self.service_times.smoothed_time()));
        self.by_customer.insert(customer, key);
        key
    }

    /// Moves the virtual time of a customer without waiting requests forward to that of the queue,
    /// less an allowance.
    ///
    /// The allowance grows with the slots that the customer has used recently, up to a maximum
    /// reached at half of all slots. A customer that has used no slots gets no allowance: otherwise
    /// the first requests of a burst would precede those of every other customer for several
    /// service times.
    fn activate(&mut self, key: FlowKey) {
        let mean_us = self.service_times.smoothed_time().mean_us();
        let max_allowance_us = BURST_ROUNDS * self.slots().saturating_mul(mean_us);
        let recent_allowance_us =
            2 * BURST_ROUNDS * self.flows[key].busy_milli_slots().saturating_mul(mean_us) / 1000;
        self.flows[key].activate(self.virtual_time, recent_allowance_us.min(max_allowance_us));
    }

    fn enqueue(&mut self, key: FlowKey, request: QueuedRequest<T>) {
        self.waiting.insert(request.id(), key);
        if self.flows[key].queue.is_empty() {
            self.activate(key);
            self.waiting_flows.insert((self.flows[key].virtual_time, key));
        }
        self.flows[key].queue.push_back(request);
    }

    fn start(&mut self, key: FlowKey, request: QueuedRequest<T>) -> QueueAction<T> {
        self.virtual_time = self.virtual_time.max(self.flows[key].virtual_time);
        let charged = self.modify_flow(key, Flow::charge);
        self.running.insert(request.id(), RunningRequest { flow: key, charged });
        QueueAction::Run(request)
    }

    /// Applies `change` to a flow and updates its position in `waiting_flows`.
    fn modify_flow<R>(&mut self, key: FlowKey, change: impl FnOnce(&mut Flow<T>) -> R) -> R {
        let flow = &mut self.flows[key];
        let is_waiting = self.waiting_flows.remove(&(flow.virtual_time, key));
        let result = change(flow);
        if is_waiting {
            self.waiting_flows.insert((flow.virtual_time, key));
        }
        self.max_virtual_time = self.max_virtual_time.max(flow.virtual_time);
        result
    }

    fn remove_waiting_flow_if_empty(&mut self, key: FlowKey) {
        let flow = &self.flows[key];
        if flow.queue.is_empty() {
            self.waiting_flows.remove(&(flow.virtual_time, key));
        }
    }

    fn dispatch(&mut self, now: Millis) -> Vec<QueueAction<T>> {
        self.now = now;
        let mut actions = Vec::new();
        loop {
            let mut customers = self.waiting_flows.iter().map(|&(_, key)| key);
            let Some(key) = customers.find(|&key| self.may_start(key)) else { break };
            let Some(request) = self.flows[key].queue.pop_front() else { break };
            self.waiting.remove(&request.id());
            self.remove_waiting_flow_if_empty(key);
            if self.flows[key].misses_deadline(request.deadline(), now) {
                actions.push(refuse(request, Refusal::Deadline, self.queue_drain_us()));
            } else {
                actions.push(self.start(key, request));
            }
        }
        actions
    }

    /// Advances the virtual time if the queue is empty, so that all customers start the next busy
    /// period with equal virtual times.
    fn end_busy_period(&mut self) {
        if self.is_empty() {
            self.virtual_time = self.max_virtual_time;
        }
    }

    /// Removes and returns the newest waiting request of the customer furthest above its share, if
    /// that customer is further above its share than `newcomer` would be with one more request.
    fn displace(&mut self, newcomer: FlowKey) -> Option<QueuedRequest<T>> {
        let waiting_keys = self.waiting_flows.iter().map(|&(_, key)| key);
        let furthest_above =
            waiting_keys.max_by_key(|&key| (self.flows[key].weighted_request_count(0), key))?;
        if self.flows[furthest_above].weighted_request_count(0)
            <= self.flows[newcomer].weighted_request_count(1)
        {
            return None;
        }
        let newest = self.flows[furthest_above].queue.back()?.id();
        self.cancel(newest)
    }

    /// Expected time until one more request of the customer `key` gets a slot, in microseconds.
    ///
    /// The queue of the customer is assumed to drain at the customer's share among the waiting
    /// customers, but not to take longer than all queues together.
    fn expected_wait_us(&self, key: FlowKey) -> u64 {
        let flow = &self.flows[key];
        let others = self.waiting_flows.iter().map(|&(_, key)| &self.flows[key]);
        let weights: u64 = others.map(|flow| u64::from(flow.weight)).sum();
        let own_weight = if flow.queue.is_empty() { u64::from(flow.weight) } else { 0 };
        let work_ahead_us =
            (flow.queue.len() as u64 + 1).saturating_mul(flow.service_time.mean_us());
        let wait_by_share_us =
            work_ahead_us * (weights + own_weight) / u64::from(flow.weight) / self.slots();
        wait_by_share_us.min(self.queue_drain_us())
    }

    /// Expected time until every waiting request and one more request have a slot, in microseconds.
    fn queue_drain_us(&self) -> u64 {
        (self.waiting.len() as u64 + 1).saturating_mul(self.service_times.smoothed_time().mean_us())
            / self.slots()
    }

    /// Whether a slot is free that a request of the customer `key` may use.
    fn may_start(&self, key: FlowKey) -> bool {
        if self.running.len() >= self.limits.slots {
            return false;
        }
        if self.is_denied_last_slot(key) {
            return false;
        }
        let is_long = |flow: &Flow<T>| self.reserve.is_long(flow.service_time.mean_us());
        if !is_long(&self.flows[key]) {
            return true;
        }
        let running_long =
            self.flows.values().filter(|flow| is_long(flow)).map(|flow| flow.running).sum();
        self.reserve.allows_long_request(running_long, self.limits.slots)
    }

    /// Whether the last free slot is denied to the customer `key`, because both its running
    /// requests and its smoothed use of slots have reached its share among the active customers.
    /// Never with fewer than [`MIN_SLOTS_FOR_RESERVE`] slots.
    ///
    /// Requests of equal length that start together also end together. Without a reserved slot, a
    /// request of a customer with little load would wait for up to a full run of the others.
    fn is_denied_last_slot(&self, key: FlowKey) -> bool {
        if self.running.len() + 1 < self.limits.slots || self.limits.slots < MIN_SLOTS_FOR_RESERVE {
            return false;
        }
        let active = self.flows.values().filter(|flow| flow.is_active(self.now));
        let weights: u64 = active.map(|flow| u64::from(flow.weight)).sum();
        let flow = &self.flows[key];
        let share = self.slots() * u64::from(flow.weight);
        let holds_share = flow.running as u64 * weights >= share;
        holds_share && flow.busy_milli_slots() * weights >= share * 1000
    }

    fn measure_slot_use(&mut self, now: Millis) {
        let Some(window_ms) = self.reserve.restart_window_if_due(now) else { return };
        self.flows.values_mut().for_each(|flow| flow.measure_slot_use(window_ms));
        let uses: Vec<SlotUse> = self.flows.values().map(Flow::slot_use).collect();
        self.reserve.recompute(&uses, self.limits.slots, now);
    }

    const fn slots(&self) -> u64 {
        self.limits.slots as u64
    }

    fn forget_idle_customers(&mut self, now: Millis) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| {
            let is_ahead = flow.virtual_time > virtual_time;
            is_ahead || !flow.is_idle() || now.since(flow.last_request_at) <= IDLE_CUSTOMER_TTL_MS
        });
        let flows = &self.flows;
        self.by_customer.retain(|_, key| flows.contains_key(*key));
    }
}

fn refuse<T>(request: QueuedRequest<T>, refusal: Refusal, wait_us: u64) -> QueueAction<T> {
    let retry_after_ms = wait_us.div_ceil(1000).max(1);
    QueueAction::Refuse { request, refusal, retry_after_ms }
}
