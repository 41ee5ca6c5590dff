use std::hint::black_box;
use std::time::Instant;

use geraniumpost_core::Millis;
use geraniumpost_core::requests::{AgentView, Location, RoutingQuery, Snapshot};
use geraniumpost_schema::Load;
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use super::contender::Contender;

/// Decisions timed together; a clock call per decision would be a good part of the figure.
const BATCH: u64 = 1_000;

/// Prints how long one decision takes, requests in flight counted, at today's and later sizes.
pub fn print(decisions: u64, seed: u64) {
    println!("one decision in ns, median of batches of {BATCH} (worst batch), {decisions} each");
    println!("policy                   11 agents         100 agents         570 agents");
    for contender in Contender::ALL {
        if matches!(contender, Contender::WithoutEjection | Contender::Hedged) {
            continue;
        }
        let cells = [11, 100, 570].map(|agents| cell(contender, agents, decisions, seed));
        println!("{:<17} {}", contender.title(), cells.join(" "));
    }
}

fn cell(contender: Contender, agents: usize, decisions: u64, seed: u64) -> String {
    let slow = !matches!(contender, Contender::Product);
    let decisions = if slow { decisions / 20 } else { decisions };
    let mut batches = time(contender, agents, decisions.max(BATCH), seed);
    batches.sort_unstable();
    let median = batches[batches.len() / 2];
    format!("{:>8} ({:>6})", median, batches[batches.len() - 1])
}

/// A fleet in four failure domains with loads that differ.
fn fleet(agents: usize, rng: &mut SmallRng) -> Snapshot {
    let domains = ["miraflores", "surco", "callao", "ate"];
    let views: Vec<AgentView> = (0..agents)
        .map(|n| {
            let place = Location::new("lima", domains[n % domains.len()]);
            let view =
                AgentView::new(format!("a{n}"), n as u64).service("filing").at_location(place);
            let in_flight = rng.next_u32() % 8;
            let load = Load { in_flight, service_us: 5_000, ..Load::default() };
            view.counters().record_load(&load, Millis(0));
            view
        })
        .collect();
    Snapshot::new(views, &Location::new("lima", "surco"))
}

/// Returns the nanoseconds per decision of each batch.
fn time(contender: Contender, agents: usize, decisions: u64, seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let snapshot = fleet(agents, &mut rng);
    let mut policy = contender.policy(0);
    let batches = (0..decisions / BATCH).map(|_| {
        let start = Instant::now();
        for _ in 0..BATCH {
            let service = snapshot.service("filing").expect("the fleet serves it");
            let ask = RoutingQuery::new(Millis(100));
            let choice = policy.choose(service, &ask, &mut rng).expect("all are ready");
            black_box(choice.agent().counters().begin_request());
        }
        start.elapsed().as_nanos() as u64 / BATCH
    });
    batches.collect()
}
