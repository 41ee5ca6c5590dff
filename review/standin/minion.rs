//! Minions: they run tasks under a lease, as the platform's pages tell.
//!
//! The payload of a job tells what its tasks do, one item a step, separated by `;`: `work=MS`, and
//! `gang=N` for a step whose N tasks work only together.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, call, serve};
use crate::json::Json;
use crate::record;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);
/// Work of tasks that last, which are at work at once.
const LASTS: Duration = Duration::from_secs(1_000);

/// Settings of the platform that minions follow.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub max_hold_ms: u64,
    pub gang_wait_ms: u64,
}

/// A start or an end that a minion has seen.
#[derive(Debug, Clone)]
pub struct Seen {
    pub at_ms: u64,
    pub minion: String,
    pub task: String,
    pub run: u64,
    /// `start`, or how the run ended.
    pub what: &'static str,
}

#[derive(Debug)]
struct Running {
    run: u64,
    began: Instant,
    /// Whether all members of the run's gang were present, and since when it has worked.
    works_since: Option<Instant>,
    work: Duration,
    gang: usize,
}

#[derive(Debug, Default)]
struct State {
    /// Number of crashes so far; part of the id.
    lives: u32,
    /// Start of this life, in milliseconds since 1970 and on the record's clock.
    born_ms: u64,
    born_at: u64,
    /// Time until which the minion is down.
    down_until: Option<Instant>,
    /// Time at which the minion leaves, if it drains.
    leaves_at: Option<Instant>,
    /// Whether the lease has expired since the end with this number or later ones were listed.
    lapsed_ends: BTreeSet<u64>,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Running>,
    /// Highest stopped or ended run of each task.
    barred: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

/// A minion and what it shares with the others.
#[derive(Debug)]
pub struct Minion {
    name: String,
    rack: String,
    label: &'static str,
    bounds: Bounds,
    epoch: Instant,
    /// Whether orders get no answer and are carried out later.
    pub late_orders: AtomicBool,
    /// For how long the next start is held up on its way, in milliseconds; 0 for not at all.
    pub next_start_late_ms: AtomicU64,
    state: Mutex<State>,
    ended: Condvar,
    fleet: Arc<Fleet>,
}

/// What all minions share: the log of runs, and the members of gangs.
#[derive(Debug, Default)]
pub struct Fleet {
    pub seen: Mutex<Vec<Seen>>,
    /// Members that are present, by step and run.
    present: Mutex<BTreeMap<(String, u64), BTreeSet<String>>>,
    /// How gangs have ended, by step and run.
    over: Mutex<BTreeMap<(String, u64), &'static str>>,
    /// Tickets that the advice service has given, with the time until which each is valid.
    pub tickets: Mutex<BTreeMap<String, u64>>,
    /// Whether starts need a ticket.
    pub needs_ticket: AtomicBool,
}

impl Fleet {
    fn saw(&self, minion: &str, task: &str, run: u64, what: &'static str) {
        record::line(&format!("minion {minion} task {task} run {run} {what}"));
        let seen = Seen {
            at_ms: record::now_ms(),
            minion: minion.to_owned(),
            task: task.to_owned(),
            run,
            what,
        };
        self.seen.lock().unwrap().push(seen);
    }

    /// Returns the number of runs of a job that have begun and not ended.
    pub fn running(&self, job: &str) -> usize {
        let seen = self.seen.lock().unwrap();
        let of_job = seen.iter().filter(|seen| seen.task.starts_with(job) && seen.what != "noted");
        let (starts, ends): (Vec<_>, Vec<_>) = of_job.partition(|seen| seen.what == "start");
        starts.len() - ends.len()
    }
}

impl Minion {
    pub fn start(
        id: &str,
        rack: &str,
        address: SocketAddr,
        agent: SocketAddr,
        bounds: Bounds,
        fleet: Arc<Fleet>,
    ) -> std::io::Result<Arc<Self>> {
        let minion = Arc::new(Self {
            name: id.to_owned(),
            rack: rack.to_owned(),
            label: if id.ends_with('1') { "b" } else { "a" },
            late_orders: AtomicBool::new(false),
            next_start_late_ms: AtomicU64::new(0),
            bounds,
            epoch: Instant::now(),
            state: Mutex::new(State { born_ms: unix_ms(), ..State::default() }),
            ended: Condvar::new(),
            fleet,
        });
        let server = Arc::clone(&minion);
        serve(address, move |request| server.respond(&request))?;
        let beating = Arc::clone(&minion);
        std::thread::spawn(move || beating.send_heartbeats(agent, address));
        let working = Arc::clone(&minion);
        std::thread::spawn(move || working.work());
        Ok(minion)
    }

