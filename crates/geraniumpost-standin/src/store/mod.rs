//! Stand-in of the platform's key-value service: compare-and-swap, leases and watches over HTTP.
//!
//! | call | responses |
//! | --- | --- |
//! | `GET /v1/kv/{key}` | 200 with `ETag`, 404 |
//! | `PUT /v1/kv/{key}` with `If-Match` or `If-None-Match: *`, optionally `X-Lease` | 200 with `ETag`, 412 with the current one, 410 if the lease does not exist, 413 |
//! | `DELETE /v1/kv/{key}` with `If-Match` | 204, 404, 412 |
//! | `POST /v1/leases?ttl_ms=` | 201 with the lease's id |
//! | `PUT /v1/leases/{id}`, `DELETE /v1/leases/{id}` | 204, 404 |
//! | `GET /v1/watch/{key}?after=&wait_ms=` | 200 or 404 with the `ETag` of a change after `after`, else 304 |
//!
//! All keys share one sequence of revisions. There is no call to list keys.

mod call;
mod counts;
mod entry;
mod expect;
mod faults;
mod limiter;
mod serve;
mod service;
mod shared;
mod state;
mod write_result;

pub use call::Call;
pub use counts::StoreCounts;
pub use entry::Entry;
pub use expect::Expect;
pub use faults::StoreFaults;
pub use serve::spawn_in_process;
pub use state::StoreState;
pub use write_result::WriteResult;

/// Limit on the length of a value.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
