//! HTTP server for operators: the resource API of `docs/api.md`, health, readiness and metrics.

use std::io;
use std::io::Read as _;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use bytes::Bytes;
use damasktrack_resource::change_log;
use damasktrack_resource::change_plan;
use damasktrack_resource::operator_access;
use damasktrack_resource::resource_document;
use damasktrack_settings::daemon_settings;
use serde_json::json;

use crate::api::api_changes;
use crate::api::api_documents;
use crate::api::api_queries;
use crate::api::api_response;
use crate::core::core_command;
use crate::core::core_config;
use crate::shared::node_shared;
use crate::transport::http_listener;
use crate::transport::worker_pool;

/// Threads that receive requests, and that answer those for health, readiness and metrics themselves.
const RECEIVE_THREADS: usize = 2;
const RECEIVE_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Maximum number of concurrent requests for paths other than health, readiness and metrics. Those that wait for
/// the store take seconds.
const MAX_REQUESTS: usize = 64;
/// Maximum number of concurrent watches, below [`MAX_REQUESTS`] so that changes are still served.
const MAX_WATCHES: usize = 32;
/// Maximum number of changes in one response.
const MAX_CHANGES: usize = 1000;

/// HTTP server of the API; it serves requests from [`Self::start`] on.
#[derive(Debug)]
pub struct ApiServer {
    address: net::SocketAddr,
    server: sync::Arc<http_listener::HttpServer>,
}

/// State that the threads of the server share.
#[derive(Debug)]
struct ApiContext {
    shared: sync::Arc<node_shared::NodeShared>,
    access: operator_access::OperatorAccess,
    /// Requests in progress, up to [`MAX_REQUESTS`].
    requests: atomic::AtomicUsize,
    /// Watches in progress, up to [`MAX_WATCHES`].
    watches: atomic::AtomicUsize,
}

/// Authenticated request below `/v1/`.
struct ApiRequest<'a> {
    method: &'a tiny_http::Method,
    segments: Vec<&'a str>,
    query: &'a str,
    change_id: Option<String>,
    operator: String,
}

impl ApiServer {
    /// Opens the listener.
    ///
    /// # Errors
    /// Returns an error if the address can't be listened on.
    pub fn bind(address: net::SocketAddr, stall_timeout: time::Duration) -> io::Result<Self> {
        let (server, address) = http_listener::bind(address, stall_timeout)?;
        Ok(Self {
            address,
            server: sync::Arc::new(server),
        })
    }

    /// Returns the address of the listener, with the port that the system chose if the given one was 0.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Starts the threads that serve requests.
    ///
    /// # Errors
    /// Returns an error if a thread can't be started.
    pub fn start(&self, shared: &sync::Arc<node_shared::NodeShared>) -> io::Result<()> {
        let context = sync::Arc::new(ApiContext {
            shared: sync::Arc::clone(shared),
            access: operators(&shared.settings.operators),
            requests: atomic::AtomicUsize::new(0),
            watches: atomic::AtomicUsize::new(0),
        });
        let pool = worker_pool::WorkerPool::new("api", MAX_REQUESTS);
        for _ in 0..RECEIVE_THREADS {
            let server = sync::Arc::clone(&self.server);
            let context = sync::Arc::clone(&context);
            let pool = pool.clone();
            thread::Builder::new().name("api".to_owned()).spawn(move || {
                loop {
                    match server.receive(RECEIVE_TIMEOUT) {
                        http_listener::Received::Request(request) => receive(&context, &pool, *request),
                        http_listener::Received::TimedOut => {}
                        http_listener::Received::Failed => return,
                    }
                }
            })?;
        }
        Ok(())
    }
}

fn operators(settings: &[daemon_settings::OperatorSettings]) -> operator_access::OperatorAccess {
    let entries = settings.iter().filter_map(|operator| {
        let key_digest = operator_access::KeyDigest::from_hexadecimal(&operator.key_sha256);
        if key_digest.is_none() {
            log::error!(operator = operator.name.as_str(); "key_sha256 is not a SHA-256 digest; the operator has no access");
        }
        Some(operator_access::OperatorEntry {
            name: operator.name.clone(),
            role: match operator.role {
                daemon_settings::OperatorRole::Viewer => operator_access::OperatorRole::Viewer,
                daemon_settings::OperatorRole::Editor => operator_access::OperatorRole::Editor,
                daemon_settings::OperatorRole::Admin => operator_access::OperatorRole::Admin,
            },
            key_digest: key_digest?,
        })
    });
    operator_access::OperatorAccess::new(entries.collect())
}

