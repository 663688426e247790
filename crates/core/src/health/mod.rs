//! Decides which engines get no work: slow, failing, unreachable, paused and leaving ones.
//!
//! Owns one record per engine of this host, and the rates that other owners report for engines of
//! the same pool. An engine that does not answer the request for its load report gets no work until
//! it answers again.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::{key, value};

use crate::{
    fleet::LONGEST_PAUSE,
    key::{EngineKey, ModelKey},
    time::Time,
};

#[cfg(test)]
mod tests;

/// Consecutive failed requests after which an engine is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// An engine is slow if its rate is below the median of its pool divided by this.
const SLOW_DIVISOR: f64 = 3.0;
/// Rate samples of an engine before it can count as slow or contributes to the median.
const MIN_RATE_SAMPLES: u32 = 5;
/// Weight of one sample in the exponential moving average of an engine's rate.
const RATE_SAMPLE_WEIGHT: f64 = 0.2;
/// Duration of the first ejection. Each further one takes twice as long, up to [`MAX_EJECTION`].
const MIN_EJECTION: Duration = Duration::from_secs(5);
/// Duration of the longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Time without ejection after which the next one lasts [`MIN_EJECTION`] again.
const EJECTION_RESET_AFTER: Duration = Duration::from_secs(60);
/// Time after which a probe request without a result counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// Age beyond which a report of another owner is stale and dropped.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// Source of the information that a backend server is leaving. It is leaving while any source says
/// so.
#[key]
pub enum LeavingSource {
    /// The host list, which names servers that are about to leave.
    HostList,
    /// The load report of the engine itself.
    Report,
    /// The backend server's configuration, set by the operators.
    Spec,
    /// An answer of the engine itself. It holds until the engine's process ends.
    Answer,
}

/// Input of [`HealthTracker::step`].
#[value]
pub enum HealthInput {
    /// Time passed: starts probes of ejected engines and expires probes and remote reports.
    Tick,
    /// This host owns the engine; may be sent again. A new engine starts as usable.
    OwnershipGained {
        /// The engine.
        engine: EngineKey,
        /// Pool of engines whose rates are compared with each other.
        pool: ModelKey,
    },
    /// This host no longer owns the engine; its record is dropped.
    OwnershipLost(EngineKey),
    /// Another host reported an engine that it owns.
    RemoteReport {
        /// The engine.
        engine: EngineKey,
        /// Pool of the engine.
        pool: ModelKey,
        /// Rate of the engine, in tokens per second; 0 if unknown.
        rate: f64,
        /// Whether its owner gives it work.
        is_usable: bool,
    },
    /// A request on the engine succeeded, or failed through the engine's fault.
    RequestOutcome {
        /// The engine.
        engine: EngineKey,
        /// Whether it succeeded.
        is_success: bool,
    },
    /// A sample of the engine's rate, taken while it had work.
    RateSample {
        /// The engine.
        engine: EngineKey,
        /// Rate, in tokens per second.
        rate: f64,
    },
    /// Whether the engine answered the last request for its load report.
    Answering {
        /// The engine.
        engine: EngineKey,
        /// Whether it answered.
        is_answering: bool,
    },
    /// Whether a source says that the engine is leaving.
    Leaving {
        /// The engine.
        engine: EngineKey,
        /// Source of the information.
        source: LeavingSource,
        /// Whether the engine is leaving according to this source.
        is_leaving: bool,
    },
    /// The engine refused a request and wants none for some time.
    Paused {
        /// The engine.
        engine: EngineKey,
        /// Time for which it wants no requests; a shorter one does not end a pause early.
        pause: Duration,
    },
    /// The result of a probe request. It is ignored if the engine is not being probed.
    ProbeResult {
        /// The engine.
        engine: EngineKey,
        /// Whether it succeeded.
        is_success: bool,
    },
}

/// Output of [`HealthTracker::step`].
#[value]
pub enum HealthOutput {
    /// Whether the engine may get work has changed.
    UsabilityChanged {
        /// The engine.
        engine: EngineKey,
        /// Whether it may get work.
        is_usable: bool,
    },
    /// Send one small request to the engine and report its result as [`HealthInput::ProbeResult`].
    Probe(EngineKey),
}

enum EngineState {
    Healthy { since: Time },
    Ejected { until: Time },
    Probing { since: Time },
}

