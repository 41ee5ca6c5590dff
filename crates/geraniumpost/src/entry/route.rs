use std::sync::Arc;
use std::time::Duration;

use geraniumpost_core::ResultCode;
use geraniumpost_core::requests::{AgentView, RequestKind, RoutingQuery, ServiceView, Snapshot};
use geraniumpost_outside::StoreError;
use geraniumpost_schema::{KeyedInOutage, Name};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::claims::{Claim, fallback_agent};
use super::{CallerRequest, EntryContext};
use crate::decision;

/// Target of an attempt.
#[derive(Debug, Clone)]
pub struct Target {
    /// The agent.
    pub agent: Arc<AgentView>,
    /// The incarnation of the agent to which the attempt must be sent.
    pub incarnation: u64,
    /// The key that is sent to the agent, empty for a request without a key.
    ///
    /// It contains the revision of the claim. An agent that refuses a key bars it permanently, so
    /// that the claim can be moved to another agent. Under the revision of a moved claim the same
    /// agent may run the request. Otherwise a key that every agent has refused once for lack of
    /// capacity could never run.
    pub key: Name,
    /// Whether an earlier request with the same key may have run there.
    pub repeat: bool,
}

/// Why there is no target for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTarget {
    /// No agent is available.
    NoAgent,
    /// The agent that holds the claim, and may have run the request, is no longer known.
    ClaimantGone,
    /// The request is refused with this result; it has not run.
    Refused(ResultCode),
}

/// Chooses the targets of the attempts of one request.
#[derive(Debug, Default)]
pub struct Route {
    tried: Vec<Name>,
    claim: Option<Claim>,
}

impl Route {
    /// Chooses the target of the next attempt and logs the decision.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no target.
    pub async fn next(
        &mut self,
        cx: &EntryContext,
        req: &CallerRequest,
        attempt: u32,
    ) -> Result<Target, NoTarget> {
        let target = match req.kind {
            RequestKind::Keyed => self.keyed(cx, req, attempt).await?,
            RequestKind::Idempotent | RequestKind::Once => {
                let agent = self.choose(cx, req, attempt)?;
                let key = Name::default();
                Target { incarnation: agent.incarnation(), agent, key, repeat: false }
            }
        };
        // The agent of an existing claim was not chosen by the router, and has barred only the
        // claim's revision. It may therefore be chosen for the next attempt.
        if !target.repeat {
            self.tried.push(target.agent.name().clone());
        }
        Ok(target)
    }

    fn choose(
        &self,
        cx: &EntryContext,
        req: &CallerRequest,
        attempt: u32,
    ) -> Result<Arc<AgentView>, NoTarget> {
        let snapshot = cx.snapshot.load();
        let service = snapshot.service(&req.service_name).ok_or(NoTarget::NoAgent)?;
        let idempotent = req.kind == RequestKind::Idempotent;
        let config = cx.config.active().load();
        let query = RoutingQuery::new(cx.clock.now())
            .tried(&self.tried)
            .evacuated_domains(config.evacuated_domains())
            .retryable(idempotent);
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let chosen = cx.router.choose(service, &query, &mut rng);
        match &chosen {
            Ok(choice) => decision!(
                "route",
                request = req.id,
                customer = req.caller.name,
                service = req.service_name,
                attempt = attempt; choice
            ),
            Err(why) => decision!(
                "route",
                request = req.id,
                customer = req.caller.name,
                service = req.service_name,
                attempt = attempt,
                none = why
            ),
        }
        chosen.map(|choice| Arc::clone(choice.agent())).map_err(|_| NoTarget::NoAgent)
    }

    /// Claims the key for the chosen agent, or uses the agent of the existing claim.
    async fn keyed(
        &mut self,
        cx: &EntryContext,
        req: &CallerRequest,
        attempt: u32,
    ) -> Result<Target, NoTarget> {
        let agent = self.choose(cx, req, attempt)?;
        let ttl_s = cx.config.active().load().document().policy.claim_ttl_s;
        let ttl = Duration::from_secs(ttl_s);
        let claims = cx.claims();
        let claim = match &self.claim {
            None => claims.claim(&req.key, &agent, ttl).await,
            Some(current) => claims.move_claim(&req.key, current, &agent, ttl).await,
        };
        match claim {
            Ok(claim) => self.target_of(cx, req, claim),
            Err(error) => Self::without_store(cx, req, &error),
        }
    }

    fn target_of(
        &mut self,
        cx: &EntryContext,
        req: &CallerRequest,
        claim: Claim,
    ) -> Result<Target, NoTarget> {
        let snapshot = cx.snapshot.load();
        let agent = snapshot.agent(&claim.agent).cloned();
        let (incarnation, repeat) = (claim.incarnation, !claim.own);
        let key = Name::from(format!("{}@{}", req.key, claim.revision));
        self.claim = Some(claim);
        let agent = agent.ok_or(NoTarget::ClaimantGone)?;
        Ok(Target { agent, incarnation, key, repeat })
    }

    /// Returns the target of a keyed request while the store is unavailable. The service's
    /// configuration decides whether such requests are refused or sent to a fixed agent, which
    /// detects repeats as long as it runs.
    fn without_store(
        cx: &EntryContext,
        req: &CallerRequest,
        error: &StoreError,
    ) -> Result<Target, NoTarget> {
        spdlog::warn!("request {}: cannot claim its key: {error}", req.id);
        if req.service.keyed_in_outage == KeyedInOutage::Refuse {
            return Err(NoTarget::Refused(ResultCode::StoreDown));
        }
        let snapshot = cx.snapshot.load();
        let config = cx.config.active().load();
        let agents = routable(&snapshot, &req.service_name, config.evacuated_domains());
        let agent = fallback_agent(agents, &req.key);
        let agent = Arc::clone(agent.ok_or(NoTarget::NoAgent)?);
        let key = req.key.clone();
        Ok(Target { incarnation: agent.incarnation(), agent, key, repeat: false })
    }
}

fn routable<'a>(
    snapshot: &'a Snapshot,
    service: &str,
    evacuated_domains: &[Name],
) -> impl Iterator<Item = &'a Arc<AgentView>> {
    let agents = snapshot.service(service).map(ServiceView::agents).unwrap_or_default();
    agents.iter().filter(|agent| {
        agent.is_routable() && !evacuated_domains.contains(agent.location().domain())
    })
}
