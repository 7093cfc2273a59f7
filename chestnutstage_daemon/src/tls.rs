//! TLS of links between instances.
//!
//! Both sides of a link show a certificate that one authority signed; a stranger ends the handshake. A certificate may be
//! its own authority, for instances that share one.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig, TransportConfig};
use rustls::RootCertStore;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use thiserror::Error;

/// Certificates can't be used.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file can't be read.
    #[error("read of {path}: {reason}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        reason: String,
    },
    /// A text is no certificate with its key.
    #[error("PEM text: {0}")]
    Text(#[from] rustls::pki_types::pem::Error),
    /// The certificates don't go together.
    #[error("certificates: {0}")]
    Tls(#[from] rustls::Error),
    /// The authority can't be used.
    #[error("authority: {0}")]
    Authority(String),
    /// The cipher suites don't fit QUIC.
    #[error("cipher suites: {0}")]
    Suites(#[from] NoInitialCipherSuite),
}

/// Certificate of an instance, its key, and the authority that signs those of its peers.
#[derive(Debug)]
pub struct Identity {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

fn read<T: PemObject>(path: &Path) -> Result<T, TlsError> {
    T::from_pem_file(path).map_err(|e| TlsError::Read { path: path.to_owned(), reason: e.to_string() })
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

impl Identity {
    /// Reads the certificates from PEM files.
    ///
    /// # Errors
    ///
    /// [`TlsError::Read`] names the file.
    pub fn load(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, TlsError> {
        Ok(Self { authority: read(authority)?, certificate: read(certificate)?, key: read(key)? })
    }

    /// Reads a certificate that is its own authority, with its key, from PEM text.
    ///
    /// # Errors
    ///
    /// [`TlsError::Text`] if either is missing or can't be read.
    pub fn parse(text: &str) -> Result<Self, TlsError> {
        let certificate = CertificateDer::from_pem_slice(text.as_bytes())?;
        let key = PrivateKeyDer::from_pem_slice(text.as_bytes())?;
        Ok(Self { authority: certificate.clone(), certificate, key })
    }

    fn roots(&self) -> Result<Arc<RootCertStore>, TlsError> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone())?;
        Ok(Arc::new(roots))
    }

    /// Configuration for links that peers open; `protocol` is named in the handshake.
    ///
    /// # Errors
    ///
    /// The certificates don't go together.
    pub fn server(&self, protocol: &[u8], transport: Arc<TransportConfig>) -> Result<ServerConfig, TlsError> {
        let verifier = WebPkiClientVerifier::builder_with_provider(self.roots()?, provider())
            .build()
            .map_err(|e| TlsError::Authority(e.to_string()))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        tls.alpn_protocols = vec![protocol.to_vec()];
        let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?));
        config.transport_config(transport);
        Ok(config)
    }

    /// Configuration for links that this instance opens; `protocol` is named in the handshake.
    ///
    /// # Errors
    ///
    /// The certificates don't go together.
    pub fn client(&self, protocol: &[u8], transport: Arc<TransportConfig>) -> Result<ClientConfig, TlsError> {
        let mut tls = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        tls.alpn_protocols = vec![protocol.to_vec()];
        let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
        config.transport_config(transport);
        Ok(config)
    }
}