struct EngineRecord {
    pool: ModelKey,
    state: EngineState,
    consecutive_failures: u32,
    /// Average rate, in tokens per second; 0 without a sample.
    rate: f64,
    rate_samples: u32,
    /// Duration of the last ejection; 0 after a healthy period of [`EJECTION_RESET_AFTER`].
    last_ejection: Duration,
    is_answering: bool,
    /// Whether each [`LeavingSource`] says that the engine is leaving.
    leaving_sources: [bool; 4],
    /// End of the pause that the engine asked for.
    paused_until: Time,
    /// Last value reported by [`HealthOutput::UsabilityChanged`]; true at first.
    is_usable: bool,
}

struct RemoteEngine {
    pool: ModelKey,
    rate: f64,
    is_usable: bool,
    reported_at: Time,
}

/// Tracks the health of the engines that this host owns and ejects outliers.
#[derive(Default)]
pub struct HealthTracker {
    engines: BTreeMap<EngineKey, EngineRecord>,
    remote: BTreeMap<EngineKey, RemoteEngine>,
}

impl HealthTracker {
    /// Whether an engine may get work. Always true for engines of other hosts, whose owners decide.
    pub fn is_usable(&self, engine: EngineKey) -> bool {
        self.engines.get(&engine).is_none_or(|record| record.is_usable)
    }

    /// Returns the measured rate of an engine, in tokens per second; 0 if unknown.
    pub fn rate(&self, engine: EngineKey) -> f64 {
        self.engines.get(&engine).map_or(0.0, |record| record.rate)
    }

    /// Applies an input at time `now` and returns the actions to carry out.
    pub fn step(&mut self, now: Time, input: HealthInput) -> Vec<HealthOutput> {
        let mut outputs = Vec::new();
        match input {
            HealthInput::Tick => self.tick(now, &mut outputs),
            HealthInput::OwnershipGained { engine, pool } => self.add_engine(now, engine, pool),
            HealthInput::OwnershipLost(engine) => drop(self.engines.remove(&engine)),
            HealthInput::RemoteReport { engine, pool, rate, is_usable } => {
                self.remote
                    .insert(engine, RemoteEngine { pool, rate, is_usable, reported_at: now });
            }
            HealthInput::RequestOutcome { engine, is_success } => {
                self.record_outcome(now, engine, is_success)
            }
            HealthInput::RateSample { engine, rate } => self.record_rate(now, engine, rate),
            HealthInput::Answering { engine, is_answering } => {
                if let Some(record) = self.engines.get_mut(&engine) {
                    record.is_answering = is_answering;
                    if !is_answering {
                        record.leaving_sources[LeavingSource::Answer as usize] = false;
                    }
                }
            }
            HealthInput::Leaving { engine, source, is_leaving } => {
                if let Some(record) = self.engines.get_mut(&engine) {
                    record.leaving_sources[source as usize] = is_leaving;
                }
            }
            HealthInput::Paused { engine, pause } => {
                if let Some(record) = self.engines.get_mut(&engine) {
                    let until = now + pause.min(LONGEST_PAUSE);
                    record.paused_until = record.paused_until.max(until);
                }
            }
            HealthInput::ProbeResult { engine, is_success } => {
                self.finish_probe(now, engine, is_success)
            }
        }
        self.report_changes(now, &mut outputs);
        outputs
    }

    fn add_engine(&mut self, now: Time, engine: EngineKey, pool: ModelKey) {
        self.remote.remove(&engine);
        let record = self.engines.entry(engine).or_insert(EngineRecord {
            pool,
            state: EngineState::Healthy { since: now },
            consecutive_failures: 0,
            rate: 0.0,
            rate_samples: 0,
            last_ejection: Duration::ZERO,
            is_answering: true,
            leaving_sources: [false; 4],
            paused_until: Time::ZERO,
            is_usable: true,
        });
        record.pool = pool;
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<HealthOutput>) {
        self.remote.retain(|_, remote| now.since(remote.reported_at) < MAX_REPORT_AGE);
        let mut failed = Vec::new();
        for (engine, record) in &mut self.engines {
            match record.state {
                EngineState::Ejected { until } if until.max(record.paused_until) <= now => {
                    record.state = EngineState::Probing { since: now };
                    outputs.push(HealthOutput::Probe(*engine));
                }
                EngineState::Probing { since } if now.since(since) >= PROBE_TIMEOUT => {
                    failed.push(*engine);
                }
                EngineState::Healthy { since } if now.since(since) >= EJECTION_RESET_AFTER => {
                    record.last_ejection = Duration::ZERO;
                }
                _ => {}
            }
        }
        for engine in failed {
            self.finish_probe(now, engine, false);
        }
    }

