//! Decisions on requests: who runs one, in which order, what becomes of it when something fails.
//!
//! An entry keeps a [`Membership`] of agents fed by heartbeats, publishes a [`Snapshot`] of it and
//! routes each request with a [`Router`]. An agent records every attempt in an [`AttemptLedger`]
//! and gives its minion's slots out through a [`FairQueue`]. The reasons are in
//! `docs/design/0101-routing.md` and the notes after it.

mod admission;
mod agent_gauge;
mod agent_view;
mod ask_reply;
mod attempt_ledger;
mod attempt_record;
mod baseline_router;
mod choice;
mod considered;
mod ejection_change;
mod ejection_limits;
mod ejector;
mod fair_queue;
mod flow;
mod heard;
mod in_flight;
mod key_index;
mod ledger_limits;
mod member;
mod membership;
mod membership_limits;
mod no_agent;
mod place;
mod queue_action;
mod queue_limits;
mod refusal;
mod route_ask;
mod router;
mod router_tuning;
mod sequence_floors;
mod service_times;
mod service_view;
mod snapshot;
mod waiting;
mod why;

pub use admission::Admission;
pub use agent_gauge::AgentGauge;
pub use agent_view::AgentView;
pub use ask_reply::AskReply;
pub use attempt_ledger::AttemptLedger;
pub use baseline_router::BaselineRouter;
pub use choice::Choice;
pub use considered::Considered;
pub use ejection_change::EjectionChange;
pub use ejection_limits::EjectionLimits;
pub use ejector::Ejector;
pub use fair_queue::FairQueue;
pub use heard::Heard;
pub use in_flight::InFlight;
pub use ledger_limits::LedgerLimits;
pub use membership::Membership;
pub use membership_limits::MembershipLimits;
pub use no_agent::NoAgent;
pub use place::Place;
pub use queue_action::QueueAction;
pub use queue_limits::QueueLimits;
pub use refusal::Refusal;
pub use route_ask::RouteAsk;
pub use router::Router;
pub use router_tuning::RouterTuning;
pub use service_view::ServiceView;
pub use snapshot::Snapshot;
pub use waiting::Waiting;
pub use why::Why;
