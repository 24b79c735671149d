//! Waiting for the core's decision about a call, and the use of stored answers, which need no backend server.

use std::net;
use std::sync::mpsc;

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_ownership::action_key;
use damasktrack_ownership::answer_archive;
use damasktrack_ownership::answer_cache;
use damasktrack_wire::call_frame;
use damasktrack_wire::peer_message;

use crate::call::call_watch;
use crate::core::core_command;
use crate::core::request_owner;
use crate::run::call_runner;
use crate::shared::node_shared;
use crate::store::store_client;
use crate::transport::frame_sink;

/// Waits for the decision about a call; `on_wait` runs at the interval of `Working` frames. `None` if the core has
/// stopped.
pub fn begin(
    shared: &node_shared::NodeShared,
    start: core_command::CallStart,
    on_wait: &mut dyn FnMut() -> frame_sink::SinkStep,
) -> Option<core_command::CallDecision> {
    let call = start.call;
    let (reply, receiver) = core_command::ReplySender::channel();
    shared
        .core
        .send(core_command::CoreCommand::Begin(Box::new(start), reply));
    let decision = loop {
        match receiver.recv_timeout(call_watch::POLL_INTERVAL) {
            Ok(decision) => break decision,
            Err(mpsc::RecvTimeoutError::Disconnected) => return None,
            Err(mpsc::RecvTimeoutError::Timeout) => {
                if on_wait() == frame_sink::SinkStep::Stop {
                    // The core then decides on the pending call, which ends this loop.
                    shared.core.send(core_command::CoreCommand::CallerDisconnected(call));
                }
            }
        }
    };
    let core_command::CallDecision::RequestGrant(call, address, request) = decision else {
        return Some(decision);
    };
    request_grant(shared, call, address, &request)
}

/// Requests a grant from the daemon that holds the retry ledger of the request, and returns the core's decision on it.
/// A failed request counts as denied. `None` if the core has stopped.
pub fn request_grant(
    shared: &node_shared::NodeShared,
    call: ids::CallId,
    address: net::SocketAddr,
    request: &peer_message::GrantRequest,
) -> Option<core_command::CallDecision> {
    let grant = shared.peers.message(address, "/peer/grant", request);
    let grant = grant.unwrap_or(peer_message::GrantReply::Denied);
    shared
        .core
        .ask(|reply| core_command::CoreCommand::Owner(request_owner::OwnerCommand::ArrivalGranted(call, grant, reply)))
}

/// Sends a stored answer to a sink.
pub fn send_answer(answer: answer_cache::StoredAnswer, sink: &frame_sink::FrameSink) {
    let head = call_frame::CallFrame::Head {
        status: answer.status,
        headers: answer.headers,
    };
    if frame_sink::send(sink, head) == frame_sink::SinkStep::Stop {
        return;
    }
    let mut remaining = answer.body;
    while !remaining.is_empty() {
        let chunk = remaining.split_to(remaining.len().min(call_frame::MAX_DATA_BYTES));
        if frame_sink::send(sink, call_frame::CallFrame::Data(chunk)) == frame_sink::SinkStep::Stop {
            return;
        }
    }
    frame_sink::send(sink, call_frame::CallFrame::End { report: None });
}

/// Reads the archived answer of an action with an opaque request id whose owner can't supply it. `None` if there is no
/// usable object.
pub fn read_archive(
    shared: &node_shared::NodeShared,
    request_id: &Bytes,
    request: &call_runner::OutgoingRequest,
) -> Option<answer_archive::RestoreStep> {
    let store = shared.store.as_ref()?;
    if request_identity::parse(request_id) != request_identity::RequestIdentity::Opaque {
        return None;
    }
    let key = action_key::ActionKey {
        request_id: request_id.clone(),
        service: request.service.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
    };
    let store_client::StoreReply::Ok(Some(content)) = store.get_object(&answer_archive::object_key(&key)) else {
        return None;
    };
    match answer_archive::restore(&key, &request_owner::body_digest(&request.body), &content) {
        answer_archive::RestoreStep::Unreadable => {
            log::error!(request_id:% = ids::text(request_id); "an archived answer can't be read");
            None
        }
        step => Some(step),
    }
}
