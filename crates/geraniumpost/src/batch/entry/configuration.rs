//! Reads the operators' configuration from the store and watches it for changes.

use std::sync::Arc;
use std::time::Duration;

use geraniumpost_platform::{
    CONFIGURATION_KEY, Change, GetResponse, PendingResponse, Store, StoreError, WatchResponse,
};

use super::super::{BootClock, hedged_read};
use super::{ActiveConfiguration, EntryState};

/// Maximum time for which the store waits for a change before it responds to a watch. A broken
/// connection is noticed only after this time.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time after which another attempt to read starts if no earlier attempt has succeeded.
const READ_ATTEMPT_INTERVAL: Duration = Duration::from_millis(800);
/// Time after which another watch starts if no earlier one has succeeded: [`WATCH_WAIT`] plus about
/// the duration of a read.
const WATCH_ATTEMPT_INTERVAL: Duration = Duration::from_millis(1_700);
/// Maximum time without new bytes while the body of a response is received.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed read or watch.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time after which a newer version that another process has reported is read without waiting for
/// the watch, in milliseconds.
const MISSED_CHANGE_MS: u64 = 600;
/// Maximum length of a watch response that is received in full, in bytes. If the response is
/// longer, the newest version is read instead.
const MAX_WATCH_BYTES: usize = 64 * 1024;

/// Follows the configuration until the process exits.
pub async fn follow_configuration(store: Arc<Store>, shared: Arc<EntryState>) {
    let mut follower =
        Follower { store: &store, configuration: &shared.configuration, failed_attempts: 0 };
    loop {
        let revision = follower.read().await;
        follower.watch(revision).await;
    }
}

struct Follower<'a> {
    store: &'a Store,
    configuration: &'a ActiveConfiguration,
    /// Number of failed attempts since the last successful one.
    failed_attempts: u32,
}

impl<'a> Follower<'a> {
    /// Reads the newest version, and returns the revision after which changes have to be watched.
    async fn read(&mut self) -> u64 {
        loop {
            let Ok((requested_ms, response)) = self.begin_read().await else { continue };
            match response.receive(BODY_IDLE_TIMEOUT).await {
                Ok(response) => {
                    if let Some(item) = response.item {
                        self.configuration.adopt(&item.value, requested_ms);
                    }
                    self.record_success(requested_ms);
                    return response.revision;
                }
                Err(error) => self.record_failure(requested_ms, &error),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Watches for changes after `revision`. Returns when the newest version has to be read
    /// instead: after the history was compacted, after a failed watch, which may have missed
    /// changes, if another process has reported a newer version [`MISSED_CHANGE_MS`] ago, or if the
    /// response is longer than [`MAX_WATCH_BYTES`].
    ///
    /// A watch returns every version in full, including superseded ones. If long versions are
    /// written faster than they are transferred, each response would be longer than the previous
    /// one.
    async fn watch(&mut self, mut revision: u64) {
        loop {
            let watch = self.begin_watch(revision).await;
            if self.failed_attempts > 0 {
                return;
            }
            let Ok((requested_ms, response)) = watch else {
                return tokio::time::sleep(RETRY_PAUSE).await;
            };
            if response.content_length().is_some_and(|bytes| bytes > MAX_WATCH_BYTES) {
                return self.configuration.mark_unread();
            }
            match response.receive(BODY_IDLE_TIMEOUT).await {
                Ok(response) => revision = revision.max(self.apply_changes(response, requested_ms)),
                Err(error) => {
                    self.record_failure(requested_ms, &error);
                    return tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            if self.configuration.behind_ms() > MISSED_CHANGE_MS {
                return;
            }
        }
    }

    /// Applies the changes of a watch, and returns the revision after which the next watch must
    /// begin.
    fn apply_changes(&mut self, response: WatchResponse, requested_ms: u64) -> u64 {
        for change in response.changes {
            if let Change::Written(item) = change
                && item.key == CONFIGURATION_KEY
            {
                self.configuration.adopt(&item.value, requested_ms);
            }
        }
        self.record_success(requested_ms);
        response.revision
    }

    async fn begin_read(&mut self) -> Result<(u64, PendingResponse<'a, GetResponse>), StoreError> {
        let store = self.store;
        let attempt = |timeout| async move {
            let requested_ms = BootClock.now_ms();
            Ok((requested_ms, store.begin_get(CONFIGURATION_KEY, timeout).await?))
        };
        let started_ms = BootClock.now_ms();
        hedged_read(store, READ_ATTEMPT_INTERVAL, attempt, |error| {
            self.record_failure(started_ms, error);
        })
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
        hedged_read(store, WATCH_ATTEMPT_INTERVAL, attempt, |error| {
            self.record_failure(started_ms, error);
        })
        .await
    }

    fn record_failure(&mut self, requested_ms: u64, error: &StoreError) {
        self.failed_attempts += 1;
        if self.failed_attempts == 1 {
            spdlog::warn!("event=dependency_lost dependency=store why=\"{error}\"");
        }
        self.configuration.record_failure(self.failed_attempts, requested_ms, &error.to_string());
    }

    fn record_success(&mut self, requested_ms: u64) {
        if self.failed_attempts > 0 {
            spdlog::info!(
                "event=dependency_regained dependency=store failed={}",
                self.failed_attempts
            );
            self.failed_attempts = 0;
        }
        self.configuration.record_confirmed(requested_ms);
    }
}
