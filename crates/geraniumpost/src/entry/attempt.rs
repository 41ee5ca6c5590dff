use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geraniumpost_core::requests::{AgentView, InFlightGuard, RequestKind};
use geraniumpost_schema::{Ask, AskKey, Name, RequestHead, RequestId, ToAgent};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::route::Target;
use super::{AgentLink, CallerRequest, EntryContext, LinkEvent};

/// Timeout of a query about an attempt.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Additional time after the deadline in which the agent's answer is accepted.
///
/// The agent counts the same deadline from the arrival of the request, so its answer to a timed-out
/// request arrives shortly after the entry's deadline. Without this time the entry would report the
/// outcome as unknown although the agent reports it.
const ANSWER_GRACE: Duration = Duration::from_millis(50);

/// Attempt at a request, sent to one incarnation of an agent.
///
/// If it is dropped before it has finished, for example because the caller has disconnected, the
/// agent is asked to cancel it: the agent removes the request from its queue, and a late answer is
/// discarded.
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
    /// Sends a request to an agent. [`Attempt::is_sent`] returns whether it may have been sent.
    pub fn send(cx: &EntryContext, req: &CallerRequest, target: &Target, number: u32) -> Self {
        let (events_tx, events) = mpsc::unbounded_channel();
        let id = cx.next_id();
        let Target { agent, key, .. } = target;
        let link = cx.links.to_incarnation(agent.name(), target.incarnation);
        let head = ToAgent::Request(request_head(cx, req, id, key, number));
        let link = link.filter(|l| l.send_for_attempt(id, head, req.body.clone(), &events_tx));
        let (agent, key) = (Arc::clone(agent), key.clone());
        let in_flight = agent.counters().begin_request();
        Self { id, agent, key, link, events_tx, events, finished: false, _in_flight: in_flight }
    }

    /// Returns whether any byte of the request may have been sent.
    pub const fn is_sent(&self) -> bool {
        self.link.is_some()
    }

    /// Returns the agent to which the attempt is sent.
    pub const fn agent(&self) -> &Arc<AgentView> {
        &self.agent
    }

    /// Waits for the next event until [`ANSWER_GRACE`] after the request's deadline. Returns `None`
    /// after that time.
    pub async fn next(&mut self, cx: &EntryContext, req: &CallerRequest) -> Option<LinkEvent> {
        let time_left = cx.clock.until(req.deadline) + ANSWER_GRACE;
        let event = timeout(time_left, self.events.recv()).await.ok().flatten();
        self.finished |= matches!(event, Some(LinkEvent::Answer(..)));
        event
    }

    /// Queries the state of the attempt over the current link to the agent, and waits for an answer
    /// or a verdict.
    ///
    /// # Errors
    ///
    /// Fails with [`QueryError`] if the query could not be sent or was not answered.
    pub async fn query(
        &mut self,
        cx: &EntryContext,
        req: &CallerRequest,
        incarnation: u64,
    ) -> Result<LinkEvent, QueryError> {
        let link = cx.links.get(self.agent.name()).ok_or(QueryError::NoLink)?;
        if link.peer().incarnation != incarnation {
            return Err(QueryError::Restarted);
        }
        let query = self.query_message(cx, req, incarnation);
        // Discards events of the old link except a final answer, because they do not answer this
        // query.
        while let Ok(event) = self.events.try_recv() {
            if matches!(event, LinkEvent::Answer(..)) {
                self.finished = true;
                return Ok(event);
            }
        }
        if !link.send_for_attempt(self.id, query, Bytes::new(), &self.events_tx) {
            return Err(QueryError::NoLink);
        }
        let time_left = QUERY_TIMEOUT.min(cx.clock.until(req.deadline));
        let received = timeout(time_left, self.answer_or_verdict()).await;
        self.link = Some(link);
        let event = received.map_err(|_| QueryError::NoAnswer)?;
        self.finished |= matches!(event, LinkEvent::Answer(..));
        Ok(event)
    }

    /// Waits for an answer or verdict. Ignores the loss of the old link, which is already known.
    async fn answer_or_verdict(&mut self) -> LinkEvent {
        loop {
            match self.events.recv().await {
                Some(event @ (LinkEvent::Answer(..) | LinkEvent::Verdict(_))) => return event,
                Some(LinkEvent::Lost | LinkEvent::Unresponsive) => {}
                // Unreachable, because this attempt owns a sender of the channel.
                None => std::future::pending().await,
            }
        }
    }

    fn query_message(&self, cx: &EntryContext, req: &CallerRequest, incarnation: u64) -> ToAgent {
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
        if link.unregister(self.id) {
            link.send(ToAgent::Cancel(self.id));
        }
    }
}

/// Why a query about an attempt got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryError {
    /// There is no link to the agent.
    NoLink,
    /// The agent was restarted after the attempt was sent.
    Restarted,
    /// The agent did not answer in time.
    NoAnswer,
}

fn request_head(
    cx: &EntryContext,
    req: &CallerRequest,
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
