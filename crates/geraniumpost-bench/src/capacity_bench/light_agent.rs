use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use eyre::Result;
use geraniumpost_harness::{REGION, SERVICE, SHARED_KEY};
use geraniumpost_net::{
    Frame, Identity, LinkReceiver, LinkSender, MAX_DATAGRAM_BYTES, SharedKey, accept, encode_frame,
    open_datagram, open_link, seal_datagram,
};
use geraniumpost_schema::{
    AgentState, AnswerHead, Datagram, Heartbeat, HeartbeatAck, Inventory, Load, Name, Outcome,
    Pong, RequestId, Resources, ToAgent, ToEntry,
};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use super::traffic::Traffic;

/// Interval of heartbeats, as in the default settings.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// Size of an answer's body.
const ANSWER_BYTES: usize = 64;

/// An agent without a VM, which entries cannot distinguish from a real one; one process can run
/// hundreds.
///
/// It sends the real messages at the real interval, accepts links, pings, configurations and
/// requests, and counts the bytes of all messages.
#[derive(Debug)]
pub struct LightAgent {
    identity: Identity,
    key: SharedKey,
    domain: Name,
    rack: Name,
    address: Name,
    entries: Vec<SocketAddr>,
    socket: UdpSocket,
    sequence: AtomicU64,
    revision: AtomicU64,
    entries_digest: AtomicU64,
    term: AtomicU64,
    traffic: Arc<Traffic>,
}

impl LightAgent {
    /// Starts an agent whose tasks are added to `tasks` and end with it.
    pub async fn start(
        number: usize,
        domain: &str,
        entries: Vec<SocketAddr>,
        traffic: Arc<Traffic>,
        tasks: &mut JoinSet<()>,
    ) -> Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let agent = Arc::new(Self {
            identity: Identity {
                name: Name::from(format!("light-{number}")),
                incarnation: rand::random(),
            },
            key: SharedKey::from(SHARED_KEY),
            domain: Name::from(domain),
            rack: Name::from(format!("rack-{}", number / 3)),
            address: Name::from(listener.local_addr()?.to_string()),
            entries,
            socket: UdpSocket::bind("127.0.0.1:0").await?,
            sequence: AtomicU64::new(1),
            revision: AtomicU64::new(0),
            entries_digest: AtomicU64::new(0),
            term: AtomicU64::new(0),
            traffic,
        });
        tasks.spawn(Arc::clone(&agent).announce());
        tasks.spawn(Arc::clone(&agent).receive());
        tasks.spawn(Arc::clone(&agent).serve(listener));
        Ok(agent)
    }

    /// Returns the revision of the configuration in force.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }

    async fn announce(self: Arc<Self>) {
        // A random delay, because the agents of a real fleet do not send at the same time.
        sleep(HEARTBEAT.mul_f64(rand::random())).await;
        let mut ticks = interval(HEARTBEAT);
        loop {
            ticks.tick().await;
            let datagram = Datagram::Heartbeat(self.heartbeat());
            let Ok(sealed) = seal_datagram(&self.key, &datagram) else { continue };
            for entry in &self.entries {
                self.traffic.datagrams_out.add(sealed.len());
                // The next heartbeat replaces a lost one.
                let _ = self.socket.send_to(&sealed, entry).await;
            }
        }
    }

    async fn receive(self: Arc<Self>) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((len, _)) = self.socket.recv_from(&mut buf).await else { continue };
            self.traffic.datagrams_in.add(len);
            if let Ok(Datagram::HeartbeatAck(ack)) = open_datagram(&self.key, &buf[..len]) {
                self.apply_ack(&ack);
            }
        }
    }

    fn apply_ack(&self, ack: &HeartbeatAck) {
        self.term.fetch_max(ack.term, Ordering::Relaxed);
        if !ack.entries.is_empty() {
            self.entries_digest.store(ack.entries_digest, Ordering::Relaxed);
        }
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut links = JoinSet::new();
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                links.spawn(Arc::clone(&self).serve_link(stream));
            }
        }
    }

    async fn serve_link(self: Arc<Self>, stream: TcpStream) {
        let Ok((connection, _)) = accept(stream, &self.identity, &self.key).await else { return };
        let (link, mut frames): (LinkSender<ToEntry>, LinkReceiver<ToAgent>) =
            open_link(connection, |_| {});
        while let Some(frame) = frames.next().await {
            self.traffic.frames_in.add(frame_bytes(&frame));
            if let Some(answer) = self.answer(frame) {
                self.traffic.frames_out.add(frame_bytes(&answer));
                // Sending fails if the link has ended, and then the loop ends as well.
                let _ = link.send(answer);
            }
        }
    }

    fn answer(&self, frame: Frame<ToAgent>) -> Option<Frame<ToEntry>> {
        match frame.head {
            ToAgent::Ping(number) => {
                Some(ToEntry::Pong(Pong { number, load: Load::default() }).into())
            }
            ToAgent::Adopt(adopt) => {
                let before = self.revision.fetch_max(adopt.revision, Ordering::Relaxed);
                Some(ToEntry::InForce(before.max(adopt.revision)).into())
            }
            ToAgent::Supersede(term) => {
                self.term.fetch_max(term, Ordering::Relaxed);
                let incarnation = self.identity.incarnation;
                let inventory = Inventory { incarnation, term, tasks: Vec::new() };
                Some(ToEntry::Inventory(inventory).into())
            }
            ToAgent::Request(head) => Some(success_answer(head.id)),
            _ => None,
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            agent: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            service: Name::from(SERVICE),
            region: Name::from(REGION),
            domain: self.domain.clone(),
            rack: self.rack.clone(),
            address: self.address.clone(),
            state: AgentState::Ready,
            slots: 8,
            load: Load {
                in_flight: 4,
                queued: 1,
                service_us: 10_000,
                p99_us: 90_000,
                failures_permille: 1,
            },
            config_revision: self.revision(),
            entries_digest: self.entries_digest.load(Ordering::Relaxed),
            term: self.term.load(Ordering::Relaxed),
            has_worker: true,
            capacity: Resources { milli_cpus: 64_000, memory_mb: 250_000, accelerators: 1 },
            reserved: Resources { milli_cpus: 32_000, memory_mb: 125_000, accelerators: 1 },
            tasks: 9,
        }
    }
}

fn success_answer(id: RequestId) -> Frame<ToEntry> {
    let head = AnswerHead {
        id,
        outcome: Outcome::Answered,
        status: 200,
        headers: Vec::new(),
        retry_after_ms: 0,
        load: Load::default(),
    };
    Frame { head: ToEntry::Answer(head), body: Bytes::from_static(&[b'a'; ANSWER_BYTES]) }
}

/// Returns the encoded size of a frame.
fn frame_bytes<T: Serialize + Clone>(frame: &Frame<T>) -> usize {
    let mut buf = BytesMut::new();
    // The body is not encoded, so that a large document is not copied to determine its size.
    let head = Frame { head: frame.head.clone(), body: Bytes::new() };
    if encode_frame(&head, &mut buf).is_err() {
        return 0;
    }
    buf.len() + frame.body.len()
}
