//! Tests of failures of the links between entries and agents while callers send requests.

use std::time::Duration;

use geraniumpost_harness::check::Summary;
use geraniumpost_harness::{Binaries, Fleet, Plan, RequestSpec, failures, sleep_ms, wait_until};
use geraniumpost_standin::relay::{Direction, RelayFaults};

const TIMEOUT: Duration = Duration::from_secs(15);
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
    /// A firewall between entries and an agent forgets the open connections. No more messages
    /// arrive over them, but new connections work. Callers must still be served, also by that
    /// agent.
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
        let before = fleet.agents()[0].minion_record().await.unwrap().len();
        wait_until("the agent is used again", TIMEOUT, || async {
            fleet.caller(0).send(&RequestSpec::get()).await;
            fleet.agents()[0].minion_record().await.unwrap().len() > before
        })
        .await;
    }

    /// The connections between entries and agents are closed from time to time while requests run.
    /// The agents know what ran, so an entry can ask over a new connection, and each caller must
    /// get its response.
    async fn lost_connections_lose_no_response() {
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

    /// The connections between entries and agents are closed faster than they can be replaced. The
    /// outcomes of requests may remain unknown, but no non-idempotent request may run twice.
    async fn frequent_connection_losses_cause_no_second_run() {
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

    /// Responses take 300 ms longer than usual to arrive at the entries. Each must still be
    /// forwarded to the right caller.
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

    /// No more messages arrive over a link, and the entry that would ask about its requests is
    /// restarted. A retry with the same key through the other entry must not run a second time.
    async fn silent_link_and_killed_entry_cause_no_second_run() {
        let mut fleet = fleet(Plan::default().relayed_links()).await;
        let load = fleet.load(CALLERS, 16);
        for agent in 0..2 {
            sleep_ms(400).await;
            let stall = Direction { stall: true, delay_ms: 0 };
            let faults = RelayFaults { back: stall, spare_new: true, ..RelayFaults::default() };
            set_link_faults(&fleet, agent, faults).await;
            sleep_ms(100).await;
            fleet.entry(agent).restart().unwrap();
            let answering = || async { fleet.answers(agent).await };
            wait_until("the restarted entry answers", TIMEOUT, answering).await;
        }
        sleep_ms(500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
    }
}
