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

/// Connections kept to the worker.
const CONNECTIONS: usize = 8;
/// Largest list of tasks read.
const MAX_LIST: usize = 16 << 20;
/// Time for a call unless [`Worker::timeout`] sets another.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of a worker's task interface, cheap to clone.
#[derive(Debug, Clone)]
pub struct Worker {
    client: Arc<Client>,
    timeout: Duration,
}

/// A start as the interface expects it.
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

/// A task as the interface lists it.
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

/// A task's state as the interface names it.
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
    /// Creates a client of the interface at `address`; connections are opened when needed.
    pub fn new(address: SocketAddr) -> Self {
        let client = Arc::new(Client::new(address, CONNECTIONS, MAX_LIST));
        Self { client, timeout: TIMEOUT }
    }

    /// Sets the time for a call, after which it fails as [`WorkerError::Uncertain`].
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Starts a run; repeating it with the same epoch does nothing.
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
        let exchange = self.call(Request::put(task_path(id)), body.into()).await?;
        match exchange.status {
            StatusCode::CREATED => Ok(Started::New),
            StatusCode::OK => Ok(Started::AlreadyStarted),
            _ => Err(failure(&exchange)),
        }
    }

    /// Lists all tasks that the worker has not been told to forget.
    pub async fn list(&self) -> Result<Vec<WorkerTask>, WorkerError> {
        let exchange = self.call(Request::get("/v1/tasks"), Bytes::new()).await?;
        if exchange.status != StatusCode::OK {
            return Err(failure(&exchange));
        }
        let tasks: Vec<ListedTask> = serde_json::from_slice(&exchange.body)
            .map_err(|e| WorkerError::Uncertain(format!("the list is not as expected: {e}")))?;
        Ok(tasks.into_iter().map(Into::into).collect())
    }

    /// Lets a running task's lease end `lease` from now.
    pub async fn renew(&self, id: &str, lease: Duration) -> Result<(), WorkerError> {
        let path = format!("{}/renew?lease_ms={}", task_path(id), lease.as_millis());
        self.plain(Request::post(path)).await
    }

    /// Saves a running task's progress and returns the checkpoint's name.
    pub async fn checkpoint(&self, id: &str) -> Result<Name, WorkerError> {
        let path = format!("{}/checkpoint", task_path(id));
        let exchange = self.call(Request::post(path), Bytes::new()).await?;
        if exchange.status != StatusCode::OK {
            return Err(failure(&exchange));
        }
        let name = std::str::from_utf8(&exchange.body);
        let name = name.map_err(|e| WorkerError::Uncertain(e.to_string()))?;
        Ok(Name::from(name))
    }

    /// Lets a running task work at `permille` thousandths of its speed.
    pub async fn throttle(&self, id: &str, permille: u32) -> Result<(), WorkerError> {
        self.plain(Request::post(format!("{}/throttle?permille={permille}", task_path(id)))).await
    }

    /// Stops a task; one that has already ended stays as it is.
    pub async fn stop(&self, id: &str) -> Result<(), WorkerError> {
        self.plain(Request::post(format!("{}/stop", task_path(id)))).await
    }

    /// Lets the worker forget a task that has ended.
    pub async fn forget(&self, id: &str) -> Result<(), WorkerError> {
        self.plain(Request::delete(task_path(id))).await
    }

    async fn plain(&self, req: Builder) -> Result<(), WorkerError> {
        let exchange = self.call(req, Bytes::new()).await?;
        if exchange.status.is_success() { Ok(()) } else { Err(failure(&exchange)) }
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

/// Judges a status that means failure; 5xx other than 503 may come after the call took effect.
fn failure(exchange: &FullResponse) -> WorkerError {
    let reason = || String::from_utf8_lossy(&exchange.body).into_owned();
    match exchange.status {
        StatusCode::NOT_FOUND => WorkerError::NoSuchTask,
        StatusCode::CONFLICT => WorkerError::WrongState,
        StatusCode::BAD_REQUEST => WorkerError::Rejected(reason()),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            WorkerError::Refused(exchange.status.to_string())
        }
        other => WorkerError::Uncertain(other.to_string()),
    }
}
