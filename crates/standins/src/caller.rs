//! A caller: asks where to connect, sends a prompt and follows the answer over host failures.

use std::{net::SocketAddr, time::Duration};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncBufReadExt, FutureExt};
use http_types::{Method, Request, Response, Url};
use serde_json::{Value, json};

/// Time within which a host answers a request's head.
const HEAD_LIMIT: Duration = Duration::from_secs(30);
/// Time within which a host answers the head of a streamed completion; then the next one is asked.
const FIRST_EVENT_LIMIT: Duration = Duration::from_secs(5);
/// Silence after which a stream counts as broken; hosts send a comment every second.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Bearer token.
    pub token: String,
    /// Request id.
    pub request: String,
    /// Rank.
    pub rank: String,
    /// Model.
    pub model: String,
    /// Text.
    pub text: String,
    /// Most tokens to generate.
    pub max_tokens: u64,
}

impl Prompt {
    /// The prompt's text as engines receive it.
    pub fn rendered(&self) -> String {
        format!("user: {}\n", self.text)
    }

    /// The answer that a stand-in engine gives.
    pub fn expected(&self) -> String {
        let hash = crate::engine_model::prompt_hash(&self.rendered());
        (0..self.max_tokens).map(|at| crate::engine_model::word(hash, at)).collect()
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Text received.
    pub text: String,
    /// Whether the end of the answer was received.
    pub complete: bool,
    /// Problem details of a refusal or failure.
    pub problem: Option<Value>,
    /// Value of `Retry-After`.
    pub retry_after: Option<String>,
    /// Time until the first token.
    pub first_token: Option<Duration>,
    /// Times that the caller had to connect.
    pub connections: u32,
    /// Streams that began and were cut off.
    pub cuts: u32,
    /// Time until the end.
    pub elapsed: Duration,
}

/// Sends one request on a new connection.
pub async fn send(address: &str, mut request: Request) -> Result<Response, String> {
    request.insert_header("connection", "close");
    let exchange = async {
        let stream = TcpStream::connect(address).await.map_err(|err| err.to_string())?;
        async_h1::connect(stream, request).await.map_err(|err| err.to_string())
    };
    let late = async {
        Timer::after(HEAD_LIMIT).await;
        Err("no answer in time".to_owned())
    };
    exchange.or(late).await
}

/// A request without a body.
pub fn request(method: Method, address: &str, path: &str) -> Request {
    let url = Url::parse(&format!("http://{address}{path}")).expect("addresses are valid");
    Request::new(method, url)
}

/// The addresses that a host tells callers to use.
pub async fn entries(address: SocketAddr) -> Result<Vec<String>, String> {
    let address = address.to_string();
    let mut response = send(&address, request(Method::Get, &address, "/v1/entry")).await?;
    let body: Value = response.body_json().await.map_err(|err| err.to_string())?;
    let addresses = body["addresses"].as_array().ok_or("no addresses")?;
    Ok(addresses.iter().filter_map(|one| one.as_str().map(str::to_owned)).collect())
}

/// Sends a prompt and follows its stream; when a connection breaks, goes on at the next address.
pub async fn ask(addresses: &[String], prompt: &Prompt) -> Answer {
    let started = std::time::Instant::now();
    let mut answer = follow(addresses, prompt, started).await;
    answer.elapsed = started.elapsed();
    answer
}

async fn follow(addresses: &[String], prompt: &Prompt, started: std::time::Instant) -> Answer {
    let mut answer = Answer::default();
    let mut token: Option<String> = None;
    let mut position = 0;
    for address in addresses.iter().cycle().take(addresses.len() * 4) {
        answer.connections += 1;
        let mut request = completion_request(address, prompt);
        if let Some(token) = &token {
            request.insert_header("parsley-continuation", token.as_str());
            request.insert_header("last-event-id", position.to_string());
        }
        let late = async {
            Timer::after(FIRST_EVENT_LIMIT).await;
            Err("no event in time".to_owned())
        };
        let Ok(mut response) = send(address, request).or(late).await else {
            Timer::after(Duration::from_millis(100)).await;
            continue;
        };
        if !response.status().is_success() {
            answer.retry_after =
                response.header("retry-after").map(|values| values.as_str().to_owned());
            answer.problem = response.body_json().await.ok();
            return answer;
        }
        let mut reader =
            StreamReader { answer: &mut answer, token: &mut token, position: &mut position };
        if reader.read(&mut response, started).await {
            return answer;
        }
        answer.cuts += 1;
        Timer::after(Duration::from_millis(100)).await;
    }
    answer
}

/// The request of a streamed completion.
pub fn completion_request(address: &str, prompt: &Prompt) -> Request {
    let mut request = request(Method::Post, address, "/v1/chat/completions");
    request.insert_header("authorization", format!("Bearer {}", prompt.token));
    request.insert_header("request-id", prompt.request.as_str());
    request.insert_header("parsley-rank", prompt.rank.as_str());
    let body = json!({
        "model": prompt.model, "stream": true, "max_tokens": prompt.max_tokens,
        "messages": [{"role": "user", "content": prompt.text}],
    });
    request.set_body(body.to_string());
    request.insert_header("content-type", "application/json");
    request
}

struct StreamReader<'a> {
    answer: &'a mut Answer,
    token: &'a mut Option<String>,
    position: &'a mut u64,
}

