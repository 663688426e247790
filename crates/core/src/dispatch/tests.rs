use super::*;
use crate::{
    fleet::{EngineVerdict, ServerNotice},
    refusal::Reason,
    work::{AccountTag, WorkUpdate},
};

pub(super) const SERVICE: &str = "model";
pub(super) const PLAIN: &str = "records";
const PEER: HostTag = HostTag(7);
const ALL: Option<(WorkNumber, WorkNumber)> = Some((WorkNumber(0), WorkNumber(u32::MAX)));

/// An engine with a prefill throughput of 256 tokens per millisecond, as users configure it.
pub(super) fn model() -> LatencyModel {
    LatencyModel {
        slots: 16,
        memory_tokens: 450_000,
        step_ms: 0.925,
        per_sequence_ms: 0.00483,
        per_1k_context_ms: 0.00254,
        prefill_tokens_per_ms: 256.0,
        per_1m_pairs_ms: 0.0917,
        chunk_tokens: 2_048,
        steps_per_pass: 46,
        hop_ms: 0.1,
    }
}

pub(super) fn at(millis: u64) -> Time {
    Time(1_000_000_000 + millis * 1_000)
}

fn entry(index: usize, service: &str) -> EngineEntry {
    EngineEntry {
        id: format!("{service}-{index}").into(),
        service: service.into(),
        address: ([127, 0, 0, 1], 8_000 + index as u16).into(),
        failure_domain: if index.is_multiple_of(2) { "a".into() } else { "b".into() },
        slots: if service == PLAIN { 6 } else { 16 },
        is_leaving: false,
        started_ms: 1,
        revision: 1.into(),
    }
}

pub(super) fn dispatcher(engines: usize, plain: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(HostTag(1), "a".into());
    let service = |name: &str, pass| ServingService {
        name: name.into(),
        max_connections: 400,
        latency_model: pass,
        cold_start: None,
    };
    let services = [service(SERVICE, Some(model())), service(PLAIN, None)];
    let services = services.into_iter().map(|service| (service.name.clone(), service)).collect();
    let urgent = UrgentTarget { priority: 0, first_event_target_ms: 250, gap_target_ms: 200 };
    let urgent_targets = BTreeMap::from([(SERVICE.into(), urgent)]);
    dispatcher.step(at(0), DispatchInput::Services { services, urgent_targets });
    let engines = (0..engines).map(|index| entry(index, SERVICE));
    let entries = engines.chain((0..plain).map(|index| entry(index, PLAIN))).collect();
    dispatcher.step(at(0), DispatchInput::ServersListed { entries, revision: 1.into() });
    dispatcher
}

pub(super) fn demand(
    service: &str,
    prompt: u32,
    answer: u32,
    aim: u32,
    gap: u32,
    priority: u8,
) -> WorkDemand {
    WorkDemand {
        account: AccountTag(1),
        service: hash_name(service),
        prompt_tokens: prompt,
        answer_tokens: answer,
        first_event_target_ms: aim,
        gap_target_ms: gap,
        priority,
    }
}

pub(super) fn short() -> WorkDemand {
    demand(SERVICE, 5_000, 1_600, 250, 200, 0)
}

pub(super) fn long(prompt: u32) -> WorkDemand {
    demand(SERVICE, prompt, 800, 6_000, 800, 2)
}

pub(super) fn submit(
    dispatcher: &mut Dispatcher,
    now: Time,
    number: u32,
    demand: WorkDemand,
    patience_ms: u64,
) -> Vec<DispatchOutput> {
    let service = if demand.service == hash_name(PLAIN) { PLAIN } else { SERVICE };
    dispatcher.step(
        now,
        DispatchInput::Submit {
            number: WorkNumber(number),
            service: service.into(),
            demand,
            arrived: now,
            deadline: now + Duration::from_millis(patience_ms),
            excluded: Vec::new(),
        },
    )
}

pub(super) fn of_account(account: u32, demand: WorkDemand) -> WorkDemand {
    WorkDemand { account: AccountTag(account), ..demand }
}

fn assigned(outputs: &[DispatchOutput]) -> Vec<(u32, EngineTag, Vec<PrefillHelper>)> {
    let assigned = outputs.iter().filter_map(|output| match output {
        DispatchOutput::Assign { number, engine, helpers, .. } => {
            Some((number.0, *engine, helpers.clone()))
        }
        _ => None,
    });
    assigned.collect()
}

