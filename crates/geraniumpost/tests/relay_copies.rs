//! Tests of requests of which an entry has sent several copies to the coordinator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use geraniumpost::batch::coordination::{KnownCoordinator, LocalPromises};
use geraniumpost::batch::entry::{ActiveConfiguration, NoResponse, Relay};
use geraniumpost::batch::{FromPeer, ToPeer};
use geraniumpost::metrics::Metrics;
use geraniumpost_batch::{
    CallerRequest, CallerResponse, FromEntry, JobId, JobSpec, QueueTerms, TermTime, ToEntry,
};
use geraniumpost_net::{Connection, FrameReader, LinkReceiver, LinkSender, open_link};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Maximum time for which the caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum time that a test waits for an expected message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
const PONG: ToEntry =
    ToEntry::Pong { store_ok: true, configuration: 0, sent: TermTime { term: 1, steady_ms: 1 } };
const REFUSED: CallerResponse = CallerResponse::Refused { retry_after_ms: 1_000 };

/// The coordinator's end of an entry's link.
struct Link {
    tx: LinkSender<ToPeer>,
    rx: LinkReceiver<FromPeer>,
}

impl Link {
    async fn accept(listener: &TcpListener) -> Self {
        let accepted = tokio::time::timeout(MESSAGE_TIMEOUT, listener.accept()).await;
        let (stream, _) = accepted.expect("the entry opens a link").expect("loopback");
        let connection = Connection::from(FrameReader::new(stream));
        let (tx, rx) = open_link(connection, |_| {});
        Self { tx, rx }
    }

    fn send(&self, message: ToEntry) {
        self.tx.send(ToPeer::Entry(message)).expect("the link is open");
    }

    fn respond(&self, request_id: u64, response: CallerResponse) {
        self.send(ToEntry::Response { request_id, response });
    }

    /// Responds to pings until a request arrives, and returns its id.
    async fn next_request_id(&mut self) -> u64 {
        self.send(PONG);
        loop {
            let message = tokio::time::timeout(MESSAGE_TIMEOUT, self.rx.next()).await;
            match message.expect("a request arrives").expect("the link is open").head {
                FromPeer::EntryMessage(FromEntry::Ping { .. }) => {
                    self.send(PONG);
                }
                FromPeer::EntryMessage(FromEntry::Request { request_id, .. }) => return request_id,
                _ => {}
            }
        }
    }
}

type ResponseTask = JoinHandle<Result<CallerResponse, NoResponse>>;

/// Makes an entry send a job twice: over a link that is then lost, and over the next link. Returns
/// the listener, the second link, the request's id and the task that waits for the response.
async fn send_job_twice() -> (TcpListener, Link, u64, ResponseTask) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("bound");
    let (known_coordinator_tx, known_coordinator) =
        watch::channel(Some(KnownCoordinator { address, fence: 1 }));
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    let relay = Relay::start(
        Arc::new(LocalPromises::new("entry-1".into(), 1)),
        known_coordinator,
        Arc::new(ActiveConfiguration::new(metrics)),
    );
    let response_task = tokio::spawn(async move {
        let request = CallerRequest::Submit {
            job: JobId(1),
            spec: JobSpec::default(),
            terms: QueueTerms::default(),
        };
        let never = std::future::pending();
        let response = relay.request(request, RESPONSE_TIMEOUT, RESPONSE_TIMEOUT, never).await;
        drop(known_coordinator_tx);
        response
    });
    let mut first_link = Link::accept(&listener).await;
    let request_id = first_link.next_request_id().await;
    drop(first_link);
    let mut second_link = Link::accept(&listener).await;
    assert_eq!(second_link.next_request_id().await, request_id);
    (listener, second_link, request_id, response_task)
}

async fn response_of(response_task: ResponseTask) -> Result<CallerResponse, NoResponse> {
    tokio::time::timeout(MESSAGE_TIMEOUT, response_task)
        .await
        .expect("the caller gets a result")
        .expect("no panic")
}

/// A link is lost after a job was sent over it, and the coordinator refuses the second copy because
/// it holds too many jobs. The coordinator may read and accept the first copy later, so the caller
/// must not be told that the job was refused.
#[tokio::test]
async fn refusal_of_one_copy_is_not_reported_while_another_may_be_accepted() {
    let (_listener, link, request_id, response_task) = send_job_twice().await;
    link.respond(request_id, REFUSED);
    let result = response_of(response_task).await;
    assert_matches!(result, Err(NoResponse::Unknown { sent_copies: 2.. }));
}

/// One copy is refused and the other accepted, so the job runs.
#[tokio::test]
async fn acceptance_of_one_copy_is_reported() {
    let (_listener, link, request_id, response_task) = send_job_twice().await;
    link.respond(request_id, REFUSED);
    link.respond(request_id, CallerResponse::Accepted);
    assert_eq!(response_of(response_task).await, Ok(CallerResponse::Accepted));
}

/// Both copies are refused, so the request will never have an effect.
#[tokio::test]
async fn refusal_of_all_copies_is_reported() {
    let (_listener, link, request_id, response_task) = send_job_twice().await;
    link.respond(request_id, REFUSED);
    link.respond(request_id, REFUSED);
    assert_eq!(response_of(response_task).await, Ok(REFUSED));
}
