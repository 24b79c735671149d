//! Responses of the resource API.

use serde_json::json;

/// Response with a JSON body.
#[derive(Debug)]
pub struct ApiResponse {
    /// HTTP status code.
    pub status: u16,
    /// Body; an object, so that [`Self::with`] can add fields.
    pub body: serde_json::Value,
}

impl ApiResponse {
    /// Creates a response with status 200.
    #[must_use]
    pub fn ok(body: serde_json::Value) -> Self {
        Self { status: 200, body }
    }

    /// Creates an error response; its body holds `text` as the field `error`.
    #[must_use]
    pub fn error(status: u16, text: impl Into<String>) -> Self {
        let text: String = text.into();
        Self {
            status,
            body: json!({ "error": text }),
        }
    }

    /// Adds a field to the body, or replaces it. The body must be an object.
    #[must_use]
    pub fn with(mut self, name: &str, value: serde_json::Value) -> Self {
        self.body[name] = value;
        self
    }
}

/// Sends a response as one line of JSON; those with status 429 or 503 get a `Retry-After` of one second.
pub fn send(request: tiny_http::Request, response: &ApiResponse) {
    let mut text = response.body.to_string().into_bytes();
    text.push(b'\n');
    let mut reply = tiny_http::Response::from_data(text).with_status_code(response.status);
    add_header(&mut reply, "Content-Type", "application/json");
    if matches!(response.status, 429 | 503) {
        add_header(&mut reply, "Retry-After", "1");
    }
    if let Err(error) = request.respond(reply) {
        log::debug!(error:% = error; "client closed its connection before the response");
    }
}

fn add_header<R: std::io::Read>(reply: &mut tiny_http::Response<R>, name: &str, value: &str) {
    if let Ok(header) = tiny_http::Header::from_bytes(name, value) {
        reply.add_header(header);
    }
}
