//! A builder of settings for tests and for programs that embed a host.

use std::sync::Arc;

use super::{HostSettings, RequestLimits, TlsFiles, parse};
use crate::document::Finding;

/// Builds [`HostSettings`] in code. [`SettingsBuilder::build`] checks them like a settings file.
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

    /// Sets the region and the failure domain of the host.
    pub fn location(mut self, region: &str, failure_domain: &str) -> SettingsBuilder {
        self.settings.region = region.into();
        self.settings.failure_domain = failure_domain.into();
        self
    }

    /// Sets the addresses on which the host listens for callers and for other hosts, as `ip:port`.
    pub fn addresses(mut self, listen: &str, peer_listen: &str) -> SettingsBuilder {
        self.settings.listen = listen.into();
        self.settings.peer_listen = peer_listen.into();
        self
    }

    /// Sets the address that other hosts use in place of `peer_listen`, as `ip:port`.
    pub fn peer_advertise(mut self, address: &str) -> SettingsBuilder {
        self.settings.peer_advertise = Some(address.into());
        self
    }

    /// Sets the secret that all hosts share.
    pub fn peer_key(mut self, key: &str) -> SettingsBuilder {
        self.settings.peer_key = key.into();
        self
    }

    /// Adds the BLAKE3 digest of an operator's bearer token.
    pub fn operator_digest(mut self, digest: &str) -> SettingsBuilder {
        self.settings.operator_digests.push(digest.into());
        self
    }

    /// Adds an address of the key-value service, as `ip:port`.
    pub fn store(mut self, address: &str) -> SettingsBuilder {
        self.settings.store.push(address.into());
        self
    }

    /// Sets the address of the host list, as `ip:port`.
    pub fn host_list(mut self, address: &str) -> SettingsBuilder {
        self.settings.host_list = Some(address.into());
        self
    }

    /// Sets the address of the weight store, as `ip:port`.
    pub fn weight_store(mut self, address: &str) -> SettingsBuilder {
        self.settings.weight_store = Some(address.into());
        self
    }

    /// Adds the address of a peer that is contacted first, as `ip:port`.
    pub fn seed(mut self, address: &str) -> SettingsBuilder {
        self.settings.seeds.push(address.into());
        self
    }

    /// Sets the capacity relative to other hosts; 1 if not set.
    pub fn capacity(mut self, capacity: u32) -> SettingsBuilder {
        self.settings.capacity = capacity;
        self
    }

    /// Sets the files for TLS; without them the host serves plain HTTP.
    pub fn tls(mut self, files: TlsFiles) -> SettingsBuilder {
        self.settings.tls = Some(files);
        self
    }

    /// Sets the limits on requests.
    pub fn limits(mut self, limits: RequestLimits) -> SettingsBuilder {
        self.settings.limits = limits;
        self
    }

    /// Returns the settings, or all findings if they break a rule for settings files.
    pub fn build(self) -> Result<HostSettings, Vec<Finding>> {
        let text = serde_json::to_string(&self.settings).expect("settings are plain data");
        parse(&text)
    }
}
