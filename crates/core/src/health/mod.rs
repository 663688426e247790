//! Decides which engines get no work: slow, failing, silent and leaving ones.
//!
//! Owns one record per engine of this host, and the rates that other owners report for engines of
//! the same pool. When reports stop coming, an engine counts as silent and is not used.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::{key, value};

use crate::{
    key::{EngineKey, ModelKey},
    time::Time,
};

#[cfg(test)]
mod tests;

/// Failures in a row after which an engine is ejected.
const MAX_FAILURES: u32 = 3;
/// An engine is slow under the pool's median divided by this.
const SLOW_DIVISOR: f64 = 3.0;
/// Measurements of an engine's rate before it may count as slow.
const MIN_RATES: u32 = 5;
/// Weight of one measurement in the average.
const RATE_WEIGHT: f64 = 0.2;
/// Time of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Time of the longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Time without ejection after which the next one is short again.
const GOOD_AFTER: Duration = Duration::from_secs(60);
/// Time after which a probe request without a result counts as failed.
const PROBE_LIMIT: Duration = Duration::from_secs(10);
/// Age at which what another owner reported no longer counts.
const HEARD_LIMIT: Duration = Duration::from_secs(10);

/// Who says that a server is leaving. It leaves while anyone says so.
#[key]
pub enum LeavingSource {
    /// The host list.
    HostList,
    /// The engine itself.
    Report,
    /// The operators.
    Spec,
}

/// Input of [`HealthTracker::step`].
#[value]
pub enum HealthInput {
    /// Time passed.
    Tick,
    /// This host owns the engine.
    OwnershipGained {
        /// Engine.
        engine: EngineKey,
        /// Engines that are compared with each other.
        pool: ModelKey,
    },
    /// This host no longer owns the engine.
    OwnershipLost(EngineKey),
    /// Another owner reported an engine.
    RemoteReport {
        /// Engine.
        engine: EngineKey,
        /// Its pool.
        pool: ModelKey,
        /// Tokens of work a second; zero if unknown.
        rate: f64,
        /// Whether it gets work.
        is_usable: bool,
    },
    /// A request on the engine succeeded or failed by the engine's fault.
    RequestOutcome {
        /// Engine.
        engine: EngineKey,
        /// Whether it succeeded.
        is_success: bool,
    },
    /// The engine's rate while it had work, in tokens a second.
    RateSample {
        /// Engine.
        engine: EngineKey,
        /// Tokens a second.
        rate: f64,
    },
    /// Whether the engine answers at all.
    Answering {
        /// Engine.
        engine: EngineKey,
        /// Whether it answers.
        is_answering: bool,
    },
    /// Whether somebody says that the engine is leaving.
    Leaving {
        /// Engine.
        engine: EngineKey,
        /// Who says so.
        source: LeavingSource,
        /// Whether it is leaving.
        is_leaving: bool,
    },
    /// Result of a probe request.
    ProbeResult {
        /// Engine.
        engine: EngineKey,
        /// Whether it succeeded.
        is_success: bool,
    },
}

/// Output of [`HealthTracker::step`].
#[value]
pub enum HealthOutput {
    /// The engine may get work, or must not.
    UsabilityChanged {
        /// Engine.
        engine: EngineKey,
        /// Whether it may.
        is_usable: bool,
    },
    /// Send one small request to the engine.
    Probe(EngineKey),
}

enum EngineState {
    Good { since: Time },
    Ejected { until: Time },
    Probing { since: Time },
}

struct EngineRecord {
    pool: ModelKey,
    state: EngineState,
    failures: u32,
    rate: f64,
    rates: u32,
    last_ejection: Duration,
    is_answering: bool,
    leaving: [bool; 3],
    is_usable: bool,
}

struct HeardEngine {
    pool: ModelKey,
    rate: f64,
    is_usable: bool,
    at: Time,
}

/// Health of the engines that this host owns.
#[derive(Default)]
pub struct HealthTracker {
    engines: BTreeMap<EngineKey, EngineRecord>,
    heard: BTreeMap<EngineKey, HeardEngine>,
}

impl HealthTracker {
    /// Whether an engine may get work. An engine of another owner is that owner's to judge.
    pub fn is_usable(&self, engine: EngineKey) -> bool {
        self.engines.get(&engine).is_none_or(|record| record.is_usable)
    }

    /// Measured rate of an engine in tokens a second; zero if unknown.
    pub fn rate(&self, engine: EngineKey) -> f64 {
        self.engines.get(&engine).map_or(0.0, |record| record.rate)
    }

