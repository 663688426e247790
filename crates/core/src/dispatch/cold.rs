//! Starts and ends the limits of cold engines as the dispatcher learns of them.

use super::{DispatchInput, DispatchOutput, Dispatcher};
use crate::{fleet::ColdStart, permit::ColdBound, time::Time};

/// Whether an input may make an engine cold or warm.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ColdRefresh {
    /// It may not.
    Unneeded,
    /// It may.
    Needed,
    /// It may, and is a statement of the engine to this host.
    Stated,
}

impl ColdRefresh {
    pub fn after(input: &DispatchInput) -> ColdRefresh {
        match input {
            DispatchInput::ColdStated { .. } | DispatchInput::NoticeReceived { .. } => {
                ColdRefresh::Stated
            }
            DispatchInput::Tick
            | DispatchInput::Services { .. }
            | DispatchInput::ServersListed { .. }
            | DispatchInput::ServerChanged(_)
            | DispatchInput::ServerRemoved { .. }
            | DispatchInput::ColdReported(_) => ColdRefresh::Needed,
            _ => ColdRefresh::Unneeded,
        }
    }
}

impl Dispatcher {
    /// Sets the bound of cold engines; `None`, the default, if the deployment has none.
    pub fn set_cold_bound(&mut self, bound: Option<ColdBound>) {
        self.cold_bound = bound;
        self.fleet.enable_cold(bound.is_some());
        self.update_cold_services();
    }

    /// Passes the cold times of the services and the rates of permits to the table of servers.
    pub(super) fn update_cold_services(&mut self) {
        let Some(bound) = self.cold_bound else { return };
        let services = self.services.values().filter_map(|service| {
            let ColdStart { time, rate } = service.cold_start?;
            Some((service.name.clone(), ColdStart { time, rate: bound.permit_rate(rate) }))
        });
        self.fleet.set_cold_services(services.collect());
    }

    pub(super) fn refresh_cold(
        &mut self,
        now: Time,
        refresh: ColdRefresh,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        if refresh == ColdRefresh::Unneeded || self.cold_bound.is_none() {
            return;
        }
        let is_stated = refresh == ColdRefresh::Stated;
        let changes = self.fleet.refresh_cold(now).into_iter();
        outputs.extend(changes.map(|change| DispatchOutput::ColdChanged { change, is_stated }));
    }
}
