//! HTTP client for backend servers that run plain services.

use std::{sync::Arc, time::Duration};

use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Response, Url};
use parsley_core::call::{CallAnswer, ServiceAnswer};

use crate::{error::NodeError, http::with_timeout};

#[cfg(test)]
mod tests;

/// Time within which a TCP connection to a service must be established.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Largest answer body that is relayed, in bytes.
const ANSWER_BYTES: u64 = 16 << 20;

/// A call to be sent to a service.
#[derive(Clone)]
pub struct ServiceOrder {
    /// Path relative to the service's root, without a leading slash.
    pub path: Arc<str>,
    /// Value of the `idempotency-key` header; `None` sends no header.
    pub key: Option<Arc<str>>,
    /// Value of the `content-type` header.
    pub content_type: Arc<str>,
    /// Body of the HTTP request.
    pub body: Arc<[u8]>,
}

/// Sends a call at most once, on a new connection to the first address that accepts one. Returns
/// `NotSent` if no address does, and `NoAnswer` if the call may have been executed without a
/// complete answer arriving within `limit`.
pub async fn call(addresses: &[Arc<str>], order: &ServiceOrder, limit: Duration) -> ServiceAnswer {
    for address in addresses {
        let connect = async { TcpStream::connect(&**address).await.map_err(NodeError::Connect) };
        let Ok(stream) = with_timeout(CONNECT_LIMIT.min(limit), connect).await else { continue };
        return match with_timeout(limit, exchange(address, stream, order)).await {
            Ok(answer) => ServiceAnswer::Answered(answer),
            Err(_) => ServiceAnswer::NoAnswer,
        };
    }
    ServiceAnswer::NotSent
}

async fn exchange(
    address: &str,
    stream: TcpStream,
    order: &ServiceOrder,
) -> Result<CallAnswer, NodeError> {
    stream.set_nodelay(true)?;
    let url = Url::parse(&format!("http://{address}/{}", order.path))
        .map_err(|err| NodeError::Http(err.to_string().into()))?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(&*order.body);
    request.insert_header("content-type", &*order.content_type);
    if let Some(key) = &order.key {
        request.insert_header("idempotency-key", &**key);
    }
    let response = async_h1::connect(stream, request).await?;
    read_answer(response).await
}

async fn read_answer(response: Response) -> Result<CallAnswer, NodeError> {
    let status = u16::from(response.status());
    if !(200..600).contains(&status) {
        return Err(NodeError::Protocol("the service's status is not final"));
    }
    let content_type = response.header("content-type").map(|values| values.as_str());
    let content_type = content_type.unwrap_or("application/octet-stream").into();
    let declared = response.len();
    let mut body = Vec::new();
    response.take(ANSWER_BYTES + 1).read_to_end(&mut body).await?;
    if body.len() as u64 > ANSWER_BYTES || declared.is_some_and(|length| length != body.len()) {
        return Err(NodeError::Protocol("the service's answer is incomplete or too large"));
    }
    Ok(CallAnswer { status, content_type, body: Some(body) })
}
