use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use geraniumpost_harness::{REGION, SHARED_KEY};
use geraniumpost_net::{MAX_DATAGRAM_BYTES, SharedKey, open_datagram, seal_datagram};
use geraniumpost_schema::{Datagram, EntryBeat, EntryPeer, Name};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::interval;

use super::flow::Flow;
use super::light_agent::HEARTBEAT;
use super::meter::Meter;

/// Entries in this process that only send and receive beats; they end when this is dropped.
///
/// They receive and count the beats of real entries and the heartbeats of real agents, which send
/// them to every entry that they know of.
#[derive(Debug)]
pub struct LightEntries {
    real: Vec<SocketAddr>,
    count: usize,
    beats: Arc<Meter>,
    heartbeats: Arc<Meter>,
    tasks: JoinSet<()>,
}

impl LightEntries {
    /// Creates it without light entries; `real` are the addresses of the real ones.
    pub fn new(real: Vec<SocketAddr>) -> Self {
        let (beats, heartbeats) = (Arc::default(), Arc::default());
        Self { real, count: 0, beats, heartbeats, tasks: JoinSet::new() }
    }

    /// Adds entries until there are `count`.
    pub async fn grow_to(&mut self, count: usize) -> Result<()> {
        for number in self.count..count {
            let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
            let beat = create_beat(number, socket.local_addr()?);
            let (beats, heartbeats) = (Arc::clone(&self.beats), Arc::clone(&self.heartbeats));
            self.tasks.spawn(announce(Arc::clone(&socket), beat, self.real.clone()));
            self.tasks.spawn(receive(socket, beats, heartbeats));
        }
        self.count = count;
        Ok(())
    }

    /// Returns the beats of real entries and the heartbeats of real agents received so far.
    pub fn received(&self) -> (Flow, Flow) {
        (self.beats.read(), self.heartbeats.read())
    }
}

async fn announce(socket: Arc<UdpSocket>, mut beat: EntryBeat, entries: Vec<SocketAddr>) {
    let key = SharedKey::from(SHARED_KEY);
    let mut ticks = interval(HEARTBEAT);
    loop {
        ticks.tick().await;
        beat.sequence += 1;
        let Ok(sealed) = seal_datagram(&key, &Datagram::EntryBeat(beat.clone())) else { continue };
        for entry in &entries {
            // The next beat replaces a lost one.
            let _ = socket.send_to(&sealed, entry).await;
        }
    }
}

async fn receive(socket: Arc<UdpSocket>, beats: Arc<Meter>, heartbeats: Arc<Meter>) {
    let key = SharedKey::from(SHARED_KEY);
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else { continue };
        match open_datagram(&key, &buf[..len]) {
            Ok(Datagram::EntryBeat(_)) => beats.add(len),
            Ok(Datagram::Heartbeat(_)) => heartbeats.add(len),
            _ => {}
        }
    }
}

fn create_beat(number: usize, address: SocketAddr) -> EntryBeat {
    EntryBeat {
        peer: EntryPeer {
            name: Name::from(format!("light-entry-{number}")),
            region: Name::from(REGION),
            datagrams: Name::from(address.to_string()),
            console: Name::from(address.to_string()),
        },
        incarnation: rand::random(),
        sequence: 0,
        config_revision: 0,
        term: 0,
        store_up: true,
        draining: false,
        peers: Vec::new(),
    }
}
