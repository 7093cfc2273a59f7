//! Identity of an instance towards its peers.
//!
//! The fleet's authority signs one certificate for each instance, made out to the instance's name. Both sides of a link
//! show theirs; a stranger, a wrong name or an expired certificate ends the handshake.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use thiserror::Error;

/// Protocol name in the handshake.
const ALPN: &[u8] = b"chestnutstage/1";
/// Silence after which a connection is dead.
const IDLE_LIMIT_MS: u32 = 6_000;
/// Interval of keepalives on a connection in use.
const KEEPALIVE: Duration = Duration::from_secs(2);
/// Streams that a peer may have open at a time.
const STREAMS_MAX: u32 = 4_096;

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

/// Certificates of an instance.
#[derive(Debug)]
pub(crate) struct Identity {
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
    pub(crate) fn load(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, TlsError> {
        Ok(Self { authority: read(authority)?, certificate: read(certificate)?, key: read(key)? })
    }

    fn roots(&self) -> Result<Arc<RootCertStore>, TlsError> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone())?;
        Ok(Arc::new(roots))
    }

    /// Configuration for links that peers open.
    pub(crate) fn server(&self) -> Result<ServerConfig, TlsError> {
        let verifier = WebPkiClientVerifier::builder_with_provider(self.roots()?, provider())
            .build()
            .map_err(|e| TlsError::Authority(e.to_string()))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?));
        config.transport_config(transport());
        Ok(config)
    }

    /// Configuration for links that this instance opens.
    pub(crate) fn client(&self) -> Result<ClientConfig, TlsError> {
        let mut tls = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
        config.transport_config(transport());
        Ok(config)
    }
}

fn transport() -> Arc<TransportConfig> {
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
