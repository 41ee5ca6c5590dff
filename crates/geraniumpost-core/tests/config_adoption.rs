//! Adoption of configuration revisions under store outages, lost messages and restarts, compared
//! with a reference model.

use geraniumpost_core::Millis;
use geraniumpost_core::config::{Adoption, AdoptionAction, AdoptionEvent, Source};
use geraniumpost_schema::Name;
use proptest::prelude::*;

const COLLECT_MS: u64 = 500;

/// An event of one process. A document is represented by its revision.
#[derive(Debug, Clone)]
enum Input {
    Offer(u8, u64),
    Document(u8, u64),
    Store(u64),
    StoreEmpty,
    Wait(u64),
    Restart,
}

fn inputs() -> impl Strategy<Value = Vec<Input>> {
    let input = prop_oneof![
        4 => (0..4_u8, 1..20_u64).prop_map(|(peer, revision)| Input::Offer(peer, revision)),
        4 => (0..4_u8, 1..20_u64).prop_map(|(peer, revision)| Input::Document(peer, revision)),
        1 => (1..20_u64).prop_map(Input::Store),
        1 => Just(Input::StoreEmpty),
        3 => (0..400_u64).prop_map(Input::Wait),
        1 => Just(Input::Restart),
    ];
    prop::collection::vec(input, 0..80)
}

fn peer(number: u8) -> Source {
    Source::Peer(Name::from(format!("entry-{number}")))
}

/// Reference model: keeps all inputs since the start and derives the revision in force from them.
#[derive(Default)]
struct ReferenceAdoption {
    /// Time of receipt, revision, and whether the store sent it.
    documents: Vec<(u64, u64, bool)>,
    store_empty_at: Option<u64>,
    ticks: Vec<u64>,
    started: u64,
}

impl ReferenceAdoption {
    /// Returns the highest revision received, or 0 while the process collects responses.
    ///
    /// The collection ends when the store responds, or at the first tick or document after
    /// `COLLECT_MS`, provided that a document has been received.
    fn in_force(&self) -> u64 {
        let collect_until = self.started + COLLECT_MS;
        let highest = self.documents.iter().map(|(_, revision, _)| *revision).max();
        let by_store = self.documents.iter().any(|(_, _, store)| *store);
        let received_late = self.documents.iter().any(|(at, ..)| *at >= collect_until);
        let first_at = self.documents.iter().map(|(at, ..)| *at).min();
        let ticked = self
            .ticks
            .iter()
            .any(|at| *at >= collect_until && first_at.is_some_and(|first| first <= *at));
        let is_collected = by_store || self.store_empty_at.is_some() || received_late || ticked;
        if is_collected { highest.unwrap_or(0) } else { 0 }
    }
}