fn place(dispatcher: &mut Dispatcher, now: Time, number: u32, demand: WorkDemand) -> EngineTag {
    let outputs = submit(dispatcher, now, number, demand, 10_000);
    let placed = assigned(&outputs);
    assert_eq!(placed.len(), 1, "{outputs:?}");
    placed[0].1
}

fn start_response(dispatcher: &mut Dispatcher, now: Time, number: u32) {
    dispatcher.step(now, DispatchInput::ResponseStarted(WorkNumber(number)));
}

/// Places `count` short requests that are being decoded and returns the engines in use.
fn place_short_requests(dispatcher: &mut Dispatcher, count: u32) -> Vec<EngineTag> {
    let mut engines = Vec::new();
    for number in 0..count {
        let now = at(u64::from(number) * 30);
        engines.push(place(dispatcher, now, number, short()));
        start_response(dispatcher, now + Duration::from_millis(25), number);
    }
    engines.sort_unstable();
    engines.dedup();
    engines
}

/// Guards against short requests spread over all engines, so that a long prompt delays some of them
/// wherever it runs.
#[test]
fn short_prompts_are_packed_and_leave_engines_to_long_ones() {
    let mut dispatcher = dispatcher(14, 0);
    let packed = place_short_requests(&mut dispatcher, 40);
    assert!(packed.len() <= 5, "40 short answers are spread over {} engines", packed.len());
    let engine = place(&mut dispatcher, at(1_300), 100, long(210_000));
    assert!(!packed.contains(&engine));
    // Further short prompts avoid the engine that prefills the long one.
    for number in 101..120 {
        assert_ne!(place(&mut dispatcher, at(1_310), number, short()), engine);
    }
}

/// Guards against an overload of long prompts that lengthens the event gaps of short requests: long
/// prompts must wait for an engine of their own.
#[test]
fn overload_of_long_prompts_does_not_delay_short_requests() {
    let mut dispatcher = dispatcher(6, 0);
    let packed = place_short_requests(&mut dispatcher, 20);
    let now = at(700);
    let mut used = Vec::new();
    for number in 100..120 {
        let outputs = submit(&mut dispatcher, now, number, long(210_000), 15_000);
        used.extend(assigned(&outputs).into_iter().map(|(_, engine, _)| engine));
    }
    assert!(!used.is_empty() && used.iter().all(|engine| !packed.contains(engine)));
    assert!(dispatcher.waiting_count() > 0, "the other long prompts wait");
    // A freed engine takes one long prompt, not all that wait.
    dispatcher.step(at(2_000), DispatchInput::RequestEnded(WorkNumber(100)));
    let outputs = dispatcher.step(at(2_010), DispatchInput::Tick);
    assert!(assigned(&outputs).len() <= 1);
}

/// Guards against a freed engine taken by a newer request of another host: each host places only
/// its own requests, but in the order shared by all hosts.
#[test]
fn older_request_of_a_peer_goes_first() {
    let mut dispatcher = dispatcher(1, 0);
    place(&mut dispatcher, at(0), 1, long(200_000));
    let waiting = WorkEntry {
        demand: long(200_000),
        phase: WorkPhase::Waiting,
        start_tag_us: 0,
        engines: Vec::new(),
        arrived: Time(500_000),
        phase_start: Time(500_000),
    };
    let update = WorkUpdate {
        covered_range: ALL,
        entries: vec![(WorkNumber(1), waiting)],
        ended: Vec::new(),
    };
    let peer_update =
        DispatchInput::PeerUpdate { host: PEER, incarnation: 1, update, estimates: Vec::new() };
    dispatcher.step(at(1_000), peer_update);
    assert!(assigned(&submit(&mut dispatcher, at(1_000), 2, long(200_000), 15_000)).is_empty());
    dispatcher.step(at(1_500), DispatchInput::RequestEnded(WorkNumber(1)));
    let outputs = dispatcher.step(at(1_510), DispatchInput::Tick);
    assert!(assigned(&outputs).is_empty(), "the peer's request is older");
}

