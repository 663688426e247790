//! A long run of prompts and at-most-once calls while hosts, engines, connections and the key-value
//! service fail, in an order that a seed fixes.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use parsley_node::pool::stream::stream_id;

use crate::{
    caller::{self, CallOutcome, Prompt, ServiceCall},
    fleet::{Fleet, FleetBuilder, RelayRoute},
    tally::{PromptLoad, Tally},
};

const HOSTS: usize = 4;
const ENGINES: usize = 4;
/// Threads that make calls.
const CALLERS: usize = 8;
/// Time within which engines hold nothing after the last request.
const QUIET_LIMIT: Duration = Duration::from_secs(60);
/// Attempts of one request whose stream ids are looked for.
const ATTEMPTS: u32 = 8;

/// What a soak does.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Program of the hosts.
    pub program: PathBuf,
    /// Seed of prompts and failures.
    pub seed: u64,
    /// Number of prompts.
    pub prompts: usize,
    /// Number of at-most-once keys.
    pub keys: usize,
    /// Prompts at a time.
    pub concurrency: usize,
}

/// What a soak found.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// How the prompts ended.
    pub tally: Tally,
    /// Prompts told `not-run` that an engine took.
    pub falsely_not_run: usize,
    /// Keys by number of runs above one, and keys answered without a run.
    pub doubled: usize,
    /// Keys that were answered although nothing ran.
    pub unfounded: usize,
    /// Keys with an answer in the end.
    pub answered: usize,
    /// Tokens that engines still held at the end.
    pub held_tokens: u64,
    /// Failures caused.
    pub failures: usize,
}

impl SoakReport {
    /// Number of outcomes that must not happen.
    pub fn wrong(&self) -> usize {
        let held = usize::from(self.held_tokens > 0);
        self.tally.wrong() + self.falsely_not_run + self.doubled + self.unfounded + held
    }
}

/// Runs a soak.
pub fn run(plan: &SoakPlan) -> std::io::Result<SoakReport> {
    let mut fleet = FleetBuilder::new(plan.program.clone())
        .hosts(HOSTS)
        .engines(ENGINES)
        .relayed(true)
        .step(Duration::from_millis(5))
        .start()?;
    let hosts: Vec<_> = fleet.hosts().iter().map(|host| host.address).collect();
    let relay = |index| fleet.relay(RelayRoute::Caller(index)).unwrap_or(hosts[index]);
    let addresses: Vec<_> = (0..HOSTS).map(relay).collect();
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let prompts = prompts(plan, &mut rng);
    let load = PromptLoad::start(&addresses, prompts, plan.concurrency);
    let done = Arc::<AtomicUsize>::default();
    let callers: Vec<_> =
        (0..CALLERS).map(|caller| spawn_caller(caller, plan.keys, &addresses, &done)).collect();
    let mut report = SoakReport::default();
    while load.ended() < plan.prompts || done.load(Ordering::Relaxed) < plan.keys {
        let (first, second) = (Failure::choose(&mut rng), Failure::choose(&mut rng));
        // Every third time two failures come together.
        let both = rng.u8(0..3) == 0;
        let failures = if both { vec![first, second] } else { vec![first] };
        report.failures += failures.len();
        failures.iter().for_each(|failure| failure.cause(&mut fleet));
        thread::sleep(Duration::from_millis(rng.u64(200..5_000)));
        failures.iter().try_for_each(|failure| failure.mend(&mut fleet))?;
        thread::sleep(Duration::from_millis(rng.u64(500..2_500)));
    }
    report.tally = load.finish();
    let runs = fleet.service_log().runs();
    for caller in callers {
        for (key, is_answered) in caller.join().expect("callers do not panic") {
            let count = runs.get(&key).copied().unwrap_or(0);
            report.answered += usize::from(is_answered);
            report.doubled += usize::from(count > 1);
            report.unfounded += usize::from(is_answered && count == 0);
        }
    }
    report.falsely_not_run = falsely_not_run(&fleet, &report.tally);
    report.held_tokens = held_after_quiet(&fleet);
    fleet.close();
    Ok(report)
}

fn prompts(plan: &SoakPlan, rng: &mut fastrand::Rng) -> Vec<Prompt> {
    (0..plan.prompts)
        .map(|index| Prompt {
            token: if rng.bool() { "token-inspection" } else { "token-archive" }.to_owned(),
            request: format!("soak-{index}"),
            rank: "standard".to_owned(),
            model: "inspector".to_owned(),
            text: format!("question {index} {}", "and more ".repeat(rng.usize(0..200))),
            max_tokens: rng.u64(5..200),
        })
        .collect()
}

/// A failure with what it hits.
#[derive(Clone, Copy, Debug)]
enum Failure {
    KillHost(usize),
    PauseHost(usize),
    KillEngine(usize),
    FreezeEngine(usize),
    RefuseEngine(usize),
    SilenceStreams(usize),
    Silence(RelayRoute),
    StoreOut,
    StoreSlow,
    StoreLosesAnswers,
    ServiceLosesAnswer,
}

