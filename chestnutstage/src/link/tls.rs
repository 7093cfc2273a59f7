//! Identity of an instance towards its peers.
//!
//! The fleet's authority signs one certificate for each instance, made out to the instance's name. Both sides of a link
//! show theirs; a stranger, a wrong name or an expired certificate ends the handshake.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use quinn::{IdleTimeout, TransportConfig, VarInt};
use rustls::pki_types::{CertificateDer, ServerName};

/// Protocol name in the handshake.
pub(super) const ALPN: &[u8] = b"chestnutstage/1";
/// Silence after which a connection is dead.
const IDLE_LIMIT_MS: u32 = 6_000;
/// Interval of keepalives on a connection in use.
const KEEPALIVE: Duration = Duration::from_secs(2);
/// Streams that a peer may have open at a time.
const STREAMS_MAX: u32 = 4_096;

/// Limits of a link.
pub(super) fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_LIMIT_MS))));
    transport.keep_alive_interval(Some(KEEPALIVE));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_MAX));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    Arc::new(transport)
}

/// Whether the certificate chain of a connection is made out to `name`.
pub(crate) fn is_made_out_to(connection: &quinn::Connection, name: &InstanceId) -> bool {
    let Some(identity) = connection.peer_identity() else {
        return false;
    };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else {
        return false;
    };
    let Some(end) = chain.first() else { return false };
    let (Ok(end), Ok(name)) = (webpki::EndEntityCert::try_from(end), ServerName::try_from(name.as_str()))
    else {
        return false;
    };
    end.verify_is_valid_for_subject_name(&name).is_ok()
}
