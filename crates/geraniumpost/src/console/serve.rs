use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::timeout;

use super::{
    ApiCode, ApiError, Call, ConsoleContext, JobCall, Reply, Route, api, api_jobs, identity,
    page_handlers,
};
use crate::open_connections::OpenConnections;

/// Maximum size of the body of a call, in bytes. The document is the largest body.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Timeout for the head and for the body of a call.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of open connections. Further connections wait in the listener's queue, so that
/// the console leaves resources to callers' requests.
const MAX_CONNECTIONS: usize = 256;
/// Time for which a stop waits until the calls in flight have finished.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to answer the calls that are still in flight after [`STOP_TIMEOUT`].
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a connection without any call is kept open at a stop.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Server of the operators' API and the console.
#[derive(Debug, Clone)]
pub struct Console {
    context: Arc<ConsoleContext>,
}

impl Console {
    /// Creates the console of an entry.
    pub fn new(context: ConsoleContext) -> Self {
        Self { context: Arc::new(context) }
    }

    /// Serves until `stop` completes, then finishes the calls in flight. Calls that are still in
    /// flight after 10 s are answered with [`ApiCode::Unknown`].
    pub async fn serve(self, listener: TcpListener, stop: impl Future<Output = ()>) {
        let connections = OpenConnections::new(FIRST_CALL_TIMEOUT);
        let response_due = watch::Sender::new(false);
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let mut stop = pin!(stop);
        loop {
            let accepted = tokio::select! {
                accepted = accept(&listener, &permits) => accepted,
                () = &mut stop => break,
            };
            if let Some((stream, permit)) = accepted {
                self.spawn(stream, permit, &connections, response_due.subscribe());
            }
        }
        drop(listener);
        if timeout(STOP_TIMEOUT, connections.finish()).await.is_err() {
            spdlog::warn!("console: calls in flight exceed the stop timeout; answering them");
            response_due.send_replace(true);
            if timeout(FINAL_RESPONSE_TIMEOUT, connections.finish()).await.is_err() {
                spdlog::warn!("console: stopping with open connections");
            }
        }
    }

    /// Handles a call and returns the answer.
    pub async fn answer(&self, call: &Call) -> Reply {
        let route = match Route::find(&call.method, &call.path) {
            Ok(Route::Page(parts)) => {
                return page_handlers::page(call, &parts, &self.context).await;
            }
            Ok(Route::Post(parts)) => {
                return page_handlers::post(call, &parts, &self.context).await;
            }
            Ok(Route::Metrics) => return self.metrics(),
            Ok(route) => route,
            Err(error) => return error.into(),
        };
        match self.api(call, route).await {
            Ok(value) => Reply::json(200, &value),
            Err(error) => error.into(),
        }
    }

    async fn api(&self, call: &Call, route: Route) -> Result<serde_json::Value, ApiError> {
        let context = &*self.context;
        let operator = authenticate_api(call, context)?;
        let job_call = match route {
            Route::Status => return Ok(api::status(context)),
            Route::GetConfig => return api::get_config(context),
            Route::PutConfig => return api::put_config(call, operator, context).await,
            Route::CheckConfig => return api::check_config(call),
            Route::InForce => return Ok(api::in_force(context)),
            Route::Jobs => JobCall::List,
            Route::Job(id) => JobCall::Status { id },
            Route::CancelJob(id) => JobCall::Cancel { id },
            Route::ExplainJob(id) => JobCall::Explain { id },
            Route::SubmitJob(id) => api_jobs::submission(id, &call.body, context)?,
            Route::Metrics | Route::Page(_) | Route::Post(_) => {
                return Err(ApiCode::NotFound.into());
            }
        };
        api_jobs::call_planner(job_call, call, operator, context).await
    }

    /// Returns the metrics. They need no token, because monitoring systems have none; they contain
    /// names of customers but no secrets.
    fn metrics(&self) -> Reply {
        match self.context.metrics.render() {
            Ok(text) => Reply::text(200, text),
            Err(error) => Reply::text(500, error.to_string()),
        }
    }

    fn spawn(
        &self,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        connections: &OpenConnections,
        response_due: watch::Receiver<bool>,
    ) {
        let open_connection = connections.begin();
        let (console, requested) = (self.clone(), open_connection.requested());
        let service = service_fn(move |req| {
            requested.notify_one();
            let (console, response_due) = (console.clone(), response_due.clone());
            async move { console.http(req, response_due).await }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = open_connection.serve(connection).await {
                spdlog::debug!("console connection failed: {error}");
            }
            drop(permit);
        });
    }

    async fn http(
        &self,
        req: Request<Incoming>,
        mut response_due: watch::Receiver<bool>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (parts, body) = req.into_parts();
        let answered = async {
            match read_body(body).await {
                Ok(body) => self.answer(&Call::from_parts(&parts, body)).await,
                Err(error) => error.into(),
            }
        };
        let reply = tokio::select! {
            reply = answered => reply,
            // An error means that the console has stopped serving.
            _ = response_due.wait_for(|due| *due) => {
                let error = ApiError::from(ApiCode::Unknown)
                    .message("The entry is shutting down; it is unknown whether the call took effect.")
                    .advice("Repeat the call at another entry, with the same X-Change-Id if it is a change.");
                error.into()
            }
        };
        Ok(reply.into_response())
    }
}

/// Accepts a connection when fewer than [`MAX_CONNECTIONS`] are open.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(error) => {
            // Usually a lack of file descriptors. The delay prevents a busy loop.
            spdlog::warn!("console: cannot accept a connection: {error}");
            tokio::time::sleep(Duration::from_millis(100)).await;
            None
        }
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, ApiError> {
    let collected = timeout(READ_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    let timed_out =
        |_| ApiError::from(ApiCode::Malformed).message("The body did not arrive within 10 s.");
    match collected.map_err(timed_out)? {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ApiCode::BodyTooLarge.into())
        }
        Err(error) => Err(ApiError::from(ApiCode::Malformed).message(error.to_string())),
    }
}

/// Returns the operator who makes an API call. Calls that change something need a bearer token,
/// because browsers send the cookie automatically, also for requests of other sites.
fn authenticate_api(
    call: &Call,
    context: &ConsoleContext,
) -> Result<geraniumpost_schema::Name, ApiError> {
    if call.bearer.is_empty() && call.method != http::Method::GET {
        return Err(ApiCode::NotAnOperator.into());
    }
    identity::authenticate(call, context)
}
