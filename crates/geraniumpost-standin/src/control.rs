use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{Result, WrapErr, ensure};
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::fetch;

/// Client of the control listener of a stand-in, which may run in another process.
#[derive(Debug, Clone, Copy)]
pub struct Control {
    address: SocketAddr,
}

impl Control {
    /// Creates a client of the control listener at `address`.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Replaces the injected faults of the stand-in.
    pub async fn set_faults<F: Serialize + Sync>(&self, faults: &F) -> Result<()> {
        let body = serde_json::to_vec(faults)?;
        let (status, _) = fetch(self.address, Method::POST, "/fault", body.into()).await?;
        ensure!(status.is_success(), "the stand-in refused the faults: {status}");
        Ok(())
    }

    /// Reads a JSON page such as `counts` or `record`.
    pub async fn read<T: DeserializeOwned>(&self, page: &str) -> Result<T> {
        let path = format!("/{page}");
        let (status, body) = fetch(self.address, Method::GET, &path, Bytes::new()).await?;
        ensure!(status.is_success(), "no page {path}: {status}");
        serde_json::from_slice(&body).wrap_err_with(|| format!("page {path} is not as expected"))
    }

    /// Triggers an action of the stand-in, for example `cut`.
    pub async fn act(&self, action: &str) -> Result<()> {
        let path = format!("/{action}");
        let (status, _) = fetch(self.address, Method::POST, &path, Bytes::new()).await?;
        ensure!(status.is_success(), "the stand-in refused {path}: {status}");
        Ok(())
    }
}
