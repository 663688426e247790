//! Calls that must not be repeated, through hosts and a key-value service that fail.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use parsley_standins::{
    caller::{CallOutcome, ServiceCall},
    fleet::Fleet,
};

mod fixture;

const KEYS: usize = 1_000;
const WORKERS: usize = 20;

/// How the calls with one key ended.
#[derive(Debug)]
struct KeyEnd {
    key: String,
    first: CallOutcome,
    last: CallOutcome,
}

/// Calls with every key until the outcome is settled, each time at the next host.
fn call_all(
    addresses: &[SocketAddr],
    name: &'static str,
    count: usize,
    done: &Arc<AtomicUsize>,
) -> Vec<thread::JoinHandle<Vec<KeyEnd>>> {
    let worker = |worker: usize| {
        let (addresses, done) = (addresses.to_vec(), done.clone());
        thread::spawn(move || {
            let mut ends = Vec::new();
            for index in (worker..count).step_by(WORKERS) {
                ends.push(call_key(&addresses, &format!("{name}-{index}"), index));
                done.fetch_add(1, Ordering::Relaxed);
            }
            ends
        })
    };
    (0..WORKERS).map(worker).collect()
}

fn call_key(addresses: &[SocketAddr], key: &str, index: usize) -> KeyEnd {
    let mut call = ServiceCall { limit: Duration::from_secs(3), ..fixture::service_call(key) };
    let first = fixture::call(addresses[index % addresses.len()], &call);
    let mut last = first.clone();
    call.is_retry = true;
    for turn in 1..30 {
        // Every third key is called again although its outcome is known.
        let is_settled = matches!(last, CallOutcome::Answered(_))
            || last.problem("reason") == Some("outcome-unknown");
        if is_settled && (!index.is_multiple_of(3) || turn > 1) {
            break;
        }
        if turn > 1 {
            fixture::pause(200);
        }
        last = fixture::call(addresses[(index + turn) % addresses.len()], &call);
    }
    KeyEnd { key: key.to_owned(), first, last }
}

/// Counts of what must not happen: runs beyond the first, answers without a run, and first calls
/// told `not-run` although the key ran before any retry could run it.
fn check(fleet: &Fleet, ends: &[KeyEnd]) -> (usize, usize, usize) {
    let runs = fleet.service_log().runs();
    let run = |end: &KeyEnd| runs.get(&end.key).copied().unwrap_or(0);
    let doubled = ends.iter().filter(|end| run(end) > 1).count();
    let is_answered = |end: &&KeyEnd| matches!(end.last, CallOutcome::Answered(_));
    let unfounded = ends.iter().filter(is_answered).filter(|end| run(end) == 0).count();
    // A retry that was answered may itself have run the call.
    let is_false = |end: &&KeyEnd| {
        end.first.problem("outcome") == Some("not-run") && !is_answered(end) && run(end) > 0
    };
    let falsely_not_run = ends.iter().filter(is_false).count();
    (doubled, unfounded, falsely_not_run)
}

/// Guards against a certificate issued twice, or an answer that was never given, under lost
/// answers of the key-value service, killed, restarted and paused hosts, and retries elsewhere.
#[test]
fn thousand_keys_run_at_most_once() {
    let mut fleet = fixture::fleet().start().unwrap();
    fleet.store_faults().lose_answers(5);
    let done = Arc::<AtomicUsize>::default();
    let workers = call_all(&fixture::addresses(&fleet), "key", KEYS, &done);
    let reach = |count: usize| {
        while done.load(Ordering::Relaxed) < count {
            fixture::pause(20);
        }
    };
    for (count, index) in [(100, 0), (300, 1), (500, 2)] {
        reach(count);
        fleet.kill_host(index);
        fixture::pause(300);
        fleet.start_host(index).unwrap();
    }
    reach(700);
    fleet.signal_host(0, "STOP").unwrap();
    fixture::pause(5000);
    fleet.signal_host(0, "CONT").unwrap();
    let ends: Vec<_> = workers.into_iter().flat_map(|worker| worker.join().unwrap()).collect();
    assert_eq!(ends.len(), KEYS);
    assert_eq!(check(&fleet, &ends), (0, 0, 0));
    let answered = ends.iter().filter(|end| matches!(end.last, CallOutcome::Answered(_))).count();
    // Only calls on their way through a host at its death may stay unknown: at most one for each
    // worker and failure, beside those whose answer arrived too late.
    assert!(answered >= KEYS - 5 * WORKERS, "only {answered} of {KEYS} were answered");
    fleet.close();
}

