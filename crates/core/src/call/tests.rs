use std::collections::BTreeSet;

use arbtest::arbitrary::Unstructured;

use super::*;

type Arbitrary<T> = arbtest::arbitrary::Result<T>;

/// A call and the index of the host that makes it.
type Caller = (usize, CallKey);

/// A message in flight to the key-value service or a service.
struct Sent {
    host: usize,
    /// Number of restarts of the host when it was sent; answers to an earlier process are dropped.
    process: u64,
    output: CallOutput,
}

/// Simulates hosts that use one idempotency key, the key-value service and the called service.
struct World {
    now: Time,
    keepers: Vec<(u64, CallKeeper)>,
    stored: Option<(Revision, CallRecord)>,
    revision: u64,
    sent: Vec<Sent>,
    /// Writes that were reported as unanswered but may still take effect.
    late: Vec<CallOutput>,
    runs: Vec<Caller>,
    answers: BTreeMap<Caller, CallResult>,
    begun: u64,
}

impl World {
    fn new() -> World {
        let keepers = (0..3).map(|host| (0, keeper(host, 0))).collect();
        World {
            now: Time(1_000_000),
            keepers,
            stored: None,
            revision: 0,
            sent: Vec::new(),
            late: Vec::new(),
            runs: Vec::new(),
            answers: BTreeMap::new(),
            begun: 0,
        }
    }

    fn input(&mut self, host: usize, input: CallInput) {
        let (process, keeper) = &mut self.keepers[host];
        let (process, outputs) = (*process, keeper.step(self.now, input));
        for output in outputs {
            if let CallOutput::Answer { call, result } = output {
                let earlier = self.answers.insert((host, call), result);
                assert!(earlier.is_none(), "a second answer");
            } else {
                self.sent.push(Sent { host, process, output });
            }
        }
    }

    fn begin(&mut self, host: usize, u: &mut Unstructured<'_>) -> Arbitrary<()> {
        self.begun += 1;
        let deadline = self.now + Duration::from_millis(u.int_in_range(100..=20_000)?);
        self.input(
            host,
            CallInput::Begin {
                call: CallKey(self.begun),
                key: "call/a/k".into(),
                body_hash: "b".into(),
                deadline,
                deadline_ms: deadline.0 / 1000,
                is_retry: self.begun > 1,
            },
        );
        Ok(())
    }

    fn kill(&mut self, host: usize) {
        let process = self.keepers[host].0 + 1;
        self.keepers[host] = (process, keeper(host, process));
    }

    /// Delivers one message, with a fault chosen by `u`.
    fn deliver(&mut self, at: usize, u: &mut Unstructured<'_>) -> Arbitrary<()> {
        let Sent { host, process, output } = self.sent.remove(at);
        let fault = u.int_in_range(0..=9)?;
        let input = match output {
            CallOutput::GrantLease => CallInput::Lease((fault != 0).then_some(1)),
            CallOutput::Send(call) => {
                if fault != 0 {
                    self.runs.push((host, call));
                }
                let kept = CallAnswer { status: 200, content_type: "t".into(), body: Some(vec![]) };
                let answer = match fault {
                    0 => ServiceAnswer::NotSent,
                    1 => ServiceAnswer::NoAnswer,
                    _ => ServiceAnswer::Answered(kept),
                };
                CallInput::Service { call, answer }
            }
            output => {
                let (call, sequence) = store_operation(&output);
                let answer = match fault {
                    0 => StoreAnswer::NotSent,
                    1 => {
                        self.late.push(output);
                        StoreAnswer::NoAnswer
                    }
                    2 => {
                        self.apply(&output);
                        StoreAnswer::NoAnswer
                    }
                    3 if matches!(output, CallOutput::Create { .. }) => StoreAnswer::UnknownLease,
                    _ => self.apply(&output),
                };
                CallInput::Store { call, sequence, answer }
            }
        };
        if self.keepers[host].0 == process {
            self.input(host, input);
        }
        Ok(())
    }

    fn apply(&mut self, output: &CallOutput) -> StoreAnswer {
        let current = self.stored.as_ref().map_or(ABSENT_REVISION, |stored| stored.0);
        let (expect, value) = match output {
            CallOutput::Create { record, .. } => (ABSENT_REVISION, Some(record.clone())),
            CallOutput::Replace { expect, record, .. } => (*expect, Some(record.clone())),
            CallOutput::Delete { expect, .. } => (*expect, None),
            _ => {
                let Some((revision, record)) = self.stored.clone() else {
                    return StoreAnswer::Absent;
                };
                return StoreAnswer::Found { revision, record, is_holder_alive: true };
            }
        };
        if current != expect {
            return StoreAnswer::RevisionConflict;
        }
        self.revision += 1;
        self.stored = value.map(|record| (Revision(self.revision), record));
        StoreAnswer::Written(Revision(self.revision))
    }
}

fn store_operation(output: &CallOutput) -> (CallKey, u32) {
    match output {
        CallOutput::Create { call, sequence, .. }
        | CallOutput::Read { call, sequence, .. }
        | CallOutput::Replace { call, sequence, .. }
        | CallOutput::Delete { call, sequence, .. } => (*call, *sequence),
        output => panic!("not for the key-value service: {output:?}"),
    }
}

