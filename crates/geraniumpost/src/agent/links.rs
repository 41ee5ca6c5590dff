use std::sync::Arc;
use std::time::Duration;

use geraniumpost_net::{Frame, Identity, LinkReceiver, LinkSender, accept, open_link};
use geraniumpost_schema::{Adopt, Pong, RequestHead, ToAgent, ToEntry};
use tokio::net::{TcpListener, TcpStream};

use super::tasks::TaskOrder;
use super::{AgentContext, MinionRequest, minion_runs};
use crate::drop_reason::reason;

/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts links from entries until the process ends.
pub async fn serve(cx: Arc<AgentContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_one(Arc::clone(&cx), stream))),
            Err(error) => {
                spdlog::warn!("cannot accept a link: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_one(cx: Arc<AgentContext>, stream: TcpStream) {
    let (connection, entry) = match accept(stream, &cx.me, &cx.key).await {
        Ok(authenticated) => authenticated,
        Err(error) => {
            cx.metrics.dropped("link", reason(&error), 1);
            return spdlog::debug!("rejected a link: {error}");
        }
    };
    let metrics = Arc::clone(&cx.metrics);
    let (link, frames) = open_link(connection, move |error| {
        metrics.dropped("frame", reason(&error), 1);
    });
    let key = cx.add_link(link.clone());
    if cx.is_draining() {
        let _ = link.send(ToEntry::Leaving);
    }
    serve_frames(&cx, &entry, &link, frames).await;
    cx.remove_link(key);
}

async fn serve_frames(
    cx: &Arc<AgentContext>,
    entry: &Identity,
    link: &LinkSender<ToEntry>,
    mut frames: LinkReceiver<ToAgent>,
) {
    while let Some(Frame { head, body }) = frames.next().await {
        let now = cx.clock.now();
        match head {
            ToAgent::Request(head) => {
                let deadline = now.plus(head.deadline_ms);
                let work = with_own_weight(cx, MinionRequest { head, body, deadline });
                let starts = cx.requests().admit(work, link, now);
                minion_runs::start_all(cx, starts);
            }
            ToAgent::Cancel(id) => cx.requests().cancel(id),
            ToAgent::Ask(ask) => cx.requests().ask(&ask, link, now),
            ToAgent::AskKey(ask) => cx.requests().ask_key(&ask, link, now),
            ToAgent::Ping(number) => send_pong(cx, link, number),
            ToAgent::Adopt(adopt) => {
                drop(cx.config.received(&entry.name, adopt.revision, &body));
                let in_force = cx.config.active().load().revision();
                let _ = link.send(ToEntry::InForce(in_force));
            }
            ToAgent::FetchConfig => send_config(cx, link),
            ToAgent::Start(_)
            | ToAgent::Evict(_)
            | ToAgent::Stop(_)
            | ToAgent::Throttle(_)
            | ToAgent::Settled(_)
            | ToAgent::Supersede(_) => {
                cx.send_order(TaskOrder { message: head, link: link.clone() });
            }
        }
    }
}

/// Replaces the customer's weight in a request by that of the configuration in force here, which
/// may be newer than the entry's.
fn with_own_weight(cx: &AgentContext, mut work: MinionRequest) -> MinionRequest {
    let RequestHead { weight, customer, .. } = &mut work.head;
    let in_force = cx.config.active().load();
    if let Some(known) = in_force.document().customers.get(customer) {
        *weight = known.weight;
    }
    work
}

fn send_pong(cx: &AgentContext, link: &LinkSender<ToEntry>, number: u64) {
    let load = cx.requests().load();
    let _ = link.send(ToEntry::Pong(Pong { number, load }));
}

fn send_config(cx: &AgentContext, link: &LinkSender<ToEntry>) {
    let in_force = cx.config.active().load();
    let head = ToEntry::Config(Adopt { revision: in_force.revision() });
    let _ = link.send(Frame { head, body: in_force.json().clone() });
}
