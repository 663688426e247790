//! HTTP client for the platform's list of live and leaving hosts. The list lags behind the actual
//! state.

use std::{sync::Arc, time::Duration};

use http_types::Method;
use serde::Deserialize;

use crate::{error::NodeError, http};

/// Time within which the list answers.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// An entry of the list: a host of this system or a backend server.
#[derive(Debug, Deserialize)]
pub struct ListedHost {
    /// Name of the host or backend server.
    pub name: Arc<str>,
    /// Address for datagrams and connections of other hosts; `None` for backend servers.
    #[serde(default)]
    pub peer_address: Option<Arc<str>>,
    /// Whether the platform is about to remove it.
    #[serde(default)]
    pub leaving: bool,
}

/// Reads the complete list.
pub async fn hosts(address: &str) -> Result<Vec<ListedHost>, NodeError> {
    let response = http::send(address, Method::Get, "/hosts", None, CALL_LIMIT).await?;
    http::read_json(response, CALL_LIMIT).await
}

/// Reads the entries that are leaving.
pub async fn leaving(address: &str) -> Result<Vec<ListedHost>, NodeError> {
    let path = "/hosts?leaving=true";
    let response = http::send(address, Method::Get, path, None, CALL_LIMIT).await?;
    let listed: Vec<ListedHost> = http::read_json(response, CALL_LIMIT).await?;
    // A service that does not support the filter returns all entries.
    Ok(listed.into_iter().filter(|host| host.leaving).collect())
}
