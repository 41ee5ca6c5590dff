//! Following the operators' configuration.

use std::sync::Arc;
use std::time::Duration;

use geraniumpost_platform::{
    CONFIGURATION_KEY, Change, GetResponse, PendingResponse, Store, StoreError, WatchResponse,
};

use super::super::{BootClock, hedged_read};
use super::{ActiveConfiguration, Shared};

/// How long a watch waits. A connection that has gone silent is noticed after it.
const WATCH: Duration = Duration::from_secs(1);
/// Time from one attempt to read to the next, until one is answered.
const READ_SPACING: Duration = Duration::from_millis(800);
/// Time from one attempt to watch to the next; an answer may take as long as a reading beyond the wait.
const WATCH_SPACING: Duration = Duration::from_millis(1_700);
/// Longest time in which nothing of an answer arrives that has begun.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Pause after an answer that could not be used.
const PAUSE: Duration = Duration::from_millis(150);
/// For how long another entry may have a newer version before the watch is taken to have passed over it, in
/// milliseconds.
const PASSED_OVER_MS: u64 = 600;
/// Length of an answer of a watch in bytes, above which the newest version is read instead.
const LONG: usize = 64 * 1024;

/// Follows the configuration for as long as the process runs.
pub async fn follow(store: Arc<Store>, shared: Arc<Shared>) {
    let mut follower = Follower { store: &store, in_force: &shared.in_force, failed: 0 };
    loop {
        let revision = follower.read().await;
        follower.watch(revision).await;
    }
}

struct Follower<'a> {
    store: &'a Store,
    in_force: &'a ActiveConfiguration,
    /// Attempts in a row that failed.
    failed: u32,
}

impl<'a> Follower<'a> {
    /// Reads the newest version, and returns the revision from which changes are to be watched.
    async fn read(&mut self) -> u64 {
        loop {
            let Ok((asked_ms, reading)) = self.begin_read().await else { continue };
            match reading.receive(SILENCE).await {
                Ok(found) => {
                    if let Some(item) = found.item {
                        self.in_force.adopt(&item.value, asked_ms);
                    }
                    self.succeeded(asked_ms);
                    return found.revision;
                }
                Err(error) => self.failed(asked_ms, &error),
            }
            tokio::time::sleep(PAUSE).await;
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
            let Ok((asked_ms, reading)) = begun else {
                return tokio::time::sleep(PAUSE).await;
            };
            if reading.content_length().is_some_and(|bytes| bytes > LONG) {
                return self.in_force.unread();
            }
            match reading.receive(SILENCE).await {
                Ok(watched) => revision = revision.max(self.take(watched, asked_ms)),
                Err(error) => {
                    self.failed(asked_ms, &error);
                    return tokio::time::sleep(PAUSE).await;
                }
            }
            if self.in_force.behind_ms() > PASSED_OVER_MS {
                return;
            }
        }
    }

    /// Takes what a watch told, and returns the revision from which to go on.
    fn take(&mut self, watched: WatchResponse, asked_ms: u64) -> u64 {
        for change in watched.changes {
            if let Change::Written(item) = change
                && item.key == CONFIGURATION_KEY
            {
                self.in_force.adopt(&item.value, asked_ms);
            }
        }
        self.succeeded(asked_ms);
        watched.revision
    }

    async fn begin_read(&mut self) -> Result<(u64, PendingResponse<'a, GetResponse>), StoreError> {
        let store = self.store;
        let attempt = |timeout| async move {
            let asked_ms = BootClock.now_ms();
            Ok((asked_ms, store.begin_get(CONFIGURATION_KEY, timeout).await?))
        };
        let began_ms = BootClock.now_ms();
        hedged_read(store, READ_SPACING, attempt, |error| self.failed(began_ms, error)).await
    }

    async fn begin_watch(
        &mut self,
        revision: u64,
    ) -> Result<(u64, PendingResponse<'a, WatchResponse>), StoreError> {
        let store = self.store;
        let attempt = |timeout| async move {
            let asked_ms = BootClock.now_ms();
            let watch = store.begin_watch(CONFIGURATION_KEY, revision, WATCH, timeout);
            Ok((asked_ms, watch.await?))
        };
        let began_ms = BootClock.now_ms();
        hedged_read(store, WATCH_SPACING, attempt, |error| self.failed(began_ms, error)).await
    }

    fn failed(&mut self, asked_ms: u64, error: &StoreError) {
        self.failed += 1;
        if self.failed == 1 {
            spdlog::warn!("event=dependency_lost dependency=store why=\"{error}\"");
        }
        self.in_force.failed(self.failed, asked_ms, &error.to_string());
    }

    fn succeeded(&mut self, asked_ms: u64) {
        if self.failed > 0 {
            spdlog::info!("event=dependency_regained dependency=store failed={}", self.failed);
            self.failed = 0;
        }
        self.in_force.confirm(asked_ms);
    }
}