    /// Advances the tracker.
    pub fn step(&mut self, now: Time, input: HealthInput) -> Vec<HealthOutput> {
        let mut outputs = Vec::new();
        match input {
            HealthInput::Tick => self.tick(now, &mut outputs),
            HealthInput::OwnershipGained { engine, pool } => self.own(now, engine, pool),
            HealthInput::OwnershipLost(engine) => drop(self.engines.remove(&engine)),
            HealthInput::RemoteReport { engine, pool, rate, is_usable } => {
                self.heard.insert(engine, HeardEngine { pool, rate, is_usable, at: now });
            }
            HealthInput::RequestOutcome { engine, is_success } => {
                self.outcome(now, engine, is_success)
            }
            HealthInput::RateSample { engine, rate } => self.measure(now, engine, rate),
            HealthInput::Answering { engine, is_answering } => {
                if let Some(record) = self.engines.get_mut(&engine) {
                    record.is_answering = is_answering;
                }
            }
            HealthInput::Leaving { engine, source, is_leaving } => {
                if let Some(record) = self.engines.get_mut(&engine) {
                    record.leaving[source as usize] = is_leaving;
                }
            }
            HealthInput::ProbeResult { engine, is_success } => self.probed(now, engine, is_success),
        }
        self.tell(&mut outputs);
        outputs
    }

    fn own(&mut self, now: Time, engine: EngineKey, pool: ModelKey) {
        self.heard.remove(&engine);
        let record = self.engines.entry(engine).or_insert(EngineRecord {
            pool,
            state: EngineState::Good { since: now },
            failures: 0,
            rate: 0.0,
            rates: 0,
            last_ejection: Duration::ZERO,
            is_answering: true,
            leaving: [false; 3],
            is_usable: true,
        });
        record.pool = pool;
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<HealthOutput>) {
        self.heard.retain(|_, heard| now.since(heard.at) < HEARD_LIMIT);
        let mut failed = Vec::new();
        for (engine, record) in &mut self.engines {
            match record.state {
                EngineState::Ejected { until } if until <= now => {
                    record.state = EngineState::Probing { since: now };
                    outputs.push(HealthOutput::Probe(*engine));
                }
                EngineState::Probing { since } if now.since(since) >= PROBE_LIMIT => {
                    failed.push(*engine);
                }
                EngineState::Good { since } if now.since(since) >= GOOD_AFTER => {
                    record.last_ejection = Duration::ZERO;
                }
                _ => {}
            }
        }
        for engine in failed {
            self.probed(now, engine, false);
        }
    }

    fn outcome(&mut self, now: Time, engine: EngineKey, is_success: bool) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        record.failures = if is_success { 0 } else { record.failures + 1 };
        if record.failures >= MAX_FAILURES {
            self.eject(now, engine);
        }
    }

    fn measure(&mut self, now: Time, engine: EngineKey, rate: f64) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        let weight = if record.rates == 0 { 1.0 } else { RATE_WEIGHT };
        record.rate += (rate - record.rate) * weight;
        record.rates += 1;
        let (rates, average, pool) = (record.rates, record.rate, record.pool);
        if rates >= MIN_RATES && average * SLOW_DIVISOR < self.median(pool) {
            self.eject(now, engine);
        }
    }

    fn probed(&mut self, now: Time, engine: EngineKey, is_success: bool) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        if !matches!(record.state, EngineState::Probing { .. }) {
            return;
        }
        if is_success {
            record.state = EngineState::Good { since: now };
            record.failures = 0;
            // Measured again from the start: what it was before the ejection no longer counts.
            (record.rate, record.rates) = (0.0, 0);
        } else {
            record.eject(now);
        }
    }

    /// Ejects an engine unless half of its pool's answering engines would then be ejected or more.
    fn eject(&mut self, now: Time, engine: EngineKey) {
        let pool = self.engines[&engine].pool;
        if !matches!(self.engines[&engine].state, EngineState::Good { .. }) {
            return;
        }
        let mine =
            self.engines.values().filter(|record| record.pool == pool && record.is_answering);
        let (mut total, mut ejected) = (0, 1);
        for record in mine {
            total += 1;
            ejected += usize::from(!matches!(record.state, EngineState::Good { .. }));
        }
        for heard in self.heard.values().filter(|heard| heard.pool == pool) {
            total += 1;
            ejected += usize::from(!heard.is_usable);
        }
        if ejected * 2 <= total {
            self.engines.get_mut(&engine).expect("seen above").eject(now);
        }
    }

    fn median(&self, pool: ModelKey) -> f64 {
        let mine = self.engines.values().filter(|record| record.rates >= MIN_RATES);
        let mine = mine.filter(|record| record.pool == pool).map(|record| record.rate);
        let heard = self.heard.values().filter(|heard| heard.pool == pool && heard.rate > 0.0);
        let mut rates: Vec<f64> = mine.chain(heard.map(|heard| heard.rate)).collect();
        if rates.is_empty() {
            return 0.0;
        }
        rates.sort_by(f64::total_cmp);
        rates[rates.len() / 2]
    }

    fn tell(&mut self, outputs: &mut Vec<HealthOutput>) {
        for (engine, record) in &mut self.engines {
            let is_usable = record.is_answering
                && !record.leaving.contains(&true)
                && matches!(record.state, EngineState::Good { .. });
            if is_usable != record.is_usable {
                record.is_usable = is_usable;
                outputs.push(HealthOutput::UsabilityChanged { engine: *engine, is_usable });
            }
        }
    }
}

impl EngineRecord {
    fn eject(&mut self, now: Time) {
        let span = (self.last_ejection * 2).clamp(FIRST_EJECTION, MAX_EJECTION);
        self.last_ejection = span;
        self.failures = 0;
        self.state = EngineState::Ejected { until: now + span };
    }
}