    fn clock_of(&self, state: &State) -> u64 {
        (self.epoch.elapsed().as_millis() as u64).saturating_sub(state.born_at)
    }

    /// Returns the id of the present life.
    pub fn id(&self) -> String {
        self.state.lock().unwrap().id(&self.name)
    }

    /// Ends this life without a notice. The next one begins after `down`.
    pub fn crash(&self, down: Duration) {
        let mut state = self.state.lock().unwrap();
        self.end_life(&mut state, down);
    }

    fn end_life(&self, state: &mut State, down: Duration) {
        let id = state.id(&self.name);
        record::line(&format!("minion {id} ends its life"));
        for (task, running) in std::mem::take(&mut state.running) {
            self.fleet.saw(&id, &task, running.run, "lost");
            if running.gang > 0 {
                let mut over = self.fleet.over.lock().unwrap();
                over.entry((step_of(&task), running.run)).or_insert("lost");
            }
        }
        *state = State {
            lives: state.lives + 1,
            born_ms: unix_ms() + down.as_millis() as u64,
            born_at: self.epoch.elapsed().as_millis() as u64 + down.as_millis() as u64,
            down_until: Some(Instant::now() + down),
            ..State::default()
        };
    }

    /// Announces that the minion leaves after `remaining`; the next life begins 2 s later.
    pub fn drain(&self, remaining: Duration) {
        let mut state = self.state.lock().unwrap();
        state.leaves_at = Some(Instant::now() + remaining);
        record::line(&format!("minion {} drains", state.id(&self.name)));
    }

    fn send_heartbeats(&self, agent: SocketAddr, own: SocketAddr) {
        for seq in 1.. {
            let (id, is_down, remaining, clock_ms, born) = {
                let state = self.state.lock().unwrap();
                let left = |at: Instant| at.saturating_duration_since(Instant::now());
                (
                    state.id(&self.name),
                    state.is_down(),
                    state.leaves_at.map(left),
                    self.clock_of(&state),
                    state.born(),
                )
            };
            if is_down {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            }
            if remaining.is_some_and(|left| left.is_zero()) {
                let path = format!("/v1/instances/{id}");
                let (status, _) =
                    call(agent, "agent", "DELETE", &path, "", "", Duration::from_secs(1));
                record::line(&format!("minion {id} leaves: {status}"));
                if status != 200 {
                    std::thread::sleep(Duration::from_secs(2));
                }
                let mut state = self.state.lock().unwrap();
                self.end_life(&mut state, Duration::from_secs(2));
                continue;
            }
            let (shown, more) = match remaining {
                Some(left) => ("draining", format!(",\"remainingMs\":{}", left.as_millis())),
                None => ("ready", String::new()),
            };
            let body = format!(
                "{{\"service\":\"study\",\"address\":\"{own}\",\"zone\":\"z1\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"{shown}\"{more},\"coldLeftMs\":0,\"capacity\":{{\"cpu\":64000,\
                 \"memMb\":256000,\"gpu\":0}},\"labels\":[\"{}\",\"{}\"],\"clockMs\":{},\"seq\":{seq}{born}}}",
                self.label, self.rack, clock_ms
            );
            let path = format!("/v1/instances/{id}");
            let timeout = Duration::from_secs(1);
            let (status, _) = call(agent, "agent", "PUT", &path, "", &body, timeout);
            // Until an agent listens, the minion asks again soon.
            let pause = if status == 200 { HEARTBEAT_INTERVAL } else { Duration::from_millis(300) };
            let until = Instant::now() + pause;
            let is_draining = || self.state.lock().unwrap().leaves_at.is_some();
            let was_draining = remaining.is_some();
            while Instant::now() < until && is_draining() == was_draining {
                std::thread::sleep(Duration::from_millis(20));
            }
            if was_draining {
                std::thread::sleep(Duration::from_millis(200));
            }
        }
    }

