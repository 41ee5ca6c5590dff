use bytes::Bytes;
use geraniumpost_schema::{AnswerHead, AskVerdict};

/// What a request's task hears from the link that its attempt went over.
#[derive(Debug)]
pub enum LinkEvent {
    /// The agent's final word with the answer's body.
    Answer(AnswerHead, Bytes),
    /// Answer to a question.
    Verdict(AskVerdict),
    /// The link ended; whether the attempt arrived is unknown.
    Lost,
    /// The link does not answer pings.
    Silent,
}
