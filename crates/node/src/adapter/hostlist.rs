//! The platform's lagging list of live and leaving hosts over HTTP.

use std::{sync::Arc, time::Duration};

use http_types::Method;
use serde::Deserialize;

use crate::{error::NodeError, http};

const CALL_LIMIT: Duration = Duration::from_secs(1);

/// A host in the list.
#[derive(Debug, Deserialize)]
pub struct ListedHost {
    /// Name of the host or backend server.
    pub name: Arc<str>,
    /// Address for peers, for hosts of the system.
    #[serde(default)]
    pub peer_address: Option<Arc<str>>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Reads the list.
pub async fn hosts(address: &str) -> Result<Vec<ListedHost>, NodeError> {
    let mut response = http::send(address, Method::Get, "/hosts", None, CALL_LIMIT).await?;
    Ok(response.body_json().await?)
}

/// Reads only the hosts and backend servers that are leaving.
pub async fn leaving(address: &str) -> Result<Vec<ListedHost>, NodeError> {
    let path = "/hosts?leaving=true";
    let mut response = http::send(address, Method::Get, path, None, CALL_LIMIT).await?;
    let listed: Vec<ListedHost> = response.body_json().await?;
    // A list that does not know the filter answers with everything.
    Ok(listed.into_iter().filter(|host| host.leaving).collect())
}