    /// Answers a request, or carries an order out later without an answer.
    fn respond(self: &Arc<Self>, request: &Request) -> Response {
        let mut delay_ms = 0;
        if request.path == "/v1/run-start" {
            delay_ms = self.next_start_late_ms.swap(0, Ordering::SeqCst);
        }
        if request.path != "/v1/hold" && self.late_orders.load(Ordering::SeqCst) {
            delay_ms = 2_000 + record::now_ms() * 7_919 % 10_000;
        }
        if delay_ms > 0 {
            // The call gets no answer, and reaches whichever life has the id when it arrives.
            let (late, request) = (Arc::clone(self), request.clone());
            record::line(&format!("an order to {} is held up for {delay_ms} ms", request.instance));
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(delay_ms));
                late.carry_out(&request);
            });
            return None;
        }
        self.carry_out(request)
    }

    fn carry_out(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        if state.is_down() {
            return None;
        }
        if request.instance != state.id(&self.name) {
            return Some((421, "{}".to_owned()));
        }
        let fence = body.get("fence").number();
        if fence < state.fence {
            return Some(self.refuse(&state, "fence"));
        }
        state.fence = fence;
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number();
        match &*request.path {
            "/v1/run-start" => Some(self.start_run(&mut state, &body, &task, run)),
            "/v1/run-stop" => {
                let barred = state.barred.entry(task.clone()).or_default();
                *barred = run.max(*barred);
                if state.running.get(&task).is_some_and(|running| running.run <= run) {
                    self.end(&mut state, &task, "stopped");
                }
                Some((200, self.clock(&state)))
            }
            "/v1/hold" => {
                self.extend(&mut state, &body);
                let last_seen = body.get("lastSeen").number();
                let id = state.id(&self.name);
                let State { ends, lapsed_ends, .. } = &mut *state;
                for (number, task, run, how) in ends.extract_if(.., |(n, ..)| *n <= last_seen) {
                    if how == "done" && !lapsed_ends.remove(&number) {
                        self.fleet.saw(&id, &task, run, "noted");
                    }
                }
                let lives = state.lives;
                let wait = Duration::from_millis(body.get("waitMs").number());
                let deadline = Instant::now() + wait;
                while state.ends.is_empty() {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.ended.wait_timeout(state, left.min(TICK)).unwrap().0;
                    if state.lives != lives {
                        return None;
                    }
                }
                Some((200, self.lists(&state)))
            }
            "/v1/pace" => Some((200, self.clock(&state))),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn clock(&self, state: &State) -> String {
        format!("{{\"clockMs\":{}}}", self.clock_of(state))
    }

    fn refuse(&self, state: &State, reason: &str) -> (u16, String) {
        let clock = self.clock_of(state);
        (409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"))
    }

    /// Extends the lease, which never shortens.
    fn extend(&self, state: &mut State, body: &Json) {
        let deadline_ms = body.get("deadlineMs").number();
        let until_ms = deadline_ms.min(self.clock_of(state) + self.bounds.max_hold_ms);
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
    }

    fn start_run(&self, state: &mut State, body: &Json, task: &str, run: u64) -> (u16, String) {
        if state.running.get(task).is_some_and(|running| running.run == run) {
            return (200, self.clock(state));
        }
        if body.get("deadlineMs").number() <= self.clock_of(state) {
            return self.refuse(state, "late");
        }
        self.extend(state, body);
        let is_old = state.barred.get(task).is_some_and(|barred| run <= *barred);
        if is_old || state.running.contains_key(task) {
            return self.refuse(state, "old");
        }
        if self.fleet.needs_ticket.load(Ordering::SeqCst) {
            let id = state.id(&self.name);
            let key = format!("{}/{id}/{}", step_of(task), body.get("ticket").text());
            let until_ms = self.fleet.tickets.lock().unwrap().get(&key).copied().unwrap_or(0);
            if until_ms < record::now_ms() {
                return self.refuse(state, "ticket");
            }
        }
        let step: usize = task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
        let what = body.get("spec").text().split(';').nth(step).unwrap_or("").to_owned();
        let field = |name: &str| -> u64 {
            let find = |item: &str| item.strip_prefix(name).and_then(|text| text.parse().ok());
            what.split(',').find_map(find).unwrap_or(0)
        };
        let gang = field("gang=") as usize;
        let began = Instant::now();
        let works_since = (gang == 0).then_some(began);
        let work = Duration::from_millis(field("work="));
        state.running.insert(task.to_owned(), Running { run, began, works_since, work, gang });
        self.fleet.saw(&state.id(&self.name), task, run, "start");
        if gang > 0 {
            let mut present = self.fleet.present.lock().unwrap();
            present.entry((step_of(task), run)).or_default().insert(task.to_owned());
        }
        (200, self.clock(state))
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(running) = state.running.remove(task) else { return };
        let barred = state.barred.entry(task.to_owned()).or_default();
        *barred = running.run.max(*barred);
        state.last_end += 1;
        let number = state.last_end;
        state.ends.push((number, task.to_owned(), running.run, how));
        self.fleet.saw(&state.id(&self.name), task, running.run, how);
        if running.gang > 0 {
            let mut over = self.fleet.over.lock().unwrap();
            over.entry((step_of(task), running.run)).or_insert(how);
        }
        self.ended.notify_all();
    }

    fn lists(&self, state: &State) -> String {
        let percent = |running: &Running| {
            if running.work >= LASTS {
                return 100;
            }
            let since = running.works_since.map_or(Duration::ZERO, |since| since.elapsed());
            (100.0 * since.as_secs_f64() / running.work.as_secs_f64().max(0.001)).min(99.0) as u32
        };
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, r)| format!("[\"{task}\",{},\"\",{},0]", r.run, percent(r)))
            .collect();
        let ends = state.ends.iter().take(500);
        let ends: Vec<String> = ends
            .map(|(n, task, run, how)| format!("[{n},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let (running, ends) = (running.join(","), ends.join(","));
        let (clock, born) = (self.clock_of(state), state.born());
        format!("{{\"clockMs\":{clock}{born},\"running\":[{running}],\"ended\":[{ends}]}}")
    }

    /// Lets tasks work, and ends them when they are done, their gang is over or the lease expires.
    fn work(&self) {
        loop {
            std::thread::sleep(TICK);
            let mut state = self.state.lock().unwrap();
            let lapsed = self.clock_of(&state) > state.lease_until_ms;
            if lapsed {
                let State { ends, lapsed_ends, .. } = &mut *state;
                lapsed_ends.extend(ends.iter().map(|(number, ..)| *number));
            }
            let mut ending = Vec::new();
            for (task, running) in &mut state.running {
                if lapsed {
                    ending.push((task.clone(), "lapsed"));
                } else if let Some(how) = self.progress(task, running) {
                    ending.push((task.clone(), how));
                }
            }
            for (task, how) in ending {
                self.end(&mut state, &task, how);
            }
        }
    }

    fn progress(&self, task: &str, running: &mut Running) -> Option<&'static str> {
        if running.gang > 0 {
            let key = (step_of(task), running.run);
            match self.fleet.over.lock().unwrap().get(&key) {
                Some(&"done") => return Some("done"),
                Some(&"alone") if running.works_since.is_none() => {}
                Some(_) => return Some("broken"),
                None => {}
            }
            let present = self.fleet.present.lock().unwrap().get(&key).map_or(0, BTreeSet::len);
            if running.works_since.is_none() && present == running.gang {
                running.works_since = Some(Instant::now());
            }
            let waited = running.began.elapsed().as_millis() as u64;
            if running.works_since.is_none() && waited > self.bounds.gang_wait_ms {
                return Some("alone");
            }
        }
        let since = running.works_since?;
        (since.elapsed() >= running.work).then_some("done")
    }
}

/// Whether a minion starts again under the id that it had, and tells its lives apart by `born`.
pub static KEEPS_ID: AtomicBool = AtomicBool::new(false);

fn keeps_id() -> bool {
    KEEPS_ID.load(Ordering::SeqCst)
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl State {
    /// Returns the id; with [`KEEPS_ID`], each life has the same one.
    fn id(&self, name: &str) -> String {
        if keeps_id() { name.to_owned() } else { format!("{name}{:02x}", self.lives) }
    }

    /// Returns the field that tells the lives of one id apart.
    fn born(&self) -> String {
        if keeps_id() { format!(",\"born\":{}", self.born_ms) } else { String::new() }
    }

    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }
}

/// Returns the step of a task's name ID.K.STEP.INDEX, without the index.
fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or(String::new(), |(step, _)| step.to_owned())
}
