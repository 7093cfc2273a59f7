//! Mutual TLS between the instances.
//!
//! All instances of a deployment share one certificate, which the first one to start generates and the store holds.
//! Both sides of a link present it, so that only instances of the deployment can connect.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnutstage_daemon::tls::{Identity, TlsError};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use thiserror::Error;

/// Subject name of the shared certificate.
pub(crate) const CERTIFICATE_NAME: &str = "chestnutstage";
/// Application protocol in the TLS handshake.
const ALPN: &[u8] = b"chestnutstage-gateway/2";
/// Time without packets after which a connection is closed.
const IDLE_TIMEOUT_MS: u32 = 2_500;
/// Request streams that a peer may have open at the same time; each request that was placed for it keeps one.
const STREAMS_MAX: u32 = 512;
/// Size of the receive buffer for datagrams.
const DATAGRAM_BUFFER_BYTES: usize = 4 << 20;

/// Why the links to the other instances can't be set up.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The certificate can't be generated.
    #[error("can't generate the shared certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// The certificate can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The port can't be bound.
    #[error("can't bind {address}: {source}")]
    Bind {
        /// Address of the port.
        address: SocketAddr,
        /// Cause of the failure.
        source: std::io::Error,
    },
}

/// Generates a certificate with its key, as one PEM text.
///
/// # Errors
///
/// [`LinkError::Certificate`] if the key or the certificate can't be generated.
pub(crate) fn generate_identity() -> Result<String, LinkError> {
    let certified = rcgen::generate_simple_self_signed(vec![CERTIFICATE_NAME.to_owned()])?;
    Ok(format!("{}{}", certified.cert.pem(), certified.signing_key.serialize_pem()))
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_MAX));
    transport.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES));
    Arc::new(transport)
}

/// Server and client configurations of the links.
///
/// # Errors
///
/// [`LinkError::Tls`] if the identity can't be used.
pub(crate) fn configs(identity: &str) -> Result<(ServerConfig, ClientConfig), LinkError> {
    let identity = Identity::parse(identity)?;
    Ok((identity.server(ALPN, transport())?, identity.client(ALPN, transport())?))
}
