//! Decisions on requests: which agent runs a request, in which order an agent runs its requests,
//! and when a failed attempt is retried.
//!
//! An entry keeps a [`Membership`] of agents, updated by heartbeats, publishes a [`Snapshot`] of
//! them, routes each request with a [`Router`] and handles failures with a [`RetryPolicy`]. An
//! agent records every attempt in an [`AttemptLedger`] and assigns the slots of its minion through
//! a [`FairQueue`]. The design is described in `docs/design/0101-routing.md` and the documents that
//! follow it.

mod admission;
mod agent_counters;
mod agent_view;
mod ask_reply;
mod attempt_event;
mod attempt_ledger;
mod attempt_record;
mod baseline_router;
mod candidate;
mod customer_limiter;
mod ejection_change;
mod ejection_limits;
mod ejector;
mod entry_limits;
mod expired_keys;
mod fair_queue;
mod flow;
mod in_flight_guard;
mod key_index;
mod key_status;
mod ledger_limits;
mod location;
mod member;
mod membership;
mod membership_change;
mod membership_limits;
mod next_step;
mod no_agent;
mod peer_load;
mod permit;
mod queue_action;
mod queue_limits;
mod queued_request;
mod refusal;
mod request_kind;
mod retry_budget;
mod retry_limits;
mod retry_policy;
mod router;
mod router_tuning;
mod routing_decision;
mod routing_query;
mod routing_reason;
mod sequence_floors;
mod service_times;
mod service_view;
mod slot_reserve;
mod smoothed_time;
mod snapshot;

pub use admission::Admission;
pub use agent_counters::AgentCounters;
pub use agent_view::AgentView;
pub use ask_reply::AskReply;
pub use attempt_event::AttemptEvent;
pub use attempt_ledger::AttemptLedger;
pub use baseline_router::BaselineRouter;
pub use candidate::Candidate;
pub use customer_limiter::CustomerLimiter;
pub use ejection_change::EjectionChange;
pub use ejection_limits::EjectionLimits;
pub use ejector::Ejector;
pub use entry_limits::EntryLimits;
pub use fair_queue::FairQueue;
pub use in_flight_guard::InFlightGuard;
pub use ledger_limits::LedgerLimits;
pub use location::Location;
pub use membership::Membership;
pub use membership_change::MembershipChange;
pub use membership_limits::MembershipLimits;
pub use next_step::NextStep;
pub use no_agent::NoAgent;
pub use peer_load::PeerLoad;
pub use permit::Permit;
pub use queue_action::QueueAction;
pub use queue_limits::QueueLimits;
pub use queued_request::QueuedRequest;
pub use refusal::Refusal;
pub use request_kind::RequestKind;
pub use retry_budget::RetryBudget;
pub use retry_limits::RetryLimits;
pub use retry_policy::RetryPolicy;
pub use router::Router;
pub use router_tuning::RouterTuning;
pub use routing_decision::RoutingDecision;
pub use routing_query::RoutingQuery;
pub use routing_reason::RoutingReason;
pub use service_view::ServiceView;
pub use snapshot::Snapshot;
