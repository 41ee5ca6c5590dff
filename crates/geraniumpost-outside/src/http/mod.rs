//! HTTP/1.1 client with a bounded number of connections that tells sent from unsent requests.

mod begun;
mod client;
mod connection;
mod exchange;
mod send_error;
mod whole;

pub use begun::Begun;
pub use client::Client;
pub use exchange::Exchange;
pub use send_error::SendError;
