//! Identity of the instances towards each other.
//!
//! All instances of a deployment share one certificate, which the store keeps: whoever starts first makes it. Both sides of
//! a link show it, so that no stranger is heard.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnutstage_daemon::tls::{Identity, TlsError};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use thiserror::Error;

/// Name that the shared certificate is made out to.
pub(crate) const CERTIFICATE_NAME: &str = "chestnutstage";
/// Protocol name in the handshake.
const ALPN: &[u8] = b"chestnutstage-gateway/1";
/// Silence after which a connection is dead.
const IDLE_LIMIT_MS: u32 = 2_500;
/// Datagrams that wait to be read, in bytes.
const DATAGRAM_BUFFER: usize = 4 << 20;

/// Why links can't be set up.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The certificate can't be made.
    #[error("certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// The certificate can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The port can't be bound.
    #[error("bind of {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// A fresh certificate with its key, as one PEM text.
///
/// # Errors
///
/// [`LinkError::Certificate`] if the key can't be made.
pub(crate) fn fresh_identity() -> Result<String, LinkError> {
    let made = rcgen::generate_simple_self_signed(vec![CERTIFICATE_NAME.to_owned()])?;
    Ok(format!("{}{}", made.cert.pem(), made.signing_key.serialize_pem()))
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_LIMIT_MS))));
    transport.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER));
    Arc::new(transport)
}

/// Configurations of links that peers open and of links to them.
///
/// # Errors
///
/// [`LinkError::Tls`] if the identity can't be used.
pub(crate) fn configs(identity: &str) -> Result<(ServerConfig, ClientConfig), LinkError> {
    let identity = Identity::parse(identity)?;
    Ok((identity.server(ALPN, transport())?, identity.client(ALPN, transport())?))
}
