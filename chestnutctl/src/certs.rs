//! Creation of the fleet's certificate authority and of the instances' certificates.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::error::CtlError;

/// Common name in the authority's certificate.
const AUTHORITY_NAME: &str = "chestnutstage fleet authority";

/// Creates a certificate for each of `instances` in `out`, and the authority first if `out` has none.
pub(crate) fn create(out: &Path, instances: &[String]) -> Result<(), CtlError> {
    fs::create_dir_all(out).map_err(|source| CtlError::File {
        step: "creation",
        path: out.to_owned(),
        source,
    })?;
    let (certificate, key) = (out.join("authority.pem"), out.join("authority.key"));
    if !certificate.exists() {
        create_authority(&certificate, &key)?;
    }
    // Signing uses only the authority's name and key, so its certificate file need not be parsed.
    let issuer = Issuer::new(authority_params()?, KeyPair::from_pem(&read(&key)?)?);
    for instance in instances {
        create_instance(out, instance, &issuer)?;
    }
    Ok(())
}

fn create_authority(certificate: &Path, key: &Path) -> Result<(), CtlError> {
    let pair = KeyPair::generate()?;
    write(certificate, &authority_params()?.self_signed(&pair)?.pem())?;
    write_private(key, &pair.serialize_pem())
}

fn authority_params() -> Result<CertificateParams, CtlError> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_NAME);
    Ok(params)
}

fn create_instance(out: &Path, instance: &str, issuer: &Issuer<'static, KeyPair>) -> Result<(), CtlError> {
    let pair = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![instance.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, instance);
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    write(&out.join(format!("{instance}.pem")), &params.signed_by(&pair, issuer)?.pem())?;
    write_private(&out.join(format!("{instance}.key")), &pair.serialize_pem())
}

fn read(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).map_err(|source| CtlError::File { step: "read", path: path.to_owned(), source })
}

fn write(path: &Path, text: &str) -> Result<(), CtlError> {
    fs::write(path, text).map_err(|source| CtlError::File { step: "write", path: path.to_owned(), source })
}

/// Writes a file and restricts access to its owner.
fn write_private(path: &Path, text: &str) -> Result<(), CtlError> {
    write(path, text)?;
    let permissions = fs::Permissions::from_mode(0o600);
    fs::set_permissions(path, permissions).map_err(|source| CtlError::File {
        step: "protection",
        path: path.to_owned(),
        source,
    })
}
