use std::collections::HashMap;

use bytes::Bytes;
use geraniumpost_core::requests::{
    Admission, AskReply, AttemptLedger, FairQueue, LedgerLimits, QueueAction, QueueLimits,
    QueuedRequest, Refusal,
};
use geraniumpost_core::{Micros, Millis};
use geraniumpost_net::LinkSender;
use geraniumpost_schema::{
    Ask, AskKey, Load, Outcome, RequestHead, RequestId, Service, ToEntry, Verdict,
};

use super::KeptAnswer;

/// Request with its body, to be sent to the minion.
#[derive(Debug)]
pub struct MinionRequest {
    /// Head of the request from the entry.
    pub head: RequestHead,
    /// Complete body of the caller's request.
    pub body: Bytes,
    /// Time by which the request must be answered, on this process's clock.
    pub deadline: Millis,
}

/// State of the requests at an agent: the ledger of attempts, the queue for the minion's slots and
/// the link over which each answer is sent.
///
/// All of it is protected by one lock, because the ledger and the queue must change together. If a
/// query barred an attempt and removed it from the queue in two steps, a free slot could start the
/// attempt in between. Methods that may start requests return these.
#[derive(Debug)]
pub struct RequestState {
    queue: FairQueue<MinionRequest>,
    ledger: AttemptLedger<KeptAnswer>,
    reply_to: HashMap<RequestId, LinkSender<ToEntry>>,
}

impl RequestState {
    /// Creates the empty state of an agent with the given incarnation.
    pub fn new(incarnation: u64) -> Self {
        Self {
            queue: FairQueue::new(QueueLimits::default()),
            ledger: AttemptLedger::new(incarnation, LedgerLimits::default()),
            reply_to: HashMap::new(),
        }
    }

    /// Applies the limits of the service in the configuration in force.
    pub fn set_limits(&mut self, service: &Service) {
        let limits = QueueLimits::new().slots(service.slots as usize);
        self.queue.set_limits(limits.queue(service.queue as usize));
    }

    /// Refuses all new requests from now on.
    pub fn drain(&mut self) {
        self.queue.drain();
    }

    /// Returns whether no request runs or waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the load for heartbeats and answers.
    pub fn load(&self) -> Load {
        self.queue.load()
    }

    /// Admits a request that was received over `link`.
    pub fn admit(
        &mut self,
        work: MinionRequest,
        link: &LinkSender<ToEntry>,
        now: Millis,
    ) -> Vec<MinionRequest> {
        let id = work.head.id;
        let admission = self.ledger.admit(id, &work.head.key, now);
        match admission {
            Admission::Queue => {
                self.reply_to.insert(id, link.clone());
                let waiting =
                    QueuedRequest::new(id, work.head.customer.clone(), work.deadline, work);
                let weight = waiting.payload().head.weight;
                let actions = self.queue.offer(waiting.weight(weight), now);
                return self.execute(actions, now);
            }
            Admission::Join(_) => {
                self.reply_to.insert(id, link.clone());
            }
            Admission::Replay(answer) => self.send(link, id, &answer),
            Admission::AnswerLost => self.send_outcome(link, id, Outcome::RunAnswerLost),
            Admission::Barred => self.send_outcome(link, id, Outcome::NotRunBarred),
            Admission::Forgotten => self.send_outcome(link, id, Outcome::Unknown),
            // The attempt is answered once, for the first copy of the message.
            Admission::Duplicate => {}
        }
        Vec::new()
    }

    /// Answers a query about an attempt. If the attempt has not started, it is barred and removed
    /// from the queue.
    pub fn ask(&mut self, ask: &Ask, link: &LinkSender<ToEntry>, now: Millis) {
        let reply = self.ledger.ask(ask.id, ask.incarnation, now);
        if matches!(reply, AskReply::NeverStarted { .. }) {
            self.queue.cancel(ask.id);
            self.reply_to.remove(&ask.id);
        }
        self.reply(ask.id, reply, link);
    }

    /// Answers a query about an idempotency key.
    pub fn ask_key(&mut self, ask: &AskKey, link: &LinkSender<ToEntry>, now: Millis) {
        let reply = self.ledger.ask_key(ask.id, &ask.key, ask.incarnation, now);
        self.reply(ask.id, reply, link);
    }

