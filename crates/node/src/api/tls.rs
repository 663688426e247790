//! TLS for connections of callers and operators. Changed certificate files are reloaded without a
//! restart.

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

/// Interval at which the files are checked for changes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The acceptor for new connections, replaced when the files change.
pub type AcceptorCell = Rc<RefCell<TlsAcceptor>>;

/// Loads the files and starts to watch them for changes.
///
/// Fails if the files are not valid, so that a host configured for TLS never starts without it.
pub fn start(host: &HostRef, files: &TlsFiles) -> Result<AcceptorCell, NodeError> {
    let loaded_times = modification_times(files);
    let cell = Rc::new(RefCell::new(load(files)?));
    host.spawn(reload_on_change(host.clone(), files.clone(), cell.clone(), loaded_times));
    Ok(cell)
}

async fn reload_on_change(
    host: HostRef,
    files: TlsFiles,
    cell: AcceptorCell,
    mut loaded_times: [Option<SystemTime>; 2],
) {
    loop {
        Timer::after(POLL_INTERVAL).await;
        let current_times = modification_times(&files);
        if current_times == loaded_times {
            continue;
        }
        loaded_times = current_times;
        match load(&files) {
            Ok(acceptor) => {
                cell.replace(acceptor);
                event!(host.log, TLS_RELOADED, "file" => &*files.certificate_file);
            }
            // Certificate and key are replaced one after the other, so a mismatch may be transient.
            // The next change triggers another attempt.
            Err(err) => event!(host.log, TLS_NOT_RELOADED, "file" => &*files.certificate_file,
                "error" => %err),
        }
    }
}

/// Returns the modification times of the certificate and key files, `None` for one that cannot be
/// read.
fn modification_times(files: &TlsFiles) -> [Option<SystemTime>; 2] {
    let time = |file: &str| fs::metadata(file).and_then(|data| data.modified()).ok();
    [time(&files.certificate_file), time(&files.key_file)]
}

fn load(files: &TlsFiles) -> Result<TlsAcceptor, NodeError> {
    let chain = CertificateDer::pem_file_iter(&*files.certificate_file)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|err| read_error(&files.certificate_file, err))?;
    let key = PrivateKeyDer::from_pem_file(&*files.key_file)
        .map_err(|err| read_error(&files.key_file, err))?;
    let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .and_then(|builder| builder.with_no_client_auth().with_single_cert(chain, key))
        .map_err(|err| read_error(&files.certificate_file, err))?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn read_error(file: &str, err: impl std::fmt::Display) -> NodeError {
    NodeError::Read(Path::new(file).to_owned(), io::Error::other(err.to_string()))
}
