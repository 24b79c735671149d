//! HTTP client of the resource API.

use std::env;
use std::fs;
use std::io;
use std::net;
use std::time;

use crate::cli_error;

/// Maximum duration of a request with its response, except for long polls. It exceeds the 10 s after which the API no
/// longer retries a change.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 256 * 1024 * 1024;

/// Client of one daemon's API.
#[derive(Debug)]
pub struct ApiClient {
    agent: ureq::Agent,
    address: net::SocketAddr,
    /// Bearer key. It is secret, so the `Debug` form omits it.
    key: Option<BearerKey>,
}

/// Bearer key of an operator.
struct BearerKey(String);

impl std::fmt::Debug for BearerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("BearerKey(…)")
    }
}

/// Response of the API.
#[derive(Debug)]
pub struct ApiResponse {
    /// HTTP status code.
    pub status: u16,
    /// JSON body; null if the status is not 200 and the body is not JSON.
    pub body: serde_json::Value,
}

/// Why a request has no usable response.
#[derive(Debug)]
pub enum ApiFailure {
    /// The request was not sent, so it had no effect. The text is the reason.
    NotSent(String),
    /// The request may have reached the daemon and taken effect. The text is the reason.
    NoResponse(String),
}

impl ApiFailure {
    /// Returns the error for a request without side effects, for which both variants mean the same.
    pub fn into_query_error(self) -> cli_error::CliError {
        match self {
            Self::NotSent(reason) | Self::NoResponse(reason) => cli_error::CliError::Failed(reason),
        }
    }
}

impl ApiClient {
    /// Creates a client from the options `--api` and `--key-file`, or from the environment variables in their place.
    ///
    /// # Errors
    /// Returns an error without a valid API address, or if the key file can't be read.
    pub fn from_options(matches: &clap::ArgMatches) -> Result<Self, cli_error::CliError> {
        let address = match matches.get_one::<net::SocketAddr>("api") {
            Some(address) => *address,
            None => address_from_environment()?,
        };
        Ok(Self {
            key: read_key(matches)?,
            ..Self::without_key(address)
        })
    }

    /// Creates a client that sends no key.
    #[must_use]
    pub fn without_key(address: net::SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            // Daemons are reached directly by IP address. A proxy set in the environment is for other destinations.
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Self {
            agent: ureq::Agent::new_with_config(config),
            address,
            key: None,
        }
    }

    /// Sends a `GET` request with a header.
    pub fn query(&self, path: &str, header: Option<(&str, &str)>) -> Result<ApiResponse, ApiFailure> {
        let mut request = ureq::http::Request::builder().uri(format!("http://{}{path}", self.address));
        if let Some((name, value)) = header {
            request = request.header(name, value);
        }
        self.run(request.body(""), REQUEST_TIMEOUT)
    }

    /// Sends a request and returns its response, whatever the status.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        change_id: Option<&str>,
        body: &str,
    ) -> Result<ApiResponse, ApiFailure> {
        self.send_with_timeout(REQUEST_TIMEOUT, method, path, change_id, body)
    }

    /// Sends a `GET` request that the daemon may hold open for up to `wait`.
    pub fn poll(&self, path: &str, wait: time::Duration) -> Result<ApiResponse, ApiFailure> {
        self.send_with_timeout(REQUEST_TIMEOUT + wait, "GET", path, None, "")
    }

    fn send_with_timeout(
        &self,
        timeout: time::Duration,
        method: &str,
        path: &str,
        change_id: Option<&str>,
        body: &str,
    ) -> Result<ApiResponse, ApiFailure> {
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if let Some(key) = &self.key {
            request = request.header("Authorization", format!("Bearer {}", key.0));
        }
        if let Some(change_id) = change_id {
            request = request.header("Idempotency-Key", change_id);
        }
        if !body.is_empty() {
            request = request.header("Content-Type", "application/json");
        }
        self.run(request.body(body), timeout)
    }

    fn run(
        &self,
        built: Result<ureq::http::Request<&str>, ureq::http::Error>,
        timeout: time::Duration,
    ) -> Result<ApiResponse, ApiFailure> {
        let request = built.map_err(|error| ApiFailure::NotSent(format!("invalid request: {error}")))?;
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(timeout))
            .build();
        let mut response = self.agent.run(request).map_err(|error| self.failure(&error))?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_string();
        let text = text.map_err(|error| ApiFailure::NoResponse(format!("{}: {error}", self.address)))?;
        let body = match serde_json::from_str(&text) {
            Ok(body) => body,
            Err(error) if status == 200 => {
                let reason = format!("{}: invalid JSON in the response: {error}", self.address);
                return Err(ApiFailure::NoResponse(reason));
            }
            Err(_) => serde_json::Value::Null,
        };
        Ok(ApiResponse { status, body })
    }

    fn failure(&self, error: &ureq::Error) -> ApiFailure {
        let text = format!("{}: {error}", self.address);
        match error {
            ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => {
                ApiFailure::NotSent(format!("{text} (check that the daemon is running)"))
            }
            ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                ApiFailure::NotSent(format!("{text} (check that the daemon is running)"))
            }
            _ => ApiFailure::NoResponse(text),
        }
    }
}