fn keeper(host: usize, process: u64) -> CallKeeper {
    let seed = host as u64 * 1000 + process;
    CallKeeper::new(format!("h{host}").into(), process, fastrand::Rng::with_seed(seed))
}

fn simulate(u: &mut Unstructured<'_>) -> Arbitrary<()> {
    let mut world = World::new();
    for _ in 0..120 {
        // A host with no input for a while behaves like a paused one: its messages arrive late.
        world.now = world.now + Duration::from_millis(u.int_in_range(0..=1500)?);
        let host = u.int_in_range(0..=2)?;
        match u.int_in_range(0..=11)? {
            0 if world.begun < 6 => world.begin(host, u)?,
            1 => world.kill(host),
            2..=4 => world.input(host, CallInput::Tick),
            5 if !world.late.is_empty() => {
                let output = world.late.remove(u.choose_index(world.late.len())?);
                world.apply(&output);
            }
            _ if !world.sent.is_empty() => world.deliver(u.choose_index(world.sent.len())?, u)?,
            _ => {}
        }
    }
    check(&world);
    Ok(())
}

fn check(world: &World) {
    assert!(world.runs.len() <= 1, "run {} times", world.runs.len());
    for (caller, end) in &world.answers {
        match end {
            CallResult::Answer(_) => assert_eq!(world.runs.len(), 1, "answered without a run"),
            CallResult::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                assert!(!world.runs.contains(caller), "told not-run, and it ran");
                assert_eq!(caller.1, CallKey(1), "a retry cannot know that nothing ran");
            }
            CallResult::Refused(_) => {}
        }
    }
}

/// Guards against a second run and a wrong `not-run` under lost and late answers, outages, unknown
/// leases, killed and paused hosts, and retries at other hosts.
#[test]
fn call_runs_at_most_once() {
    arbtest::arbtest(simulate).budget_ms(1500);
}

/// Guards against `call_runs_at_most_once` passing only because no call ever runs.
#[test]
fn call_without_faults_runs_and_is_replayed() {
    let mut world = World::new();
    let calm = [0x55; 64];
    for host in [0, 1] {
        world.begin(host, &mut Unstructured::new(&[0xff; 8])).expect("enough bytes");
        while !world.sent.is_empty() {
            world.deliver(0, &mut Unstructured::new(&calm)).expect("enough bytes");
        }
    }
    assert_eq!(world.runs, [(0, CallKey(1))]);
    let answers: BTreeSet<_> = world.answers.keys().copied().collect();
    assert_eq!(answers, BTreeSet::from([(0, CallKey(1)), (1, CallKey(2))]));
    assert!(world.answers.values().all(|end| matches!(end, CallResult::Answer(_))));
}

/// Guards against an intent that is left behind by an outage, so that retries get the outcome
/// unknown although nothing ran.
#[test]
fn intent_of_a_call_that_was_never_sent_is_deleted() {
    let mut world = World::new();
    world.begin(0, &mut Unstructured::new(&[0xff; 8])).expect("enough bytes");
    world.input(0, CallInput::Lease(Some(1)));
    let create = world.sent.remove(1).output;
    let (call, sequence) = store_operation(&create);
    world.apply(&create);
    world.input(0, CallInput::Store { call, sequence, answer: StoreAnswer::NoAnswer });
    world.now = world.now + RESOLVE_TIMEOUT;
    world.input(0, CallInput::Tick);
    let CallResult::Refused(refusal) = &world.answers[&(0, call)] else { panic!("not refused") };
    assert_eq!(refusal.outcome, Outcome::NotRun);
    while let Some(sent) = world.sent.pop() {
        if !matches!(sent.output, CallOutput::GrantLease) {
            let (call, sequence) = store_operation(&sent.output);
            let answer = world.apply(&sent.output);
            world.input(0, CallInput::Store { call, sequence, answer });
        }
    }
    assert!(world.stored.is_none(), "the intent is still there");
    assert!(world.keepers[0].1.is_empty());
}

/// Guards against a call that gets the answer to another body sent with the same key.
#[test]
fn other_body_is_refused() {
    let mut keeper = keeper(0, 0);
    let (call, deadline) = (CallKey(1), Time(9_000_000));
    let (key, body_hash): (Arc<str>, Arc<str>) = ("k".into(), "mine".into());
    let begin =
        CallInput::Begin { call, key, body_hash, deadline, deadline_ms: 9_000, is_retry: true };
    keeper.step(Time(0), begin);
    let outputs = keeper.step(Time(0), CallInput::Lease(Some(1)));
    let CallOutput::Create { mut record, sequence, .. } = outputs[0].clone() else {
        panic!("no create")
    };
    record.body_hash = "other".into();
    record.write = "other".into();
    let revision = Revision(1);
    let answer = StoreAnswer::Found { revision, record, is_holder_alive: true };
    let outputs = keeper.step(Time(0), CallInput::Store { call, sequence, answer });
    let [CallOutput::Answer { result: CallResult::Refused(refusal), .. }] = &outputs[..] else {
        panic!("{outputs:?}")
    };
    assert_eq!((refusal.reason, refusal.outcome), (Reason::Conflict, Outcome::NotRun));
}
