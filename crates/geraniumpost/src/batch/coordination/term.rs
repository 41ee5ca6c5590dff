//! One term of coordinating, from taking over to its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geraniumpost_batch::tuning::STORE_SILENCE_MS;
use geraniumpost_batch::{Coordinator, Inheritance, JobId, JobRecord, Knowledge, Now};
use geraniumpost_platform::{Admission, GetResponse, Page, Store, StoreError};
use tokio::sync::{mpsc, watch};

use super::super::{BootClock, first_answer};
use super::doorway::{Inputs, TermInputs};
use super::driver::{Driver, Input, Question};
use super::left::Left;
use super::own_promises::OwnPromises;
use super::peers::{Peers, probe};
use super::record::CoordinatorRecord;
use super::releases::{Asker, SilentTerm};
use super::term_support::TermSupport;
use super::timeout::Timeout;
use super::writer::{TermLost, Writer};
use super::{JOB_PREFIX, KNOWLEDGE_KEY};
use crate::metrics::Metrics;

/// Messages that may wait for the coordinator.
const QUEUE: usize = 4_096;
/// Batches that may wait for the writer; the coordinator gathers no more than it lets be under way.
const BATCHES: usize = 8;
/// Time from one attempt to read records to the next, until one is answered.
const READ_SPACING: Duration = Duration::from_millis(1_500);
/// Longest time in which nothing of a page of records arrives that has begun.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Longest time that one question to the admission service may take; it needs some milliseconds for
/// each minion named.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two looks for a successor, or at a predecessor.
const DOUBT_PAUSE: Duration = Duration::from_millis(300);
/// Pause after the store failed.
const PAUSE: Duration = Duration::from_millis(60);

/// A term that was just taken.
pub struct Term {
    pub store: Arc<Store>,
    pub record: CoordinatorRecord,
    /// Revision of the coordinator's key.
    pub revision: u64,
    /// How long minions hold their tasks, in milliseconds.
    pub hold_ms: u64,
    /// When the store was asked for the term, on the boot clock.
    pub asked_ms: u64,
    /// When the term was taken.
    pub taken: Now,
    /// What earlier coordinators left behind, as it held then.
    pub inheritance: Inheritance,
    pub confirmed_ms: Arc<AtomicU64>,
    /// The other entries, which may know of a successor.
    pub peers: Arc<Peers>,
    /// What this entry has promised to coordinators.
    pub promises: Arc<OwnPromises>,
    /// The service that approves minions for steps, if there is one.
    pub admission: Option<SocketAddr>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
}

impl Term {
    /// Coordinates until the term is lost or the process is asked to stop.
    pub async fn run(self, doorway: &watch::Sender<Inputs>, stop: watch::Receiver<bool>) {
        let (tx, mut rx) = mpsc::channel(QUEUE);
        self.confirmed_ms.store(BootClock.now_ms(), Ordering::Relaxed);
        // Links are taken at once; their messages wait until the records are read.
        let voters = self.record.voters_of(self.record.term);
        let support =
            Arc::new(TermSupport::new(self.record.node.clone(), self.record.term, voters));
        doorway
            .send_replace(Some(TermInputs { inputs: tx.clone(), support: Arc::clone(&support) }));
        self.ask_silent(&tx);
        let (records, knowledge) =
            tokio::join!(self.read_records(stop.clone()), self.read_knowledge());
        let Some(records) = records else {
            doorway.send_replace(None);
            return;
        };
        let now = BootClock.now();
        spdlog::info!(
            "event=coordinating fence={} term={} jobs={}",
            self.record.term,
            self.record.term,
            records.len()
        );
        let coordinator = Coordinator::new(self.record.term, now)
            .hold_ms(self.hold_ms)
            .term_requested_at(self.asked_ms)
            .with_predecessor_leases(&self.inheritance, self.taken)
            .with_interference(&knowledge)
            .with_records(records, now);
        let (writes_tx, mut writes) = mpsc::channel(BATCHES);
        let (questions_tx, questions) = mpsc::channel(QUEUE);
        if let Some(address) = self.admission {
            tokio::spawn(ask_admission(Admission::new(address), questions, tx.clone()));
        }
        let left = Arc::new(Left::new(
            self.inheritance.clone().while_coordinating(),
            self.taken.steady_ms,
        ));
        let mut writer = Writer {
            store: self.store,
            record: self.record,
            revision: self.revision,
            inputs: tx,
            confirmed_ms: self.confirmed_ms,
            timeout: Timeout::default(),
            left: Arc::clone(&left),
            support: Arc::clone(&support),
            peers: Arc::clone(&self.peers),
            taken_ms: self.taken.steady_ms,
            metrics: Arc::clone(&self.metrics),
        };
        self.metrics.planner_term(writer.record.term);
        let confirmed_ms = Arc::clone(&writer.confirmed_ms);
        let succeeded = succeeded(self.peers, confirmed_ms, writer.record.term);
        let metrics = Arc::clone(&self.metrics);
        let driver = Driver::new(coordinator, writes_tx, questions_tx, left, support, metrics);
        let ended = tokio::select! {
            end = driver.run(&mut rx) => {
                spdlog::warn!("event=term_ended why=\"{end:?}\"");
                Err(TermLost)
            }
            end = writer.run(&mut writes, stop) => end,
            () = succeeded => Err(TermLost),
        };
        // The key says that it is vacant before the links close: who looks then sees it at once.
        match ended {
            Ok(()) => writer.step_down().await,
            Err(error) => spdlog::warn!("event=term_lost why=\"{error}\""),
        }
        doorway.send_replace(None);
        self.metrics.planner_term(0);
        self.metrics.longest_wait(Duration::ZERO, Duration::ZERO);
        self.metrics.lease_supporters(0);
    }

