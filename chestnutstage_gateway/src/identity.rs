//! Identity of the instances towards each other.
//!
//! All instances of a deployment share one certificate, which the store keeps: whoever starts first makes it. Both sides of
//! a link show it, so that no stranger is heard.

use std::net::SocketAddr;
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use thiserror::Error;

/// Name that the shared certificate is made out to.
pub(crate) const NAME: &str = "chestnutstage";
/// Protocol name in the handshake.
const ALPN: &[u8] = b"chestnutstage-gateway/1";
/// Silence after which a connection is dead.
const IDLE_LIMIT_MS: u32 = 2_500;
/// Datagrams that wait to be read, in bytes.
const DATAGRAM_BUFFER: usize = 4 << 20;

/// Why links can't be set up.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The certificate can't be made or read.
    #[error("certificate: {0}")]
    Certificate(String),
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
    let made = rcgen::generate_simple_self_signed(vec![NAME.to_owned()]);
    let made = made.map_err(|e| LinkError::Certificate(e.to_string()))?;
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
/// [`LinkError::Certificate`] if the identity can't be used.
pub(crate) fn configs(identity: &str) -> Result<(ServerConfig, ClientConfig), LinkError> {
    let failed = |e: &dyn std::fmt::Display| LinkError::Certificate(e.to_string());
    let certificate = CertificateDer::from_pem_slice(identity.as_bytes()).map_err(|e| failed(&e))?;
    let key = PrivateKeyDer::from_pem_slice(identity.as_bytes()).map_err(|e| failed(&e))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut roots = RootCertStore::empty();
    roots.add(certificate.clone()).map_err(|e| failed(&e))?;
    let roots = Arc::new(roots);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|e| failed(&e))?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| failed(&e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![certificate.clone()], key.clone_key())
        .map_err(|e| failed(&e))?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| failed(&e))?
        .with_root_certificates(roots)
        .with_client_auth_cert(vec![certificate], key)
        .map_err(|e| failed(&e))?;
    client.alpn_protocols = vec![ALPN.to_vec()];
    let server = QuicServerConfig::try_from(server).map_err(|e| failed(&e))?;
    let client = QuicClientConfig::try_from(client).map_err(|e| failed(&e))?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    let mut client = ClientConfig::new(Arc::new(client));
    server.transport_config(transport());
    client.transport_config(transport());
    Ok((server, client))
}
