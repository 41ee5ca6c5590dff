//! Tests of faults of minions and of the connections to them while callers send requests.

use std::time::Duration;

use geraniumpost_harness::check::{ObservedRequest, Outcome, Summary};
use geraniumpost_harness::{Binaries, Fleet, Plan, RequestSpec, failures, sleep_ms};
use geraniumpost_standin::minion::{MinionFaults, MinionMode};
use geraniumpost_standin::relay::{Direction, RelayFaults};

const CALLERS: u64 = 12;

async fn fleet(plan: Plan) -> Fleet {
    let binaries = Binaries::new(env!("CARGO_BIN_EXE_geraniumpost"));
    Fleet::start(&binaries, &plan).await.unwrap()
}

async fn set_mode(fleet: &Fleet, agent: usize, mode: MinionMode) {
    let faults = MinionFaults { mode, ..MinionFaults::default() };
    fleet.agents()[agent].minion().control().set_faults(&faults).await.unwrap();
}

async fn started(fleet: &Fleet, agent: usize) -> u64 {
    fleet.agents()[agent].minion_counts().await.unwrap().started
}

failures! {
    /// No more responses arrive over the open connections between an agent and its minion, but new
    /// connections work. No non-idempotent request may be sent twice because of this.
    async fn silent_connections_to_a_minion_cause_no_second_run() {
        let fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 8);
        sleep_ms(500).await;
        let stall = Direction { stall: true, delay_ms: 0 };
        let faults = RelayFaults { back: stall, spare_new: true, ..RelayFaults::default() };
        fleet.agents()[0].minion_relay().control().set_faults(&faults).await.unwrap();
        sleep_ms(2000).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
    }

    /// The connections of the minions are closed repeatedly while they run requests. A request that
    /// was being sent must not be reported as not run, and must not run again elsewhere.
    async fn lost_connections_to_a_minion_cause_no_second_run() {
        let fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 9);
        for _ in 0..10 {
            sleep_ms(150).await;
            for agent in fleet.agents() {
                agent.minion_relay().control().act("cut").await.unwrap();
            }
        }
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
    }

    /// The minions close connections in the middle of responses. Callers must get errors and never
    /// an incomplete response that looks complete.
    async fn truncated_answers_are_errors() {
        let fleet = fleet(Plan::default()).await;
        let truncating =
            MinionFaults { mode: MinionMode::Truncate, mode_permille: 500, ..Default::default() };
        for agent in fleet.agents() {
            agent.minion().control().set_faults(&truncating).await.unwrap();
        }
        let load = fleet.load(CALLERS, 10);
        sleep_ms(1500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        assert!(Summary::of(&requests).may_have_run > 0, "{}", Summary::of(&requests));
    }

    /// There are far more callers than slots. No minion may get more requests than it has slots,
    /// and a request that is rejected as not run must not run.
    async fn overload_never_exceeds_the_slots_of_a_minion() {
        let fleet = fleet(Plan::default()).await;
        let load = fleet.load(150, 11);
        sleep_ms(2500).await;
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        assert!(Summary::of(&requests).answered > 100, "{}", Summary::of(&requests));
        for agent in fleet.agents() {
            let counts = agent.minion_counts().await.unwrap();
            assert!(!counts.over_connections && counts.over_slots == 0, "{counts:?}");
        }
    }

    /// A minion fails each request at once and therefore looks idle, which attracts more requests.
    /// Routing must soon send most requests to the other minions.
    async fn fast_failing_minion_is_ejected() {
        let fleet = fleet(Plan::default()).await;
        set_mode(&fleet, 0, MinionMode::Fail).await;
        let load = fleet.load(CALLERS, 18);
        sleep_ms(1500).await;
        let before = (started(&fleet, 0).await, started(&fleet, 1).await);
        sleep_ms(1500).await;
        let after = (started(&fleet, 0).await, started(&fleet, 1).await);
        let requests = load.stop().await;
        fleet.assert_promises_to_callers(&requests).await;
        let (failing, healthy) = (after.0 - before.0, after.1 - before.1);
        assert!(
            failing * 5 < healthy,
            "the failing minion got {failing} requests, a healthy one {healthy}"
        );
    }

    /// A minion does not respond to any request. The other minions must keep serving, and the
    /// requests on the hanging minion must not run again elsewhere.
    async fn hanging_minion_causes_no_second_run() {
        let fleet = fleet(Plan::default()).await;
        set_mode(&fleet, 0, MinionMode::Hang).await;
        let callers: Vec<_> = (0..40)
            .map(|number| {
                let caller = fleet.caller(number % 2);
                let spec = RequestSpec::post().timeout(Duration::from_millis(1500));
                tokio::spawn(async move { caller.send(&spec).await })
            })
            .collect();
        let mut requests: Vec<ObservedRequest> = Vec::new();
        for caller in callers {
            requests.push(caller.await.unwrap());
        }
        fleet.assert_promises_so_far(&requests).await;
        let served = requests
            .iter()
            .filter(|request| matches!(request.outcome, Outcome::Answered { .. }))
            .count();
        assert!(served >= 20, "{}", Summary::of(&requests));
    }

    /// Callers disconnect while their requests run. The minions still work on the requests, so
    /// their slots must not be assigned to other requests yet.
    async fn disconnected_callers_free_no_slot_early() {
        let fleet = fleet(Plan::default()).await;
        for round in 0..3 {
            let disconnecting: Vec<_> = (0..60)
                .map(|number| {
                    let caller = fleet.caller(number % 2);
                    tokio::spawn(async move {
                        caller.send(&RequestSpec::post().work_ms(700)).await
                    })
                })
                .collect();
            sleep_ms(100 + 50 * round).await;
            disconnecting.iter().for_each(tokio::task::JoinHandle::abort);
        }
        let mut requests = Vec::new();
        for _ in 0..10 {
            requests.push(fleet.caller(0).send(&RequestSpec::get()).await);
        }
        fleet.assert_promises_to_callers(&requests).await;
        assert!(Summary::of(&requests).answered > 0, "{}", Summary::of(&requests));
    }

    /// A request takes longer than its deadline. The agent knows that the request was started, so
    /// the result code must say that, and not that the outcome is unknown.
    async fn request_past_its_deadline_is_reported_as_started() {
        let fleet = fleet(Plan::default()).await;
        let spec = RequestSpec::post().work_ms(900).timeout(Duration::from_millis(300));
        let mut requests = Vec::new();
        for number in 0..6 {
            requests.push(fleet.caller(number % 2).send(&spec.retry()).await);
        }
        let codes: Vec<u16> = requests.iter().map(|request| request.code).collect();
        assert_eq!(codes, [2007; 6], "{requests:#?}");
        fleet.assert_promises_to_callers(&requests).await;
    }

    /// The deadlines of requests expire while the minions still work on them. Their slots must not
    /// be assigned to other requests yet.
    async fn requests_past_their_deadline_free_no_slot_early() {
        let fleet = fleet(Plan::default()).await;
        let callers: Vec<_> = (0..120)
            .map(|number| {
                let caller = fleet.caller(number % 2);
                let spec = RequestSpec::post().work_ms(900).timeout(Duration::from_millis(300));
                tokio::spawn(async move {
                    sleep_ms(u64::try_from(number).unwrap() * 15).await;
                    caller.send(&spec).await
                })
            })
            .collect();
        let mut requests = Vec::new();
        for caller in callers {
            requests.push(caller.await.unwrap());
        }
        fleet.assert_promises_to_callers(&requests).await;
        assert!(
            requests.iter().all(|request| request.elapsed < Duration::from_secs(1)),
            "{requests:#?}"
        );
    }
}
