//! Plain services over HTTP.

use std::{sync::Arc, time::Duration};

use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Response, Url};
use parsley_core::call::{CallAnswer, ServiceAnswer};

use crate::{error::NodeError, http::with_timeout};

/// Time within which a service accepts a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Largest answer that is passed on, in bytes.
const ANSWER_BYTES: u64 = 16 << 20;

/// A call as a service receives it.
#[derive(Clone)]
pub struct ServiceOrder {
    /// Path under the service's root.
    pub path: Arc<str>,
    /// Idempotency key, if the caller gave one.
    pub key: Option<Arc<str>>,
    /// Content type.
    pub content_type: Arc<str>,
    /// Body.
    pub body: Arc<[u8]>,
}

/// Sends a call once, on a new connection to the first address that accepts one.
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
    answer(response).await
}

async fn answer(response: Response) -> Result<CallAnswer, NodeError> {
    let status = u16::from(response.status());
    let content_type = response.header("content-type").map(|values| values.as_str());
    let content_type = content_type.unwrap_or("application/octet-stream").into();
    let length = response.len();
    let mut body = Vec::new();
    response.take(ANSWER_BYTES + 1).read_to_end(&mut body).await?;
    if body.len() as u64 > ANSWER_BYTES || length.is_some_and(|length| length != body.len()) {
        return Err(NodeError::Protocol("the service's answer is cut off or too large"));
    }
    Ok(CallAnswer { status, content_type, body: Some(body) })
}
