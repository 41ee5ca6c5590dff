use bytes::Bytes;
use geraniumpost_schema::{AnswerHead, AskVerdict};

/// Event of a link for an attempt that was sent over it.
#[derive(Debug)]
pub enum LinkEvent {
    /// Final answer of the agent, with its body.
    Answer(AnswerHead, Bytes),
    /// Answer to a query about the attempt.
    Verdict(AskVerdict),
    /// The link has ended; it is unknown whether the attempt was received.
    Lost,
    /// The agent does not answer pings over the link.
    Unresponsive,
}
