//! HTTP/1.1 client with a limited number of connections, whose errors tell whether a request was
//! sent.

mod client;
mod connection;
mod full_response;
mod incoming_response;
mod read_response;
mod send_error;

pub use client::Client;
pub use full_response::FullResponse;
pub use incoming_response::IncomingResponse;
pub use send_error::SendError;