/// Guards against rejecting a prompt that exceeds one engine's memory but fits into several.
#[test]
fn prompt_beyond_one_engine_is_split_over_several() {
    let mut dispatcher = dispatcher(6, 0);
    let outputs = submit(&mut dispatcher, at(0), 1, long(900_000), 15_000);
    let placed = assigned(&outputs);
    let [(_, first, helpers)] = &placed[..] else { panic!("{outputs:?}") };
    let shared: u32 = helpers.iter().map(|helper| helper.tokens.unwrap()).sum();
    assert!(helpers.len() >= 2 && helpers.iter().all(|helper| helper.engine != *first));
    assert!(900_800 - shared.min(900_800) <= 450_000, "the rest fits into the first engine");
}

/// Guards against treating helper engines as idle. Each engine that holds a part of a split prompt
/// has slower steps until the decode ends, so short prompts must go elsewhere.
#[test]
fn engines_that_hold_a_part_of_a_prompt_are_avoided() {
    let mut dispatcher = dispatcher(4, 0);
    let outputs = submit(&mut dispatcher, at(0), 1, long(800_000), 15_000);
    let placed = assigned(&outputs);
    let [(_, first, helpers)] = &placed[..] else { panic!("{outputs:?}") };
    let holders: Vec<_> = helpers.iter().map(|helper| helper.engine).chain([*first]).collect();
    assert_eq!(holders.len(), 3, "one engine stays open");
    start_response(&mut dispatcher, at(9_000), 1);
    for number in 2..5 {
        let now = at(9_000 + u64::from(number) * 50);
        assert!(!holders.contains(&place(&mut dispatcher, now, number, short())));
        start_response(&mut dispatcher, now + Duration::from_millis(25), number);
    }
}

/// Guards against holding a request that no fleet of this size can ever serve.
#[test]
fn prompt_that_the_fleet_cannot_hold_is_refused_at_once() {
    let mut dispatcher = dispatcher(1, 0);
    let outputs = submit(&mut dispatcher, at(0), 1, long(5_000_000), 15_000);
    assert!(matches!(outputs[..], [DispatchOutput::Refuse { .. }]), "{outputs:?}");
}

#[test]
fn long_prompt_that_cannot_begin_in_time_is_refused() {
    let mut dispatcher = dispatcher(1, 0);
    place(&mut dispatcher, at(0), 1, long(400_000));
    let outputs = submit(&mut dispatcher, at(10), 2, long(400_000), 9_000);
    assert!(matches!(outputs[..], [DispatchOutput::Refuse { .. }]), "{outputs:?}");
}

/// Guards against refusing requests while the server list is still loading or the servers of a
/// service are being replaced.
#[test]
fn request_without_any_server_waits_shortly_and_is_refused() {
    let mut dispatcher = dispatcher(0, 0);
    assert!(submit(&mut dispatcher, at(0), 1, short(), 10_000).is_empty());
    let outputs = dispatcher.step(at(600), DispatchInput::Tick);
    let refused = matches!(outputs[..], [DispatchOutput::Refuse { reason: Reason::NoEngine, .. }]);
    assert!(refused, "{outputs:?}");
}

/// Guards against engines that fail some requests although their health checks pass.
#[test]
fn failing_engine_is_avoided_and_tried_again_later() {
    let mut dispatcher = dispatcher(3, 0);
    let bad = place(&mut dispatcher, at(0), 1, short());
    dispatcher.step(at(5), DispatchInput::RequestEnded(WorkNumber(1)));
    let verdict = EngineVerdict::Failed;
    dispatcher.step(at(10), DispatchInput::AttemptEnded { engine: bad, verdict });
    dispatcher.step(at(10), DispatchInput::AttemptEnded { engine: bad, verdict });
    for number in 2..12 {
        assert_ne!(place(&mut dispatcher, at(20 + u64::from(number)), number, short()), bad);
    }
}

/// Guards against uneven load of plain servers with few slots, and against exceeding their slots.
#[test]
fn plain_requests_fill_servers_evenly_and_wait_when_all_are_full() {
    let mut dispatcher = dispatcher(0, 3);
    let plain = || demand(PLAIN, 0, 0, 150, 0, 2);
    let mut counts: BTreeMap<EngineTag, u32> = BTreeMap::new();
    for number in 0..18 {
        *counts.entry(place(&mut dispatcher, at(0), number, plain())).or_default() += 1;
    }
    assert_eq!(counts.values().copied().collect::<Vec<_>>(), [6, 6, 6]);
    assert!(submit(&mut dispatcher, at(1), 18, plain(), 800).is_empty());
    let outputs = dispatcher.step(at(2), DispatchInput::RequestEnded(WorkNumber(0)));
    assert_eq!(assigned(&outputs).len(), 1);
}

