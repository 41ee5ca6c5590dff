use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use geraniumpost_core::Millis;
use geraniumpost_net::{Frame, Identity, LinkSender};
use geraniumpost_schema::{RequestId, ToAgent};
use tokio::sync::mpsc;

use super::LinkEvent;

/// One connection to one incarnation of an agent, with the attempts that wait for its word.
#[derive(Debug)]
pub struct AgentLink {
    peer: Identity,
    sender: LinkSender<ToAgent>,
    waiting: Mutex<Waiting>,
    heard_at: AtomicU64,
}

/// Attempts that wait, or the fact that no word will come any more.
#[derive(Debug, Default)]
struct Waiting {
    ended: bool,
    attempts: HashMap<RequestId, mpsc::UnboundedSender<LinkEvent>>,
}

impl AgentLink {
    /// Wraps a link that has just come up.
    pub fn new(peer: Identity, sender: LinkSender<ToAgent>, now: Millis) -> Self {
        Self { peer, sender, waiting: Mutex::default(), heard_at: AtomicU64::new(now.0) }
    }

    /// Returns the agent's name and incarnation.
    pub const fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Sends a message that waits for no answer; returns whether it was queued.
    pub fn send(&self, message: ToAgent) -> bool {
        self.sender.send(message).is_ok()
    }

    /// Sends a message with a body; returns whether it was queued.
    pub fn send_with(&self, head: ToAgent, body: Bytes) -> bool {
        self.sender.send(Frame { head, body }).is_ok()
    }

    /// Sends what concerns attempt `id` and passes the agent's word on to `events`.
    ///
    /// Returns false if the message was certainly not sent. The attempt is entered first, because
    /// the answer may be here before the next line runs.
    pub fn send_for(
        &self,
        id: RequestId,
        message: ToAgent,
        body: Bytes,
        events: &mpsc::UnboundedSender<LinkEvent>,
    ) -> bool {
        {
            let mut waiting = self.waiting();
            if waiting.ended {
                return false;
            }
            waiting.attempts.insert(id, events.clone());
        }
        let sent = self.send_with(message, body);
        if !sent {
            self.forget(id);
        }
        sent
    }

    /// Passes an answer on; returns false if nobody waits for it, as for one that comes late.
    pub fn answer(&self, id: RequestId, event: LinkEvent) -> bool {
        let receiver = self.waiting().attempts.remove(&id);
        receiver.is_some_and(|events| events.send(event).is_ok())
    }

    /// Passes on an event after which the attempt still waits.
    pub fn tell(&self, id: RequestId, event: LinkEvent) {
        if let Some(events) = self.waiting().attempts.get(&id) {
            // The request may have ended in the meantime.
            let _ = events.send(event);
        }
    }

    /// Stops waiting for word on an attempt; returns whether it still waited.
    pub fn forget(&self, id: RequestId) -> bool {
        self.waiting().attempts.remove(&id).is_some()
    }

    /// Returns whether an attempt waits for word.
    pub fn is_waited_on(&self) -> bool {
        !self.waiting().attempts.is_empty()
    }

    /// Waits until the link has ended.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Notes that the agent was heard on this link.
    pub fn heard(&self, now: Millis) {
        self.heard_at.store(now.0, Ordering::Relaxed);
    }

    /// Returns for how long the link has been silent, in milliseconds.
    pub fn silent_ms(&self, now: Millis) -> u64 {
        now.since(Millis(self.heard_at.load(Ordering::Relaxed)))
    }

    /// Tells every waiting attempt that the link is silent; they ask over another. An answer that
    /// comes after all is still passed on.
    pub fn tell_silent(&self) {
        for events in self.waiting().attempts.values() {
            let _ = events.send(LinkEvent::Silent);
        }
    }

    /// Tells every waiting attempt that the link is lost, and refuses further ones.
    pub fn end(&self) {
        let attempts = {
            let mut waiting = self.waiting();
            waiting.ended = true;
            std::mem::take(&mut waiting.attempts)
        };
        for events in attempts.into_values() {
            let _ = events.send(LinkEvent::Lost);
        }
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
