use geraniumpost_batch::JobId;
use geraniumpost_schema::Name;
use http::{Method, Request, StatusCode};
use tokio::time::Instant;

/// Description of a caller's request in log lines.
#[derive(Debug)]
pub struct RequestLog {
    method: Method,
    job: Option<JobId>,
    queue: Option<Name>,
    received_at: Instant,
}

impl RequestLog {
    /// Describes a request that arrives now. The job's id is the last segment of the path.
    pub fn new<B>(req: &Request<B>) -> Self {
        let segment = req.uri().path().rsplit('/').next();
        Self {
            method: req.method().clone(),
            job: segment.and_then(|segment| segment.parse().ok()),
            queue: None,
            received_at: Instant::now(),
        }
    }

    /// Sets the queue to which the request is addressed.
    pub fn set_queue(&mut self, queue: Name) {
        self.queue = Some(queue);
    }

    /// Logs that the request was responded to without a response of the coordinator, and has no
    /// effect.
    pub fn refused(&self, status: StatusCode, why: &str) {
        let request = self.fields(status);
        spdlog::info!("decision=refuse {request} why=\"{why}\"");
    }

    /// Logs that `sent_copies` copies of the request were sent, that the coordinator did not
    /// respond, and that the request may have an effect.
    pub fn given_up(&self, status: StatusCode, sent_copies: u64) {
        let request = self.fields(status);
        spdlog::warn!(
            "decision=give_up {request} sent_copies={sent_copies} \
             why=\"coordinator did not respond\""
        );
    }

    fn fields(&self, status: StatusCode) -> String {
        let job = self.job.map_or_else(|| "none".to_owned(), |job| job.to_string());
        let queue = self.queue.as_ref().map_or("none", |queue| queue.as_ref());
        format!(
            "job={job} method={} queue={queue} status={} waited_ms={}",
            self.method,
            status.as_u16(),
            self.received_at.elapsed().as_millis()
        )
    }
}