#[test]
fn leaving_server_gets_no_request() {
    let mut dispatcher = dispatcher(0, 2);
    let leaving = EngineEntry { is_leaving: true, revision: 2.into(), ..entry(0, PLAIN) };
    let tag = leaving.tag();
    dispatcher.step(at(1), DispatchInput::ServerChanged(leaving));
    for number in 0..6 {
        let plain = demand(PLAIN, 0, 0, 150, 0, 2);
        assert_ne!(place(&mut dispatcher, at(2), number, plain), tag);
    }
}

/// For any sequence of arrivals and ends, each request is assigned or refused exactly once.
#[test]
fn every_request_is_decided_once() {
    crate::fixed_cases(60, |input| {
        let mut dispatcher = dispatcher(input.int_in_range(0..=4)?, 1);
        let (mut now, mut open, mut decided) = (0, Vec::new(), BTreeSet::new());
        for number in 0..40_u32 {
            now += input.int_in_range(0..=400)?;
            let work = match input.int_in_range(0..=2)? {
                0 => short(),
                1 => long(input.int_in_range(1_000..=1_200_000)?),
                _ => demand(PLAIN, 0, 0, 150, 0, 2),
            };
            let mut outputs = submit(&mut dispatcher, at(now), number, work, 8_000);
            if input.ratio(1, 3)? && !open.is_empty() {
                let ended = open.swap_remove(input.choose_index(open.len())?);
                outputs.extend(
                    dispatcher.step(at(now), DispatchInput::RequestEnded(WorkNumber(ended))),
                );
            }
            for output in outputs {
                let (DispatchOutput::Assign { number, .. } | DispatchOutput::Refuse { number, .. }) =
                    output
                else {
                    continue;
                };
                assert!(decided.insert(number.0), "{number:?} is decided twice");
                if matches!(output, DispatchOutput::Assign { .. }) {
                    open.push(number.0);
                }
            }
        }
        now += 60_000;
        let outputs = dispatcher.step(at(now), DispatchInput::Tick);
        decided.extend(outputs.iter().filter_map(|output| match output {
            DispatchOutput::Assign { number, .. } | DispatchOutput::Refuse { number, .. } => {
                Some(number.0)
            }
            _ => None,
        }));
        assert_eq!((decided.len(), dispatcher.waiting_count()), (40, 0));
        Ok(())
    });
}

/// Guards against further requests to an engine several times slower than its model. The gaps
/// between events reveal it.
#[test]
fn slow_engine_gets_no_further_requests() {
    let mut dispatcher = dispatcher(3, 0);
    let slow = place(&mut dispatcher, at(0), 1, short());
    start_response(&mut dispatcher, at(25), 1);
    for step in 1..10 {
        let gap = Duration::from_millis(400);
        dispatcher.step(at(25 + step * 400), DispatchInput::EventGap { engine: slow, gap });
    }
    for number in 2..12 {
        assert_ne!(place(&mut dispatcher, at(4_000), number, short()), slow);
    }
}

/// Guards against an account that gets more than its fair share by using several hosts. Work sent
/// by peers counts for the account, even at a host that has just started.
#[test]
fn work_sent_by_peers_counts_for_the_account() {
    let mut dispatcher = dispatcher(1, 0);
    let running = |turn| WorkEntry {
        demand: of_account(1, long(200_000)),
        phase: WorkPhase::Sent,
        start_tag_us: turn,
        engines: vec![entry(0, SERVICE).tag()],
        arrived: Time(500_000),
        phase_start: Time(400_000),
    };
    let apply_update = |dispatcher: &mut Dispatcher,
                        now: Time,
                        work: Vec<(WorkNumber, WorkEntry)>| {
        let update = WorkUpdate { covered_range: ALL, entries: work, ended: Vec::new() };
        let peer_update =
            DispatchInput::PeerUpdate { host: PEER, incarnation: 1, update, estimates: Vec::new() };
        dispatcher.step(now, peer_update)
    };
    apply_update(&mut dispatcher, at(1_000), vec![(WorkNumber(1), running(9_000_000))]);
    for (number, account) in [(1, 1), (2, 2)] {
        let demand = of_account(account, long(200_000));
        let outputs =
            submit(&mut dispatcher, at(1_000 + u64::from(number)), number, demand, 15_000);
        assert!(assigned(&outputs).is_empty(), "the engine prefills another prompt");
    }
    apply_update(&mut dispatcher, at(1_010), Vec::new());
    let outputs = dispatcher.step(at(1_020), DispatchInput::Tick);
    let placed: Vec<_> = assigned(&outputs).into_iter().map(|(number, _, _)| number).collect();
    assert_eq!(placed, [2], "the account without service so far goes first");
}

