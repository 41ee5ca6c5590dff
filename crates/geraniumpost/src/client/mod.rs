//! Client of the operators' API, used by the command line and by entries that forward calls.

mod api_client;
mod api_reply;

pub use api_client::{ApiClient, Unreachable};
pub use api_reply::ApiReply;
