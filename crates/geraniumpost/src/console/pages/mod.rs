//! Pure functions that render the pages of the console.

mod edit;
mod fields;
mod home;
mod jobs;
mod layout;
mod login;
mod section;

pub(super) use edit::{EditView, edit, policy};
pub(super) use home::home;
pub(super) use jobs::{job, jobs};
pub(super) use layout::{Layout, failure};
pub(super) use login::login;
pub(super) use section::{Section, overview, section};
