//! Requests that an entry sends more than once, and what their answers tell its callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost::batch::coordination::{KnownCoordinator, LocalPromises};
use geraniumpost::batch::entry::{ActiveConfiguration, NoAnswer, Relay};
use geraniumpost::batch::{FromPeer, ToPeer};
use geraniumpost::metrics::Metrics;
use geraniumpost_batch::{
    CallerRequest, CallerResponse, FromEntry, JobId, JobSpec, QueueTerms, TermTime, ToEntry,
};
use geraniumpost_net::{Connection, FrameReader, LinkReceiver, LinkSender, open_link};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How long a caller of these tests waits for its answer.
const DEADLINE: Duration = Duration::from_millis(1_200);
/// How long a test waits for a message that must come.
const PATIENCE: Duration = Duration::from_secs(5);
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
        let accepted = tokio::time::timeout(PATIENCE, listener.accept()).await;
        let (stream, _) = accepted.expect("the entry opens a link").expect("loopback");
        let connection = Connection::from(FrameReader::new(stream));
        let (tx, rx) = open_link(connection, |_| {});
        Self { tx, rx }
    }

    fn say(&self, message: ToEntry) {
        self.tx.send(ToPeer::Entry(message)).expect("the link is open");
    }

    fn answer(&self, ticket: u64, answer: CallerResponse) {
        self.say(ToEntry::Response { ticket, response: answer });
    }

    /// Answers pings until a request comes, and returns its ticket.
    async fn request(&mut self) -> u64 {
        self.say(PONG);
        loop {
            let message = tokio::time::timeout(PATIENCE, self.rx.next()).await;
            match message.expect("a request comes").expect("the link is open").head {
                FromPeer::EntryMessage(FromEntry::Ping { .. }) => {
                    self.say(PONG);
                }
                FromPeer::EntryMessage(FromEntry::Request { ticket, .. }) => return ticket,
                _ => {}
            }
        }
    }
}

type Told = JoinHandle<Result<CallerResponse, NoAnswer>>;

/// Lets an entry send a job twice, over a link that is lost and over the next one.
async fn sent_twice() -> (TcpListener, Link, u64, Told) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("bound");
    let (known_tx, known) = watch::channel(Some(KnownCoordinator { address, fence: 1 }));
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    let relay = Relay::start(
        Arc::new(LocalPromises::new("entry-1".into(), 1)),
        known,
        Arc::new(ActiveConfiguration::new(metrics)),
    );
    let told = tokio::spawn(async move {
        let ask = CallerRequest::Submit {
            job: JobId(1),
            spec: JobSpec::default(),
            terms: QueueTerms::default(),
        };
        let answer = relay.ask(ask, DEADLINE, DEADLINE).await;
        drop(known_tx);
        answer
    });
    let mut first = Link::accept(&listener).await;
    let ticket = first.request().await;
    drop(first);
    let mut second = Link::accept(&listener).await;
    assert_eq!(second.request().await, ticket);
    (listener, second, ticket, told)
}

async fn answer_of(told: Told) -> Result<CallerResponse, NoAnswer> {
    tokio::time::timeout(PATIENCE, told).await.expect("the caller is told").expect("no panic")
}

/// The link to a coordinator that holds as many jobs as it can is lost after a job was sent over it. The
/// copy on the next link is refused, but the first one may be read later, when there is room, and be
/// accepted. A caller that was told "refused" would see a job run that it has given up.
#[tokio::test]
async fn refusal_of_one_copy_is_not_told_while_another_may_be_accepted() {
    let (_listener, link, ticket, told) = sent_twice().await;
    link.answer(ticket, REFUSED);
    assert_eq!(answer_of(told).await, Err(NoAnswer::Unknown));
}

/// Both copies are answered over the same link: the second one is accepted, so that the job runs.
#[tokio::test]
async fn copy_that_is_accepted_counts() {
    let (_listener, link, ticket, told) = sent_twice().await;
    link.answer(ticket, REFUSED);
    link.answer(ticket, CallerResponse::Accepted);
    assert_eq!(answer_of(told).await, Ok(CallerResponse::Accepted));
}

/// Both copies are refused: the job will never run by this request, and the caller may be told so.
#[tokio::test]
async fn refusal_of_all_copies_is_told() {
    let (_listener, link, ticket, told) = sent_twice().await;
    link.answer(ticket, REFUSED);
    link.answer(ticket, REFUSED);
    assert_eq!(answer_of(told).await, Ok(REFUSED));
}
