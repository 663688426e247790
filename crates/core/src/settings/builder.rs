//! Builds settings in code, for tests and programs that embed a host.

use std::sync::Arc;

use super::{HostSettings, RequestLimits, TlsFiles, parse};
use crate::document::Finding;

/// Builds [`HostSettings`].
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: HostSettings,
}

impl SettingsBuilder {
    pub(super) fn new(name: &str) -> SettingsBuilder {
        let empty: Arc<str> = "".into();
        let settings = HostSettings {
            name: name.into(),
            region: empty.clone(),
            failure_domain: empty.clone(),
            listen: empty.clone(),
            peer_listen: empty.clone(),
            peer_advertise: None,
            peer_key: empty,
            operator_digests: Vec::new(),
            store: Vec::new(),
            host_list: None,
            weight_store: None,
            seeds: Vec::new(),
            capacity: 1,
            tls: None,
            limits: RequestLimits::default(),
        };
        SettingsBuilder { settings }
    }

    /// Region and failure domain of the host.
    pub fn location(mut self, region: &str, failure_domain: &str) -> SettingsBuilder {
        self.settings.region = region.into();
        self.settings.failure_domain = failure_domain.into();
        self
    }

    /// Addresses for callers and for other hosts.
    pub fn addresses(mut self, listen: &str, peer_listen: &str) -> SettingsBuilder {
        self.settings.listen = listen.into();
        self.settings.peer_listen = peer_listen.into();
        self
    }

    /// Address that other hosts use instead of the one for peers.
    pub fn peer_advertise(mut self, address: &str) -> SettingsBuilder {
        self.settings.peer_advertise = Some(address.into());
        self
    }

    /// Secret shared by all hosts.
    pub fn peer_key(mut self, key: &str) -> SettingsBuilder {
        self.settings.peer_key = key.into();
        self
    }

    /// Adds the BLAKE3 digest of an operator's bearer token.
    pub fn operator_digest(mut self, digest: &str) -> SettingsBuilder {
        self.settings.operator_digests.push(digest.into());
        self
    }

    /// Adds an address of the key-value service.
    pub fn store(mut self, address: &str) -> SettingsBuilder {
        self.settings.store.push(address.into());
        self
    }

    /// Address of the host list.
    pub fn host_list(mut self, address: &str) -> SettingsBuilder {
        self.settings.host_list = Some(address.into());
        self
    }

    /// Address of the weight store, as `ip:port`.
    pub fn weight_store(mut self, address: &str) -> SettingsBuilder {
        self.settings.weight_store = Some(address.into());
        self
    }

    /// Adds a peer address to contact first.
    pub fn seed(mut self, address: &str) -> SettingsBuilder {
        self.settings.seeds.push(address.into());
        self
    }

    /// Capacity relative to other hosts.
    pub fn capacity(mut self, capacity: u32) -> SettingsBuilder {
        self.settings.capacity = capacity;
        self
    }

    /// Files for TLS.
    pub fn tls(mut self, files: TlsFiles) -> SettingsBuilder {
        self.settings.tls = Some(files);
        self
    }

    /// Bounds on what a caller may send.
    pub fn limits(mut self, limits: RequestLimits) -> SettingsBuilder {
        self.settings.limits = limits;
        self
    }

    /// The settings, or every finding. The rules are those of a settings file.
    pub fn build(self) -> Result<HostSettings, Vec<Finding>> {
        let text = serde_json::to_string(&self.settings).expect("settings are plain data");
        parse(&text)
    }
}