/// Guards against a call sent while its intent is not known to be written, and against an intent
/// left behind that makes later retries `unknown`.
#[test]
fn outage_of_the_store_runs_nothing_and_leaves_nothing() {
    let fleet = fixture::fleet().start().unwrap();
    let addresses = fixture::addresses(&fleet);
    let warm = fixture::call(addresses[0], &fixture::service_call("warm"));
    assert!(matches!(warm, CallOutcome::Answered(_)), "{warm:?}");
    // Writes take effect and no answer arrives, then nothing at all.
    fleet.store_faults().lose_answers(100);
    let address = addresses[0];
    let lost = thread::spawn(move || fixture::call(address, &fixture::service_call("lost")));
    fixture::pause(700);
    fleet.store_faults().out(true);
    let end = lost.join().unwrap();
    assert_eq!(end.problem("outcome"), Some("not-run"), "{end:?}");
    let end = fixture::call(addresses[1], &fixture::service_call("out"));
    assert_eq!(end.problem("outcome"), Some("not-run"), "{end:?}");
    let prompt = fixture::prompt("model-request", 20);
    assert!(fixture::ask(&addresses, &prompt).complete, "model requests need no store");
    let runs = fleet.service_log().runs();
    assert_eq!(runs.keys().collect::<Vec<_>>(), ["warm"]);

    fleet.store_faults().out(false);
    fleet.store_faults().lose_answers(0);
    for key in ["lost", "out"] {
        let mut call = fixture::service_call(key);
        call.is_retry = true;
        let mut end = fixture::call(addresses[2], &call);
        for _ in 0..50 {
            if matches!(end, CallOutcome::Answered(_)) {
                break;
            }
            fixture::pause(200);
            end = fixture::call(addresses[2], &call);
        }
        assert!(matches!(end, CallOutcome::Answered(_)), "{end:?}");
    }
    assert_eq!(fleet.service_log().runs().values().max(), Some(&1));
    fleet.close();
}

/// Guards against answers invented or lost while the key-value service is slow, slower than the
/// hosts wait for it at times.
#[test]
fn slow_store_runs_nothing_twice() {
    let fleet = fixture::fleet().start().unwrap();
    let done = Arc::<AtomicUsize>::default();
    let workers = call_all(&fixture::addresses(&fleet), "slow", 60, &done);
    for millis in [300, 1300, 100] {
        fleet.store_faults().slow(Duration::from_millis(millis));
        fixture::pause(2500);
    }
    fleet.store_faults().slow(Duration::ZERO);
    let ends: Vec<_> = workers.into_iter().flat_map(|worker| worker.join().unwrap()).collect();
    assert_eq!(check(&fleet, &ends), (0, 0, 0));
    assert_eq!(ends.iter().filter(|end| !end.is_answered()).count(), 0);
    fleet.close();
}

impl KeyEnd {
    fn is_answered(&self) -> bool {
        matches!(self.last, CallOutcome::Answered(_))
    }
}

/// Guards against a second run when the service gives no answer, against `not-run` for it, and
/// against a repeatable service that is not tried again.
#[test]
fn unanswered_calls_are_unknown_and_repeatable_ones_repeated() {
    let fleet = fixture::fleet().start().unwrap();
    let addresses = fixture::addresses(&fleet);
    fleet.service_log().lose_answers(1);
    let call = ServiceCall { limit: Duration::from_secs(1), ..fixture::service_call("silent") };
    for index in [0, 1, 2, 0] {
        let call = ServiceCall { is_retry: index > 0, ..call.clone() };
        let end = fixture::call(addresses[index], &call);
        assert_eq!(end.problem("outcome"), Some("unknown"), "{end:?}");
    }
    assert_eq!(fleet.service_log().runs()["silent"], 1);
    let other = ServiceCall { body: "other".to_owned(), ..call.clone() };
    let end = fixture::call(addresses[0], &other);
    assert_eq!(
        (end.problem("reason"), end.problem("outcome")),
        (Some("conflict"), Some("not-run"))
    );

    let lookup = ServiceCall { service: "lookup".to_owned(), ..fixture::service_call("lookup") };
    let end = fixture::call(addresses[0], &lookup);
    assert!(matches!(end, CallOutcome::Answered(_)), "{end:?}");
    fleet.close();
}

/// Guards against a call cut off by a graceful shutdown, which would leave its outcome unknown.
#[test]
fn graceful_shutdown_leaves_no_call_unknown() {
    let mut fleet = fixture::fleet().start().unwrap();
    let stop = Arc::<AtomicBool>::default();
    let worker = |worker: usize| {
        let (addresses, stop) = (fixture::addresses(&fleet), stop.clone());
        thread::spawn(move || {
            let mut ends = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let key = format!("drain-{worker}-{}", ends.len());
                ends.push(call_key(&addresses, &key, ends.len()));
            }
            ends
        })
    };
    let workers: Vec<_> = (0..8).map(worker).collect();
    fixture::pause(500);
    fleet.signal_host(0, "TERM").unwrap();
    assert!(fleet.wait_host(0).unwrap(), "the host did not end by itself");
    stop.store(true, Ordering::Relaxed);
    let ends: Vec<_> = workers.into_iter().flat_map(|worker| worker.join().unwrap()).collect();
    assert_eq!(check(&fleet, &ends), (0, 0, 0));
    let open: Vec<_> = ends.iter().filter(|end| !end.is_answered()).collect();
    assert!(open.is_empty(), "{} of {}: {:?}", open.len(), ends.len(), open[0]);
    fleet.close();
}
