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

/// A request with its body, as the minion gets it.
#[derive(Debug)]
pub struct Work {
    /// What the entry said about it.
    pub head: RequestHead,
    /// The caller's whole body.
    pub body: Bytes,
    /// When the caller stops waiting, on this process's clock.
    pub deadline: Millis,
}

/// What the agent holds about requests: the record of what ran, the queue for the minion's slots
/// and where each answer goes.
///
/// It is one plain structure behind one lock, because an attempt's record and its place in the
/// queue must change together: a question that bars an attempt and takes it out of the queue in two
/// steps would let a slot start it in between. Each method returns the work to start.
#[derive(Debug)]
pub struct RequestState {
    queue: FairQueue<Work>,
    ledger: AttemptLedger<KeptAnswer>,
    reply_to: HashMap<RequestId, LinkSender<ToEntry>>,
}

impl RequestState {
    /// Creates the empty state of the agent's `incarnation`.
    pub fn new(incarnation: u64) -> Self {
        Self {
            queue: FairQueue::new(QueueLimits::default()),
            ledger: AttemptLedger::new(incarnation, LedgerLimits::default()),
            reply_to: HashMap::new(),
        }
    }

    /// Puts a service's bounds in force.
    pub fn set_limits(&mut self, service: &Service) {
        let limits = QueueLimits::new().slots(service.slots as usize);
        self.queue.set_limits(limits.queue(service.queue as usize));
    }

    /// Refuses all new requests from now on.
    pub fn drain(&mut self) {
        self.queue.drain();
    }

    /// Returns whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the load for heartbeats and answers.
    pub fn load(&self) -> Load {
        self.queue.load()
    }

    /// Takes in a request that arrived over `link`.
    pub fn arrive(&mut self, work: Work, link: &LinkSender<ToEntry>, now: Millis) -> Vec<Work> {
        let id = work.head.id;
        let admission = self.ledger.admit(id, &work.head.key, now);
        match admission {
            Admission::Queue => {
                self.reply_to.insert(id, link.clone());
                let waiting =
                    QueuedRequest::new(id, work.head.customer.clone(), work.deadline, work);
                let weight = waiting.payload().head.weight;
                let actions = self.queue.offer(waiting.weight(weight), now);
                return self.carry_out(actions, now);
            }
            Admission::Join(_) => {
                self.reply_to.insert(id, link.clone());
            }
            Admission::Replay(answer) => self.send(link, id, &answer),
            Admission::AnswerLost => self.send_outcome(link, id, Outcome::RunAnswerLost),
            Admission::Barred => self.send_outcome(link, id, Outcome::NotRunBarred),
            Admission::Forgotten => self.send_outcome(link, id, Outcome::Unknown),
            // The first copy of the frame is answered.
            Admission::Duplicate => {}
        }
        Vec::new()
    }

    /// Answers a question about an attempt; an attempt not started is barred and leaves the queue.
    pub fn ask(&mut self, ask: &Ask, link: &LinkSender<ToEntry>, now: Millis) {
        let reply = self.ledger.ask(ask.id, ask.incarnation, now);
        if matches!(reply, AskReply::NeverStarted { .. }) {
            self.queue.cancel(ask.id);
            self.reply_to.remove(&ask.id);
        }
        self.reply(ask.id, reply, link);
    }

    /// Answers a question about a key, asked by a repeat of the request.
    pub fn ask_key(&mut self, ask: &AskKey, link: &LinkSender<ToEntry>, now: Millis) {
        let reply = self.ledger.ask_key(ask.id, &ask.key, ask.incarnation, now);
        self.reply(ask.id, reply, link);
    }

    /// Takes a request whose caller left out of the queue; one that runs is let run.
    pub fn cancel(&mut self, id: RequestId) {
        if self.queue.cancel(id).is_some() {
            let joined = self.ledger.mark_not_run(id);
            self.refuse(&joined, Outcome::NotRunBarred, 0);
        }
        self.reply_to.remove(&id);
    }

    /// Takes in the final word on a running attempt and answers all who wait for it. The slot stays
    /// taken until [`Self::left`].
    pub fn finished(&mut self, id: RequestId, answer: KeptAnswer, now: Millis) {
        let joined = self.ledger.finish(id, answer.clone(), answer.size(), now);
        for id in std::iter::once(id).chain(joined) {
            self.answer(id, &answer);
        }
    }

    /// Takes in that an attempt left the minion after `took`, and fills the free slot.
    pub fn left(&mut self, id: RequestId, took: Micros, success: bool, now: Millis) -> Vec<Work> {
        let actions = self.queue.finish(id, took, success, now);
        self.carry_out(actions, now)
    }

    /// Refuses what can no longer meet its deadline; to be called every 20 ms or so.
    pub fn tick(&mut self, now: Millis) -> Vec<Work> {
        self.ledger.expire_answers(now);
        let actions = self.queue.tick(now);
        self.carry_out(actions, now)
    }

    fn carry_out(&mut self, actions: Vec<QueueAction<Work>>, now: Millis) -> Vec<Work> {
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
                    self.refused(request.id(), refusal, retry_after_ms);
                }
            }
        }
        starts
    }

    fn refused(&mut self, id: RequestId, refusal: Refusal, retry_after_ms: u64) {
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
        // A lost answer is told as an outcome of its own, which says more than the verdict.
        if reply != AskReply::AnswerLost {
            let verdict = Verdict { id, verdict: reply.verdict() };
            let _ = link.send(ToEntry::Verdict(verdict));
        }
        match reply {
            // The link that the attempt came over is lost or silent; the answer goes over this one.
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

    /// A link that has ended takes no frame; the entry then asks over another.
    fn send(&self, link: &LinkSender<ToEntry>, id: RequestId, answer: &KeptAnswer) {
        let _ = link.send(answer.frame(id, self.load()));
    }
}
