//! The first message of a session: only processes of this protocol and cell are served.

use std::net;

use crate::telemetry::event;
use crate::wire::codec;

/// Whether a hello is of this protocol, and names the cell that is served here.
pub fn is_compatible(peer: net::SocketAddr, version: u16, named: u16, cell: u16) -> bool {
    let ours = version == codec::PROTOCOL_VERSION && named == cell;
    if !ours {
        event::control::SESSION_REFUSED.log(format_args!(
            "peer={peer} version={version} ours={} cell={named} served={cell}",
            codec::PROTOCOL_VERSION
        ));
    }
    ours
}
