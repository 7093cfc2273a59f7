//! The fleet's authority and the instances' certificates.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::error::CtlError;

/// Name of the authority in its certificate.
const AUTHORITY_NAME: &str = "chestnutstage fleet authority";

/// Makes the authority, if `out` has none, and a certificate for each of `instances`.
pub(crate) fn make(out: &Path, instances: &[String]) -> Result<(), CtlError> {
    fs::create_dir_all(out).map_err(|source| CtlError::File {
        step: "creation",
        path: out.to_owned(),
        source,
    })?;
    let (certificate, key) = (out.join("authority.pem"), out.join("authority.key"));
    if !certificate.exists() {
        make_authority(&certificate, &key)?;
    }
    // The issuer's part of a certificate follows from its name and its key alone.
    let issuer = Issuer::new(authority()?, KeyPair::from_pem(&read(&key)?)?);
    for instance in instances {
        make_instance(out, instance, &issuer)?;
    }
    Ok(())
}

fn make_authority(certificate: &Path, key: &Path) -> Result<(), CtlError> {
    let pair = KeyPair::generate()?;
    write(certificate, &authority()?.self_signed(&pair)?.pem())?;
    write_secret(key, &pair.serialize_pem())
}

fn authority() -> Result<CertificateParams, CtlError> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_NAME);
    Ok(params)
}

fn make_instance(out: &Path, instance: &str, issuer: &Issuer<'static, KeyPair>) -> Result<(), CtlError> {
    let pair = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![instance.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, instance);
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    write(&out.join(format!("{instance}.pem")), &params.signed_by(&pair, issuer)?.pem())?;
    write_secret(&out.join(format!("{instance}.key")), &pair.serialize_pem())
}

fn read(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).map_err(|source| CtlError::File { step: "read", path: path.to_owned(), source })
}

fn write(path: &Path, text: &str) -> Result<(), CtlError> {
    fs::write(path, text).map_err(|source| CtlError::File { step: "write", path: path.to_owned(), source })
}

/// Writes a file that only its owner may read.
fn write_secret(path: &Path, text: &str) -> Result<(), CtlError> {
    write(path, text)?;
    let permissions = fs::Permissions::from_mode(0o600);
    fs::set_permissions(path, permissions).map_err(|source| CtlError::File {
        step: "protection",
        path: path.to_owned(),
        source,
    })
}
