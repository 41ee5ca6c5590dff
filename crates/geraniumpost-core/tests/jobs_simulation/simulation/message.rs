//! Messages in transit between processes, and the protocol steps that they represent.

use geraniumpost_core::jobs::{LedgerAction, LedgerEvent, PlannerEvent};
use geraniumpost_schema::{Heartbeat, TaskState};

use crate::fault::Fault;
use crate::store::{StoreCall, StoreResponse};

/// A message or call that has been sent and has not arrived yet.
pub(super) enum Message {
    StoreCall { entry: usize, incarnation: u64, caller: StoreCaller, call: StoreCall },
    StoreResponse { entry: usize, incarnation: u64, caller: StoreCaller, response: StoreResponse },
    WorkerCall { agent: usize, incarnation: u64, sent_at: u64, call: LedgerAction },
    ToAgent { agent: usize, incarnation: u64, event: LedgerEvent },
    ToEntry { entry: usize, incarnation: u64, event: PlannerEvent },
    Heartbeat { entry: usize, agent: usize, heartbeat: Box<Heartbeat> },
}

impl Message {
    /// Returns the entry and the agent that take part in `step`, each `None` if the message does
    /// not name it. Returns `None` if the message does not belong to `step`.
    pub(super) fn participants_at(
        &self,
        step: ProtocolStep,
    ) -> Option<(Option<usize>, Option<usize>)> {
        match self {
            Self::StoreCall { entry, call: StoreCall::Put { key, value, .. }, .. } => {
                let state = match step {
                    ProtocolStep::SubmitCommit => "\"state\":\"p\"",
                    ProtocolStep::AssignCommit => "\"state\":\"a\"",
                    ProtocolStep::CancelCommit => "\"state\":\"w\"",
                    ProtocolStep::DoneCommit => "\"state\":\"d\"",
                    _ => return None,
                };
                let found = String::from_utf8_lossy(value).contains(state);
                (key.starts_with("jobs/") && found).then_some((Some(*entry), None))
            }
            Self::ToAgent { agent, event, .. } => {
                let found = match event {
                    LedgerEvent::Start(_) => step == ProtocolStep::StartOrder,
                    LedgerEvent::Evict(_) => step == ProtocolStep::EvictOrder,
                    LedgerEvent::Stop(_) => step == ProtocolStep::StopOrder,
                    LedgerEvent::Settled(_) => step == ProtocolStep::SettledOrder,
                    LedgerEvent::Supersede(_) => step == ProtocolStep::Supersede,
                    _ => false,
                };
                found.then_some((None, Some(*agent)))
            }
            Self::WorkerCall { agent, call, .. } => {
                let found = match call {
                    LedgerAction::Start(_) => step == ProtocolStep::StartCall,
                    LedgerAction::Checkpoint { .. } => step == ProtocolStep::CheckpointCall,
                    _ => false,
                };
                found.then_some((None, Some(*agent)))
            }
            Self::ToEntry { entry, event: PlannerEvent::Report { agent, report }, .. } => {
                let found = match report.state {
                    TaskState::Running => step == ProtocolStep::RunningReport,
                    TaskState::Evicted => step == ProtocolStep::EvictedReport,
                    TaskState::Done => step == ProtocolStep::DoneReport,
                    _ => false,
                };
                let agent = agent.rsplit('-').next().and_then(|index| index.parse().ok());
                found.then_some((Some(*entry), agent))
            }
            _ => None,
        }
    }
}

/// The part of an entry that made a store call.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum StoreCaller {
    Lease,
    Commit(usize),
    Read(usize),
}

/// A step of the protocol, identified by the message sent in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProtocolStep {
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

/// A protocol step, and a function that returns the fault for the entry and agent taking part in
/// it.
pub type FaultTrigger = (ProtocolStep, fn(usize, usize) -> Fault);
