//! Failures of processes and connections while callers send requests.

use std::time::Duration;

use geraniumpost_harness::check::{Summary, Told, Word};
use geraniumpost_harness::{Binaries, Fleet, Load, Plan, Send, wait_until};
use geraniumpost_standin::minion::{MinionFaults, MinionMode};
use geraniumpost_standin::now_us;
use geraniumpost_standin::relay::{Direction, RelayFaults};

const LONG: Duration = Duration::from_secs(15);
const CALLERS: u64 = 12;

async fn fleet(plan: Plan) -> Fleet {
    let binaries = Binaries::new(env!("CARGO_BIN_EXE_geraniumpost"));
    Fleet::start(&binaries, &plan).await.unwrap()
}

fn load(fleet: &Fleet, seed: u64) -> Load {
    Load::start(&fleet.callers_addresses(), CALLERS, seed)
}

async fn pass(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

fn summary(told: &[Told]) -> Summary {
    told.iter().collect()
}

fn idempotent(told: &[Told]) -> Summary {
    let summary = told.iter().filter(|told| told.idempotent).collect();
    println!("idempotent: {summary}");
    summary
}

/// Tells whether nothing but answers came.
fn all_answered(summary: &Summary) -> bool {
    let Summary { answered, not_run, may_have_run, nothing, .. } = summary;
    *answered > 0 && not_run + may_have_run + nothing == 0
}

/// Names each failure test and gives it a runtime with several threads.
macro_rules! failures {
    ($($(#[$doc:meta])* async fn $name:ident() $body:block)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() $body
    )*};
}

failures! {
    /// Nothing fails. Every caller gets the whole answer to its own request, and no minion is
    /// given more than its slots, though two entries send to it.
    async fn undisturbed_load_is_answered() {
        let fleet = fleet(Plan::default()).await;
        let load = load(&fleet, 1);
        pass(1500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        assert!(all_answered(&summary(&told)), "{}", summary(&told));
    }

    /// An agent's process dies under load and comes back. Callers whose request may be repeated
    /// notice nothing; others may be told that the outcome is unknown, and no badge prints twice.
    async fn killed_agent_loses_no_idempotent_request() {
        let mut fleet = fleet(Plan::default()).await;
        let load = load(&fleet, 2);
        pass(500).await;
        fleet.agent(1).kill();
        pass(2000).await;
        fleet.agent(1).restart().unwrap();
        pass(1500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        assert!(all_answered(&idempotent(&told)), "{}", idempotent(&told));
    }

    /// An entry's process dies under load and comes back. Its callers lose their connections and
    /// repeat keyed requests at the other entry, where none of them may run a second time.
    async fn killed_entry_doubles_nothing() {
        let mut fleet = fleet(Plan::default()).await;
        let load = load(&fleet, 3);
        pass(500).await;
        fleet.entry(0).kill();
        pass(1500).await;
        fleet.entry(0).restart().unwrap();
        let answers = || async { answered(&fleet, 0).await };
        wait_until("the restarted entry answers", LONG, answers).await;
        pass(500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        // The restarted entry lets nobody in before it can serve them.
        assert_eq!(summary(&told).not_run, 0, "{}", summary(&told));
    }

    /// An agent's VM is paused with requests on it and goes on later. Callers are not kept
    /// waiting for it, and what it does when it goes on must not run anything again.
    async fn frozen_agent_harms_nobody_when_it_thaws() {
        let fleet = fleet(Plan::default()).await;
        let load = load(&fleet, 4);
        pass(500).await;
        fleet.agents()[2].process().freeze().unwrap();
        pass(5000).await;
        fleet.agents()[2].process().thaw().unwrap();
        pass(1500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        let idempotent = idempotent(&told);
        assert!(all_answered(&idempotent), "{idempotent}");
        assert!(idempotent.worst < Duration::from_secs(3), "{idempotent}");
    }

    /// An entry's VM is paused and goes on later. Requests that it still holds may by then have
    /// been repeated through the other entry.
    async fn frozen_entry_harms_nobody_when_it_thaws() {
        let fleet = fleet(Plan::default()).await;
        let load = load(&fleet, 5);
        pass(500).await;
        fleet.entries()[0].process().freeze().unwrap();
        pass(3000).await;
        fleet.entries()[0].process().thaw().unwrap();
        pass(1500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        // What queued up during the pause is served; the agents were there all the time.
        assert_eq!(summary(&told).not_run, 0, "{}", summary(&told));
    }

    /// An agent is stopped for maintenance under load. No caller may notice, nothing new may reach
    /// its minion after two seconds, and the process ends by itself.
    async fn stopped_agent_cuts_off_no_request() {
        let mut fleet = fleet(Plan::default()).await;
        let load = load(&fleet, 6);
        pass(500).await;
        fleet.agent(0).term().unwrap();
        let asked = now_us();
        let status = fleet.agent(0).ended(LONG).await.unwrap();
        assert!(status.success(), "{status}\n{}", fleet.agent(0).output());
        pass(1000).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        assert!(all_answered(&summary(&told)), "{}", summary(&told));
        let record = fleet.agents()[0].minion_record().await.unwrap();
        let late = record.iter().filter(|event| event.at_us > asked + 2_000_000).count();
        assert_eq!(late, 0, "the leaving endpoint was given new work");
    }

    /// An entry is stopped for maintenance under load. Requests that it has taken are answered;
    /// later callers are not let in, and the balancer sends them elsewhere.
    async fn stopped_entry_cuts_off_no_request() {
        let mut fleet = fleet(Plan::default()).await;
        let load = load(&fleet, 7);
        pass(500).await;
        fleet.entry(1).term().unwrap();
        let status = fleet.entry(1).ended(LONG).await.unwrap();
        assert!(status.success(), "{status}\n{}", fleet.entry(1).output());
        pass(500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        let summary = summary(&told);
        assert_eq!((summary.nothing, summary.may_have_run), (0, 0), "{summary}");
    }

    /// The operator's tool sends the stop signal twice, as impatient people do. The second one
    /// must not cut off what the first one lets finish.
    async fn second_stop_signal_cuts_off_nothing() {
        let mut fleet = fleet(Plan::default()).await;
        let callers: Vec<_> = (0..6)
            .map(|_| {
                let caller = fleet.caller(0);
                tokio::spawn(async move { caller.send(&Send::post().work_ms(1500)).await })
            })
            .collect();
        wait_until("all requests run", LONG, || async { running(&fleet).await == 6 }).await;
        for _ in 0..2 {
            fleet.entry(0).term().unwrap();
            fleet.agent(0).term().unwrap();
            pass(100).await;
        }
        let mut told = Vec::new();
        for caller in callers {
            told.push(caller.await.unwrap());
        }
        assert!(all_answered(&summary(&told)), "{}", summary(&told));
        assert!(fleet.entry(0).ended(LONG).await.unwrap().success());
        assert!(fleet.agent(0).ended(LONG).await.unwrap().success());
        fleet.assert_promises_to_callers(&told).await;
    }

    /// A caller gets no answer in time and sends its badge print again through both entries at
    /// once. It must print once, and all must get the first one's answer.
    async fn repeats_of_a_key_at_once_run_once() {
        let fleet = fleet(Plan::default()).await;
        let mut told = Vec::new();
        for round in 0..10 {
            let send = Send::post().key(format!("badge-{round}")).body("badge").work_ms(30);
            let callers: Vec<_> = (0..4)
                .map(|number| {
                    let (caller, send) = (fleet.caller(number % 2), send.again());
                    tokio::spawn(async move { caller.send(&send).await })
                })
                .collect();
            for caller in callers {
                told.push(caller.await.unwrap());
            }
        }
        fleet.assert_promises_to_callers(&told).await;
        assert!(all_answered(&summary(&told)), "{}", summary(&told));
    }

    /// A caller repeats its request after it was answered. It gets the same answer, and nothing
    /// prints again.
    async fn repeat_after_the_answer_gets_it_again() {
        let fleet = fleet(Plan::default()).await;
        let first = Send::post().key("badge").body("badge");
        let mut told = Vec::new();
        for entry in [0, 1, 0, 1] {
            told.push(fleet.caller(entry).send(&first.again()).await);
        }
        fleet.assert_promises_to_callers(&told).await;
        let first = &told[0].word;
        assert!(matches!(first, Word::Answered { .. }), "{told:#?}");
        assert!(told.iter().all(|told| told.word == *first), "{told:#?}");
    }

    /// Open connections between an agent and its minion go silent for good while new ones work.
    /// Callers must not go on hitting the silent ones, and nothing is sent twice because of them.
    async fn silent_connections_to_a_minion_double_nothing() {
        let fleet = fleet(Plan::default()).await;
        let load = load(&fleet, 8);
        pass(500).await;
        let stall = Direction { stall: true, delay_ms: 0 };
        let faults = RelayFaults { back: stall, spare_new: true, ..RelayFaults::default() };
        fleet.agents()[0].minion_relay().control().set_faults(&faults).await.unwrap();
        pass(2000).await;
        let told = load.stop().await;
        idempotent(&told);
        fleet.assert_promises_to_callers(&told).await;
    }

    /// Something between entries and an agent loses track of the open connections, which go silent
    /// for good while new ones work. Callers go on being served, also by that agent.
    async fn silent_links_lose_no_idempotent_request() {
        let fleet = fleet(Plan::default().relayed_links()).await;
        let load = load(&fleet, 13);
        pass(500).await;
        for (direction, agent) in [("forward", 0), ("back", 1)] {
            let stall = Direction { stall: true, delay_ms: 0 };
            let mut faults = RelayFaults { spare_new: true, ..RelayFaults::default() };
            *if direction == "back" { &mut faults.back } else { &mut faults.forward } = stall;
            set_link_faults(&fleet, agent, faults).await;
            pass(1500).await;
        }
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        let idempotent = idempotent(&told);
        assert!(all_answered(&idempotent), "{idempotent}");
        assert!(idempotent.worst < Duration::from_secs(3), "{idempotent}");
        let after = fleet.agents()[0].minion_record().await.unwrap().len();
        wait_until("the agent is used again", LONG, || async {
            fleet.caller(0).send(&Send::get()).await;
            fleet.agents()[0].minion_record().await.unwrap().len() > after
        })
        .await;
    }

    /// The connections between entries and agents are cut now and then while badges print. The
    /// agents live and know what ran, so an entry that asks over a new connection learns it, and
    /// every caller gets its answer.
    async fn cut_links_lose_nothing() {
        let fleet = fleet(Plan::default().relayed_links()).await;
        let load = load(&fleet, 14);
        for round in 0..9 {
            pass(400).await;
            let relay = fleet.agents()[round % 3].link_relay().unwrap();
            relay.control().act("cut").await.unwrap();
        }
        pass(500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        assert!(all_answered(&summary(&told)), "{}", summary(&told));
    }

    /// The connections between entries and agents are cut faster than they can be replaced.
    /// Callers may be told that the outcome is unknown, and no badge prints twice.
    async fn links_cut_again_and_again_double_nothing() {
        let fleet = fleet(Plan::default().relayed_links()).await;
        let load = load(&fleet, 17);
        for round in 0..24 {
            pass(60).await;
            let relay = fleet.agents()[round % 3].link_relay().unwrap();
            relay.control().act("cut").await.unwrap();
        }
        pass(500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
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
        let load = load(&fleet, 15);
        pass(2500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
        assert!(all_answered(&idempotent(&told)), "{}", idempotent(&told));
    }

    /// A link goes silent, and then the entry that would ask about it dies. The caller's repeat
    /// through the other entry must not print a second badge.
    async fn silent_link_and_killed_entry_double_nothing() {
        let mut fleet = fleet(Plan::default().relayed_links()).await;
        let load = load(&fleet, 16);
        for agent in 0..2 {
            pass(400).await;
            let stall = Direction { stall: true, delay_ms: 0 };
            let faults = RelayFaults { back: stall, spare_new: true, ..RelayFaults::default() };
            set_link_faults(&fleet, agent, faults).await;
            pass(100).await;
            fleet.entry(agent).restart().unwrap();
            let answers = || async { answered(&fleet, agent).await };
            wait_until("the restarted entry answers", LONG, answers).await;
        }
        pass(500).await;
        let told = load.stop().await;
        fleet.assert_promises_to_callers(&told).await;
    }

    /// A minion's connections are cut again and again while it runs requests. A filing that was
    /// under way must not be called "not run", and must not run again elsewhere.
    async fn cut_connections_to_a_minion_double_nothing() {
        let fleet = fleet(Plan::default()).await;
        let load = load(&fleet, 9);
        for _ in 0..10 {
            pass(150).await;
            for agent in fleet.agents() {
                agent.minion_relay().control().act("cut").await.unwrap();
            }
        }
        let told = load.stop().await;
        idempotent(&told);
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
        let load = load(&fleet, 10);
        pass(1500).await;
        let told = load.stop().await;
        idempotent(&told);
        fleet.assert_promises_to_callers(&told).await;
        assert!(summary(&told).may_have_run > 0, "{}", summary(&told));
    }

    /// Far more callers than slots. Minions are never overfilled; whoever is turned away is told
    /// so at once, and truly did not run.
    async fn overload_never_overfills_a_minion() {
        let fleet = fleet(Plan::default()).await;
        let callers = fleet.callers_addresses();
        let told = Load::start(&callers, 150, 11);
        pass(2500).await;
        let told = told.stop().await;
        idempotent(&told);
        fleet.assert_promises_to_callers(&told).await;
        assert!(summary(&told).answered > 100, "{}", summary(&told));
        for agent in fleet.agents() {
            let counts = agent.minion_counts().await.unwrap();
            assert!(!counts.over_connections && counts.over_slots == 0, "{counts:?}");
        }
    }

    /// An agent and an entry die in the same moment, and again after they came back.
    async fn pairs_of_kills_double_nothing() {
        let mut fleet = fleet(Plan::default()).await;
        let load = load(&fleet, 12);
        for _ in 0..2 {
            pass(500).await;
            fleet.agent(0).kill();
            fleet.entry(0).kill();
            pass(800).await;
            fleet.agent(0).restart().unwrap();
            fleet.entry(0).restart().unwrap();
            let answers = || async { answered(&fleet, 0).await };
            wait_until("the restarted entry answers", LONG, answers).await;
        }
        let told = load.stop().await;
        idempotent(&told);
        fleet.assert_promises_to_callers(&told).await;
    }
}

async fn set_link_faults(fleet: &Fleet, agent: usize, faults: RelayFaults) {
    let relay = fleet.agents()[agent].link_relay().unwrap();
    relay.control().set_faults(&faults).await.unwrap();
}

async fn answered(fleet: &Fleet, entry: usize) -> bool {
    matches!(fleet.caller(entry).send(&Send::get()).await.word, Word::Answered { .. })
}

async fn running(fleet: &Fleet) -> u64 {
    let mut running = 0;
    for agent in fleet.agents() {
        running += agent.minion_counts().await.unwrap().running;
    }
    running
}
