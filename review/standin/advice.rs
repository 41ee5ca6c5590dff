//! The advice service: it handles one call at a time for each calling machine, in turn.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Request, Response, serve};
use crate::json::Json;
use crate::minion::Fleet;
use crate::record;

/// Number of waiting calls from which the service refuses further ones.
const MAX_WAITING: usize = 32;

/// Times of the service, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    pub decide_ms: u64,
    pub per_item_ms: u64,
    pub validity_ms: u64,
}

#[derive(Debug, Default)]
struct Caller {
    waiting: Mutex<usize>,
    turn: Mutex<()>,
}

/// Serves advice: every minion is good for every step.
pub fn start(address: SocketAddr, times: Times, fleet: Arc<Fleet>) -> std::io::Result<()> {
    let callers: Mutex<BTreeMap<IpAddr, Arc<Caller>>> = Mutex::default();
    serve(address, move |request| {
        let caller = Arc::clone(callers.lock().unwrap().entry(request.from.ip()).or_default());
        advise(&request, &caller, times, &fleet)
    })
}

fn advise(request: &Request, caller: &Caller, times: Times, fleet: &Fleet) -> Response {
    {
        let mut waiting = caller.waiting.lock().unwrap();
        if *waiting >= MAX_WAITING {
            return Some((429, "{}".to_owned()));
        }
        *waiting += 1;
    }
    let _turn = caller.turn.lock().unwrap();
    *caller.waiting.lock().unwrap() -= 1;
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let (step, workers) = (body.get("step").text(), body.get("workers").list());
    let took_ms = times.decide_ms + times.per_item_ms * workers.len() as u64;
    std::thread::sleep(Duration::from_millis(took_ms));
    let now_ms = record::now_ms();
    record::line(&format!("advice step {step} workers {}", workers.len()));
    let mut tickets = fleet.tickets.lock().unwrap();
    let mut good = Vec::new();
    for worker in workers {
        let (worker, ticket) = (worker.text(), format!("t{now_ms}"));
        tickets.insert(format!("{step}/{worker}/{ticket}"), now_ms + times.validity_ms);
        good.push(format!("[\"{worker}\",\"{ticket}\"]"));
    }
    let good = good.join(",");
    Some((200, format!("{{\"good\":[{good}],\"validityMs\":{}}}", times.validity_ms)))
}
