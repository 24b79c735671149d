//! Tasks that run the side effects of the core: datagrams, member exchanges, and configuration fetches from peers.

use std::net;
use std::rc;
use std::time;

use damasktrack_membership::anti_entropy;
use damasktrack_membership::gossip_context;
use damasktrack_membership::gossip_message;
use tokio::sync::mpsc;
use tokio::task;

use crate::config_text;
use crate::forward_core;
use crate::node_context;
use crate::peer_client;
use crate::store_port;

/// Delay before the configuration of a peer is fetched, if one is in force. Most changes reach every daemon sooner
/// through the store.
const CONFIG_FETCH_DELAY: time::Duration = time::Duration::from_millis(100);
/// Largest number of concurrent fetches of the configuration. Several peers announce a new version, and one of them may
/// not answer.
const MAX_CONFIG_FETCHES: usize = 3;

/// Passes received gossip datagrams to the core; never returns.
pub async fn receive_gossip(node: rc::Rc<node_context::NodeContext>, socket: rc::Rc<tokio::net::UdpSocket>) {
    // One byte more than the maximum, so that a longer datagram isn't truncated to one that looks complete.
    let mut buffer = vec![0; gossip_message::MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => node
                .core
                .ask(|core, now| core.receive_gossip(from, &buffer[..length], now)),
            Err(error) => log::debug!(error:% = error; "datagram can't be received"),
        }
    }
}

/// Runs the side effects of the core until the process is superseded.
pub async fn run_effects(
    node: rc::Rc<node_context::NodeContext>,
    socket: rc::Rc<tokio::net::UdpSocket>,
    port: rc::Rc<store_port::StorePort>,
    mut effects: mpsc::UnboundedReceiver<forward_core::CoreEffect>,
) {
    // Each fetch holds a reference.
    let fetches = rc::Rc::new(());
    while let Some(effect) = effects.recv().await {
        match effect {
            forward_core::CoreEffect::Send(send) => {
                // A datagram that can't be sent counts as lost; gossip recovers from lost datagrams.
                if let Err(error) = socket.try_send_to(&send.datagram, send.to) {
                    log::debug!(to:% = send.to, error:% = error; "datagram can't be sent");
                }
            }
            forward_core::CoreEffect::Exchange(address) => {
                task::spawn_local(exchange(rc::Rc::clone(&node), address));
            }
            forward_core::CoreEffect::FetchConfig(address) => {
                if rc::Rc::strong_count(&fetches) <= MAX_CONFIG_FETCHES {
                    let (node, port, fetch) = (rc::Rc::clone(&node), rc::Rc::clone(&port), rc::Rc::clone(&fetches));
                    task::spawn_local(async move {
                        fetch_config(node, port, address).await;
                        drop(fetch);
                    });
                }
            }
            forward_core::CoreEffect::CloseLinks(address) => node.close_links(address),
            forward_core::CoreEffect::Superseded => {
                log::error!("another process with this daemon's id started later; this one stops");
                return;
            }
        }
    }
}

async fn exchange(node: rc::Rc<node_context::NodeContext>, address: net::SocketAddr) {
    let request = node.core.ask(|core, now| {
        core.exchange(now, |gossip| {
            (gossip.exchange_request(), gossip_context::GossipOutput::default())
        })
    });
    let Ok(body) = anti_entropy::encode(&request) else {
        return;
    };
    let Some(reply) = peer_client::post(
        &node.peer(address),
        peer_client::EXCHANGE_PATH,
        body,
        peer_client::PEER_TIMEOUT,
    )
    .await
    else {
        return;
    };
    let Ok(reply) = anti_entropy::decode::<anti_entropy::ExchangeReply>(&reply) else {
        log::warn!(peer:% = address; "member exchange can't be decoded");
        return;
    };
    let returned = node
        .core
        .ask(|core, now| core.exchange(now, |gossip| gossip.exchange_finish(&reply, now)));
    if !returned.records.is_empty()
        && let Ok(body) = anti_entropy::encode(&returned)
    {
        peer_client::post(
            &node.peer(address),
            peer_client::RETURN_PATH,
            body,
            peer_client::PEER_TIMEOUT,
        )
        .await;
    }
}

async fn fetch_config(
    node: rc::Rc<node_context::NodeContext>,
    port: rc::Rc<store_port::StorePort>,
    address: net::SocketAddr,
) {
    let version =
        |node: &node_context::NodeContext| node.core.ask(|core, _now| core.config().map(|config| config.version));
    let before = version(&node);
    if before.is_none() {
        // The store doesn't supply the configuration, so it doesn't supply the members either. They precede the
        // configuration, with which requests are routed.
        exchange(rc::Rc::clone(&node), address).await;
    } else {
        tokio::time::sleep(CONFIG_FETCH_DELAY).await;
        if version(&node) != before {
            return;
        }
    }
    if let Some(text) = peer_client::post(
        &node.peer(address),
        peer_client::CONFIG_PATH,
        Vec::new(),
        peer_client::PEER_TIMEOUT,
    )
    .await
    {
        store_port::adopt(&node, &port, config_text::ConfigText::new(text), "peer");
    }
}
