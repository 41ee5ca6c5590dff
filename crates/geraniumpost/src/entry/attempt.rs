use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geraniumpost_core::requests::{AgentView, InFlightGuard, RequestKind};
use geraniumpost_schema::{Ask, AskKey, Name, RequestHead, RequestId, ToAgent};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::route::Target;
use super::{AgentLink, EntryContext, Incoming, LinkEvent};

/// How long a question may go unanswered.
const ASK_PATIENCE: Duration = Duration::from_millis(800);

/// How long the agent's last word is waited for after the deadline.
///
/// The agent counts the same deadline from when the request reached it. Without this time the entry
/// would always be first, and tell callers that nobody can know what the agent just says.
const LAST_WORD: Duration = Duration::from_millis(50);

/// One attempt at a request: sent to one incarnation of an agent.
///
/// Dropping it tells the agent that nobody waits any more, which is what happens when the caller
/// leaves: the request is taken out of the agent's queue, and a late answer goes nowhere.
#[derive(Debug)]
pub struct Attempt {
    id: RequestId,
    agent: Arc<AgentView>,
    key: Name,
    link: Option<Arc<AgentLink>>,
    events_tx: mpsc::UnboundedSender<LinkEvent>,
    events: mpsc::UnboundedReceiver<LinkEvent>,
    finished: bool,
    _in_flight: InFlightGuard,
}

impl Attempt {
    /// Sends a request to an agent; [`Attempt::is_sent`] tells whether a byte of it may be on its
    /// way.
    pub fn send(cx: &EntryContext, req: &Incoming, target: &Target, number: u32) -> Self {
        let (events_tx, events) = mpsc::unbounded_channel();
        let id = cx.next_id();
        let Target { agent, key, .. } = target;
        let link = cx.links.to_incarnation(agent.name(), target.incarnation);
        let head = ToAgent::Request(request_head(cx, req, id, key, number));
        let link = link.filter(|l| l.send_for(id, head, req.body.clone(), &events_tx));
        let (agent, key) = (Arc::clone(agent), key.clone());
        let in_flight = agent.counters().begin_request();
        Self { id, agent, key, link, events_tx, events, finished: false, _in_flight: in_flight }
    }

    /// Returns whether a byte of the request may have been written.
    pub const fn is_sent(&self) -> bool {
        self.link.is_some()
    }

    /// Returns the agent.
    pub const fn agent(&self) -> &Arc<AgentView> {
        &self.agent
    }

    /// Waits for the agent's next word until the request's deadline and a little longer, and `None`
    /// after that.
    pub async fn next(&mut self, cx: &EntryContext, req: &Incoming) -> Option<LinkEvent> {
        let patience = cx.clock.until(req.deadline) + LAST_WORD;
        let event = timeout(patience, self.events.recv()).await.ok().flatten();
        self.finished |= matches!(event, Some(LinkEvent::Answer(..)));
        event
    }

    /// Asks the agent over its present link what became of the attempt, and waits for a first word.
    ///
    /// # Errors
    ///
    /// Fails with [`AskError`] if the question could not be put or was not answered.
    pub async fn ask(
        &mut self,
        cx: &EntryContext,
        req: &Incoming,
        incarnation: u64,
    ) -> Result<LinkEvent, AskError> {
        let link = cx.links.get(self.agent.name()).ok_or(AskError::NoLink)?;
        if link.peer().incarnation != incarnation {
            return Err(AskError::Restarted);
        }
        let question = self.question(cx, req, incarnation);
        // What the old link still said before the question is no answer to it.
        while let Ok(event) = self.events.try_recv() {
            if matches!(event, LinkEvent::Answer(..)) {
                self.finished = true;
                return Ok(event);
            }
        }
        if !link.send_for(self.id, question, Bytes::new(), &self.events_tx) {
            return Err(AskError::NoLink);
        }
        let patience = ASK_PATIENCE.min(cx.clock.until(req.deadline));
        let word = timeout(patience, self.word()).await;
        self.link = Some(link);
        let event = word.map_err(|_| AskError::NoAnswer)?;
        self.finished |= matches!(event, LinkEvent::Answer(..));
        Ok(event)
    }

    /// Waits for an answer or verdict; that the old link is lost is known already.
    async fn word(&mut self) -> LinkEvent {
        loop {
            match self.events.recv().await {
                Some(event @ (LinkEvent::Answer(..) | LinkEvent::Verdict(_))) => return event,
                Some(LinkEvent::Lost | LinkEvent::Silent) => {}
                // This attempt holds a sender itself, so the channel never closes.
                None => std::future::pending().await,
            }
        }
    }

    fn question(&self, cx: &EntryContext, req: &Incoming, incarnation: u64) -> ToAgent {
        let id = self.id;
        if req.kind == RequestKind::Keyed {
            let deadline_ms = cx.clock.until(req.deadline).as_millis() as u64;
            return ToAgent::AskKey(AskKey { id, key: self.key.clone(), incarnation, deadline_ms });
        }
        ToAgent::Ask(Ask { id, incarnation })
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let Some(link) = self.link.take().filter(|_| !self.finished) else { return };
        if link.forget(self.id) {
            link.send(ToAgent::Cancel(self.id));
        }
    }
}

/// Why a question about an attempt brought no word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskError {
    /// There is no link to the agent.
    NoLink,
    /// The agent has been restarted since.
    Restarted,
    /// The agent did not answer in time.
    NoAnswer,
}

fn request_head(
    cx: &EntryContext,
    req: &Incoming,
    id: RequestId,
    key: &Name,
    number: u32,
) -> RequestHead {
    RequestHead {
        id,
        service: req.service_name.clone(),
        customer: req.caller.name.clone(),
        weight: req.caller.limits.weight,
        method: req.method.as_str().to_owned(),
        path: req.path.clone(),
        headers: req.headers.clone(),
        idempotent: req.kind == RequestKind::Idempotent,
        key: key.clone(),
        deadline_ms: cx.clock.until(req.deadline).as_millis() as u64,
        attempt: number,
    }
}
