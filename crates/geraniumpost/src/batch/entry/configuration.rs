//! Following the operators' configuration.

use std::sync::Arc;
use std::time::Duration;

use geraniumpost_platform::{
    CONFIGURATION_KEY, Change, GetResponse, PendingResponse, Store, StoreError, WatchResponse,
};

use super::super::{BootClock, hedged_read};
use super::{ActiveConfiguration, Shared};

/// How long a watch waits. A connection that has gone silent is noticed after it.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time from one attempt to read to the next, until one is answered.
const READ_ATTEMPT_INTERVAL: Duration = Duration::from_millis(800);
/// Time from one attempt to watch to the next; an answer may take as long as a reading beyond the wait.
const WATCH_ATTEMPT_INTERVAL: Duration = Duration::from_millis(1_700);
/// Longest time in which nothing of an answer arrives that has begun.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after an answer that could not be used.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// For how long another entry may have a newer version before the watch is taken to have passed over it, in
/// milliseconds.
const MISSED_CHANGE_MS: u64 = 600;
/// Length of an answer of a watch in bytes, above which the newest version is read instead.
const MAX_WATCH_BYTES: usize = 64 * 1024;

/// Follows the configuration for as long as the process runs.
pub async fn follow(store: Arc<Store>, shared: Arc<Shared>) {
    let mut follower = Follower { store: &store, configuration: &shared.configuration, failed: 0 };
    loop {
        let revision = follower.read().await;
        follower.watch(revision).await;
    }
}

struct Follower<'a> {
    store: &'a Store,
    configuration: &'a ActiveConfiguration,
    /// Attempts in a row that failed.
    failed: u32,
}

impl<'a> Follower<'a> {
    /// Reads the newest version, and returns the revision from which changes are to be watched.
    async fn read(&mut self) -> u64 {
        loop {
            let Ok((requested_ms, response)) = self.begin_read().await else { continue };
            match response.receive(BODY_IDLE_TIMEOUT).await {
                Ok(found) => {
                    if let Some(item) = found.item {
                        self.configuration.adopt(&item.value, requested_ms);
                    }
                    self.succeeded(requested_ms);
                    return found.revision;
                }
                Err(error) => self.failed(requested_ms, &error),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Watches from a revision on until the newest version has to be read: the history is gone, a watch
    /// failed and may have passed over something before, another entry has had a newer version for
    /// a while, or what has changed is long.
    ///
    /// A watch tells each version in full, also those that are superseded. While a series of long ones is
    /// transferred, more are written, and each answer would be longer than the one before.
    async fn watch(&mut self, mut revision: u64) {
        loop {
            let begun = self.begin_watch(revision).await;
            if self.failed > 0 {
                return;
            }
            let Ok((requested_ms, response)) = begun else {
                return tokio::time::sleep(RETRY_PAUSE).await;
            };
            if response.content_length().is_some_and(|bytes| bytes > MAX_WATCH_BYTES) {
                return self.configuration.mark_unread();
            }
            match response.receive(BODY_IDLE_TIMEOUT).await {
                Ok(response) => revision = revision.max(self.apply(response, requested_ms)),
                Err(error) => {
                    self.failed(requested_ms, &error);
                    return tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            if self.configuration.behind_ms() > MISSED_CHANGE_MS {
                return;
            }
        }
    }

    /// Takes what a watch told, and returns the revision from which to go on.
    fn apply(&mut self, response: WatchResponse, requested_ms: u64) -> u64 {
        for change in response.changes {
            if let Change::Written(item) = change
                && item.key == CONFIGURATION_KEY
            {
                self.configuration.adopt(&item.value, requested_ms);
            }
        }
        self.succeeded(requested_ms);
        response.revision
    }

    async fn begin_read(&mut self) -> Result<(u64, PendingResponse<'a, GetResponse>), StoreError> {
        let store = self.store;
        let attempt = |timeout| async move {
            let requested_ms = BootClock.now_ms();
            Ok((requested_ms, store.begin_get(CONFIGURATION_KEY, timeout).await?))
        };
        let started_ms = BootClock.now_ms();
        hedged_read(store, READ_ATTEMPT_INTERVAL, attempt, |error| self.failed(started_ms, error))
            .await
    }

    async fn begin_watch(
        &mut self,
        revision: u64,
    ) -> Result<(u64, PendingResponse<'a, WatchResponse>), StoreError> {
        let store = self.store;
        let attempt = |timeout| async move {
            let requested_ms = BootClock.now_ms();
            let watch = store.begin_watch(CONFIGURATION_KEY, revision, WATCH_WAIT, timeout);
            Ok((requested_ms, watch.await?))
        };
        let started_ms = BootClock.now_ms();
        hedged_read(store, WATCH_ATTEMPT_INTERVAL, attempt, |error| self.failed(started_ms, error))
            .await
    }

    fn failed(&mut self, requested_ms: u64, error: &StoreError) {
        self.failed += 1;
        if self.failed == 1 {
            spdlog::warn!("event=dependency_lost dependency=store why=\"{error}\"");
        }
        self.configuration.record_failure(self.failed, requested_ms, &error.to_string());
    }

    fn succeeded(&mut self, requested_ms: u64) {
        if self.failed > 0 {
            spdlog::info!("event=dependency_regained dependency=store failed={}", self.failed);
            self.failed = 0;
        }
        self.configuration.record_confirmed(requested_ms);
    }
}
