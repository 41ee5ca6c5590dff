//! Stand-in of a worker's task interface, with HTTP and JSON.
//!
//! | call | responses |
//! | --- | --- |
//! | `PUT /v1/tasks/{id}` with a [`StartOrder`] | 201, 200 if that epoch was started before, 409 while another epoch runs, 400 |
//! | `GET /v1/tasks` | 200 with a list of [`TaskView`] |
//! | `POST /v1/tasks/{id}/renew?lease_ms=` | 204, 404, 409 if it has ended |
//! | `POST /v1/tasks/{id}/checkpoint` | 200 with the checkpoint's name, 404, 409 |
//! | `POST /v1/tasks/{id}/throttle?permille=` | 204, 404, 409 |
//! | `POST /v1/tasks/{id}/stop` | 204 also if it has ended, 404 |
//! | `DELETE /v1/tasks/{id}` | 204, 404, 409 while it runs |
//!
//! The worker ends a task when its lease expires. The command of a task is a [`Command`].

mod command;
mod event;
mod faults;
mod options;
mod order;
mod resources;
mod serve;
mod service;
mod shared;
mod state;
mod task;
mod task_state;
mod view;

pub use command::Command;
pub use event::{WorkerEvent, WorkerEventKind};
pub use faults::WorkerFaults;
pub use options::WorkerOptions;
pub use order::StartOrder;
pub use resources::Resources;
pub use serve::spawn_in_process;
pub use state::{Refusal, StartResult, WorkerState};
pub use task_state::TaskState;
pub use view::TaskView;
