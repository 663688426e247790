//! Runs many prompts at a time and counts how they ended.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use async_executor::LocalExecutor;

use crate::caller::{self, Answer, Prompt};

/// Time within which a request of the longest rank in use finishes or fails.
const RANK_TIME: Duration = Duration::from_secs(120);
/// Time for the final answer to reach a caller that has to connect again for it.
const LATE_TOLERANCE: Duration = Duration::from_secs(10);

/// How prompts ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// Whole answers.
    pub complete: usize,
    /// Neither an answer nor a final refusal.
    pub lost: usize,
    /// Answers that end early although their end was sent.
    pub truncated: usize,
    /// Answers with text of another prompt, or with text twice.
    pub crossed: usize,
    /// Refused as not run.
    pub refused: usize,
    /// Failed after they ran.
    pub failed: usize,
    /// Ended after the time of their rank, whatever their end.
    pub late: usize,
    /// Connections beyond the first.
    pub reconnects: usize,
    /// Streams that began and were cut off.
    pub cuts: usize,
    /// Reasons of refusals and failures.
    pub reasons: BTreeSet<String>,
    /// Request ids that were refused as not run.
    pub not_run: BTreeSet<String>,
}

impl Tally {
    /// Counts one answer.
    pub fn count(&mut self, prompt: &Prompt, answer: &Answer) {
        let expected = prompt.expected();
        self.reconnects += answer.connections.saturating_sub(1) as usize;
        self.cuts += answer.cuts as usize;
        self.late += usize::from(answer.elapsed > RANK_TIME + LATE_TOLERANCE);
        if let Some(problem) = &answer.problem {
            self.reasons.insert(format!("{}: {}", problem["reason"], problem["detail"]));
            if problem["outcome"] == "not-run" {
                self.refused += 1;
                self.not_run.insert(prompt.request.clone());
            } else {
                self.failed += 1;
            }
        } else if !answer.complete {
            self.lost += 1;
        } else if answer.text == expected {
            self.complete += 1;
        } else if expected.starts_with(&answer.text) {
            self.truncated += 1;
        } else {
            self.crossed += 1;
        }
    }

    /// Number of prompts that ended in a way that no failure excuses.
    pub fn wrong(&self) -> usize {
        self.lost + self.truncated + self.crossed + self.late
    }

    /// Adds another tally.
    pub fn add(&mut self, other: Tally) {
        self.complete += other.complete;
        self.lost += other.lost;
        self.truncated += other.truncated;
        self.crossed += other.crossed;
        self.refused += other.refused;
        self.failed += other.failed;
        self.late += other.late;
        self.reconnects += other.reconnects;
        self.cuts += other.cuts;
        self.reasons.extend(other.reasons);
        self.not_run.extend(other.not_run);
    }
}

/// Prompts being asked on a thread of their own.
pub struct PromptLoad {
    thread: thread::JoinHandle<Tally>,
    ended: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

impl PromptLoad {
    /// Asks all prompts, at most `concurrency` at a time. Each starts at another address.
    pub fn start(addresses: &[SocketAddr], prompts: Vec<Prompt>, concurrency: usize) -> PromptLoad {
        PromptLoad::run(addresses, concurrency, move |index| prompts.get(index).cloned())
    }

    /// Asks one prompt after the other, `concurrency` at a time, until [`PromptLoad::stop`].
    pub fn endless(
        addresses: &[SocketAddr],
        prompt: impl Fn(usize) -> Prompt + Send + 'static,
        concurrency: usize,
    ) -> PromptLoad {
        PromptLoad::run(addresses, concurrency, move |index| Some(prompt(index)))
    }

    fn run(
        addresses: &[SocketAddr],
        concurrency: usize,
        prompt: impl Fn(usize) -> Option<Prompt> + Send + 'static,
    ) -> PromptLoad {
        let addresses: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
        let (ended, stop) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let (count, stopped) = (ended.clone(), stop.clone());
        let next = move |index| {
            let is_stopped = stopped.load(Ordering::Relaxed);
            if is_stopped { None } else { prompt(index) }
        };
        let thread = thread::spawn(move || ask_all(&addresses, &next, concurrency, &count));
        PromptLoad { thread, ended, stop }
    }

    /// Number of prompts that ended so far.
    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::Relaxed)
    }

    /// Begins no further prompt and waits until those begun ended. Returns also their number.
    pub fn stop(self) -> (Tally, usize) {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self.ended.clone();
        let tally = self.finish();
        (tally, ended.load(Ordering::Relaxed))
    }

    /// Waits until all prompts ended.
    pub fn finish(self) -> Tally {
        self.thread.join().expect("the load does not panic")
    }
}

fn ask_all(
    addresses: &[String],
    prompt: &impl Fn(usize) -> Option<Prompt>,
    concurrency: usize,
    ended: &AtomicUsize,
) -> Tally {
    let (tally, next) = (RefCell::new(Tally::default()), Cell::new(0));
    let worker = async || {
        loop {
            let index = next.replace(next.get() + 1);
            let Some(prompt) = prompt(index) else { return };
            let mut order = addresses.to_vec();
            order.rotate_left(index % addresses.len());
            let answer = caller::ask(&order, &prompt).await;
            tally.borrow_mut().count(&prompt, &answer);
            ended.fetch_add(1, Ordering::Relaxed);
        }
    };
    let executor = LocalExecutor::new();
    let workers: Vec<_> = (0..concurrency).map(|_| executor.spawn(worker())).collect();
    async_io::block_on(executor.run(async {
        for worker in workers {
            worker.await;
        }
    }));
    drop(executor);
    tally.into_inner()
}
