//! Identity of a call's request across attempts, from its parts.

use damasktrack_entity::ids;
use damasktrack_pipeline::chunk_list;
use damasktrack_quarantine::request_digest;
use hyper::header;

use crate::peer_call;

/// A call's request, as far as its identity needs it.
#[derive(Clone, Debug)]
pub struct CallIdentity {
    caller: ids::ServiceName,
    tenant: Option<ids::TenantName>,
    method: hyper::Method,
    uri: hyper::Uri,
    host: Option<header::HeaderValue>,
    body: chunk_list::ChunkedBody,
}

impl CallIdentity {
    /// Returns the identity of a request that began at the service `caller`.
    #[must_use]
    pub fn new(
        caller: &ids::ServiceName,
        tenant: Option<&ids::TenantName>,
        method: &hyper::Method,
        uri: &hyper::Uri,
        headers: &header::HeaderMap,
        body: &chunk_list::ChunkedBody,
    ) -> Self {
        Self {
            caller: caller.clone(),
            tenant: tenant.cloned(),
            method: method.clone(),
            uri: uri.clone(),
            host: headers.get(header::HOST).cloned(),
            body: body.clone(),
        }
    }

    /// Returns the identity of a forwarded call.
    #[must_use]
    pub fn of_call(
        head: &peer_call::CallHead,
        method: &hyper::Method,
        uri: &hyper::Uri,
        headers: &header::HeaderMap,
        body: &chunk_list::ChunkedBody,
    ) -> Self {
        Self::new(&head.caller_service, head.tenant.as_ref(), method, uri, headers, body)
    }

    /// Returns the digest, which takes time in proportion to the body.
    #[must_use]
    pub fn digest(&self) -> request_digest::RequestDigest {
        let target = self.uri.path_and_query();
        let identity = request_digest::RequestIdentity {
            caller: &self.caller,
            tenant: self.tenant.as_ref(),
            method: self.method.as_str(),
            host: self.host.as_ref().map_or(&[][..], header::HeaderValue::as_bytes),
            target: target.map_or("", |target| target.as_str()),
        };
        identity.digest(self.body.chunks())
    }
}
