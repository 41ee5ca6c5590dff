use std::collections::{HashMap, VecDeque};

use geraniumpost_schema::{Name, RequestId};

use super::attempt_record::{AttemptRecord, AttemptState};
use super::key_index::KeyIndex;
use super::key_status::KeyStatus;
use super::sequence_floors::SequenceFloors;
use super::{Admission, AskReply, LedgerLimits};
use crate::Millis;

/// Size and time of a kept answer. The answer itself is in the [`AttemptRecord`].
#[derive(Debug, Clone, Copy)]
struct KeptAnswerInfo {
    id: RequestId,
    bytes: usize,
    finished_at: Millis,
}

/// Ledger in which an agent records which attempts have run. Only the ledger can tell whether an
/// attempt has run.
///
/// If a link fails after a request was written to it, only the agent knows whether the request has
/// run. The entry then sends a query over another link. The query bars an attempt that has not
/// started, so that the reply "never started" remains true if the request arrives later. A restart
/// of the agent loses the record. A query therefore names the incarnation that the attempt was sent
/// to, and any other incarnation replies "unknown".
///
/// `A` is the type of the kept answers and must be cheap to clone. See
/// `docs/design/0104-at-most-once.md`.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, requests::{Admission, AskReply, AttemptLedger, LedgerLimits}};
/// use geraniumpost_schema::{Name, RequestId};
/// let mut ledger = AttemptLedger::<&str>::new(7, LedgerLimits::default());
/// let (id, key) = (RequestId { entry: 1, sequence: 1 }, Name::default());
/// assert_eq!(ledger.admit(id, &key, Millis(0)), Admission::Queue);
/// assert!(ledger.start(id));
/// assert_eq!(ledger.ask(id, 7, Millis(1)), AskReply::Running);
/// ledger.finish(id, "badge printed", 13, Millis(2));
/// assert_eq!(ledger.ask(id, 7, Millis(3)), AskReply::Finished("badge printed"));
/// assert_eq!(ledger.ask(id, 6, Millis(3)), AskReply::Unknown);
/// ```
#[derive(Debug)]
pub struct AttemptLedger<A> {
    incarnation: u64,
    limits: LedgerLimits,
    records: HashMap<RequestId, AttemptRecord<A>>,
    ended: VecDeque<RequestId>,
    answers: VecDeque<KeptAnswerInfo>,
    answer_bytes: usize,
    keys: KeyIndex,
    floors: SequenceFloors,
}

impl<A: Clone> AttemptLedger<A> {
    /// Returns an empty ledger of the agent's incarnation `incarnation`. Queries that name another
    /// incarnation get the reply "unknown".
    pub fn new(incarnation: u64, limits: LedgerLimits) -> Self {
        Self {
            incarnation,
            limits,
            records: HashMap::new(),
            ended: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            keys: KeyIndex::new(limits.keys, limits.expired_keys),
            floors: SequenceFloors::default(),
        }
    }

    /// Records an arriving attempt and decides whether it runs. `key` is the idempotency key, empty
    /// if the caller sent none.
    pub fn admit(&mut self, id: RequestId, key: &Name, now: Millis) -> Admission<A> {
        self.expire_answers(now);
        if let Some(record) = self.records.get(&id) {
            let barred = matches!(record.state, AttemptState::Barred);
            return if barred { Admission::Barred } else { Admission::Duplicate };
        }
        if self.floors.may_have_been_dropped(id) {
            return Admission::Forgotten;
        }
        if !key.is_empty() {
            match self.keys.status(key) {
                KeyStatus::First(first) => return self.join(id, first),
                KeyStatus::Expired => return self.record_attempt_with_expired_key(id),
                KeyStatus::New | KeyStatus::PossiblyForgotten => {}
            }
        }
        self.records.insert(id, AttemptRecord::new(AttemptState::Queued));
        self.index_key(key, id);
        Admission::Queue
    }

    /// Marks a waiting attempt as running. Returns false if the attempt is not waiting, for example
    /// because a query barred it; the attempt must not run then.
    #[must_use]
    pub fn start(&mut self, id: RequestId) -> bool {
        match self.records.get_mut(&id) {
            Some(AttemptRecord { state: state @ AttemptState::Queued, .. }) => {
                *state = AttemptState::Running;
                true
            }
            _ => false,
        }
    }

