//! A successor asks entries to support its silent predecessor no more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_batch::quorum::{Releases, Voters};
use geraniumpost_batch::tuning::STORE_CONFIRMS_MS;
use geraniumpost_schema::Name;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::super::{BootClock, FromPeer, ToPeer};
use super::driver::Input;
use super::own_promises::OwnPromises;
use super::peers::{Peers, ask};

/// Pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(300);

/// A coordinator that fell silent, and who decides when it has ended.
#[derive(Debug)]
pub struct SilentTerm {
    /// Where it was.
    pub address: SocketAddr,
    /// Its term.
    pub term: u64,
    /// Whose support it needs.
    pub voters: Voters,
}

/// Who asks, and whom.
#[derive(Debug, Clone)]
pub struct Asker {
    /// The term of the successor.
    pub term: u64,
    /// When the store had given it the term, on the boot clock.
    pub taken_ms: u64,
    /// The promises of its own process.
    pub promises: Arc<OwnPromises>,
    /// The other entries.
    pub peers: Arc<Peers>,
}

/// The answer of an entry.
struct Answer {
    node: Name,
    incarnation: u64,
    lasts_ms: u64,
}

impl Asker {
    /// Asks until enough voters of a silent coordinator support it no more, and says when its last extension
    /// of a lease can have been.
    pub async fn await_releases(self, silent: SilentTerm, inputs: mpsc::Sender<Input>) {
        let mut releases = Releases::new(silent.voters);
        if releases.missing().next().is_none() {
            return;
        }
        let lasts_ms = self.promises.release(self.term);
        let (own, incarnation) = (self.promises.node(), self.promises.incarnation());
        releases.released(own, incarnation, lasts_ms, BootClock.now_ms());
        while !inputs.is_closed() {
            if let Some(released_ms) = releases.until_ms() {
                // The store may have confirmed it until the moment of the takeover.
                let until_ms = released_ms.max(self.taken_ms + STORE_CONFIRMS_MS);
                spdlog::info!(
                    "event=predecessor_released term={} entries={} until_in_ms={}",
                    silent.term,
                    releases.count(),
                    until_ms.saturating_sub(BootClock.now_ms())
                );
                let address = silent.address;
                // A term that ended meanwhile needs no word of it.
                let _ = inputs.send(Input::PredecessorExtendsUntil { address, until_ms }).await;
                return;
            }
            self.ask_missing(&mut releases).await;
            if releases.until_ms().is_none() {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Asks those that have not answered, all at once.
    async fn ask_missing(&self, releases: &mut Releases) {
        let mut asking = JoinSet::new();
        for node in releases.missing().cloned().collect::<Vec<_>>() {
            if let Some(address) = self.peers.address(&node) {
                asking.spawn(ask_release(node, address, self.term));
            }
        }
        while let Some(answer) = asking.join_next().await {
            let Some(answer) = answer.ok().flatten() else { continue };
            let Answer { node, incarnation, lasts_ms } = answer;
            releases.released(&node, incarnation, lasts_ms, BootClock.now_ms());
            if releases.until_ms().is_some() {
                return;
            }
        }
    }
}

/// Asks one entry. The answer of another one that has taken its address says nothing of it.
async fn ask_release(node: Name, address: SocketAddr, term: u64) -> Option<Answer> {
    match ask(address, FromPeer::Release { term }).await? {
        ToPeer::ReleaseResponse { node: other, incarnation, lasts_ms } if other == node => {
            Some(Answer { node, incarnation, lasts_ms })
        }
        _ => None,
    }
}
