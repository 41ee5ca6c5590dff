//! HTTP code that all stand-ins share: a server with fault injection and a small client.

mod closed;
mod control;
mod down;
mod fetch;
mod reply;
mod reply_body;
mod request;
mod server;

pub use closed::Closed;
pub use control::{Pages, serve_control};
pub use down::Down;
pub use fetch::fetch;
pub use reply::{Reply, json, status, text};
pub use reply_body::ReplyBody;
pub use request::{body_of, header_of, query_of};
pub use server::{ConnectionCount, Server};
