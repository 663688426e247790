//! Open-loop load: sources with seeded Poisson arrivals, sent through the hosts or straight to the
//! engines as a baseline.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::Timer;

use crate::{
    caller::{self, Answer, Prompt},
    engine,
};

pub mod baseline;
pub mod mix;
pub mod stats;

use baseline::BaselineRouter;
use mix::LengthMix;

/// Threads that carry the callers.
const CALLER_THREADS: usize = 4;
/// Time for which answers are awaited after the last arrival.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);

/// A stream of requests of one client account and rank.
#[derive(Clone, Debug)]
pub struct LoadSource {
    /// Client account.
    pub account: String,
    /// Rank.
    pub rank: String,
    /// Requests a second.
    pub rate: f64,
    /// Prompt and answer lengths.
    pub mix: LengthMix,
    /// Group of sources that is reported together.
    pub group: &'static str,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SampleEnd {
    /// The whole, right answer came.
    Complete,
    /// A refusal or failure with its reason came.
    Refused(String),
    /// An answer came that is not the request's own, or not whole.
    Wrong,
    /// Nothing final came.
    Lost,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct LoadSample {
    /// Index of the source.
    pub source: usize,
    /// Group of the source.
    pub group: &'static str,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub max_tokens: u64,
    /// Arrival since the start of the run.
    pub arrival: Duration,
    /// Time from arrival to the first token.
    pub first_token: Option<Duration>,
    /// Time from arrival to the end.
    pub total: Duration,
    /// End.
    pub end: SampleEnd,
}

/// Where requests are sent.
#[derive(Clone)]
pub enum LoadTarget {
    /// Hosts, by address.
    Hosts(Vec<String>),
    /// Engines, by the router of a baseline.
    Baseline(Arc<BaselineRouter>),
}

/// One run of sources against a target.
#[derive(Clone)]
pub struct LoadRun {
    /// Target.
    pub target: LoadTarget,
    /// Sources.
    pub sources: Vec<LoadSource>,
    /// Time in which requests arrive.
    pub length: Duration,
    /// Seed of arrivals and lengths.
    pub seed: u64,
}

struct Arrival {
    at: Duration,
    source: usize,
    prompt_tokens: u64,
    max_tokens: u64,
    number: usize,
}

impl LoadRun {
    /// Sends the load and returns a sample for each request.
    pub fn run(&self) -> Vec<LoadSample> {
        let samples = Arc::new(Mutex::new(Vec::new()));
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let threads: Vec<_> = (0..CALLER_THREADS)
            .map(|_| {
                let (executor, stopped) = (executor.clone(), stopped.clone());
                thread::spawn(move || async_io::block_on(executor.run(stopped.recv())))
            })
            .collect();
        let arrivals = self.arrivals();
        let expected = arrivals.len();
        self.send_all(&executor, arrivals, &samples);
        let end = Instant::now() + DRAIN_LIMIT;
        while samples.lock().expect("no caller panics").len() < expected && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
        stop.close();
        for thread in threads {
            // The receiver's error is the sign to stop.
            let _ = thread.join();
        }
        let mut samples = std::mem::take(&mut *samples.lock().expect("no caller panics"));
        samples.sort_by_key(|sample| sample.arrival);
        samples
    }

    fn arrivals(&self) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for (source, spec) in self.sources.iter().enumerate() {
            let mut rng = fastrand::Rng::with_seed(self.seed ^ ((source as u64 + 1) << 32));
            let mut at = 0.0;
            loop {
                at += -(1.0 - rng.f64()).ln() / spec.rate;
                if at >= self.length.as_secs_f64() {
                    break;
                }
                let (prompt_tokens, max_tokens) = spec.mix.draw(&mut rng);
                let at = Duration::from_secs_f64(at);
                arrivals.push(Arrival { at, source, prompt_tokens, max_tokens, number: 0 });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        for (number, arrival) in arrivals.iter_mut().enumerate() {
            arrival.number = number;
        }
        arrivals
    }

    fn send_all(
        &self,
        executor: &Executor<'static>,
        arrivals: Vec<Arrival>,
        samples: &Arc<Mutex<Vec<LoadSample>>>,
    ) {
        let run = fastrand::u32(..);
        let started = Instant::now();
        for arrival in arrivals {
            if let Some(wait) = arrival.at.checked_sub(started.elapsed()) {
                thread::sleep(wait);
            }
            let source = &self.sources[arrival.source];
            let prompt = Prompt {
                token: format!("token-{}", source.account),
                request: format!("load-{run:08x}-{}", arrival.number),
                rank: source.rank.clone(),
                model: "inspector".to_owned(),
                text: mix::text(run, arrival.number, arrival.prompt_tokens),
                max_tokens: arrival.max_tokens,
            };
            let group = source.group;
            let (target, samples) = (self.target.clone(), samples.clone());
            let send = async move {
                let sample = sample(&target, arrival, &prompt, group).await;
                samples.lock().expect("no caller panics").push(sample);
            };
            executor.spawn(send).detach();
        }
    }
}

async fn sample(
    target: &LoadTarget,
    arrival: Arrival,
    prompt: &Prompt,
    group: &'static str,
) -> LoadSample {
    let started = Instant::now();
    let answer = match target {
        LoadTarget::Hosts(hosts) => {
            let mut hosts = hosts.clone();
            let start = arrival.number % hosts.len();
            hosts.rotate_left(start);
            caller::ask(&hosts, prompt).await
        }
        LoadTarget::Baseline(router) => router.ask(prompt).await,
    };
    LoadSample {
        source: arrival.source,
        group,
        prompt_tokens: engine::prompt_tokens(&prompt.rendered()),
        max_tokens: arrival.max_tokens,
        arrival: arrival.at,
        first_token: answer.first_token,
        total: started.elapsed(),
        end: sample_end(&answer, prompt),
    }
}

fn sample_end(answer: &Answer, prompt: &Prompt) -> SampleEnd {
    if let Some(problem) = &answer.problem {
        return SampleEnd::Refused(problem["reason"].as_str().unwrap_or("none").to_owned());
    }
    match answer.complete {
        true if answer.text == prompt.expected() => SampleEnd::Complete,
        true => SampleEnd::Wrong,
        false => SampleEnd::Lost,
    }
}

/// Waits on the calling thread of an executor.
pub(crate) async fn pause(span: Duration) {
    Timer::after(span).await;
}
