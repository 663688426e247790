//! HTTP client for the administration API of hosts.

use std::{io, path::Path, sync::Arc, time::Duration};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::FutureExt;
use futures_rustls::{
    TlsConnector,
    pki_types::{CertificateDer, ServerName, pem::PemObject},
    rustls::{ClientConfig, RootCertStore, crypto::ring},
};
use http_types::{Method, Request, Response, Url};
use serde_json::Value;

use crate::error::CtlError;

/// Limit on a response body; anything beyond it is cut off.
const MAX_RESPONSE_BYTES: u64 = 256 << 20;

/// Collects the connection settings of an [`AdminClient`].
pub struct AdminClientBuilder {
    servers: Vec<String>,
    token: Option<String>,
    connector: Option<TlsConnector>,
    timeout: Duration,
}

impl AdminClientBuilder {
    /// Starts with no servers, no token and plain HTTP. `timeout` limits each request from
    /// connecting to the end of the response body.
    pub fn new(timeout: Duration) -> AdminClientBuilder {
        AdminClientBuilder { servers: Vec::new(), token: None, connector: None, timeout }
    }

    /// Adds the `ip:port` address of a host. Hosts are tried in the order in which they were added.
    pub fn server(mut self, server: &str) -> AdminClientBuilder {
        self.servers.push(server.to_owned());
        self
    }

    /// Sets the bearer token that authenticates the operator.
    pub fn token(mut self, token: &str) -> AdminClientBuilder {
        self.token = Some(token.to_owned());
        self
    }

    /// Enables TLS and trusts only the root certificates in a PEM file.
    ///
    /// Fails with [`CtlError::ReadFile`] if the file cannot be read or contains no valid
    /// certificate.
    pub fn ca(mut self, path: &Path) -> Result<AdminClientBuilder, CtlError> {
        let invalid = |text: String| CtlError::ReadFile(path.to_owned(), io::Error::other(text));
        let certificates = CertificateDer::pem_file_iter(path)
            .and_then(Iterator::collect::<Result<Vec<_>, _>>)
            .map_err(|err| invalid(err.to_string()))?;
        let mut roots = RootCertStore::empty();
        let (added, _) = roots.add_parsable_certificates(certificates);
        if added == 0 {
            return Err(invalid("file contains no valid certificate".to_owned()));
        }
        let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|err| invalid(err.to_string()))?
            .with_root_certificates(roots)
            .with_no_client_auth();
        self.connector = Some(TlsConnector::from(Arc::new(config)));
        Ok(self)
    }

    /// Builds the client. Fails with [`CtlError::Usage`] if a server address is malformed.
    pub fn build(self) -> Result<AdminClient, CtlError> {
        let AdminClientBuilder { servers, token, connector, timeout } = self;
        let client = AdminClient { servers, token, connector, timeout };
        for server in &client.servers {
            client.url(server, "/")?;
        }
        Ok(client)
    }
}

/// Sends requests to the configured hosts, one connection per request.
pub struct AdminClient {
    servers: Vec<String>,
    token: Option<String>,
    connector: Option<TlsConnector>,
    timeout: Duration,
}

/// A request to the administration API.
pub struct ApiRequest<'a> {
    /// HTTP method. Only GET requests fail over to another host.
    pub method: Method,
    /// Absolute path, with the query if there is one.
    pub path: &'a str,
    /// Headers besides those that the client sets itself.
    pub headers: Vec<(&'a str, String)>,
    /// JSON text of the body, if any.
    pub body: Option<String>,
    /// Time added to the client's timeout because the host may hold the request (long polling).
    pub server_wait: Duration,
}

impl<'a> ApiRequest<'a> {
    /// Creates a request without extra headers, body or server wait.
    pub fn new(method: Method, path: &'a str) -> ApiRequest<'a> {
        ApiRequest { method, path, headers: Vec::new(), body: None, server_wait: Duration::ZERO }
    }
}

impl AdminClient {
    /// Sends a GET request for a path; see [`AdminClient::send`].
    pub fn get(&self, path: &str) -> Result<Value, CtlError> {
        self.send(&ApiRequest::new(Method::Get, path))
    }

