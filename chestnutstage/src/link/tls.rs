//! Transport parameters of links, and verification of peers by their certificates.
//!
//! The fleet's certificate authority issues one certificate per instance, for the instance's name. Both sides of a link
//! present theirs; an unknown issuer, a wrong name or an expired certificate is rejected.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use quinn::{IdleTimeout, TransportConfig, VarInt};
use rustls::pki_types::{CertificateDer, ServerName};

/// ALPN protocol name.
pub(super) const ALPN: &[u8] = b"chestnutstage/1";
/// Idle timeout of a connection.
const IDLE_TIMEOUT_MS: u32 = 6_000;
/// Interval between keepalives on an open connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of streams that a peer may have open on a connection.
const STREAMS_MAX: u32 = 4_096;

/// Transport parameters of a link.
pub(super) fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    transport.keep_alive_interval(Some(KEEPALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_MAX));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    Arc::new(transport)
}

/// Whether the certificate that the peer presented on `connection` is valid for `name`.
pub(crate) fn is_certificate_for(connection: &quinn::Connection, name: &InstanceId) -> bool {
    let Some(identity) = connection.peer_identity() else {
        return false;
    };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else {
        return false;
    };
    let Some(end_entity) = chain.first() else { return false };
    let (Ok(end_entity), Ok(name)) =
        (webpki::EndEntityCert::try_from(end_entity), ServerName::try_from(name.as_str()))
    else {
        return false;
    };
    end_entity.verify_is_valid_for_subject_name(&name).is_ok()
}
