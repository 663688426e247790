//! HTTP client for the rate-limited store of model weights. Engines load weights from it directly;
//! this system only reads the rate limit, to keep its load orders below it.

use std::time::Duration;

use http_types::Method;
use serde::Deserialize;

use crate::{error::NodeError, http};

/// Time within which the store answers.
const CALL_LIMIT: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct RateBody {
    loads_per_second: f64,
}

/// Reads the number of loads per second that the store can serve, over all engines. A negative
/// value is returned as zero.
pub async fn load_rate(address: &str) -> Result<f64, NodeError> {
    let response = http::send(address, Method::Get, "/rate", None, CALL_LIMIT).await?;
    let body: RateBody = http::read_json(response, CALL_LIMIT).await?;
    Ok(body.loads_per_second.max(0.0))
}
