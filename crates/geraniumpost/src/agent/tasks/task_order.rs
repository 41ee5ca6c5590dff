use geraniumpost_net::LinkSender;
use geraniumpost_schema::{ToAgent, ToEntry};

/// Order of a planner and the link over which it was received.
#[derive(Debug, Clone)]
pub struct TaskOrder {
    /// The order.
    pub message: ToAgent,
    /// Link over which reports can be sent.
    pub link: LinkSender<ToEntry>,
}