    /// Records that a waiting attempt was refused or cancelled. Neither this attempt nor any other
    /// attempt with its key runs on this agent. Returns the attempts that joined this one, to be
    /// refused as well. An attempt that is not waiting is ignored.
    ///
    /// The key remains barred because the entry now moves the key claim, a record in the store that
    /// names the agent for the key, to another agent. A repeat that another entry sent to this
    /// agent under the old claim would otherwise run a second time.
    #[must_use]
    pub fn mark_not_run(&mut self, id: RequestId) -> Vec<RequestId> {
        match self.records.get(&id) {
            Some(AttemptRecord { state: AttemptState::Queued, .. }) => self.bar(id),
            _ => Vec::new(),
        }
    }

    /// Records that a running attempt ended at the minion, successfully or not, with `answer` of
    /// `bytes` bytes. Returns the attempts that joined this one and get the same answer. An attempt
    /// that is not running is ignored.
    pub fn finish(
        &mut self,
        id: RequestId,
        answer: A,
        bytes: usize,
        now: Millis,
    ) -> Vec<RequestId> {
        let Some(record) = self.records.get_mut(&id) else { return Vec::new() };
        if !matches!(record.state, AttemptState::Running) {
            return Vec::new();
        }
        record.state = AttemptState::Finished(Some(answer));
        let joined = std::mem::take(&mut record.joined);
        self.answers.push_back(KeptAnswerInfo { id, bytes, finished_at: now });
        self.answer_bytes += bytes;
        self.record_ended(id, &joined);
        self.expire_answers(now);
        joined
    }

    /// Answers a query about the attempt `id`, which was sent to `incarnation`, and bars the
    /// attempt if it has not started. After [`AskReply::NeverStarted`] the attempt must also be
    /// removed from the queue.
    #[must_use]
    pub fn ask(&mut self, id: RequestId, incarnation: u64, now: Millis) -> AskReply<A> {
        self.expire_answers(now);
        if incarnation != self.incarnation {
            return AskReply::Unknown;
        }
        let Some(record) = self.records.get(&id) else { return self.bar_unseen_attempt(id) };
        match &record.state {
            AttemptState::Queued => AskReply::NeverStarted { joined: self.bar(id) },
            AttemptState::Barred => AskReply::NeverStarted { joined: Vec::new() },
            AttemptState::Joined(first) => self.reply_about(*first),
            _ => self.reply_about(id),
        }
    }

    /// Answers a query about `key`. `id` is an attempt of the repeated request, and `incarnation`
    /// is the incarnation of the agent that the first request with the key was sent to.
    ///
    /// If the first request waits or runs, the repeat joins it and gets its answer. A key that has
    /// never been used is barred, so that after [`AskReply::NeverStarted`] the key claim may be
    /// moved to another agent even though the first request may still arrive here.
    #[must_use]
    pub fn ask_key(
        &mut self,
        id: RequestId,
        key: &Name,
        incarnation: u64,
        now: Millis,
    ) -> AskReply<A> {
        self.expire_answers(now);
        if incarnation != self.incarnation {
            return AskReply::Unknown;
        }
        let first = match self.keys.status(key) {
            KeyStatus::First(first) => first,
            KeyStatus::New => return self.bar_unseen_key(id, key),
            KeyStatus::Expired | KeyStatus::PossiblyForgotten => return AskReply::Unknown,
        };
        match self.join(id, first) {
            Admission::Join(_) => AskReply::Running,
            Admission::Replay(answer) => AskReply::Finished(answer),
            Admission::Barred => AskReply::NeverStarted { joined: Vec::new() },
            Admission::AnswerLost => AskReply::AnswerLost,
            _ => AskReply::Unknown,
        }
    }

    /// Drops the oldest answers until the limits on age, number and size hold. [`Self::admit`],
    /// [`Self::finish`] and the queries do so as well; periodic calls free the memory of an agent
    /// that gets no requests.
    pub fn expire_answers(&mut self, now: Millis) {
        while let Some(&KeptAnswerInfo { id, bytes, finished_at }) = self.answers.front() {
            let within_limits = self.answers.len() <= self.limits.answers
                && self.answer_bytes <= self.limits.answer_bytes
                && now.since(finished_at) <= self.limits.answer_ms;
            if within_limits {
                return;
            }
            self.answers.pop_front();
            self.answer_bytes -= bytes;
            if let Some(record) = self.records.get_mut(&id) {
                record.state = AttemptState::Finished(None);
            }
        }
    }

