//! Failures of the connections between entries and agents while callers send requests.

use std::time::Duration;

use geraniumpost_harness::check::Summary;
use geraniumpost_harness::{Binaries, Fleet, Plan, RequestSpec, failures, sleep_ms, wait_until};
use geraniumpost_standin::relay::{Direction, RelayFaults};

const LONG: Duration = Duration::from_secs(15);
const CALLERS: u64 = 12;

async fn fleet(plan: Plan) -> Fleet {
    let binaries = Binaries::new(env!("CARGO_BIN_EXE_geraniumpost"));
    Fleet::start(&binaries, &plan).await.unwrap()
}

async fn set_link_faults(fleet: &Fleet, agent: usize, faults: RelayFaults) {
    let relay = fleet.agents()[agent].link_relay().unwrap();
    relay.control().set_faults(&faults).await.unwrap();
}

failures! {
    /// Something between entries and an agent loses track of the open connections, which go silent
    /// for good while new ones work. Callers go on being served, also by that agent.
    async fn silent_links_lose_no_idempotent_request() {
        let fleet = fleet(Plan::default().relayed_links()).await;
        let load = fleet.load(CALLERS, 13);
        sleep_ms(500).await;
        for (direction, agent) in [("forward", 0), ("back", 1)] {
            let stall = Direction { stall: true, delay_ms: 0 };
            let mut faults = RelayFaults { spare_new: true, ..RelayFaults::default() };
            *if direction == "back" { &mut faults.back } else { &mut faults.forward } = stall;
            set_link_faults(&fleet, agent, faults).await;
            sleep_ms(1500).await;
        }
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let idempotent = Summary::of_idempotent(&requests);
        assert!(idempotent.all_answered(), "{idempotent}");
        assert!(idempotent.max_time < Duration::from_secs(3), "{idempotent}");
        let after = fleet.agents()[0].minion_record().await.unwrap().len();
        wait_until("the agent is used again", LONG, || async {
            fleet.caller(0).send(&RequestSpec::get()).await;
            fleet.agents()[0].minion_record().await.unwrap().len() > after
        })
        .await;
    }

    /// The connections between entries and agents are cut now and then while badges print. The
    /// agents live and know what ran, so an entry that asks over a new connection learns it, and
    /// every caller gets its answer.
    async fn cut_links_lose_nothing() {
        let fleet = fleet(Plan::default().relayed_links()).await;
        let load = fleet.load(CALLERS, 14);
        for round in 0..9 {
            sleep_ms(400).await;
            let relay = fleet.agents()[round % 3].link_relay().unwrap();
            relay.control().act("cut").await.unwrap();
        }
        sleep_ms(500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let summary = Summary::of(&requests);
        assert!(summary.all_answered(), "{summary}");
    }

    /// The connections between entries and agents are cut faster than they can be replaced.
    /// Callers may be told that the outcome is unknown, and no badge prints twice.
    async fn links_cut_again_and_again_double_nothing() {
        let fleet = fleet(Plan::default().relayed_links()).await;
        let load = fleet.load(CALLERS, 17);
        for round in 0..24 {
            sleep_ms(60).await;
            let relay = fleet.agents()[round % 3].link_relay().unwrap();
            relay.control().act("cut").await.unwrap();
        }
        sleep_ms(500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
    }

    /// Answers take 300 ms longer than usual to get back to the entries. They still reach the
    /// callers they belong to.
    async fn delayed_answers_reach_their_own_callers() {
        let fleet = fleet(Plan::default().relayed_links()).await;
        let slow = Direction { stall: false, delay_ms: 300 };
        for agent in 0..2 {
            let faults = RelayFaults { back: slow, ..RelayFaults::default() };
            set_link_faults(&fleet, agent, faults).await;
        }
        let load = fleet.load(CALLERS, 15);
        sleep_ms(2500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let idempotent = Summary::of_idempotent(&requests);
        assert!(idempotent.all_answered(), "{idempotent}");
    }

    /// A link goes silent, and then the entry that would ask about it dies. The caller's repeat
    /// through the other entry must not print a second badge.
    async fn silent_link_and_killed_entry_double_nothing() {
        let mut fleet = fleet(Plan::default().relayed_links()).await;
        let load = fleet.load(CALLERS, 16);
        for agent in 0..2 {
            sleep_ms(400).await;
            let stall = Direction { stall: true, delay_ms: 0 };
            let faults = RelayFaults { back: stall, spare_new: true, ..RelayFaults::default() };
            set_link_faults(&fleet, agent, faults).await;
            sleep_ms(100).await;
            fleet.entry(agent).restart().unwrap();
            let answers = || async { fleet.answers(agent).await };
            wait_until("the restarted entry answers", LONG, answers).await;
        }
        sleep_ms(500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
    }
}
