use std::time::Duration;

use geraniumpost_core::config::{
    Change, ChangeAction, ChangeEvent, ChangeOutcome, ChangeProtocol, StoredDocument,
};
use geraniumpost_outside::{Expect, Store, StoreError};

use super::{CONFIG_KEY, ConfigUpdater};

/// Delay after a failed call, which spares an overloaded store.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Writes an operator's change to the store and returns the outcome.
///
/// Configurations that are read meanwhile are adopted. If a change with the same id was already
/// committed, the outcome is that of the earlier change, whatever document this one contains.
pub async fn write_change(store: &Store, config: &ConfigUpdater, change: Change) -> ChangeOutcome {
    let mut protocol = ChangeProtocol::new(change);
    let mut action = protocol.begin();
    loop {
        let event = match action {
            ChangeAction::Read => read(store, config).await,
            ChangeAction::Write { expected, value } => write(store, expected, &value).await,
            ChangeAction::Done(outcome) => return outcome,
        };
        if matches!(event, ChangeEvent::Failed | ChangeEvent::Lost) {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        action = protocol.handle(event);
    }
}

async fn read(store: &Store, config: &ConfigUpdater) -> ChangeEvent {
    match store.get(CONFIG_KEY).await {
        Ok(None) => ChangeEvent::Read(None),
        Ok(Some(found)) => match serde_json::from_slice::<StoredDocument>(&found.value) {
            Ok(stored) => {
                config.stored(found.revision, &found.value);
                ChangeEvent::Read(Some((found.revision, stored)))
            }
            Err(error) => {
                spdlog::error!("cannot read the stored configuration: {error}");
                ChangeEvent::Failed
            }
        },
        Err(_) => ChangeEvent::Failed,
    }
}

async fn write(store: &Store, expected: u64, value: &StoredDocument) -> ChangeEvent {
    let Ok(json) = serde_json::to_vec(value) else { return ChangeEvent::Failed };
    let expect = if expected == 0 { Expect::Absent } else { Expect::Revision(expected) };
    match store.put(CONFIG_KEY, json, expect, None).await {
        Ok(revision) => ChangeEvent::Written(revision),
        Err(StoreError::Conflict { .. }) => ChangeEvent::Conflict,
        Err(error) if error.had_no_effect() => ChangeEvent::Failed,
        Err(_) => ChangeEvent::Lost,
    }
}