    fn record_outcome(&mut self, now: Time, engine: EngineKey, is_success: bool) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        record.consecutive_failures = if is_success { 0 } else { record.consecutive_failures + 1 };
        if record.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            self.try_eject(now, engine);
        }
    }

    fn record_rate(&mut self, now: Time, engine: EngineKey, rate: f64) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        let weight = if record.rate_samples == 0 { 1.0 } else { RATE_SAMPLE_WEIGHT };
        record.rate += (rate - record.rate) * weight;
        record.rate_samples += 1;
        let (samples, average, pool) = (record.rate_samples, record.rate, record.pool);
        if samples >= MIN_RATE_SAMPLES && average * SLOW_DIVISOR < self.median_rate(pool) {
            self.try_eject(now, engine);
        }
    }

    fn finish_probe(&mut self, now: Time, engine: EngineKey, is_success: bool) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        if !matches!(record.state, EngineState::Probing { .. }) {
            return;
        }
        if is_success {
            record.state = EngineState::Healthy { since: now };
            record.consecutive_failures = 0;
            // The rate is measured afresh; samples from before the ejection no longer count.
            (record.rate, record.rate_samples) = (0.0, 0);
        } else {
            record.eject(now);
        }
    }

    /// Ejects a healthy engine, unless more than half of the engines of its pool would then be
    /// ejected. Engines of other hosts count as ejected while they get no work. Owned engines that
    /// do not answer do not count at all.
    fn try_eject(&mut self, now: Time, engine: EngineKey) {
        let pool = self.engines[&engine].pool;
        if !matches!(self.engines[&engine].state, EngineState::Healthy { .. }) {
            return;
        }
        let owned =
            self.engines.values().filter(|record| record.pool == pool && record.is_answering);
        let (mut total, mut ejected) = (0, 1);
        for record in owned {
            total += 1;
            ejected += usize::from(!matches!(record.state, EngineState::Healthy { .. }));
        }
        for remote in self.remote.values().filter(|remote| remote.pool == pool) {
            total += 1;
            ejected += usize::from(!remote.is_usable);
        }
        if ejected * 2 <= total {
            self.engines.get_mut(&engine).expect("seen above").eject(now);
        }
    }

    /// Returns the upper median of the known rates in a pool, in tokens per second; 0 if none is
    /// known.
    fn median_rate(&self, pool: ModelKey) -> f64 {
        let owned = self.engines.values().filter(|record| record.rate_samples >= MIN_RATE_SAMPLES);
        let owned = owned.filter(|record| record.pool == pool).map(|record| record.rate);
        let remote = self.remote.values().filter(|remote| remote.pool == pool && remote.rate > 0.0);
        let mut rates: Vec<f64> = owned.chain(remote.map(|remote| remote.rate)).collect();
        if rates.is_empty() {
            return 0.0;
        }
        rates.sort_by(f64::total_cmp);
        rates[rates.len() / 2]
    }

    /// Reports every engine whose usability changed in this step.
    fn report_changes(&mut self, now: Time, outputs: &mut Vec<HealthOutput>) {
        for (engine, record) in &mut self.engines {
            let is_usable = record.is_answering
                && !record.leaving_sources.contains(&true)
                && record.paused_until <= now
                && matches!(record.state, EngineState::Healthy { .. });
            if is_usable != record.is_usable {
                record.is_usable = is_usable;
                outputs.push(HealthOutput::UsabilityChanged { engine: *engine, is_usable });
            }
        }
    }
}

impl EngineRecord {
    fn eject(&mut self, now: Time) {
        let span = (self.last_ejection * 2).clamp(MIN_EJECTION, MAX_EJECTION);
        self.last_ejection = span;
        self.consecutive_failures = 0;
        self.state = EngineState::Ejected { until: now + span };
    }
}
