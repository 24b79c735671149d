//! Responses of the resource API.

use serde_json::json;

/// Response with a JSON body.
#[derive(Debug)]
pub struct ApiResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: serde_json::Value,
}

impl ApiResponse {
    /// Makes a response with status 200.
    #[must_use]
    pub fn ok(body: serde_json::Value) -> Self {
        Self { status: 200, body }
    }

    /// Makes an error.
    #[must_use]
    pub fn error(status: u16, text: impl Into<String>) -> Self {
        let text: String = text.into();
        Self {
            status,
            body: json!({ "error": text }),
        }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &str, value: serde_json::Value) -> Self {
        self.body[name] = value;
        self
    }
}

/// Sends a response.
pub fn send(request: tiny_http::Request, response: &ApiResponse) {
    let mut text = response.body.to_string().into_bytes();
    text.push(b'\n');
    let mut reply = tiny_http::Response::from_data(text).with_status_code(response.status);
    add_header(&mut reply, "Content-Type", "application/json");
    if matches!(response.status, 429 | 503) {
        add_header(&mut reply, "Retry-After", "1");
    }
    if let Err(error) = request.respond(reply) {
        log::debug!(error:% = error; "operator closed its connection before the response");
    }
}

fn add_header<R: std::io::Read>(reply: &mut tiny_http::Response<R>, name: &str, value: &str) {
    if let Ok(header) = tiny_http::Header::from_bytes(name, value) {
        reply.add_header(header);
    }
}