impl StreamReader<'_> {
    /// Reads events until the end of the answer. Returns whether it came.
    async fn read(&mut self, response: &mut Response, started: std::time::Instant) -> bool {
        let mut event = String::new();
        let mut line = String::new();
        loop {
            line.clear();
            let read = async { response.read_line(&mut line).await.unwrap_or(0) };
            let late = async {
                Timer::after(SILENCE_LIMIT).await;
                0
            };
            if read.or(late).await == 0 {
                return false;
            }
            let text = line.trim_end();
            if let Some(name) = text.strip_prefix("event: ") {
                name.clone_into(&mut event);
            } else if let Some(id) = text.strip_prefix("id: ") {
                *self.position = id.parse().unwrap_or(*self.position);
            } else if let Some(data) = text.strip_prefix("data: ") {
                if self.take(&event, data, started) {
                    return true;
                }
                event.clear();
            }
        }
    }

    fn take(&mut self, event: &str, data: &str, started: std::time::Instant) -> bool {
        match event {
            "continuation" => *self.token = Some(data.to_owned()),
            "error" => {
                self.answer.problem = serde_json::from_str(data).ok();
                return true;
            }
            _ if data == "[DONE]" => {
                self.answer.complete = true;
                return true;
            }
            _ => {
                self.answer.first_token.get_or_insert_with(|| started.elapsed());
                let chunk: Value = serde_json::from_str(data).unwrap_or_default();
                let text = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
                self.answer.text.push_str(text);
            }
        }
        false
    }
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Bearer token.
    pub token: String,
    /// Service.
    pub service: String,
    /// Idempotency key.
    pub key: String,
    /// Body.
    pub body: String,
    /// Whether the key was sent before.
    pub is_retry: bool,
    /// Time for the call.
    pub limit: Duration,
}

/// How a call to a plain service ended.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The service's answer.
    Answered(Value),
    /// Problem details.
    Problem(Value),
    /// No whole answer.
    Broken(String),
}

impl CallOutcome {
    /// The `outcome` of the problem details.
    pub fn problem(&self, field: &str) -> Option<&str> {
        match self {
            CallOutcome::Problem(problem) => problem[field].as_str(),
            _ => None,
        }
    }
}

/// Makes a call through one host.
pub async fn call(address: &str, call: &ServiceCall) -> CallOutcome {
    let path = format!("/v1/services/{}/issue", call.service);
    let mut request = request(Method::Post, address, &path);
    request.insert_header("authorization", format!("Bearer {}", call.token));
    request.insert_header("idempotency-key", call.key.as_str());
    request.insert_header("parsley-deadline-ms", call.limit.as_millis().to_string());
    if call.is_retry {
        request.insert_header("parsley-retry", "1");
    }
    request.set_body(call.body.as_str());
    let exchange = async {
        let mut response = send(address, request).await?;
        let is_success = response.status().is_success();
        let body: Value = response.body_json().await.map_err(|err| err.to_string())?;
        Ok::<_, String>((is_success, body))
    };
    match exchange.await {
        Ok((true, body)) => CallOutcome::Answered(body),
        Ok((false, body)) => CallOutcome::Problem(body),
        Err(err) => CallOutcome::Broken(err),
    }
}

/// Cancels a request. Returns the status of the answer.
pub async fn cancel(address: &str, token: &str, id: &str) -> Result<u16, String> {
    let mut request = request(Method::Delete, address, &format!("/v1/requests/{id}"));
    request.insert_header("authorization", format!("Bearer {token}"));
    Ok(send(address, request).await?.status().into())
}
