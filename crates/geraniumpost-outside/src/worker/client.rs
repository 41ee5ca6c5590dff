use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geraniumpost_schema::{Name, Resources, TaskState};
use http::request::Builder;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::{Started, TaskOrder, WorkerError, WorkerTask};
use crate::http::{Client, FullResponse, SendError};

/// Limit on connections to the worker.
const MAX_CONNECTIONS: usize = 8;
/// Limit on response bodies, of which the list of tasks is the largest.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Timeout of a call, unless [`Worker::timeout`] sets another.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of a worker's task interface, cheap to clone.
#[derive(Debug, Clone)]
pub struct Worker {
    client: Arc<Client>,
    timeout: Duration,
}

/// Body of a request to start a task.
#[derive(Debug, Serialize)]
struct StartBody<'a> {
    epoch: u64,
    lease_ms: u64,
    milli_cpus: u64,
    memory_mb: u64,
    accelerators: u32,
    command: &'a str,
    checkpoint: &'a str,
}

/// Item of the list of tasks.
#[derive(Debug, Deserialize)]
struct ListedTask {
    id: Name,
    epoch: u64,
    state: ListedState,
    usage: Resources,
    checkpoint: Name,
    result: String,
    lease_left_ms: u64,
}

/// State of a task in the list.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ListedState {
    Running,
    Done,
    Failed,
    Stopped,
    Lapsed,
}

impl Worker {
    /// Creates a client of the worker at `address`; connections are opened when needed.
    pub fn new(address: SocketAddr) -> Self {
        let client = Arc::new(Client::new(address, MAX_CONNECTIONS, MAX_RESPONSE_BYTES));
        Self { client, timeout: DEFAULT_TIMEOUT }
    }

    /// Sets the timeout of a call, after which it fails with [`WorkerError::Uncertain`].
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Starts a run. Repeating the call with the same epoch has no effect.
    pub async fn start(&self, id: &str, order: &TaskOrder) -> Result<Started, WorkerError> {
        let body = StartBody {
            epoch: order.epoch,
            lease_ms: order.lease.as_millis() as u64,
            milli_cpus: order.need.milli_cpus,
            memory_mb: order.need.memory_mb,
            accelerators: order.need.accelerators,
            command: &order.command,
            checkpoint: &order.checkpoint,
        };
        let body = serde_json::to_vec(&body).map_err(|e| WorkerError::Rejected(e.to_string()))?;
        let response = self.call(Request::put(task_path(id)), body.into()).await?;
        match response.status {
            StatusCode::CREATED => Ok(Started::New),
            StatusCode::OK => Ok(Started::AlreadyStarted),
            _ => Err(failure(&response)),
        }
    }

    /// Lists all tasks that were started and not yet removed with [`Self::forget`].
    pub async fn list(&self) -> Result<Vec<WorkerTask>, WorkerError> {
        let response = self.call(Request::get("/v1/tasks"), Bytes::new()).await?;
        if response.status != StatusCode::OK {
            return Err(failure(&response));
        }
        let tasks: Vec<ListedTask> = serde_json::from_slice(&response.body)
            .map_err(|e| WorkerError::Uncertain(format!("the list is not as expected: {e}")))?;
        Ok(tasks.into_iter().map(Into::into).collect())
    }

    /// Renews the lease of a running task, so that it expires after `lease`.
    pub async fn renew(&self, id: &str, lease: Duration) -> Result<(), WorkerError> {
        let path = format!("{}/renew?lease_ms={}", task_path(id), lease.as_millis());
        self.call_without_result(Request::post(path)).await
    }

    /// Saves the progress of a running task, and returns the name of the checkpoint.
    pub async fn checkpoint(&self, id: &str) -> Result<Name, WorkerError> {
        let path = format!("{}/checkpoint", task_path(id));
        let response = self.call(Request::post(path), Bytes::new()).await?;
        if response.status != StatusCode::OK {
            return Err(failure(&response));
        }
        let name = std::str::from_utf8(&response.body);
        let name = name.map_err(|e| WorkerError::Uncertain(e.to_string()))?;
        Ok(Name::from(name))
    }

    /// Limits a running task to `permille` thousandths of its speed.
    pub async fn throttle(&self, id: &str, permille: u32) -> Result<(), WorkerError> {
        self.call_without_result(Request::post(format!(
            "{}/throttle?permille={permille}",
            task_path(id)
        )))
        .await
    }

    /// Stops a task; has no effect on a task that has ended.
    pub async fn stop(&self, id: &str) -> Result<(), WorkerError> {
        self.call_without_result(Request::post(format!("{}/stop", task_path(id)))).await
    }

    /// Removes a task that has ended from the list of the worker.
    pub async fn forget(&self, id: &str) -> Result<(), WorkerError> {
        self.call_without_result(Request::delete(task_path(id))).await
    }

    async fn call_without_result(&self, req: Builder) -> Result<(), WorkerError> {
        let response = self.call(req, Bytes::new()).await?;
        if response.status.is_success() { Ok(()) } else { Err(failure(&response)) }
    }

    async fn call(&self, req: Builder, body: Bytes) -> Result<FullResponse, WorkerError> {
        let req = req.body(Full::new(body)).map_err(|e| SendError::NotSent(e.to_string()))?;
        Ok(self.client.exchange(req, self.timeout).await?)
    }
}

impl From<ListedTask> for WorkerTask {
    fn from(task: ListedTask) -> Self {
        Self {
            id: task.id,
            epoch: task.epoch,
            state: task.state.into(),
            usage: task.usage,
            checkpoint: task.checkpoint,
            result: task.result,
            lease_left: Duration::from_millis(task.lease_left_ms),
        }
    }
}

impl From<ListedState> for TaskState {
    fn from(state: ListedState) -> Self {
        match state {
            ListedState::Running => Self::Running,
            ListedState::Done => Self::Done,
            ListedState::Failed => Self::Failed,
            ListedState::Stopped => Self::Stopped,
            ListedState::Lapsed => Self::Lapsed,
        }
    }
}

fn task_path(id: &str) -> String {
    format!("/v1/tasks/{id}")
}

/// Translates the status of a failed call. A 5xx status other than 503 may have been sent after the
/// call took effect.
fn failure(response: &FullResponse) -> WorkerError {
    let reason = || String::from_utf8_lossy(&response.body).into_owned();
    match response.status {
        StatusCode::NOT_FOUND => WorkerError::NoSuchTask,
        StatusCode::CONFLICT => WorkerError::WrongState,
        StatusCode::BAD_REQUEST => WorkerError::Rejected(reason()),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            WorkerError::Refused(response.status.to_string())
        }
        other => WorkerError::Uncertain(other.to_string()),
    }
}
