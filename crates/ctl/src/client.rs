//! Client of the administration API.

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

/// Largest answer that is read, in bytes.
const ANSWER_BYTES: u64 = 256 << 20;

/// Builds a [`Client`].
pub struct ClientBuilder {
    servers: Vec<String>,
    token: Option<String>,
    connector: Option<TlsConnector>,
    timeout: Duration,
}

impl ClientBuilder {
    /// A client without servers.
    pub fn new(timeout: Duration) -> ClientBuilder {
        ClientBuilder { servers: Vec::new(), token: None, connector: None, timeout }
    }

    /// Adds a host to ask, as `ip:port`.
    pub fn server(mut self, server: &str) -> ClientBuilder {
        self.servers.push(server.to_owned());
        self
    }

    /// Sets the bearer token.
    pub fn token(mut self, token: &str) -> ClientBuilder {
        self.token = Some(token.to_owned());
        self
    }

    /// Turns on TLS and checks the hosts' certificates against those in a PEM file.
    pub fn ca(mut self, path: &Path) -> Result<ClientBuilder, CtlError> {
        let wrong = |text: String| CtlError::Read(path.to_owned(), io::Error::other(text));
        let certificates = CertificateDer::pem_file_iter(path)
            .and_then(Iterator::collect::<Result<Vec<_>, _>>)
            .map_err(|err| wrong(err.to_string()))?;
        let mut roots = RootCertStore::empty();
        let (added, _) = roots.add_parsable_certificates(certificates);
        if added == 0 {
            return Err(wrong("no certificate in the file".to_owned()));
        }
        let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|err| wrong(err.to_string()))?
            .with_root_certificates(roots)
            .with_no_client_auth();
        self.connector = Some(TlsConnector::from(Arc::new(config)));
        Ok(self)
    }

    /// The client. Fails if an address is not one.
    pub fn build(self) -> Result<Client, CtlError> {
        let ClientBuilder { servers, token, connector, timeout } = self;
        let client = Client { servers, token, connector, timeout };
        for server in &client.servers {
            client.url(server, "/")?;
        }
        Ok(client)
    }
}

/// Asks hosts over HTTP.
pub struct Client {
    servers: Vec<String>,
    token: Option<String>,
    connector: Option<TlsConnector>,
    timeout: Duration,
}

/// One request.
pub struct Call<'a> {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: &'a str,
    /// Headers.
    pub headers: Vec<(&'a str, String)>,
    /// Body, if any.
    pub body: Option<String>,
    /// Time that the host may wait before it answers, besides the client's own.
    pub wait: Duration,
}

impl<'a> Call<'a> {
    /// A request without headers or body.
    pub fn new(method: Method, path: &'a str) -> Call<'a> {
        Call { method, path, headers: Vec::new(), body: None, wait: Duration::ZERO }
    }
}

impl Client {
    /// Reads a path.
    pub fn get(&self, path: &str) -> Result<Value, CtlError> {
        self.call(&Call::new(Method::Get, path))
    }

    /// Sends a request to the first host that can be reached.
    pub fn call(&self, call: &Call) -> Result<Value, CtlError> {
        let mut detail = String::new();
        for server in &self.servers {
            match self.call_at(server, call) {
                Err(CtlError::Unreachable(err)) => {
                    detail = err.to_string();
                    // Another host could carry out a write a second time.
                    if call.method != Method::Get {
                        break;
                    }
                }
                other => return other,
            }
        }
        Err(CtlError::Unreachable(detail.into()))
    }

    /// Sends a request to one host.
    pub fn call_at(&self, server: &str, call: &Call) -> Result<Value, CtlError> {
        let exchange = async {
            let mut response = self.exchange(server, call).await?;
            let reader = futures_lite::AsyncReadExt::take(response.take_body(), ANSWER_BYTES);
            let mut bytes = Vec::new();
            futures_lite::AsyncReadExt::read_to_end(&mut { reader }, &mut bytes)
                .await
                .map_err(|err| err.to_string())?;
            let text = String::from_utf8_lossy(&bytes).into_owned();
            Ok((u16::from(response.status()), text))
        };
        let late = async {
            Timer::after(self.timeout + call.wait).await;
            Err("no answer in time".to_owned())
        };
        let result: Result<(u16, String), String> = async_io::block_on(exchange.or(late));
        let (status, text) =
            result.map_err(|err| CtlError::Unreachable(format!("{server}: {err}").into()))?;
        let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        if status >= 300 {
            return Err(CtlError::Refused(status, value));
        }
        Ok(value)
    }

    async fn exchange(&self, server: &str, call: &Call<'_>) -> Result<Response, String> {
        let url = self.url(server, call.path).map_err(|err| err.to_string())?;
        let mut request = Request::new(call.method, url);
        request.insert_header("connection", "close");
        if let Some(token) = &self.token {
            request.insert_header("authorization", format!("Bearer {token}"));
        }
        for (name, value) in &call.headers {
            request.insert_header(*name, value);
        }
        if let Some(body) = &call.body {
            request.set_body(body.clone());
            request.insert_header("content-type", "application/json");
        }
        let stream = TcpStream::connect(server).await.map_err(|err| err.to_string())?;
        let response = match &self.connector {
            None => async_h1::connect(stream, request).await,
            Some(connector) => {
                let name = server.rsplit_once(':').map_or(server, |(name, _)| name);
                let name = name.trim_matches(['[', ']']).to_owned();
                let name = ServerName::try_from(name).map_err(|err| err.to_string())?;
                let stream =
                    connector.connect(name, stream).await.map_err(|err| err.to_string())?;
                async_h1::connect(stream, request).await
            }
        };
        response.map_err(|err| err.to_string())
    }

    fn url(&self, server: &str, path: &str) -> Result<Url, CtlError> {
        let wrong = || CtlError::Usage(format!("'{server}' is not an address; use ip:port").into());
        let has_port = server.rsplit_once(':').is_some_and(|(_, port)| port.parse::<u16>().is_ok());
        if !has_port {
            return Err(wrong());
        }
        let scheme = if self.connector.is_some() { "https" } else { "http" };
        Url::parse(&format!("{scheme}://{server}{path}")).map_err(|_| wrong())
    }

    /// The address of a host given by name or address.
    pub fn host_address(&self, host: &str) -> Result<String, CtlError> {
        if host.contains(':') {
            self.url(host, "/")?;
            return Ok(host.to_owned());
        }
        let status = self.get("/admin/v1/status")?;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let found = members.iter().find(|member| member["name"] == host);
        let address = found.and_then(|member| member["address"].as_str()).map(str::to_owned);
        address.ok_or_else(|| CtlError::Unreachable(format!("no live host '{host}'").into()))
    }
}
