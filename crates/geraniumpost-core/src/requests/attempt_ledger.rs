use std::collections::{HashMap, VecDeque};

use geraniumpost_schema::{Name, RequestId};

use super::attempt_record::{AttemptRecord, AttemptState};
use super::key_index::KeyIndex;
use super::key_standing::KeyStanding;
use super::sequence_floors::SequenceFloors;
use super::{Admission, AskReply, LedgerLimits};
use crate::Millis;

/// An answer that is still kept.
#[derive(Debug, Clone, Copy)]
struct Kept {
    id: RequestId,
    bytes: usize,
    since: Millis,
}

/// An agent's record of what ran and what did not: the one authority on it.
///
/// A link can be lost after a request was written to it, and then only the agent knows whether the
/// request ran. An entry asks over another link. The question itself bars an attempt that has not
/// started, so that "never started" stays true when the request's bytes arrive later after all.
/// The record is gone when the agent restarts, hence a question names the incarnation it was sent
/// to, and any other incarnation answers "unknown".
///
/// `A` is a kept answer, cheap to clone. See `docs/design/0104-at-most-once.md`.
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
    kept: VecDeque<Kept>,
    kept_bytes: usize,
    keys: KeyIndex,
    floors: SequenceFloors,
}

impl<A: Clone> AttemptLedger<A> {
    /// Returns the empty record of an agent that drew `incarnation` at its start.
    pub fn new(incarnation: u64, limits: LedgerLimits) -> Self {
        Self {
            incarnation,
            limits,
            records: HashMap::new(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            keys: KeyIndex::new(limits.keys, limits.faded_keys),
            floors: SequenceFloors::default(),
        }
    }

    /// Takes in an attempt that arrives; `key` is empty if the caller gave none.
    pub fn admit(&mut self, id: RequestId, key: &Name, now: Millis) -> Admission<A> {
        self.expire_answers(now);
        if let Some(record) = self.records.get(&id) {
            let barred = matches!(record.state, AttemptState::Barred);
            return if barred { Admission::Barred } else { Admission::Duplicate };
        }
        if self.floors.may_have_known(id) {
            return Admission::Forgotten;
        }
        if !key.is_empty() {
            match self.keys.standing(key) {
                KeyStanding::First(first) => return self.join(id, first),
                KeyStanding::Faded => return self.doubt(id),
                KeyStanding::New | KeyStanding::Forgotten => {}
            }
        }
        self.records.insert(id, AttemptRecord::new(AttemptState::Queued));
        self.enter_key(key, id);
        Admission::Queue
    }

    /// Marks an attempt as running. If it returns false, the attempt must not run: a question
    /// barred it while it waited.
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

    /// Takes in that a waiting attempt was refused or cancelled: it never runs, and neither does any
    /// other with its key here. Returns the attempts that joined it, to be refused like it.
    ///
    /// The key stays barred because the entry now moves the key's claim to another agent; a repeat
    /// that another entry sent here under the old claim would otherwise run a second time.
    #[must_use]
    pub fn mark_not_run(&mut self, id: RequestId) -> Vec<RequestId> {
        match self.records.get(&id) {
            Some(AttemptRecord { state: AttemptState::Queued, .. }) => self.bar(id),
            _ => Vec::new(),
        }
    }

    /// Takes in that a running attempt left the minion with `answer` of `bytes`, good or bad.
    /// Returns the attempts that joined it, which get the same answer.
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
        self.kept.push_back(Kept { id, bytes, since: now });
        self.kept_bytes += bytes;
        self.end(id, &joined);
        self.expire_answers(now);
        joined
    }

    /// Answers a question about an attempt that was sent to `incarnation`, and bars the attempt if
    /// it has not started. A `NeverStarted` one must also be taken out of the queue.
    #[must_use]
    pub fn ask(&mut self, id: RequestId, incarnation: u64, now: Millis) -> AskReply<A> {
        self.expire_answers(now);
        if incarnation != self.incarnation {
            return AskReply::Unknown;
        }
        let Some(record) = self.records.get(&id) else { return self.ask_unseen(id) };
        match &record.state {
            AttemptState::Queued => AskReply::NeverStarted { joined: self.bar(id) },
            AttemptState::Barred => AskReply::NeverStarted { joined: Vec::new() },
            AttemptState::Joined(first) => self.reply_of(*first),
            _ => self.reply_of(id),
        }
    }