    /// Begins to ask silent coordinators for a word, and entries for theirs. The answers wait until the
    /// records are read.
    fn ask_silent(&self, inputs: &mpsc::Sender<Input>) {
        let asker = Asker {
            term: self.record.term,
            taken_ms: self.taken.steady_ms,
            promises: Arc::clone(&self.promises),
            peers: Arc::clone(&self.peers),
        };
        for (address, silent) in &self.inheritance.silent {
            let (address, term) = (*address, silent.term);
            tokio::spawn(await_predecessor(address, term, inputs.clone()));
            let silent = SilentTerm { address, term, voters: self.record.voters_of(term) };
            tokio::spawn(asker.clone().await_releases(silent, inputs.clone()));
        }
    }

    /// Reads what a predecessor had learnt. Without it the coordinator learns anew.
    async fn read_knowledge(&self) -> Knowledge {
        let reading = async {
            self.store.begin_get(KNOWLEDGE_KEY, READ_SPACING).await?.receive(SILENCE).await
        };
        let item = match reading.await {
            Ok(GetResponse { item: Some(item), .. }) => item,
            Ok(GetResponse { item: None, .. }) => return Knowledge::default(),
            Err(error) => {
                spdlog::warn!("event=read_failed what=knowledge why=\"{error}\"");
                return Knowledge::default();
            }
        };
        Knowledge::decode(&item.value).unwrap_or_else(|error| {
            spdlog::warn!("event=record_unreadable key={KNOWLEDGE_KEY} why=\"{error}\"");
            Knowledge::default()
        })
    }

    /// Reads all records, unless the process is asked to stop meanwhile.
    async fn read_records(
        &self,
        mut stop: watch::Receiver<bool>,
    ) -> Option<Vec<(JobId, JobRecord)>> {
        tokio::select! {
            records = Box::pin(self.read_all_pages()) => Some(records),
            () = crate::stop_signal::stopped(&mut stop) => None,
        }
    }

    /// Reads page after page. One that fails is read again, and not those before it: nobody else changes
    /// records in this term, and a list that began anew with each failure might never end.
    async fn read_all_pages(&self) -> Vec<(JobId, JobRecord)> {
        let mut records = Vec::new();
        let mut last = None;
        loop {
            let page = self.read_page(last.as_deref()).await;
            self.confirmed_ms.store(BootClock.now_ms(), Ordering::Relaxed);
            records.extend(page.items.iter().filter_map(read_record));
            last = page.items.last().map(|item| item.key.clone());
            if !page.more {
                return records;
            }
        }
    }

    async fn read_page(&self, after: Option<&str>) -> Page {
        let failed = |error: &StoreError| {
            spdlog::warn!("event=read_failed what=records why=\"{error}\"");
        };
        let attempt = |timeout| self.store.begin_page(JOB_PREFIX, after, timeout);
        loop {
            let read = match first_answer(&self.store, READ_SPACING, attempt, failed).await {
                Ok(reading) => reading.receive(SILENCE).await,
                Err(error) => Err(error),
            };
            match read {
                Ok(page) => return page,
                Err(error) => failed(&error),
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Puts questions to the admission service, one at a time, as it answers them.
async fn ask_admission(
    admission: Admission,
    mut questions: mpsc::Receiver<Question>,
    inputs: mpsc::Sender<Input>,
) {
    while let Some((step, minions)) = questions.recv().await {
        let answer = admission.request_approval(step, &minions, ADMISSION_TIMEOUT).await;
        if let Err(why) = &answer {
            spdlog::warn!("event=approval_unanswered step={step} why=\"{why}\"");
        }
        if inputs.send(Input::Approved((step, minions), answer.ok())).await.is_err() {
            return;
        }
    }
}

/// Waits until another entry knows a successor, while the store is silent.
async fn succeeded(peers: Arc<Peers>, confirmed_ms: Arc<AtomicU64>, fence: u64) {
    loop {
        tokio::time::sleep(DOUBT_PAUSE).await;
        let silent_ms = BootClock.now_ms().saturating_sub(confirmed_ms.load(Ordering::Relaxed));
        if silent_ms >= STORE_SILENCE_MS && peers.successor(fence).await.is_some() {
            return;
        }
    }
}

/// Asks a coordinator that fell silent until it knows of a later term than its own, which has then ended.
///
/// It need not know the present one: an entry whose link to the coordinator is well reads the key no more, also
/// if that entry has begun another term meanwhile.
async fn await_predecessor(address: SocketAddr, term: u64, inputs: mpsc::Sender<Input>) {
    while !inputs.is_closed() {
        let known = probe(address).await.and_then(|probed| probed.known);
        if known.is_some_and(|known| known.fence > term) {
            // A term that ended meanwhile needs no word of it.
            let _ = inputs.send(Input::PredecessorEnded(address)).await;
            return;
        }
        tokio::time::sleep(DOUBT_PAUSE).await;
    }
}

fn read_record(item: &geraniumpost_platform::KeyValue) -> Option<(JobId, JobRecord)> {
    let id = item.key.strip_prefix(JOB_PREFIX).and_then(|id| id.parse().ok());
    match (id, JobRecord::decode(&item.value)) {
        (Some(id), Ok(record)) => Some((id, record)),
        (_, result) => {
            let why = result.err().map_or_else(|| "key".to_owned(), |error| error.to_string());
            spdlog::error!("event=record_unreadable key={} why=\"{why}\"", item.key);
            None
        }
    }
}
