//! What is under way between processes, and the steps of the protocol that it shows.

use geraniumpost_core::jobs::{LedgerAction, LedgerEvent, PlannerEvent};
use geraniumpost_schema::{Heartbeat, TaskState};

use crate::fault::Fault;
use crate::store::{Answer, Call};

/// Something under way that arrives later.
pub(super) enum Flight {
    StoreCall { entry: usize, incarnation: u64, to: Caller, call: Call },
    StoreAnswer { entry: usize, incarnation: u64, to: Caller, answer: Answer },
    WorkerCall { agent: usize, incarnation: u64, asked: u64, call: LedgerAction },
    ToAgent { agent: usize, incarnation: u64, event: LedgerEvent },
    ToEntry { entry: usize, incarnation: u64, event: PlannerEvent },
    Beat { entry: usize, agent: usize, beat: Box<Heartbeat> },
}

impl Flight {
    /// Returns the entry and agent concerned, as far as known, if this is that step.
    pub(super) fn is_at(&self, point: Point) -> Option<(Option<usize>, Option<usize>)> {
        match self {
            Self::StoreCall { entry, call: Call::Put { key, value, .. }, .. } => {
                let state = match point {
                    Point::SubmitCommit => "\"state\":\"p\"",
                    Point::AssignCommit => "\"state\":\"a\"",
                    Point::CancelCommit => "\"state\":\"w\"",
                    Point::DoneCommit => "\"state\":\"d\"",
                    _ => return None,
                };
                let found = String::from_utf8_lossy(value).contains(state);
                (key.starts_with("jobs/") && found).then_some((Some(*entry), None))
            }
            Self::ToAgent { agent, event, .. } => {
                let found = match event {
                    LedgerEvent::Start(_) => point == Point::StartOrder,
                    LedgerEvent::Evict(_) => point == Point::EvictOrder,
                    LedgerEvent::Stop(_) => point == Point::StopOrder,
                    LedgerEvent::Settled(_) => point == Point::SettledOrder,
                    LedgerEvent::Supersede(_) => point == Point::Supersede,
                    _ => false,
                };
                found.then_some((None, Some(*agent)))
            }
            Self::WorkerCall { agent, call, .. } => {
                let found = match call {
                    LedgerAction::Start(_) => point == Point::StartCall,
                    LedgerAction::Checkpoint { .. } => point == Point::CheckpointCall,
                    _ => false,
                };
                found.then_some((None, Some(*agent)))
            }
            Self::ToEntry { entry, event: PlannerEvent::Report { agent, report }, .. } => {
                let found = match report.state {
                    TaskState::Running => point == Point::RunningReport,
                    TaskState::Evicted => point == Point::EvictedReport,
                    TaskState::Done => point == Point::DoneReport,
                    _ => false,
                };
                let agent = agent.rsplit('-').next().and_then(|at| at.parse().ok());
                found.then_some((Some(*entry), agent))
            }
            _ => None,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum Caller {
    Lease,
    Commit(usize),
    Read(usize),
}

/// A step of the protocol, known by what is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Point {
    SubmitCommit,
    AssignCommit,
    StartOrder,
    StartCall,
    RunningReport,
    EvictOrder,
    CheckpointCall,
    EvictedReport,
    CancelCommit,
    StopOrder,
    DoneReport,
    DoneCommit,
    SettledOrder,
    Supersede,
}

/// A step, and the fault that strikes the entry and agent concerned.
pub type Trap = (Point, fn(usize, usize) -> Fault);
