//! TLS towards callers and operators. The files are read again when they change, so a certificate
//! is renewed without a restart.

use std::{
    cell::RefCell,
    fs, io,
    path::Path,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime},
};

use async_io::Timer;
use futures_rustls::{
    TlsAcceptor,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    rustls::{ServerConfig, crypto::ring},
};
use parsley_core::settings::TlsFiles;

use crate::{error::NodeError, event, host::HostRef};

/// Time between two looks at the files.
const POLL_PERIOD: Duration = Duration::from_secs(1);

/// The acceptor in use, replaced when the files change.
pub type AcceptorCell = Rc<RefCell<TlsAcceptor>>;

/// Reads the files and starts to follow their changes. Fails if they are not valid, so that no host
/// starts without the encryption it should have.
pub fn start(host: &HostRef, files: &TlsFiles) -> Result<AcceptorCell, NodeError> {
    let seen = modified(files);
    let cell = Rc::new(RefCell::new(load(files)?));
    host.spawn(follow(host.clone(), files.clone(), cell.clone(), seen));
    Ok(cell)
}

async fn follow(
    host: HostRef,
    files: TlsFiles,
    cell: AcceptorCell,
    mut seen: [Option<SystemTime>; 2],
) {
    loop {
        Timer::after(POLL_PERIOD).await;
        let now = modified(&files);
        if now == seen {
            continue;
        }
        seen = now;
        match load(&files) {
            Ok(acceptor) => {
                cell.replace(acceptor);
                event!(host.log, TLS_RELOADED, "file" => &*files.certificate_file);
            }
            // The files are written one after the other; the pair may match at the next change.
            Err(err) => event!(host.log, TLS_NOT_RELOADED, "file" => &*files.certificate_file,
                "error" => %err),
        }
    }
}

fn modified(files: &TlsFiles) -> [Option<SystemTime>; 2] {
    let time = |file: &str| fs::metadata(file).and_then(|data| data.modified()).ok();
    [time(&files.certificate_file), time(&files.key_file)]
}

fn load(files: &TlsFiles) -> Result<TlsAcceptor, NodeError> {
    let chain = CertificateDer::pem_file_iter(&*files.certificate_file)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|err| wrong(&files.certificate_file, err))?;
    let key = PrivateKeyDer::from_pem_file(&*files.key_file)
        .map_err(|err| wrong(&files.key_file, err))?;
    let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .and_then(|builder| builder.with_no_client_auth().with_single_cert(chain, key))
        .map_err(|err| wrong(&files.certificate_file, err))?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn wrong(file: &str, err: impl std::fmt::Display) -> NodeError {
    NodeError::Read(Path::new(file).to_owned(), io::Error::other(err.to_string()))
}