fn receive(context: &sync::Arc<ApiContext>, pool: &worker_pool::WorkerPool, request: tiny_http::Request) {
    let path = request.url().split('?').next().unwrap_or_default();
    match path {
        "/health" => api_response::send(request, &api_response::ApiResponse::ok(json!({"status": "ok"}))),
        "/ready" => {
            let response = ready(&context.shared);
            api_response::send(request, &response);
        }
        "/metrics" => http_listener::respond_bytes(request, context.shared.metrics.render()),
        _ => {
            if context.requests.fetch_add(1, atomic::Ordering::Relaxed) >= MAX_REQUESTS {
                context.requests.fetch_sub(1, atomic::Ordering::Relaxed);
                api_response::send(
                    request,
                    &api_response::ApiResponse::error(503, "too many requests are waiting"),
                );
                return;
            }
            let context = sync::Arc::clone(context);
            // The pool has a worker for each counted request, so it accepts the job.
            let _accepted = pool.submit(move || {
                serve(&context, request);
                context.requests.fetch_sub(1, atomic::Ordering::Relaxed);
            });
        }
    }
}

fn ready(shared: &node_shared::NodeShared) -> api_response::ApiResponse {
    let report = shared
        .core
        .ask(|reply| core_command::CoreCommand::Config(core_config::ConfigCommand::Ready(reply)));
    match report {
        Some(report) => api_response::ApiResponse {
            status: if report.ready { 200 } else { 503 },
            body: json!(report),
        },
        None => api_response::ApiResponse::error(503, "the daemon is stopping"),
    }
}

fn serve(context: &ApiContext, mut request: tiny_http::Request) {
    let response = answer(context, &mut request);
    api_response::send(request, &response);
}

fn answer(context: &ApiContext, request: &mut tiny_http::Request) -> api_response::ApiResponse {
    let url = request.url().to_owned();
    let method = request.method().clone();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let Some(rest) = path.strip_prefix("/v1/") else {
        return api_response::ApiResponse::error(404, "no such path");
    };
    let action = match method {
        tiny_http::Method::Get => operator_access::ApiAction::Read,
        tiny_http::Method::Delete => operator_access::ApiAction::Delete,
        _ => operator_access::ApiAction::Write,
    };
    let key = header(request, "Authorization");
    let operator = match context.access.check(key.as_deref().map(str::as_bytes), action) {
        operator_access::AccessStep::Allowed { operator } => operator,
        operator_access::AccessStep::Forbidden { .. } => {
            return api_response::ApiResponse::error(403, "the role of the key does not permit this request");
        }
        operator_access::AccessStep::Unauthenticated => {
            return api_response::ApiResponse::error(401, "a valid key is required: Authorization: Bearer KEY");
        }
    };
    let api_request = ApiRequest {
        method: &method,
        segments: rest.split('/').collect(),
        query,
        change_id: header(request, "Idempotency-Key"),
        operator,
    };
    match api_request.method {
        tiny_http::Method::Get => query_resources(context, &api_request),
        tiny_http::Method::Put | tiny_http::Method::Post | tiny_http::Method::Delete => {
            match read_body(request, context.shared.settings.max_body_bytes) {
                Ok(body) => change_resources(context, &api_request, &body),
                Err(response) => response,
            }
        }
        _ => method_not_allowed(),
    }
}

fn query_resources(context: &ApiContext, request: &ApiRequest<'_>) -> api_response::ApiResponse {
    let shared = &context.shared;
    match request.segments.as_slice() {
        ["changes"] => {
            let after = number_parameter(request.query, "after").map(Option::unwrap_or_default);
            match (after, number_parameter(request.query, "limit")) {
                (Ok(after), Ok(limit)) => {
                    let limit = limit
                        .and_then(|limit| usize::try_from(limit).ok())
                        .unwrap_or(MAX_CHANGES);
                    api_queries::changes(shared, after, limit.min(MAX_CHANGES))
                }
                (Err(response), _) | (_, Err(response)) => response,
            }
        }
        ["changes", id] => api_changes::find(shared, id),
        ["watch"] => watch(context, request),
        ["daemons"] => api_queries::daemons(shared, None),
        ["daemons", name] => api_queries::daemons(shared, Some(name)),
        ["status"] => match number_parameter(request.query, "revision") {
            Ok(revision) => api_queries::revision_status(shared, revision),
            Err(response) => response,
        },
        [kind] => match api_documents::kind_of_path(kind) {
            Some(kind) => api_queries::list(shared, kind),
            None => no_such_path(),
        },
        [kind, name] => match key_of(kind, name) {
            Some(key) => api_queries::get(shared, &key),
            None => no_such_path(),
        },
        _ => no_such_path(),
    }
}

fn watch(context: &ApiContext, request: &ApiRequest<'_>) -> api_response::ApiResponse {
    let (after, timeout) = match (
        number_parameter(request.query, "after"),
        number_parameter(request.query, "timeout_ms"),
    ) {
        (Ok(after), Ok(timeout)) => (after, timeout),
        (Err(response), _) | (_, Err(response)) => return response,
    };
    let timeout = timeout.map_or(api_queries::MAX_WATCH_TIMEOUT, time::Duration::from_millis);
    if context.watches.fetch_add(1, atomic::Ordering::Relaxed) >= MAX_WATCHES {
        context.watches.fetch_sub(1, atomic::Ordering::Relaxed);
        return api_response::ApiResponse::error(503, "too many watches are open");
    }
    let response = api_queries::watch(&context.shared, after, timeout.min(api_queries::MAX_WATCH_TIMEOUT));
    context.watches.fetch_sub(1, atomic::Ordering::Relaxed);
    response
}

