//! TLS for links between instances.
//!
//! Both sides of a link present a certificate signed by the same authority; otherwise the handshake fails. Instances that
//! share one certificate may use it as its own authority.

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

/// Error in loading or using certificates.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file can't be read.
    #[error("cannot read {path}: {reason}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        reason: String,
    },
    /// A PEM text lacks a valid certificate or key.
    #[error("invalid PEM text: {0}")]
    Text(#[from] rustls::pki_types::pem::Error),
    /// The certificate, the key or the TLS configuration is invalid.
    #[error("invalid certificate, key or TLS configuration: {0}")]
    Tls(#[from] rustls::Error),
    /// The authority's certificate can't be used.
    #[error("authority: {0}")]
    Authority(String),
    /// No cipher suite is usable for QUIC.
    #[error("cipher suites: {0}")]
    Suites(#[from] NoInitialCipherSuite),
}

/// Certificate and key of an instance, and the authority that signs its peers' certificates.
#[derive(Debug)]
pub struct Identity {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

fn read_pem<T: PemObject>(path: &Path) -> Result<T, TlsError> {
    T::from_pem_file(path).map_err(|e| TlsError::Read { path: path.to_owned(), reason: e.to_string() })
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

impl Identity {
    /// Reads the certificates from PEM files.
    ///
    /// # Errors
    ///
    /// [`TlsError::Read`] names the file.
    pub fn load(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, TlsError> {
        Ok(Self { authority: read_pem(authority)?, certificate: read_pem(certificate)?, key: read_pem(key)? })
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

    fn root_store(&self) -> Result<Arc<RootCertStore>, TlsError> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone())?;
        Ok(Arc::new(roots))
    }

    /// Server configuration for links that peers open; `protocol` is the ALPN protocol name.
    ///
    /// # Errors
    ///
    /// The certificate, its key or the authority is invalid.
    pub fn server(&self, protocol: &[u8], transport: Arc<TransportConfig>) -> Result<ServerConfig, TlsError> {
        let verifier = WebPkiClientVerifier::builder_with_provider(self.root_store()?, crypto_provider())
            .build()
            .map_err(|e| TlsError::Authority(e.to_string()))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        tls.alpn_protocols = vec![protocol.to_vec()];
        let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?));
        config.transport_config(transport);
        Ok(config)
    }

    /// Client configuration for links that this instance opens; `protocol` is the ALPN protocol name.
    ///
    /// # Errors
    ///
    /// The certificate, its key or the authority is invalid.
    pub fn client(&self, protocol: &[u8], transport: Arc<TransportConfig>) -> Result<ClientConfig, TlsError> {
        let mut tls = rustls::ClientConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.root_store()?)
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        tls.alpn_protocols = vec![protocol.to_vec()];
        let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
        config.transport_config(transport);
        Ok(config)
    }
}
