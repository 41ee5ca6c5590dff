use std::time::Duration;

use geraniumpost_core::config::{
    Change, ChangeAction, ChangeEvent, ChangeOutcome, ChangeProtocol, StoredDocument,
};
use geraniumpost_outside::{Expect, Store, StoreError};

use super::{CONFIG_KEY, ConfigUpdater};

/// Pause after a call that failed, so that a store in trouble is not pressed.
const PAUSE: Duration = Duration::from_millis(200);

/// Carries one operator's change into the store and tells what became of it.
///
/// What is read on the way is adopted. A repeat that finds its change made already is so answered
/// from the document that was written then, whatever document the repeat carries.
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
            tokio::time::sleep(PAUSE).await;
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
                spdlog::error!("the stored configuration cannot be read: {error}");
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