    /// Sends a request to the configured hosts in order until one responds.
    ///
    /// Only GET requests are retried on another host. Fails with [`CtlError::Unreachable`] if no
    /// host responded, and with [`CtlError::Refused`] on a status of 300 or above.
    pub fn send(&self, request: &ApiRequest) -> Result<Value, CtlError> {
        let mut last_error = String::new();
        for server in &self.servers {
            match self.send_to(server, request) {
                Err(CtlError::Unreachable(err)) => {
                    last_error = err.to_string();
                    // The unreachable host may have executed the write; a second host would repeat
                    // it.
                    if request.method != Method::Get {
                        break;
                    }
                }
                other => return other,
            }
        }
        Err(CtlError::Unreachable(last_error.into()))
    }

    /// Sends a request to the host at an `ip:port` address.
    ///
    /// Fails like [`AdminClient::send`], but never tries another host. A body that is not JSON is
    /// returned as a JSON string.
    pub fn send_to(&self, server: &str, request: &ApiRequest) -> Result<Value, CtlError> {
        let exchange = async {
            let mut response = self.exchange(server, request).await?;
            let reader = futures_lite::AsyncReadExt::take(response.take_body(), MAX_RESPONSE_BYTES);
            let mut bytes = Vec::new();
            futures_lite::AsyncReadExt::read_to_end(&mut { reader }, &mut bytes)
                .await
                .map_err(|err| err.to_string())?;
            let text = String::from_utf8_lossy(&bytes).into_owned();
            Ok((u16::from(response.status()), text))
        };
        let timeout = async {
            Timer::after(self.timeout + request.server_wait).await;
            Err("timed out waiting for a response".to_owned())
        };
        let result: Result<(u16, String), String> = async_io::block_on(exchange.or(timeout));
        let (status, text) =
            result.map_err(|err| CtlError::Unreachable(format!("{server}: {err}").into()))?;
        let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        if status >= 300 {
            return Err(CtlError::Refused(status, value));
        }
        Ok(value)
    }

    async fn exchange(&self, server: &str, request: &ApiRequest<'_>) -> Result<Response, String> {
        let url = self.url(server, request.path).map_err(|err| err.to_string())?;
        let mut http_request = Request::new(request.method, url);
        http_request.insert_header("connection", "close");
        if let Some(token) = &self.token {
            http_request.insert_header("authorization", format!("Bearer {token}"));
        }
        for (name, value) in &request.headers {
            http_request.insert_header(*name, value);
        }
        if let Some(body) = &request.body {
            http_request.set_body(body.clone());
            http_request.insert_header("content-type", "application/json");
        }
        let stream = TcpStream::connect(server).await.map_err(|err| err.to_string())?;
        let response = match &self.connector {
            None => async_h1::connect(stream, http_request).await,
            Some(connector) => {
                let name = server.rsplit_once(':').map_or(server, |(name, _)| name);
                let name = name.trim_matches(['[', ']']).to_owned();
                let name = ServerName::try_from(name).map_err(|err| err.to_string())?;
                let stream =
                    connector.connect(name, stream).await.map_err(|err| err.to_string())?;
                async_h1::connect(stream, http_request).await
            }
        };
        response.map_err(|err| err.to_string())
    }

    fn url(&self, server: &str, path: &str) -> Result<Url, CtlError> {
        let invalid = || CtlError::Usage(format!("invalid address '{server}'; use ip:port").into());
        let has_port = server.rsplit_once(':').is_some_and(|(_, port)| port.parse::<u16>().is_ok());
        if !has_port {
            return Err(invalid());
        }
        let scheme = if self.connector.is_some() { "https" } else { "http" };
        Url::parse(&format!("{scheme}://{server}{path}")).map_err(|_| invalid())
    }

    /// Resolves an operand to a host address: `ip:port` is returned as is, and a name is looked up
    /// in the member list of a configured host.
    ///
    /// Fails with [`CtlError::Unreachable`] if no member has that name.
    pub fn host_address(&self, host: &str) -> Result<String, CtlError> {
        if host.contains(':') {
            self.url(host, "/")?;
            return Ok(host.to_owned());
        }
        let status = self.get("/admin/v1/status")?;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let member = members.iter().find(|member| member["name"] == host);
        let address = member.and_then(|member| member["address"].as_str()).map(str::to_owned);
        address.ok_or_else(|| CtlError::Unreachable(format!("no live host '{host}'").into()))
    }
}