fn change_resources(context: &ApiContext, request: &ApiRequest<'_>, body: &[u8]) -> api_response::ApiResponse {
    let edits = match (request.method, request.segments.as_slice()) {
        (tiny_http::Method::Post, ["apply"]) => read_apply(body),
        (tiny_http::Method::Put, [kind, name]) => match key_of(kind, name) {
            Some(key) => read_put(body, &key),
            None => return no_such_path(),
        },
        (tiny_http::Method::Delete, [kind, name]) => match key_of(kind, name) {
            Some(key) => read_delete(request.query, key),
            None => return no_such_path(),
        },
        _ => return method_not_allowed(),
    };
    let edits = match edits {
        Ok(edits) => edits,
        Err(response) => return response,
    };
    let dry_run = match parameter(request.query, "dry_run") {
        None | Some("false") => false,
        Some("true") => true,
        Some(_) => return api_response::ApiResponse::error(400, "dry_run must be true or false"),
    };
    let is_unconditional_delete = request.method == &tiny_http::Method::Delete
        && edits
            .iter()
            .all(|edit| edit.expected == change_plan::ExpectedVersion::Any);
    let generated_id = || format!("chg-{:016x}", rand::random::<u64>());
    let response = api_changes::run(
        &context.shared,
        change_plan::ChangeRequest {
            change_id: request.change_id.clone().unwrap_or_else(generated_id),
            operator: request.operator.clone(),
            edits,
            dry_run,
        },
    );
    if is_unconditional_delete && response.status == 409 {
        // A delete without a version condition conflicts only if the resource does not exist.
        return api_response::ApiResponse::error(404, "no such resource");
    }
    response
}

type EditList = Result<Vec<change_plan::RequestedEdit>, api_response::ApiResponse>;

fn read_apply(body: &[u8]) -> EditList {
    let document = read_json(body)?;
    let Some(resources) = document.get("resources").and_then(serde_json::Value::as_array) else {
        return Err(api_response::ApiResponse::error(
            400,
            "the request body must contain the array 'resources'",
        ));
    };
    let mut edits = Vec::new();
    let mut findings = Vec::new();
    for (index, resource) in resources.iter().enumerate() {
        match api_documents::read_edit(resource, &format!("resources[{index}]")) {
            Ok(edit) => edits.push(edit),
            Err(finding) => findings.push(json!(finding)),
        }
    }
    if findings.is_empty() {
        Ok(edits)
    } else {
        Err(api_changes::invalid(findings))
    }
}

fn read_put(body: &[u8], key: &resource_document::ResourceKey) -> EditList {
    let document = read_json(body)?;
    let edit = api_documents::read_edit(&document, &key.to_string())
        .map_err(|finding| api_changes::invalid(vec![json!(finding)]))?;
    if edit.edit.key != *key {
        let finding =
            json!({"place": key.to_string(), "message": "kind and name of the document differ from the path"});
        return Err(api_changes::invalid(vec![finding]));
    }
    Ok(vec![edit])
}

fn read_delete(query: &str, key: resource_document::ResourceKey) -> EditList {
    let expected = match number_parameter(query, "version")? {
        None => change_plan::ExpectedVersion::Any,
        Some(version) => change_plan::ExpectedVersion::Exactly(version),
    };
    Ok(vec![change_plan::RequestedEdit {
        edit: change_log::ResourceEdit { key, resource: None },
        expected,
    }])
}

fn read_json(body: &[u8]) -> Result<serde_json::Value, api_response::ApiResponse> {
    serde_json::from_slice(body)
        .map_err(|error| api_response::ApiResponse::error(400, format!("the request body is not valid JSON: {error}")))
}

fn read_body(request: &mut tiny_http::Request, max: usize) -> Result<Vec<u8>, api_response::ApiResponse> {
    let mut body = Vec::new();
    let read = request.as_reader().take(max as u64 + 1).read_to_end(&mut body);
    if read.is_err() {
        return Err(api_response::ApiResponse::error(400, "the request body is incomplete"));
    }
    if body.len() > max {
        return Err(api_response::ApiResponse::error(413, "the request body is too large"));
    }
    Ok(body)
}

fn key_of(kind: &str, name: &str) -> Option<resource_document::ResourceKey> {
    let kind = api_documents::kind_of_path(kind)?;
    let name = Bytes::copy_from_slice(name.as_bytes());
    Some(resource_document::ResourceKey { kind, name })
}

fn header(request: &tiny_http::Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str().to_owned())
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
}

fn number_parameter(query: &str, name: &str) -> Result<Option<u64>, api_response::ApiResponse> {
    let Some(text) = parameter(query, name) else {
        return Ok(None);
    };
    let value = text.parse().map(Some);
    value.map_err(|_error| api_response::ApiResponse::error(400, format!("{name} must be a non-negative integer")))
}

fn no_such_path() -> api_response::ApiResponse {
    api_response::ApiResponse::error(404, "no such path")
}

fn method_not_allowed() -> api_response::ApiResponse {
    api_response::ApiResponse::error(405, "the path does not support this method")
}
