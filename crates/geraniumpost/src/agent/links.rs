use std::sync::Arc;
use std::time::Duration;

use geraniumpost_net::{Frame, Identity, LinkReceiver, LinkSender, accept, open_link};
use geraniumpost_schema::{Adopt, Pong, RequestHead, ToAgent, ToEntry};
use tokio::net::{TcpListener, TcpStream};

use super::tasks::TaskOrder;
use super::{AgentContext, Work, minion_runs};
use crate::drop_reason::reason;

/// Pause after an accept that failed, most often for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts links from entries until the process ends.
pub async fn serve(cx: Arc<AgentContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_one(Arc::clone(&cx), stream))),
            Err(error) => {
                spdlog::warn!("accepting links: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_one(cx: Arc<AgentContext>, stream: TcpStream) {
    let (connection, entry) = match accept(stream, &cx.me, &cx.key).await {
        Ok(proved) => proved,
        Err(error) => {
            cx.metrics.dropped("link", reason(&error), 1);
            return spdlog::debug!("link refused: {error}");
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
                let work = with_own_limits(cx, Work { head, body, deadline });
                let starts = cx.requests().arrive(work, link, now);
                minion_runs::start_all(cx, starts);
            }
            ToAgent::Cancel(id) => cx.requests().cancel(id),
            ToAgent::Ask(ask) => cx.requests().ask(&ask, link, now),
            ToAgent::AskKey(ask) => cx.requests().ask_key(&ask, link, now),
            ToAgent::Ping(number) => pong(cx, link, number),
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
            | ToAgent::Supersede(_) => cx.order(TaskOrder { message: head, link: link.clone() }),
        }
    }
}

/// Bounds what an entry says about a request by the document in force here, which may be newer.
fn with_own_limits(cx: &AgentContext, mut work: Work) -> Work {
    let RequestHead { weight, customer, .. } = &mut work.head;
    let in_force = cx.config.active().load();
    if let Some(known) = in_force.document().customers.get(customer) {
        *weight = known.weight;
    }
    work
}

fn pong(cx: &AgentContext, link: &LinkSender<ToEntry>, number: u64) {
    let load = cx.requests().load();
    let _ = link.send(ToEntry::Pong(Pong { number, load }));
}

fn send_config(cx: &AgentContext, link: &LinkSender<ToEntry>) {
    let in_force = cx.config.active().load();
    let head = ToEntry::Config(Adopt { revision: in_force.revision() });
    let _ = link.send(Frame { head, body: in_force.json().clone() });
}
