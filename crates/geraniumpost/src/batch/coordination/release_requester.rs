//! Requests to the voters of a silent coordinator to withdraw their support.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_batch::quorum::{Releases, Voters};
use geraniumpost_batch::tuning::STORE_CONFIRMATION_VALIDITY_MS;
use geraniumpost_schema::Name;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::super::{BootClock, FromPeer, ToPeer};
use super::driver::Input;
use super::local_promises::LocalPromises;
use super::peers::{Peers, send_request};

/// Pause between two rounds of requests.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The term of a silent coordinator, and the voters that can end the term by withdrawing their
/// support.
#[derive(Debug)]
pub struct SilentTerm {
    /// Address of the silent coordinator, which identifies the coordinator in [`Input`].
    pub address: SocketAddr,
    /// Number of the term, as in the coordinator's key.
    pub term: u64,
    /// Entries of which a majority must support the coordinator before the coordinator may extend
    /// leases.
    pub voters: Voters,
}

/// Requests on behalf of a successor that voters withdraw their support from silent coordinators.
#[derive(Debug, Clone)]
pub struct ReleaseRequester {
    /// Term of the successor; voters withdraw their support from all earlier terms.
    pub term: u64,
    /// Start of the successor's term, on the monotonic clock.
    pub term_began_ms: u64,
    /// Promises of the successor's own process, which may be a voter as well.
    pub promises: Arc<LocalPromises>,
    /// The other entries, with the addresses of the voters.
    pub peers: Arc<Peers>,
}

/// Response of one voter, as in [`ToPeer::ReleaseResponse`].
struct GrantedRelease {
    node: Name,
    incarnation: u64,
    remaining_ms: u64,
}

impl ReleaseRequester {
    /// Repeats the requests until enough voters have responded, and then reports the latest time at
    /// which the silent coordinator may extend leases. Does nothing for a term without voters.
    pub async fn collect_releases(self, silent: SilentTerm, inputs: mpsc::Sender<Input>) {
        let mut releases = Releases::new(silent.voters);
        if releases.voters_without_response().next().is_none() {
            return;
        }
        let remaining_ms = self.promises.release(self.term);
        let (local_node, incarnation) = (self.promises.node(), self.promises.incarnation());
        releases.record(local_node, incarnation, remaining_ms, BootClock.now_ms());
        while !inputs.is_closed() {
            if let Some(released_ms) = releases.support_end_ms() {
                // The store may have confirmed the silent coordinator's term just before the
                // takeover.
                let until_ms = released_ms.max(self.term_began_ms + STORE_CONFIRMATION_VALIDITY_MS);
                spdlog::info!(
                    "event=predecessor_released term={} entries={} until_in_ms={}",
                    silent.term,
                    releases.response_count(),
                    until_ms.saturating_sub(BootClock.now_ms())
                );
                let address = silent.address;
                // Sending fails only if the successor's own term has ended.
                let _ = inputs.send(Input::PredecessorExtendsUntil { address, until_ms }).await;
                return;
            }
            self.request_releases(&mut releases).await;
            if releases.support_end_ms().is_none() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Sends requests in parallel to all voters that have not responded, and records their
    /// responses.
    async fn request_releases(&self, releases: &mut Releases) {
        let mut requests = JoinSet::new();
        for node in releases.voters_without_response().cloned().collect::<Vec<_>>() {
            if let Some(address) = self.peers.address_of(&node) {
                requests.spawn(request_release(node, address, self.term));
            }
        }
        while let Some(response) = requests.join_next().await {
            let Some(response) = response.ok().flatten() else { continue };
            let GrantedRelease { node, incarnation, remaining_ms } = response;
            releases.record(&node, incarnation, remaining_ms, BootClock.now_ms());
            if releases.support_end_ms().is_some() {
                return;
            }
        }
    }
}

/// Requests that the entry `node` withdraw its support. The response of another entry that now uses
/// the same address is ignored.
async fn request_release(node: Name, address: SocketAddr, term: u64) -> Option<GrantedRelease> {
    match send_request(address, FromPeer::Release { term }).await? {
        ToPeer::ReleaseResponse { node: responder, incarnation, remaining_ms }
            if responder == node =>
        {
            Some(GrantedRelease { node, incarnation, remaining_ms })
        }
        _ => None,
    }
}
