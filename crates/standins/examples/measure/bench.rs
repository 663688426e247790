//! The fleet that scenarios run on, and the loads that they combine.

use std::{sync::Arc, time::Duration};

use parsley_standins::{
    engine_model::EngineShape,
    fleet::{Fleet, FleetBuilder},
    load::{
        LoadRun, LoadSample, LoadSource, LoadTarget,
        baseline::{BaselineRouter, EngineChoice},
        mix::LengthMix,
    },
};

/// Time of one engine step.
const STEP: Duration = Duration::from_millis(40);
/// Time between two tokens that a step stands for.
const REAL_STEP_MS: f64 = 32.0;
/// Large client accounts; the rest of the ten are small.
const LARGE_ACCOUNTS: usize = 3;
const ACCOUNTS: usize = 10;

/// Sizes of a deployment.
pub struct Bench {
    franchise: bool,
    engines: usize,
    /// Time in which requests arrive.
    pub length: Duration,
}

impl Bench {
    /// The Association's or the franchise's deployment.
    pub fn new(franchise: bool, length: Duration) -> Bench {
        Bench { franchise, engines: if franchise { 20 } else { 15 }, length }
    }

    /// One paragraph on what runs.
    pub fn describe(&self, seed: u64, repetitions: u64) -> String {
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        let scale = STEP.as_secs_f64() * 1000.0 / REAL_STEP_MS;
        format!(
            "{} deployment: 9 hosts, 3 failure domains, {} engines, {ACCOUNTS} accounts; \
             engine time scale 1:{scale:.2}; {cores} cores; seed {seed}, {repetitions} \
             repetitions, {} s each; capacity {:.0} requests/s of the mix\n",
            if self.franchise { "franchise" } else { "Association" },
            self.engines,
            self.length.as_secs(),
            self.capacity(),
        )
    }

    /// The deployment's mix of lengths.
    pub fn mix(&self) -> LengthMix {
        if self.franchise { LengthMix::franchise() } else { LengthMix::association() }
    }

    /// Requests a second of the mix that the engines can prefill.
    pub fn capacity(&self) -> f64 {
        let tokens = shape().prefill_tokens as f64 / STEP.as_secs_f64() * self.engines as f64;
        tokens / self.mix().mean_prompt()
    }

    /// Starts a fleet.
    pub fn fleet(&self) -> Result<Fleet, String> {
        self.builder()?.start().map_err(|err| err.to_string())
    }

    /// Starts a fleet of one host before engines that stream fast.
    pub fn streaming_fleet(&self) -> Result<Fleet, String> {
        let shape = EngineShape { batch: 64, ..shape() };
        let fleet = self.builder()?.hosts(1).domains(1).engines(4).shape(shape);
        fleet.step(Duration::from_millis(8)).start().map_err(|err| err.to_string())
    }

    /// Starts a fleet whose engines answer within a few milliseconds.
    pub fn quick_fleet(&self) -> Result<Fleet, String> {
        let fleet = self.builder()?.step(Duration::from_millis(1));
        fleet.start().map_err(|err| err.to_string())
    }

    fn builder(&self) -> Result<FleetBuilder, String> {
        let program = std::env::current_exe().map_err(|err| err.to_string())?;
        Ok(FleetBuilder::new(program)
            .hosts(9)
            .domains(3)
            .engines(self.engines)
            .accounts((0..ACCOUNTS).map(account).collect())
            .shape(shape())
            .step(STEP))
    }

    /// Sends sources through the hosts of a fresh fleet.
    pub fn run(&self, sources: Vec<LoadSource>, seed: u64) -> Result<Vec<LoadSample>, String> {
        let fleet = self.fleet()?;
        let samples = self.run_on(&fleet, sources, seed);
        fleet.close();
        Ok(samples)
    }

    /// Sends sources through the hosts of a running fleet.
    pub fn run_on(&self, fleet: &Fleet, sources: Vec<LoadSource>, seed: u64) -> Vec<LoadSample> {
        let hosts = fleet.hosts().iter().map(|host| host.address.to_string()).collect();
        let target = LoadTarget::Hosts(hosts);
        LoadRun { target, sources, length: self.length, seed }.run()
    }

    /// Sends sources straight to the engines of a running fleet.
    pub fn run_direct(
        &self,
        fleet: &Fleet,
        sources: Vec<LoadSource>,
        seed: u64,
    ) -> Vec<LoadSample> {
        let engines = fleet.engine_addresses();
        let router = BaselineRouter::new(EngineChoice::Random, &engines, seed);
        let target = LoadTarget::Baseline(Arc::new(router));
        LoadRun { target, sources, length: self.length, seed }.run()
    }

    /// Sends sources through a baseline router before the engines of a fresh fleet.
    pub fn run_baseline(
        &self,
        choice: EngineChoice,
        sources: Vec<LoadSource>,
        seed: u64,
    ) -> Result<Vec<LoadSample>, String> {
        let fleet = self.fleet()?;
        let router = Arc::new(BaselineRouter::new(choice, &fleet.engine_addresses(), seed));
        let reports = router.clone();
        let length = self.length + Duration::from_secs(5);
        let reader = std::thread::spawn(move || async_io::block_on(reports.follow_reports(length)));
        let target = LoadTarget::Baseline(router);
        let samples = LoadRun { target, sources, length: self.length, seed }.run();
        // The reader ends by itself at its time limit.
        let _ = reader.join();
        fleet.close();
        Ok(samples)
    }

    /// Ordinary work of all accounts at a part of the fleet's capacity; large accounts ask for
    /// five times as much as small ones.
    pub fn ordinary(&self, part: f64, rank: &str) -> Vec<LoadSource> {
        let small = ACCOUNTS - LARGE_ACCOUNTS;
        let unit = self.capacity() * part / (LARGE_ACCOUNTS as f64 * 5.0 + small as f64);
        (0..ACCOUNTS)
            .map(|index| {
                let factor = if index < LARGE_ACCOUNTS { 5.0 } else { 1.0 };
                let group = if index < LARGE_ACCOUNTS { "large" } else { "small" };
                self.source(index, rank, unit * factor, self.mix(), group)
            })
            .collect()
    }

    /// One source.
    pub fn source(
        &self,
        index: usize,
        rank: &str,
        rate: f64,
        mix: LengthMix,
        group: &'static str,
    ) -> LoadSource {
        LoadSource { account: account(index), rank: rank.to_owned(), rate, mix, group }
    }
}

fn account(index: usize) -> String {
    let size = if index < LARGE_ACCOUNTS { "large" } else { "small" };
    format!("{size}-{index}")
}

fn shape() -> EngineShape {
    EngineShape { memory_tokens: 600_000, batch: 32, prefill_tokens: 2_000, cached_prefixes: 64 }
}