/// Guards against a less urgent medium prompt that lengthens the event gaps of urgent requests when
/// long prompts occupy the idle engines. It must wait instead.
#[test]
fn medium_prompt_does_not_make_urgent_requests_late() {
    let mut dispatcher = dispatcher(2, 0);
    let packed = place_short_requests(&mut dispatcher, 5);
    place(&mut dispatcher, at(200), 50, long(300_000));
    let medium = demand(SERVICE, 45_000, 1_000, 1_500, 500, 1);
    let mut outputs = submit(&mut dispatcher, at(300), 51, medium, 10_000);
    for now in (320..4_000).step_by(20) {
        outputs.extend(dispatcher.step(at(now), DispatchInput::Tick));
    }
    outputs.extend(dispatcher.step(at(4_000), DispatchInput::RequestEnded(WorkNumber(50))));
    let placed = assigned(&outputs);
    assert_eq!(placed.len(), 1);
    assert!(!packed.contains(&placed[0].1), "placed on one of {packed:?}");
}

/// Guards against all hosts claiming a free slot as soon as they learn of it. In a fleet of 295
/// hosts under light load, urgent requests were late three times as often when hosts decided on
/// peer updates at once.
#[test]
fn free_slot_is_not_taken_by_all_hosts_at_once() {
    let mut hosts: Vec<_> = (0..8).map(|_| dispatcher(1, 0)).collect();
    let running = WorkEntry {
        demand: long(300_000),
        phase: WorkPhase::Sent,
        start_tag_us: 0,
        engines: vec![entry(0, SERVICE).tag()],
        arrived: Time(500_000),
        phase_start: Time(0),
    };
    let update = |number, entry: Option<WorkEntry>| WorkUpdate {
        covered_range: None,
        ended: if entry.is_none() { vec![WorkNumber(number)] } else { Vec::new() },
        entries: entry.map(|entry| (WorkNumber(number), entry)).into_iter().collect(),
    };
    let peer_update = |host, update| DispatchInput::PeerUpdate {
        host,
        incarnation: 1,
        update,
        estimates: Vec::new(),
    };
    for (index, host) in hosts.iter_mut().enumerate() {
        host.step(at(1_000), peer_update(PEER, update(99, Some(running.clone()))));
        let arrived = at(1_001 + index as u64);
        assert!(assigned(&submit(host, arrived, 1, long(300_000), 15_000)).is_empty());
    }
    let outputs: Vec<_> = hosts
        .iter_mut()
        .flat_map(|host| host.step(at(1_500), peer_update(PEER, update(99, None))))
        .collect();
    assert!(assigned(&outputs).is_empty(), "a host decided on a peer update");
    let mut placed = 0;
    for index in 0..hosts.len() {
        let now = at(1_502 + 2 * index as u64);
        placed += assigned(&hosts[index].step(now, DispatchInput::Tick)).len();
        let update = hosts[index].work_view.take_changes(now);
        for (other, host) in hosts.iter_mut().enumerate() {
            if other != index {
                host.step(now, peer_update(HostTag(100 + index as u64), update.clone()));
            }
        }
    }
    assert_eq!(placed, 1, "the engine prefills one long prompt at a time");
}

fn pause_all(dispatcher: &mut Dispatcher, service: &str, engines: usize, millis: u64) {
    let pause = Some(Duration::from_millis(millis));
    for index in 0..engines {
        let engine = entry(index, service).tag();
        let notice = ServerNotice { pause, ..ServerNotice::default() };
        dispatcher.step(at(0), DispatchInput::NoticeReceived { engine, sent: at(0), notice });
    }
}

