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
    ApiCode, ApiError, Call, ConsoleContext, JobCall, Reply, Route, api, api_jobs, identity, posts,
};
use crate::open_connections::OpenConnections;

/// Largest body of a call; the document is the largest there is.
const MAX_BODY: usize = 1 << 20;
/// Time in which head and body of a call must arrive.
const READ_TIME: Duration = Duration::from_secs(10);
/// Connections at once; more wait, so that the console cannot crowd out requests.
const CONNECTIONS: usize = 256;
/// Time that a stop waits for calls under way.
const STOP_TIME: Duration = Duration::from_secs(10);
/// Time in which calls that outlast [`STOP_TIME`] are answered.
const LAST_RESPONSES: Duration = Duration::from_millis(500);
/// How long a connection without any call yet is kept at a stop.
const FIRST_CALL: Duration = Duration::from_millis(200);

/// The operators' API and the console.
#[derive(Debug, Clone)]
pub struct Console {
    context: Arc<ConsoleContext>,
}

impl Console {
    /// Creates the console of an entry.
    pub fn new(context: ConsoleContext) -> Self {
        Self { context: Arc::new(context) }
    }

    /// Serves until `stop` ends, then finishes the calls under way. Those that take longer than
    /// [`STOP_TIME`] are answered that their outcome is not known.
    pub async fn serve(self, listener: TcpListener, stop: impl Future<Output = ()>) {
        let connections = OpenConnections::new(FIRST_CALL);
        let response_due = watch::Sender::new(false);
        let turns = Arc::new(Semaphore::new(CONNECTIONS));
        let mut stop = pin!(stop);
        loop {
            let accepted = tokio::select! {
                accepted = accept(&listener, &turns) => accepted,
                () = &mut stop => break,
            };
            if let Some((stream, turn)) = accepted {
                self.spawn(stream, turn, &connections, response_due.subscribe());
            }
        }
        drop(listener);
        if timeout(STOP_TIME, connections.finish()).await.is_err() {
            spdlog::warn!("the console ends calls under way: its stop takes too long");
            response_due.send_replace(true);
            if timeout(LAST_RESPONSES, connections.finish()).await.is_err() {
                spdlog::warn!("the console stopped with open connections");
            }
        }
    }

    /// Answers one call given as plain data.
    pub async fn answer(&self, call: &Call) -> Reply {
        let route = match Route::find(&call.method, &call.path) {
            Ok(Route::Page(parts)) => return posts::page(call, &parts, &self.context).await,
            Ok(Route::Post(parts)) => return posts::post(call, &parts, &self.context).await,
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
        let operator = api_operator(call, context)?;
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
        api_jobs::ask(job_call, call, operator, context).await
    }

    /// Metrics are read by machines that hold no token; they name customers but no secrets.
    fn metrics(&self) -> Reply {
        match self.context.metrics.render() {
            Ok(text) => Reply::text(200, text),
            Err(error) => Reply::text(500, error.to_string()),
        }
    }

    fn spawn(
        &self,
        stream: TcpStream,
        turn: OwnedSemaphorePermit,
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
            .header_read_timeout(READ_TIME)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = open_connection.hold(connection).await {
                spdlog::debug!("console connection: {error}");
            }
            drop(turn);
        });
    }

    async fn http(
        &self,
        req: Request<Incoming>,
        mut response_due: watch::Receiver<bool>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (parts, body) = req.into_parts();
        let answered = async {
            match whole(body).await {
                Ok(body) => self.answer(&Call::from_parts(&parts, body)).await,
                Err(error) => error.into(),
            }
        };
        let reply = tokio::select! {
            reply = answered => reply,
            // An error means that the console no longer serves.
            _ = response_due.wait_for(|due| *due) => {
                let error = ApiError::from(ApiCode::Unknown)
                    .message("The entry is shutting down; whether it did as asked is not known.")
                    .advice("Repeat the call at another entry, a change with its X-Change-Id.");
                error.into()
            }
        };
        Ok(reply.into_response())
    }
}

/// Accepts a connection once there is room for it.
async fn accept(
    listener: &TcpListener,
    turns: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let turn = Arc::clone(turns).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, turn)),
        Err(error) => {
            // Out of descriptors, most often: going on at once would only spin.
            spdlog::warn!("console: {error}");
            tokio::time::sleep(Duration::from_millis(100)).await;
            None
        }
    }
}

async fn whole(body: Incoming) -> Result<Bytes, ApiError> {
    let collected = timeout(READ_TIME, Limited::new(body, MAX_BODY).collect()).await;
    let late = |_| ApiError::from(ApiCode::Malformed).message("The body did not arrive in time.");
    match collected.map_err(late)? {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ApiCode::BodyTooLarge.into())
        }
        Err(error) => Err(ApiError::from(ApiCode::Malformed).message(error.to_string())),
    }
}

/// The API takes no cookie for a change, because a browser sends that one along by itself.
fn api_operator(
    call: &Call,
    context: &ConsoleContext,
) -> Result<geraniumpost_schema::Name, ApiError> {
    if call.bearer.is_empty() && call.method != http::Method::GET {
        return Err(ApiCode::NotAnOperator.into());
    }
    identity::operator(call, context)
}
