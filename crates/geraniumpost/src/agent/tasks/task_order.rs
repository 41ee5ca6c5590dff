use geraniumpost_net::LinkSender;
use geraniumpost_schema::{ToAgent, ToEntry};

/// A planner's order with the link that it came over, which takes the reports.
#[derive(Debug, Clone)]
pub struct TaskOrder {
    /// The order.
    pub message: ToAgent,
    /// Where reports go.
    pub link: LinkSender<ToEntry>,
}