    /// Answers a repeat, known as `id`, of the request with `key` that was sent to `incarnation`.
    ///
    /// Of one that waits or runs, the repeat gets the answer when it comes. A key not on record is
    /// barred, so that after `NeverStarted` the claim may be moved to another agent although the
    /// first request may still be on its way here.
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
        let first = match self.keys.standing(key) {
            KeyStanding::First(first) => first,
            KeyStanding::New => return self.bar_unseen_key(id, key),
            KeyStanding::Faded | KeyStanding::Forgotten => return AskReply::Unknown,
        };
        match self.join(id, first) {
            Admission::Join(_) => AskReply::Running,
            Admission::Replay(answer) => AskReply::Finished(answer),
            Admission::Barred => AskReply::NeverStarted { joined: Vec::new() },
            Admission::AnswerLost => AskReply::AnswerLost,
            _ => AskReply::Unknown,
        }
    }

    /// Drops answers that are too old. [`Self::admit`] and the questions do so, too; a call now and
    /// then frees the memory of an agent that gets no requests.
    pub fn expire_answers(&mut self, now: Millis) {
        while let Some(&Kept { id, bytes, since }) = self.kept.front() {
            let within = self.kept.len() <= self.limits.answers
                && self.kept_bytes <= self.limits.answer_bytes
                && now.since(since) <= self.limits.answer_ms;
            if within {
                return;
            }
            self.kept.pop_front();
            self.kept_bytes -= bytes;
            if let Some(record) = self.records.get_mut(&id) {
                record.state = AttemptState::Finished(None);
            }
        }
    }

    /// Attempts on record, answers kept, their bytes, and keys on record.
    pub fn sizes(&self) -> [usize; 4] {
        [self.records.len(), self.kept.len(), self.kept_bytes, self.keys.len()]
    }

    fn join(&mut self, id: RequestId, first: RequestId) -> Admission<A> {
        let reply = self.reply_of(first);
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
            _ => self.end(id, &[]),
        }
        admission
    }

    /// Enters an attempt whose key came before and is no longer on record.
    fn doubt(&mut self, id: RequestId) -> Admission<A> {
        self.records.insert(id, AttemptRecord::new(AttemptState::Doubtful));
        self.end(id, &[]);
        Admission::Forgotten
    }

    fn reply_of(&self, id: RequestId) -> AskReply<A> {
        match self.records.get(&id).map(|record| &record.state) {
            Some(AttemptState::Queued | AttemptState::Running) => AskReply::Running,
            Some(AttemptState::Finished(Some(answer))) => AskReply::Finished(answer.clone()),
            Some(AttemptState::Barred) => AskReply::NeverStarted { joined: Vec::new() },
            Some(AttemptState::Finished(None)) => AskReply::AnswerLost,
            Some(AttemptState::Joined(_) | AttemptState::Doubtful) | None => AskReply::Unknown,
        }
    }

    fn ask_unseen(&mut self, id: RequestId) -> AskReply<A> {
        if self.floors.may_have_known(id) {
            return AskReply::Unknown;
        }
        self.records.insert(id, AttemptRecord::new(AttemptState::Barred));
        self.end(id, &[]);
        AskReply::NeverStarted { joined: Vec::new() }
    }

    fn bar_unseen_key(&mut self, id: RequestId, key: &Name) -> AskReply<A> {
        if self.records.contains_key(&id) {
            return AskReply::Unknown;
        }
        let record = AttemptRecord::new(AttemptState::Barred);
        self.records.insert(id, record);
        self.enter_key(key, id);
        self.end(id, &[]);
        AskReply::NeverStarted { joined: Vec::new() }
    }

    fn enter_key(&mut self, key: &Name, id: RequestId) {
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
        self.end(id, &joined);
        joined
    }

    /// Enters attempts that will not change any more, and forgets the oldest beyond the bound.
    fn end(&mut self, id: RequestId, joined: &[RequestId]) {
        self.ended.push_back(id);
        self.ended.extend(joined);
        while self.ended.len() > self.limits.records {
            let Some(oldest) = self.ended.pop_front() else { return };
            self.records.remove(&oldest);
            self.floors.forget(oldest);
        }
    }
}
