//! Tests of TLS between `parsleyctl` and a host process.

mod fixture;

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use fixture::{Run, builder, command, finish};
use parsley_standins::{fleet::free_address, solo::OPERATOR_TOKEN};
use serde_json::json;

/// A self-signed certificate for one address and its key, in temporary files that are removed on
/// drop.
struct CertificateFiles {
    certificate: PathBuf,
    key: PathBuf,
}

impl CertificateFiles {
    fn new(address: SocketAddr) -> CertificateFiles {
        let base = std::env::temp_dir().join(format!("parsley-tls-{:016x}", fastrand::u64(..)));
        let files = CertificateFiles {
            certificate: base.with_extension("pem"),
            key: base.with_extension("key"),
        };
        files.write(address);
        files
    }

    fn write(&self, address: SocketAddr) {
        let certified = rcgen::generate_simple_self_signed([address.ip().to_string()]).unwrap();
        std::fs::write(&self.key, certified.signing_key.serialize_pem()).unwrap();
        std::fs::write(&self.certificate, certified.cert.pem()).unwrap();
    }

    fn settings(&self) -> serde_json::Value {
        json!({"certificate_file": self.certificate, "key_file": self.key})
    }
}

impl Drop for CertificateFiles {
    fn drop(&mut self) {
        drop(std::fs::remove_file(&self.certificate));
        drop(std::fs::remove_file(&self.key));
    }
}

fn status(address: SocketAddr, ca: Option<&CertificateFiles>) -> Run {
    let mut command = command(&["status", "--timeout", "5"]);
    command.env("PARSLEY_SERVER", address.to_string()).env("PARSLEY_TOKEN", OPERATOR_TOKEN);
    if let Some(files) = ca {
        command.args(["--ca", files.certificate.to_str().unwrap()]);
    }
    finish(command, "")
}

/// The client must reject an untrusted certificate during the handshake, before it sends its token.
/// A host with TLS must not serve plain HTTP.
#[test]
fn only_trusted_certificates_are_accepted() {
    let (address, reserved) = free_address().unwrap();
    let (files, other) = (CertificateFiles::new(address), CertificateFiles::new(address));
    drop(reserved);
    let host = builder().address(address).setting("tls", files.settings()).start().unwrap();
    let run = status(address, Some(&files));
    assert_eq!(run.code, Some(0), "{run:?}");
    assert!(run.stdout.contains("Host:           solo"));
    let run = status(address, Some(&other));
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.stderr.contains("certificate"), "{run:?}");
    assert_eq!(status(address, None).code, Some(1));
    drop(host);
}

/// A renewed certificate must take effect without a restart. While the file is damaged, the host
/// must keep serving with the previous certificate.
#[test]
fn changed_files_are_loaded_and_damaged_ones_are_not() {
    let (address, reserved) = free_address().unwrap();
    let (files, old) = (CertificateFiles::new(address), CertificateFiles::new(address));
    drop(reserved);
    std::fs::copy(&files.certificate, &old.certificate).unwrap();
    let host = builder().address(address).setting("tls", files.settings()).start().unwrap();
    let await_event = |number: &str| {
        (0..2_000).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            host.log().unwrap().iter().any(|line| line["event"] == number)
        })
    };
    std::fs::write(&files.certificate, "damaged").unwrap();
    assert!(await_event("E1005"), "{:?}", host.log());
    assert_eq!(status(address, Some(&old)).code, Some(0));
    files.write(address);
    assert!(await_event("E1004"), "{:?}", host.log());
    assert_eq!(status(address, Some(&files)).code, Some(0));
    assert_eq!(status(address, Some(&old)).code, Some(1));
}

/// A host must not start without TLS if its settings enable TLS but the files are missing.
#[test]
fn missing_file_stops_the_start() {
    let tls = json!({"certificate_file": "/no/such.pem", "key_file": "/no/such.key"});
    let failed = builder().setting("tls", tls).start();
    let text = failed.err().map(|err| err.to_string()).unwrap_or_default();
    assert!(text.contains("/no/such.pem"), "{text}");
}

/// A CA file without a certificate must be an error instead of disabling verification.
#[test]
fn empty_ca_file_is_wrong_input() {
    let (address, _) = free_address().unwrap();
    let files = CertificateFiles::new(address);
    std::fs::write(&files.certificate, "").unwrap();
    let run = status(address, Some(&files));
    assert_eq!(run.code, Some(2), "{run:?}");
}
