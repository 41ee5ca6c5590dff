use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use geraniumpost_core::Millis;
use geraniumpost_net::{Frame, Identity, LinkSender};
use geraniumpost_schema::{RequestId, ToAgent};
use tokio::sync::mpsc;

use super::LinkEvent;

/// Connection to an incarnation of an agent, with the attempts that wait for messages over it.
#[derive(Debug)]
pub struct AgentLink {
    peer: Identity,
    sender: LinkSender<ToAgent>,
    waiting: Mutex<WaitingAttempts>,
    last_received_at: AtomicU64,
}

/// Attempts that wait for messages, empty after the link has ended.
#[derive(Debug, Default)]
struct WaitingAttempts {
    ended: bool,
    attempts: HashMap<RequestId, mpsc::UnboundedSender<LinkEvent>>,
}

impl AgentLink {
    /// Wraps a link that was just established.
    pub fn new(peer: Identity, sender: LinkSender<ToAgent>, now: Millis) -> Self {
        Self { peer, sender, waiting: Mutex::default(), last_received_at: AtomicU64::new(now.0) }
    }

    /// Returns the agent's name and incarnation.
    pub const fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Sends a message without a body, and returns whether it was queued.
    pub fn send(&self, message: ToAgent) -> bool {
        self.sender.send(message).is_ok()
    }

    /// Sends a message with a body, and returns whether it was queued.
    pub fn send_with_body(&self, head: ToAgent, body: Bytes) -> bool {
        self.sender.send(Frame { head, body }).is_ok()
    }

    /// Sends a message that concerns attempt `id`. Messages of the agent about the attempt are
    /// passed to `events`.
    ///
    /// Returns false if the message was certainly not sent. The attempt is registered before the
    /// message is sent, because the answer may arrive immediately.
    pub fn send_for_attempt(
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
        let sent = self.send_with_body(message, body);
        if !sent {
            self.unregister(id);
        }
        sent
    }

    /// Passes the final answer to the waiting attempt, which then waits no longer. Returns false if
    /// the attempt does not wait, for example because its request has timed out.
    pub fn deliver_answer(&self, id: RequestId, event: LinkEvent) -> bool {
        let receiver = self.waiting().attempts.remove(&id);
        receiver.is_some_and(|events| events.send(event).is_ok())
    }

    /// Passes an event to an attempt, which continues to wait.
    pub fn deliver_event(&self, id: RequestId, event: LinkEvent) {
        if let Some(events) = self.waiting().attempts.get(&id) {
            // Fails if the request has ended.
            let _ = events.send(event);
        }
    }

    /// Removes an attempt from the waiting ones, and returns whether it was waiting.
    pub fn unregister(&self, id: RequestId) -> bool {
        self.waiting().attempts.remove(&id).is_some()
    }

    /// Returns whether any attempt waits for messages over this link.
    pub fn has_waiting_attempts(&self) -> bool {
        !self.waiting().attempts.is_empty()
    }

    /// Waits until the link has ended.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Records that a message was received over this link.
    pub fn record_received(&self, now: Millis) {
        self.last_received_at.store(now.0, Ordering::Relaxed);
    }

    /// Returns the time since a message was last received, in milliseconds.
    pub fn silent_ms(&self, now: Millis) -> u64 {
        now.since(Millis(self.last_received_at.load(Ordering::Relaxed)))
    }

    /// Informs all waiting attempts that the link is unresponsive, so that they query the agent
    /// over another link. Answers that arrive later over this link are still delivered.
    pub fn report_unresponsive(&self) {
        for events in self.waiting().attempts.values() {
            let _ = events.send(LinkEvent::Unresponsive);
        }
    }

    /// Informs all waiting attempts that the link has ended, and refuses further attempts.
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

    fn waiting(&self) -> MutexGuard<'_, WaitingAttempts> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
