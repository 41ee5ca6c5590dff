use std::sync::Arc;
use std::time::Duration;

use geraniumpost_core::ResultCode;
use geraniumpost_core::requests::{AgentView, RequestKind, RoutingQuery, ServiceView, Snapshot};
use geraniumpost_outside::StoreError;
use geraniumpost_schema::{KeyedInOutage, Name};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::claims::{Claim, home};
use super::{EntryContext, Incoming};
use crate::decision;

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub struct Target {
    /// The agent.
    pub agent: Arc<AgentView>,
    /// The incarnation that must get it.
    pub incarnation: u64,
    /// The key that the agent is told, empty without one.
    ///
    /// It holds the revision of the claim. An agent that refuses a key bars it for good, so that
    /// the claim may be moved; under the moved claim's revision the same agent may run it again.
    /// Otherwise a key that every agent refused once for want of room could never run.
    pub key: Name,
    /// Whether an earlier request with the same key may have run there.
    pub repeat: bool,
}

/// Why an attempt goes nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTarget {
    /// No agent takes it.
    NoAgent,
    /// The agent that may have run it is gone.
    HolderGone,
    /// The request ends here with this result: it has not run.
    Refused(ResultCode),
}

/// Chooses where attempts of one request go, and keeps what it must know for that.
#[derive(Debug, Default)]
pub struct Route {
    tried: Vec<Name>,
    claim: Option<Claim>,
}

impl Route {
    /// Chooses the target of the next attempt and logs why.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn next(
        &mut self,
        cx: &EntryContext,
        req: &Incoming,
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
        // An agent that a standing claim led to was not chosen, and has barred the claim's revision
        // alone: it may be chosen next.
        if !target.repeat {
            self.tried.push(target.agent.name().clone());
        }
        Ok(target)
    }

    fn choose(
        &self,
        cx: &EntryContext,
        req: &Incoming,
        attempt: u32,
    ) -> Result<Arc<AgentView>, NoTarget> {
        let snapshot = cx.snapshot.load();
        let service = snapshot.service(&req.service_name).ok_or(NoTarget::NoAgent)?;
        let harmless = req.kind == RequestKind::Idempotent;
        let ask = RoutingQuery::new(cx.clock.now()).tried(&self.tried).retryable(harmless);
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let chosen = cx.router.choose(service, &ask, &mut rng);
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

    /// Claims the key for the chosen agent, or follows the claim that stands.
    async fn keyed(
        &mut self,
        cx: &EntryContext,
        req: &Incoming,
        attempt: u32,
    ) -> Result<Target, NoTarget> {
        let agent = self.choose(cx, req, attempt)?;
        let remember = cx.config.active().load().document().policy.claim_ttl_s;
        let remember = Duration::from_secs(remember);
        let claims = cx.claims();
        let claim = match &self.claim {
            None => claims.claim(&req.key, &agent, remember).await,
            Some(held) => claims.shift(&req.key, held, &agent, remember).await,
        };
        match claim {
            Ok(claim) => self.follow(cx, req, claim),
            Err(error) => Self::without_store(cx, req, &error),
        }
    }

    fn follow(
        &mut self,
        cx: &EntryContext,
        req: &Incoming,
        claim: Claim,
    ) -> Result<Target, NoTarget> {
        let snapshot = cx.snapshot.load();
        let agent = snapshot.agent(&claim.agent).cloned();
        let (incarnation, repeat) = (claim.incarnation, !claim.own);
        let key = Name::from(format!("{}@{}", req.key, claim.revision));
        self.claim = Some(claim);
        let agent = agent.ok_or(NoTarget::HolderGone)?;
        Ok(Target { agent, incarnation, key, repeat })
    }

    /// The store is down: the service decides whether keyed requests wait for it or rely on one
    /// agent's memory.
    fn without_store(
        cx: &EntryContext,
        req: &Incoming,
        error: &StoreError,
    ) -> Result<Target, NoTarget> {
        spdlog::warn!("request {}: no claim: {error}", req.id);
        if req.service.keyed_in_outage == KeyedInOutage::Refuse {
            return Err(NoTarget::Refused(ResultCode::StoreDown));
        }
        let snapshot = cx.snapshot.load();
        let agent = home(routable(&snapshot, &req.service_name), &req.key);
        let agent = Arc::clone(agent.ok_or(NoTarget::NoAgent)?);
        let key = req.key.clone();
        Ok(Target { incarnation: agent.incarnation(), agent, key, repeat: false })
    }
}

fn routable<'a>(snapshot: &'a Snapshot, service: &str) -> impl Iterator<Item = &'a Arc<AgentView>> {
    let agents = snapshot.service(service).map(ServiceView::agents).unwrap_or_default();
    agents.iter().filter(|agent| agent.is_routable())
}
