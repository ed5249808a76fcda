//! Check of the first message of a session, which has to match this protocol version and cell.

use std::net;

use crate::telemetry::event;
use crate::wire::codec;

/// Whether a hello has this protocol version and the served cell. Logs a mismatch.
pub fn is_compatible(peer: net::SocketAddr, version: u16, requested: u16, cell: u16) -> bool {
    let compatible = version == codec::PROTOCOL_VERSION && requested == cell;
    if !compatible {
        event::control::SESSION_REFUSED.log(format_args!(
            "peer={peer} version={version} ours={} cell={requested} served={cell}",
            codec::PROTOCOL_VERSION
        ));
    }
    compatible
}
