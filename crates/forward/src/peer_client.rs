//! Client of other daemons: requests to their peer addresses, and the paths that [`crate::peer_server`] serves.

use std::rc;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;

use crate::http_link;

/// Path of the first message of a member exchange.
pub const EXCHANGE_PATH: &str = "/members/exchange";
/// Path of the last message of a member exchange, which returns records that the responder lacks.
pub const RETURN_PATH: &str = "/members/return";
/// Path of the source text of the configuration in force.
pub const CONFIG_PATH: &str = "/config";
/// Path of the age of the configuration's last confirmation.
pub const CONFIG_AGE_PATH: &str = "/config/age";
/// Time limit of one request of a member exchange, or for the configuration of a peer.
pub(crate) const PEER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Sends a request to a peer and returns the body of its response; `None` on a failure, a timeout, or a status other
/// than 200.
pub(crate) async fn post(
    peer: &rc::Rc<http_link::LinkPool>,
    path: &'static str,
    body: Vec<u8>,
    timeout: time::Duration,
) -> Option<Bytes> {
    let uri = hyper::Uri::from_static(path);
    let mut headers = hyper::header::HeaderMap::new();
    headers.insert(
        hyper::header::HOST,
        hyper::header::HeaderValue::try_from(peer.address().to_string()).ok()?,
    );
    let request = http_link::request_of(hyper::Method::POST, uri, headers, Bytes::from(body));
    let work = async {
        let (response, lease) = peer.send(request, time::Duration::MAX).await.ok()?;
        if response.status() != hyper::StatusCode::OK {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        lease.release(None, time::Instant::now());
        Some(body)
    };
    let reply = tokio::time::timeout(timeout, work).await.ok().flatten();
    if reply.is_none() {
        log::debug!(peer:% = peer.address(), path = path; "request to a peer failed");
    }
    reply
}
