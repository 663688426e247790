//! Faults of a fleet's stand-ins, and what its engines and services did.

use std::{io, net::SocketAddr, time::Duration};

use http_types::Method;
use serde_json::Value;

use super::{Fleet, RelayRoute};
use crate::{caller, engine::EngineFaults, service::ServiceLog, store::StoreFaults};

/// Unit of processor time in `/proc`, in milliseconds.
const TICK_MS: u64 = 10;

impl Fleet {
    /// Faults of the key-value service.
    pub fn store_faults(&self) -> &StoreFaults {
        &self.store_faults
    }

    /// Faults of an engine.
    pub fn engine_faults(&self, index: usize) -> &EngineFaults {
        &self.engine_faults[index]
    }

    /// What the plain services ran.
    pub fn service_log(&self) -> &ServiceLog {
        &self.service_log
    }

    /// Makes the open connections on a route silent for good; new ones pass.
    pub fn silence(&self, route: RelayRoute) {
        let relays = self.relays.iter().filter(|(at, _)| *at == route);
        relays.for_each(|(_, relay)| relay.silence());
    }

    /// The address of a relay, or none if the fleet has none on this route.
    pub fn relay(&self, route: RelayRoute) -> Option<SocketAddr> {
        let found = self.relays.iter().find(|(at, _)| *at == route);
        found.map(|(_, relay)| relay.address())
    }

    /// Tokens of memory held on all engines that run.
    pub fn held_tokens(&self) -> u64 {
        // An engine that does not answer is not known to hold nothing.
        let held = |body: Option<Value>| body.and_then(|body| body["held"].as_u64());
        let all = self.ask_engines("/held").into_iter().map(|body| held(body).unwrap_or(u64::MAX));
        all.fold(0, u64::saturating_add)
    }

    /// Whether a host's process was started and not killed.
    pub fn is_running(&self, index: usize) -> bool {
        self.hosts[index].child.is_some()
    }

    /// Whether an engine runs.
    pub fn is_engine_running(&self, index: usize) -> bool {
        self.engines[index].is_some()
    }

    /// Number of streams that are not finished on all engines that run.
    pub fn open_streams(&self) -> usize {
        let count = |body: Value| body["streams"].as_array().map_or(0, Vec::len);
        self.ask_engines("/streams?open=1").into_iter().flatten().map(count).sum()
    }

    /// Stream ids that were ever taken by engines, restarted ones included.
    pub fn runs(&self) -> Vec<String> {
        self.engine_faults.iter().flat_map(|faults| faults.runs()).collect()
    }

    fn ask_engines(&self, path: &str) -> Vec<Option<Value>> {
        let ask = |address: SocketAddr| {
            let address = address.to_string();
            let request = caller::request(Method::Get, &address, path);
            async_io::block_on(async {
                let mut response = caller::send(&address, request).await.ok()?;
                response.body_json::<Value>().await.ok()
            })
        };
        self.engine_addresses().into_iter().map(ask).collect()
    }

    /// Address of the host list, if it runs.
    pub fn host_list_address(&self) -> Option<SocketAddr> {
        self.host_list.as_ref().map(crate::server::ServerHandle::address)
    }

    /// Processor time that a host's process has used.
    pub fn host_cpu(&self, index: usize) -> io::Result<Duration> {
        let Some(child) = &self.hosts[index].child else { return Ok(Duration::ZERO) };
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
        // The command's name may contain spaces; the fields after its closing bracket do not.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = |index: usize| {
            fields.split_whitespace().nth(index).and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        let ticks: u64 = ticks(11) + ticks(12);
        Ok(Duration::from_millis(ticks * TICK_MS))
    }
}
