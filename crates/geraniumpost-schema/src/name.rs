use std::sync::Arc;

use derive_more::{AsRef, Deref, Display};
use serde::{Deserialize, Serialize};

/// An immutable, reference-counted name. Cloning it does not allocate, so that requests can carry
/// names cheaply.
///
/// # Example
///
/// ```
/// use geraniumpost_schema::Name;
/// let name = Name::from("miraflores");
/// assert_eq!(&*name.clone(), "miraflores");
/// ```
#[derive(
    Debug,
    Display,
    Clone,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Deref,
    AsRef,
)]
#[serde(transparent)]
pub struct Name(
    #[deref(forward)]
    #[as_ref(forward)]
    Arc<str>,
);

impl Name {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for Name {
    fn default() -> Self {
        Self(Arc::from(""))
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl std::str::FromStr for Name {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self::from(text))
    }
}

impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}
