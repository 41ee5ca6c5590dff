//! HTTP/1.1 client with a bounded number of connections that tells sent from unsent requests.

mod client;
mod connection;
mod exchange;
mod send_error;
mod whole;

pub(crate) use client::Client;
pub(crate) use exchange::Exchange;
pub(crate) use send_error::SendError;