impl Failure {
    fn choose(rng: &mut fastrand::Rng) -> Failure {
        let (host, engine) = (rng.usize(0..HOSTS), rng.usize(0..ENGINES));
        match rng.u8(0..14) {
            0 | 1 => Failure::KillHost(host),
            2 | 3 => Failure::PauseHost(host),
            4 => Failure::KillEngine(engine),
            5 => Failure::FreezeEngine(engine),
            6 => Failure::RefuseEngine(engine),
            7 => Failure::SilenceStreams(engine),
            8 => Failure::Silence(RelayRoute::Engine(engine)),
            9 => Failure::Silence(RelayRoute::Peer(host)),
            10 => Failure::Silence(RelayRoute::Caller(host)),
            11 => Failure::StoreOut,
            12 => Failure::StoreSlow,
            _ if rng.bool() => Failure::StoreLosesAnswers,
            _ => Failure::ServiceLosesAnswer,
        }
    }

    fn cause(self, fleet: &mut Fleet) {
        match self {
            Failure::KillHost(index) => fleet.kill_host(index),
            // A host that another failure killed cannot be paused.
            Failure::PauseHost(index) => drop(fleet.signal_host(index, "STOP")),
            Failure::KillEngine(index) => fleet.kill_engine(index),
            Failure::FreezeEngine(index) => fleet.engine_faults(index).freeze(true),
            Failure::RefuseEngine(index) => fleet.engine_faults(index).refuse(true),
            Failure::SilenceStreams(index) => fleet.engine_faults(index).silence_streams(),
            Failure::Silence(route) => fleet.silence(route),
            Failure::StoreOut => fleet.store_faults().out(true),
            Failure::StoreSlow => fleet.store_faults().slow(Duration::from_millis(700)),
            Failure::StoreLosesAnswers => fleet.store_faults().lose_answers(30),
            Failure::ServiceLosesAnswer => fleet.service_log().lose_answers(1),
        }
    }

    fn mend(self, fleet: &mut Fleet) -> std::io::Result<()> {
        match self {
            Failure::KillHost(index) if !fleet.is_running(index) => fleet.start_host(index)?,
            Failure::PauseHost(index) => drop(fleet.signal_host(index, "CONT")),
            Failure::KillEngine(index) if !fleet.is_engine_running(index) => {
                fleet.restart_engine(index)?;
            }
            Failure::FreezeEngine(index) => fleet.engine_faults(index).freeze(false),
            Failure::RefuseEngine(index) => fleet.engine_faults(index).refuse(false),
            Failure::StoreOut => fleet.store_faults().out(false),
            Failure::StoreSlow => fleet.store_faults().slow(Duration::ZERO),
            Failure::StoreLosesAnswers => fleet.store_faults().lose_answers(0),
            _ => {}
        }
        Ok(())
    }
}

type CallerThread = thread::JoinHandle<Vec<(String, bool)>>;

fn spawn_caller(
    caller: usize,
    keys: usize,
    addresses: &[SocketAddr],
    done: &Arc<AtomicUsize>,
) -> CallerThread {
    let (addresses, done) = (addresses.to_vec(), done.clone());
    thread::spawn(move || {
        let mut ends = Vec::new();
        for index in (caller..keys).step_by(CALLERS) {
            let key = format!("soak-key-{index}");
            let is_answered = call_until_settled(&addresses, &key, index);
            ends.push((key, is_answered));
            done.fetch_add(1, Ordering::Relaxed);
        }
        ends
    })
}

/// Calls with a key at one host after the other until the outcome is settled. Returns whether the
/// service's answer was received.
fn call_until_settled(addresses: &[SocketAddr], key: &str, index: usize) -> bool {
    let mut call = ServiceCall {
        token: "token-inspection".to_owned(),
        service: "registry".to_owned(),
        key: key.to_owned(),
        body: format!("certificate {key}"),
        is_retry: false,
        limit: Duration::from_secs(3),
    };
    for turn in 0..40 {
        let address = addresses[(index + turn) % addresses.len()].to_string();
        let late = async {
            async_io::Timer::after(Duration::from_secs(6)).await;
            CallOutcome::Broken("no answer in time".to_owned())
        };
        let asked = futures_lite::FutureExt::or(caller::call(&address, &call), late);
        let end = async_io::block_on(asked);
        if matches!(end, CallOutcome::Answered(_)) {
            return true;
        }
        if end.problem("reason") == Some("outcome-unknown") {
            return false;
        }
        call.is_retry = true;
        thread::sleep(Duration::from_millis(200));
    }
    false
}

fn falsely_not_run(fleet: &Fleet, tally: &Tally) -> usize {
    let runs: BTreeSet<_> = fleet.runs().into_iter().collect();
    let has_run = |request: &&String| {
        ["inspection", "archive"].iter().any(|account| {
            (1..=ATTEMPTS).any(|attempt| runs.contains(&*stream_id(account, request, attempt)))
        })
    };
    tally.not_run.iter().filter(has_run).count()
}

fn held_after_quiet(fleet: &Fleet) -> u64 {
    let end = Instant::now() + QUIET_LIMIT;
    loop {
        let held = fleet.held_tokens();
        if held == 0 || Instant::now() >= end {
            return held;
        }
        thread::sleep(Duration::from_millis(500));
    }
}