fn to_event(input: &Input) -> Option<AdoptionEvent<u64>> {
    Some(match *input {
        Input::Offer(from, revision) => AdoptionEvent::Offered { source: peer(from), revision },
        Input::Document(from, revision) => {
            AdoptionEvent::Received { source: peer(from), revision, document: revision }
        }
        Input::Store(revision) => {
            AdoptionEvent::Received { source: Source::Store, revision, document: revision }
        }
        Input::StoreEmpty => AdoptionEvent::StoreEmpty,
        Input::Wait(_) => AdoptionEvent::Tick,
        Input::Restart => return None,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]
    #[test]
    fn the_revision_in_force_matches_the_reference_model(inputs in inputs()) {
        let mut now = 0;
        let mut adoption = Adoption::new(COLLECT_MS);
        let mut reference = ReferenceAdoption::default();
        adoption.handle(AdoptionEvent::Started, Millis(now));
        for input in inputs {
            match input {
                Input::Wait(ms) => {
                    now += ms;
                    reference.ticks.push(now);
                }
                Input::Document(_, revision) => reference.documents.push((now, revision, false)),
                Input::Store(revision) => reference.documents.push((now, revision, true)),
                Input::StoreEmpty => reference.store_empty_at = Some(now),
                Input::Offer(..) | Input::Restart => {}
            }
            let Some(event) = to_event(&input) else {
                adoption = Adoption::new(COLLECT_MS);
                adoption.handle(AdoptionEvent::Started, Millis(now));
                reference = ReferenceAdoption { started: now, ..ReferenceAdoption::default() };
                continue;
            };
            let before = adoption.in_force();
            for action in adoption.handle(event, Millis(now)) {
                if let AdoptionAction::Adopt { revision, document } = action {
                    prop_assert!(revision > before, "a lower revision was adopted");
                    prop_assert_eq!(revision, document);
                }
            }
            prop_assert_eq!(adoption.in_force(), reference.in_force());
        }
    }

    /// Processes receive each other's revisions with heartbeats, some of which are lost, while the
    /// store is down and processes restart. A process that missed an offer or never repeated a
    /// fetch would keep an old revision even after the losses end.
    #[test]
    fn all_processes_converge_to_the_highest_revision(
        first in prop::collection::vec(0..30_u64, 2..6),
        losses in prop::collection::vec(any::<bool>(), 0..200),
        restarts in prop::collection::vec(0..6_usize, 0..4),
    ) {
        let mut cluster = Cluster::new(&first);
        let highest = first.iter().copied().max().unwrap_or(0);
        let mut losses = losses.into_iter();
        let mut restarts = restarts.into_iter();
        for round in 0..60 {
            if round % 10 == 5 && let Some(index) = restarts.next() {
                cluster.restart_unless_highest(index % first.len(), highest);
            }
            cluster.run_round(|| losses.next().unwrap_or(false));
        }
        // Three seconds without losses suffice for the collection, a lost fetch and its retry.
        for _ in 0..15 {
            cluster.run_round(|| false);
        }
        let in_force: Vec<u64> = cluster.nodes.iter().map(Adoption::in_force).collect();
        prop_assert_eq!(in_force, vec![highest; first.len()]);
    }
}

/// Processes that exchange offers and documents directly.
struct Cluster {
    nodes: Vec<Adoption<u64>>,
    now: u64,
}

impl Cluster {
    fn new(revisions: &[u64]) -> Self {
        let mut cluster = Self { nodes: Vec::new(), now: 0 };
        for &revision in revisions {
            let mut node = Adoption::new(COLLECT_MS);
            node.handle(AdoptionEvent::Started, Millis(0));
            if revision > 0 {
                let source = Source::Store;
                let event = AdoptionEvent::Received { source, revision, document: revision };
                node.handle(event, Millis(0));
            }
            cluster.nodes.push(node);
        }
        cluster
    }

    /// Restarts a process unless it is the only one with the highest revision, which would be lost
    /// while the store is down.
    fn restart_unless_highest(&mut self, index: usize, highest: u64) {
        let holders = self.nodes.iter().filter(|node| node.in_force() == highest).count();
        if self.nodes[index].in_force() < highest || holders > 1 {
            self.nodes[index] = Adoption::new(COLLECT_MS);
            self.nodes[index].handle(AdoptionEvent::Started, Millis(self.now));
        }
    }

    /// Advances the time by 200 ms and lets each process send its offer to every other one.
    fn run_round(&mut self, mut is_lost: impl FnMut() -> bool) {
        self.now += 200;
        for to in 0..self.nodes.len() {
            for from in 0..self.nodes.len() {
                let revision = self.nodes[from].in_force();
                if from == to || revision == 0 || is_lost() {
                    continue;
                }
                let source = Source::Peer(Name::from(from.to_string()));
                let offer = AdoptionEvent::Offered { source: source.clone(), revision };
                let actions = self.nodes[to].handle(offer, Millis(self.now));
                if !actions.is_empty() && !is_lost() {
                    let event = AdoptionEvent::Received { source, revision, document: revision };
                    self.nodes[to].handle(event, Millis(self.now));
                }
            }
            self.nodes[to].handle(AdoptionEvent::Tick, Millis(self.now));
        }
    }
}

/// An entry restarts while the store is down, and the first peer that responds has an old revision.
/// Adopting its document at once would put an old limit in force until the next response.
#[test]
fn a_restart_during_an_outage_adopts_the_highest_revision_of_its_peers() {
    let mut adoption = Adoption::new(COLLECT_MS);
    assert_eq!(adoption.handle(AdoptionEvent::Started, Millis(0)), vec![AdoptionAction::FetchAll]);
    let received = |number, revision| AdoptionEvent::Received {
        source: peer(number),
        revision,
        document: revision,
    };
    assert_eq!(adoption.handle(received(1, 5), Millis(10)), vec![]);
    assert_eq!(adoption.handle(received(2, 7), Millis(20)), vec![]);
    let adopt = AdoptionAction::Adopt { revision: 7, document: 7 };
    assert_eq!(adoption.handle(AdoptionEvent::Tick, Millis(500)), vec![adopt]);
    assert_eq!(adoption.handle(received(1, 5), Millis(600)), vec![]);
}

/// A newer version of the program has written a document that this version cannot read. Fetching it
/// at each heartbeat would load the network without use; the next revision must still be fetched.
#[test]
fn an_unreadable_revision_is_not_fetched_again() {
    let mut adoption: Adoption<u64> = Adoption::new(COLLECT_MS);
    let offer = |revision| AdoptionEvent::Offered { source: peer(1), revision };
    assert_eq!(adoption.handle(offer(9), Millis(0)).len(), 1);
    adoption.handle(AdoptionEvent::Unreadable { revision: 9 }, Millis(1));
    assert_eq!(adoption.handle(offer(9), Millis(5000)), vec![]);
    assert_eq!(adoption.handle(offer(10), Millis(5000)).len(), 1);
}

/// The response to a fetch is lost. Without a timeout the revision would never be fetched.
#[test]
fn a_lost_fetch_is_retried() {
    let mut adoption: Adoption<u64> = Adoption::new(COLLECT_MS);
    let offer = || AdoptionEvent::Offered { source: peer(1), revision: 9 };
    assert_eq!(adoption.handle(offer(), Millis(0)).len(), 1);
    assert_eq!(adoption.handle(offer(), Millis(999)), vec![]);
    assert_eq!(adoption.handle(offer(), Millis(1000)).len(), 1);
}

/// No peer responds to a starting process. Without a retry it would never have a configuration.
#[test]
fn a_starting_process_without_a_response_fetches_again() {
    let mut adoption: Adoption<u64> = Adoption::new(COLLECT_MS);
    adoption.handle(AdoptionEvent::Started, Millis(0));
    assert_eq!(adoption.handle(AdoptionEvent::Tick, Millis(600)), vec![]);
    assert_eq!(adoption.handle(AdoptionEvent::Tick, Millis(1000)), vec![AdoptionAction::FetchAll]);
}