    /// Returns the numbers of recorded attempts, kept answers, bytes of kept answers, and recorded
    /// keys.
    pub fn sizes(&self) -> [usize; 4] {
        [self.records.len(), self.answers.len(), self.answer_bytes, self.keys.len()]
    }

    fn join(&mut self, id: RequestId, first: RequestId) -> Admission<A> {
        let reply = self.reply_about(first);
        let (admission, active) = match reply {
            AskReply::Running => (Admission::Join(first), true),
            AskReply::Finished(answer) => (Admission::Replay(answer), false),
            AskReply::NeverStarted { .. } => (Admission::Barred, false),
            AskReply::AnswerLost => (Admission::AnswerLost, false),
            AskReply::Unknown => (Admission::Forgotten, false),
        };
        if self.records.contains_key(&id) {
            return admission;
        }
        let record = AttemptRecord::new(AttemptState::Joined(first));
        self.records.insert(id, record);
        match self.records.get_mut(&first) {
            Some(record) if active => record.joined.push(id),
            _ => self.record_ended(id, &[]),
        }
        admission
    }

    /// Records an attempt whose key has expired; the request may have run already.
    fn record_attempt_with_expired_key(&mut self, id: RequestId) -> Admission<A> {
        self.records.insert(id, AttemptRecord::new(AttemptState::KeyExpired));
        self.record_ended(id, &[]);
        Admission::Forgotten
    }

    fn reply_about(&self, id: RequestId) -> AskReply<A> {
        match self.records.get(&id).map(|record| &record.state) {
            Some(AttemptState::Queued | AttemptState::Running) => AskReply::Running,
            Some(AttemptState::Finished(Some(answer))) => AskReply::Finished(answer.clone()),
            Some(AttemptState::Barred) => AskReply::NeverStarted { joined: Vec::new() },
            Some(AttemptState::Finished(None)) => AskReply::AnswerLost,
            Some(AttemptState::Joined(_) | AttemptState::KeyExpired) | None => AskReply::Unknown,
        }
    }

    fn bar_unseen_attempt(&mut self, id: RequestId) -> AskReply<A> {
        if self.floors.may_have_been_dropped(id) {
            return AskReply::Unknown;
        }
        self.records.insert(id, AttemptRecord::new(AttemptState::Barred));
        self.record_ended(id, &[]);
        AskReply::NeverStarted { joined: Vec::new() }
    }

    fn bar_unseen_key(&mut self, id: RequestId, key: &Name) -> AskReply<A> {
        if self.records.contains_key(&id) {
            return AskReply::Unknown;
        }
        let record = AttemptRecord::new(AttemptState::Barred);
        self.records.insert(id, record);
        self.index_key(key, id);
        self.record_ended(id, &[]);
        AskReply::NeverStarted { joined: Vec::new() }
    }

    fn index_key(&mut self, key: &Name, id: RequestId) {
        if key.is_empty() {
            return;
        }
        let records = &self.records;
        let is_active = |id| records.get(&id).is_some_and(AttemptRecord::is_active);
        self.keys.insert(key.clone(), id, is_active);
    }

    fn bar(&mut self, id: RequestId) -> Vec<RequestId> {
        let Some(record) = self.records.get_mut(&id) else { return Vec::new() };
        record.state = AttemptState::Barred;
        let joined = std::mem::take(&mut record.joined);
        self.record_ended(id, &joined);
        joined
    }

    /// Appends attempts to `ended`, and drops the oldest records in it above the limit.
    fn record_ended(&mut self, id: RequestId, joined: &[RequestId]) {
        self.ended.push_back(id);
        self.ended.extend(joined);
        while self.ended.len() > self.limits.records {
            let Some(oldest) = self.ended.pop_front() else { return };
            self.records.remove(&oldest);
            self.floors.record_dropped(oldest);
        }
    }
}
