//! The rate-limited store of model weights over HTTP. Engines load from it; this system only keeps
//! its orders under the store's rate.

use std::time::Duration;

use http_types::Method;
use serde::Deserialize;

use crate::{error::NodeError, http};

const CALL_LIMIT: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct RateBody {
    loads_per_second: f64,
}

/// Loads that the store serves in a second, over all engines.
pub async fn load_rate(address: &str) -> Result<f64, NodeError> {
    let mut response = http::send(address, Method::Get, "/rate", None, CALL_LIMIT).await?;
    let body: RateBody = response.body_json().await?;
    Ok(body.loads_per_second.max(0.0))
}