    /// Removes a request from the queue because its caller no longer waits. A request that runs is
    /// not interrupted.
    pub fn cancel(&mut self, id: RequestId) {
        if self.queue.cancel(id).is_some() {
            let joined = self.ledger.mark_not_run(id);
            self.refuse(&joined, Outcome::NotRunBarred, 0);
        }
        self.reply_to.remove(&id);
    }

    /// Records the final outcome of a running attempt, and sends it to all entries that wait for
    /// it. The slot remains occupied until [`Self::release_slot`].
    pub fn finish(&mut self, id: RequestId, answer: KeptAnswer, now: Millis) {
        let joined = self.ledger.finish(id, answer.clone(), answer.size(), now);
        for id in std::iter::once(id).chain(joined) {
            self.answer(id, &answer);
        }
    }

    /// Releases the slot of an attempt that the minion has finished after `took`.
    pub fn release_slot(
        &mut self,
        id: RequestId,
        took: Micros,
        success: bool,
        now: Millis,
    ) -> Vec<MinionRequest> {
        let actions = self.queue.finish(id, took, success, now);
        self.execute(actions, now)
    }

    /// Refuses requests that can no longer meet their deadline; must be called about every 20 ms.
    pub fn tick(&mut self, now: Millis) -> Vec<MinionRequest> {
        self.ledger.expire_answers(now);
        let actions = self.queue.tick(now);
        self.execute(actions, now)
    }

    fn execute(
        &mut self,
        actions: Vec<QueueAction<MinionRequest>>,
        now: Millis,
    ) -> Vec<MinionRequest> {
        let mut starts = Vec::new();
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                QueueAction::Run(waiting) if self.ledger.start(waiting.id()) => {
                    starts.push(waiting.into_payload());
                }
                QueueAction::Run(waiting) => {
                    actions.extend(self.queue.finish(waiting.id(), Micros(0), false, now));
                }
                QueueAction::Refuse { request, refusal, retry_after_ms } => {
                    self.on_refusal(request.id(), refusal, retry_after_ms);
                }
            }
        }
        starts
    }

    fn on_refusal(&mut self, id: RequestId, refusal: Refusal, retry_after_ms: u64) {
        let mut ids = self.ledger.mark_not_run(id);
        ids.push(id);
        self.refuse(&ids, refusal.outcome(), retry_after_ms);
    }

    fn refuse(&mut self, ids: &[RequestId], outcome: Outcome, retry_after_ms: u64) {
        let answer = KeptAnswer::without_answer(outcome, retry_after_ms);
        for id in ids {
            self.answer(*id, &answer);
        }
    }

    fn reply(&mut self, id: RequestId, reply: AskReply<KeptAnswer>, link: &LinkSender<ToEntry>) {
        // A lost answer is sent as an outcome below, which is more precise than the verdict.
        if reply != AskReply::AnswerLost {
            let verdict = Verdict { id, verdict: reply.verdict() };
            let _ = link.send(ToEntry::Verdict(verdict));
        }
        match reply {
            // The link over which the attempt came has ended or is unresponsive, so the answer is
            // sent over this one.
            AskReply::Running => drop(self.reply_to.insert(id, link.clone())),
            AskReply::Finished(answer) => self.send(link, id, &answer),
            AskReply::AnswerLost => self.send_outcome(link, id, Outcome::RunAnswerLost),
            AskReply::NeverStarted { joined } => self.refuse(&joined, Outcome::NotRunBarred, 0),
            AskReply::Unknown => {}
        }
    }

    fn answer(&mut self, id: RequestId, answer: &KeptAnswer) {
        if let Some(link) = self.reply_to.remove(&id) {
            self.send(&link, id, answer);
        }
    }

    fn send_outcome(&self, link: &LinkSender<ToEntry>, id: RequestId, outcome: Outcome) {
        self.send(link, id, &KeptAnswer::without_answer(outcome, 0));
    }

    /// Sends an answer. If the link has ended, the entry queries the attempt over another link.
    fn send(&self, link: &LinkSender<ToEntry>, id: RequestId, answer: &KeptAnswer) {
        let _ = link.send(answer.frame(id, self.load()));
    }
}