/// Guards against holding requests although all servers are paused beyond their deadline, and
/// against retries before a server's pause ends or all at the same time.
#[test]
fn callers_are_refused_at_once_while_all_servers_pause_for_too_long() {
    let mut dispatcher = dispatcher(4, 0);
    pause_all(&mut dispatcher, SERVICE, 4, 5_000);
    let mut returns = Vec::new();
    for number in 1..=40 {
        let demand = WorkDemand { priority: (number % 4) as u8, ..short() };
        let outputs = submit(&mut dispatcher, at(1), number, demand, 3_000);
        let [DispatchOutput::Refuse { reason: Reason::Overloaded, retry_after, .. }] = outputs[..]
        else {
            panic!("{outputs:?}")
        };
        assert!(retry_after >= Duration::from_millis(4_999), "{retry_after:?}");
        returns.push((retry_after, number % 4));
    }
    returns.sort_unstable();
    assert!(returns.is_sorted_by_key(|(_, rank)| *rank), "urgent ranks first: {returns:?}");
    returns.dedup_by_key(|(after, _)| after.as_millis() / 10);
    assert!(returns.len() > 30, "retries are not spread: {returns:?}");
}

/// Guards against refusing requests that can wait for a paused server, and against sending all of
/// them at once when the pause ends. The most urgent goes first.
#[test]
fn requests_wait_for_a_server_that_opens_in_time() {
    let mut dispatcher = dispatcher(1, 0);
    pause_all(&mut dispatcher, SERVICE, 1, 1_000);
    let engine = entry(0, SERVICE).tag();
    for number in 1..=4 {
        let demand = WorkDemand { priority: if number == 1 { 2 } else { 0 }, ..short() };
        assert!(submit(&mut dispatcher, at(1), number, demand, 10_000).is_empty());
    }
    let pause_end = dispatcher.fleet.next_pause_end(at(1), SERVICE, &[]).unwrap();
    let tick =
        |dispatcher: &mut Dispatcher, now| assigned(&dispatcher.step(now, DispatchInput::Tick));
    assert!(tick(&mut dispatcher, pause_end - Duration::from_millis(1)).is_empty());
    let first = tick(&mut dispatcher, pause_end);
    assert_eq!(first, [(2, engine, Vec::new())]);
    let begun = DispatchInput::ResponseStarted(WorkNumber(2));
    let next = assigned(&dispatcher.step(pause_end + Duration::from_millis(30), begun));
    let numbers: Vec<_> = next.iter().map(|(number, _, _)| *number).collect();
    assert_eq!(numbers, [3, 4, 1]);
}

fn submit_plain(number: u32, deadline: Time, excluded: Vec<EngineTag>) -> DispatchInput {
    DispatchInput::Submit {
        number: WorkNumber(number),
        service: PLAIN.into(),
        demand: demand(PLAIN, 0, 0, 300, 0, 1),
        arrived: at(0),
        deadline,
        excluded,
    }
}

fn is_refused(outputs: &[DispatchOutput]) -> bool {
    matches!(outputs, [DispatchOutput::Refuse { .. }])
}

/// Guards against holding a request until its deadline although it was tried on every server.
#[test]
fn request_that_was_tried_on_every_server_is_refused() {
    let mut dispatcher = dispatcher(0, 2);
    let tried = (0..2).map(|index| entry(index, PLAIN).tag()).collect();
    let mut outputs = dispatcher.step(at(0), submit_plain(1, at(10_000), tried));
    for millis in (20..=refusal::MIN_RETRY_AFTER.as_millis() as u64).step_by(20) {
        outputs.extend(dispatcher.step(at(millis), DispatchInput::Tick));
    }
    assert!(is_refused(&outputs), "{outputs:?}");
}

/// Guards against holding a request for a server that opens too late to answer it: the caller then
/// gets a time-out in place of a refusal.
#[test]
fn request_is_refused_at_once_if_all_servers_open_just_before_its_deadline() {
    let mut dispatcher = dispatcher(0, 2);
    pause_all(&mut dispatcher, PLAIN, 2, 1_000);
    let opening = dispatcher.fleet.next_pause_end(at(0), PLAIN, &[]).unwrap();
    let outputs = dispatcher.step(at(0), submit_plain(1, opening + TICK_PERIOD, Vec::new()));
    assert!(is_refused(&outputs), "{outputs:?}");
    let in_time = opening + Duration::from_millis(500);
    assert_eq!(dispatcher.step(at(0), submit_plain(2, in_time, Vec::new())), []);
}