fn address_from_environment() -> Result<net::SocketAddr, cli_error::CliError> {
    let Ok(text) = env::var("DAMASKTRACK_API") else {
        let message = "no API address; pass --api ADDRESS or set DAMASKTRACK_API";
        return Err(cli_error::CliError::Failed(message.to_owned()));
    };
    let address = text.parse().ok();
    address.ok_or_else(|| {
        cli_error::CliError::Failed(format!("DAMASKTRACK_API: '{text}' is not an IP address with a port"))
    })
}

fn read_key(matches: &clap::ArgMatches) -> Result<Option<BearerKey>, cli_error::CliError> {
    let key = match matches.get_one::<String>("key-file") {
        Some(path) => {
            Some(fs::read_to_string(path).map_err(|error| cli_error::CliError::Failed(format!("{path}: {error}")))?)
        }
        None => env::var("DAMASKTRACK_KEY").ok(),
    };
    let key = key.map(|key| key.trim().to_owned()).filter(|key| !key.is_empty());
    Ok(key.map(BearerKey))
}

impl ApiResponse {
    /// Returns the error for a response with an unexpected status.
    pub fn failure(&self) -> cli_error::CliError {
        self.failure_with_places(ToOwned::to_owned)
    }

    /// Returns the error for a response with an unexpected status; `place` converts the places of its findings.
    pub fn failure_with_places(&self, place: impl Fn(&str) -> String) -> cli_error::CliError {
        let error = self.body["error"].as_str().unwrap_or("the response gives no reason");
        let mut message = match self.status {
            401 => format!("no valid key: {error} (pass --key-file FILE or set DAMASKTRACK_KEY)"),
            403 => format!("permission denied: {error}"),
            409 => format!("version conflict, nothing was changed: {error}"),
            429 | 503 => format!("temporarily unavailable, nothing was changed: {error}; try again later"),
            status => format!("{error} (HTTP status {status})"),
        };
        match self.body["current_version"].as_u64() {
            Some(0) => message.push_str("; the resource does not exist"),
            Some(version) => message = format!("{message}; the current version is {version}"),
            None => {}
        }
        let findings = self.body["findings"].as_array().into_iter().flatten();
        let findings: Vec<String> = findings.map(|finding| finding_line(finding, &place)).collect();
        if findings.is_empty() {
            return cli_error::CliError::Failed(message);
        }
        cli_error::CliError::Findings(message, findings)
    }
}

fn finding_line(finding: &serde_json::Value, place: impl Fn(&str) -> String) -> String {
    let text = |name: &str| match &finding[name] {
        serde_json::Value::Null => None,
        serde_json::Value::String(text) => Some(text.clone()),
        other => Some(other.to_string()),
    };
    let place = place(&text("place").unwrap_or_default());
    if let Some(message) = text("message") {
        return format!("{place}: {message}");
    }
    let found = text("found").unwrap_or_else(|| "nothing".to_owned());
    format!(
        "{place}: expected {}, found {found}",
        text("expected").unwrap_or_default()
    )
}
