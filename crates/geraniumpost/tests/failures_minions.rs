//! Faults of minions and of the connections to them while callers send requests.

use std::time::Duration;

use geraniumpost_harness::check::{Summary, Told, Word};
use geraniumpost_harness::{Binaries, Fleet, Plan, Send, failures, pass};
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
    /// Open connections between an agent and its minion go silent for good while new ones work.
    /// Callers must not go on hitting the silent ones, and nothing is sent twice because of them.
    async fn silent_connections_to_a_minion_double_nothing() {
        let fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 8);
        pass(500).await;
        let stall = Direction { stall: true, delay_ms: 0 };
        let faults = RelayFaults { back: stall, spare_new: true, ..RelayFaults::default() };
        fleet.agents()[0].minion_relay().control().set_faults(&faults).await.unwrap();
        pass(2000).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
    }

    /// A minion's connections are cut again and again while it runs requests. A filing that was
    /// under way must not be called "not run", and must not run again elsewhere.
    async fn cut_connections_to_a_minion_double_nothing() {
        let fleet = fleet(Plan::default()).await;
        let load = fleet.load(CALLERS, 9);
        for _ in 0..10 {
            pass(150).await;
            for agent in fleet.agents() {
                agent.minion_relay().control().act("cut").await.unwrap();
            }
        }
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
    }

    /// A minion breaks off in the middle of its answers. The callers see errors, never half an
    /// answer that looks whole.
    async fn truncated_answers_are_errors() {
        let fleet = fleet(Plan::default()).await;
        let truncating =
            MinionFaults { mode: MinionMode::Truncate, mode_permille: 500, ..Default::default() };
        for agent in fleet.agents() {
            agent.minion().control().set_faults(&truncating).await.unwrap();
        }
        let load = fleet.load(CALLERS, 10);
        pass(1500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        assert!(Summary::of(&told).may_have_run > 0, "{}", Summary::of(&told));
    }

    /// Far more callers than slots. Minions are never overfilled; whoever is turned away is told
    /// so at once, and truly did not run.
    async fn overload_never_overfills_a_minion() {
        let fleet = fleet(Plan::default()).await;
        let load = fleet.load(150, 11);
        pass(2500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        assert!(Summary::of(&told).answered > 100, "{}", Summary::of(&told));
        for agent in fleet.agents() {
            let counts = agent.minion_counts().await.unwrap();
            assert!(!counts.over_connections && counts.over_slots == 0, "{counts:?}");
        }
    }

    /// A minion fails all it is given and so looks idle, which draws yet more requests to it. Most
    /// callers must soon be served by the others again.
    async fn fast_failing_minion_is_ejected() {
        let fleet = fleet(Plan::default()).await;
        set_mode(&fleet, 0, MinionMode::Fail).await;
        let load = fleet.load(CALLERS, 18);
        pass(1500).await;
        let before = (started(&fleet, 0).await, started(&fleet, 1).await);
        pass(1500).await;
        let after = (started(&fleet, 0).await, started(&fleet, 1).await);
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        let (failing, good) = (after.0 - before.0, after.1 - before.1);
        assert!(failing * 5 < good, "the failing minion got {failing}, a good one {good}");
    }

    /// A minion hangs on each request. Callers of the others notice nothing, and the requests that
    /// it holds are not run again because of it.
    async fn hanging_minion_doubles_nothing() {
        let fleet = fleet(Plan::default()).await;
        set_mode(&fleet, 0, MinionMode::Hang).await;
        let callers: Vec<_> = (0..40)
            .map(|number| {
                let caller = fleet.caller(number % 2);
                let send = Send::post().timeout(Duration::from_millis(1500));
                tokio::spawn(async move { caller.send(&send).await })
            })
            .collect();
        let mut told: Vec<Told> = Vec::new();
        for caller in callers {
            told.push(caller.await.unwrap());
        }
        fleet.assert_promises_so_far(&told).await;
        let served = told.iter().filter(|told| matches!(told.word, Word::Answered { .. })).count();
        assert!(served >= 20, "{}", Summary::of(&told));
    }

    /// Callers lose patience and leave while their requests run. The minions still work on them,
    /// so their slots must not be given to others yet.
    async fn callers_who_leave_free_no_slot_early() {
        let fleet = fleet(Plan::default()).await;
        for round in 0..3 {
            let leaving: Vec<_> = (0..60)
                .map(|number| {
                    let caller = fleet.caller(number % 2);
                    tokio::spawn(async move { caller.send(&Send::post().work_ms(700)).await })
                })
                .collect();
            pass(100 + 50 * round).await;
            leaving.iter().for_each(tokio::task::JoinHandle::abort);
        }
        let mut told = Vec::new();
        for _ in 0..10 {
            told.push(fleet.caller(0).send(&Send::get()).await);
        }
        fleet.assert_promises_to_callers(&told).await;
        assert!(Summary::of(&told).answered > 0, "{}", Summary::of(&told));
    }

    /// Requests run into their deadline while the minions still work on them.
    async fn requests_past_their_deadline_free_no_slot_early() {
        let fleet = fleet(Plan::default()).await;
        let callers: Vec<_> = (0..120)
            .map(|number| {
                let caller = fleet.caller(number % 2);
                let send = Send::post().work_ms(900).timeout(Duration::from_millis(300));
                tokio::spawn(async move {
                    pass(u64::try_from(number).unwrap() * 15).await;
                    caller.send(&send).await
                })
            })
            .collect();
        let mut told = Vec::new();
        for caller in callers {
            told.push(caller.await.unwrap());
        }
        fleet.assert_promises_to_callers(&told).await;
        assert!(told.iter().all(|told| told.took < Duration::from_secs(1)), "{told:#?}");
    }
}
