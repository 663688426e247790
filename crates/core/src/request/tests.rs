use std::{collections::BTreeSet, sync::Arc, time::Duration};

use arbtest::arbitrary::Unstructured;

use super::*;
use crate::key::{EngineKey, WorkKey};

const REQUEST: RequestKey = RequestKey(1);
const WORK: WorkKey = WorkKey(1);
const ENGINE: EngineKey = EngineKey(1);

fn open(table: &mut RequestTable, now: Time) -> Vec<RequestOutput> {
    table.step(
        now,
        RequestInput::Open {
            request: REQUEST,
            deadline: Time(10_000_000),
            offset: 0,
            attempt: 1,
            placed: None,
        },
    )
}

fn started(attempt: u32) -> StreamEvent {
    StreamEvent::Started { engine: "e".into(), stream: format!("s{attempt}").into(), attempt }
}

fn event(table: &mut RequestTable, leg: u32, event: StreamEvent) -> Vec<RequestOutput> {
    table.step(Time(1), RequestInput::Event { request: REQUEST, leg: LegKey(leg), event })
}

fn chunk(offset: u64, tokens: u64) -> StreamEvent {
    let text = (offset..offset + tokens).map(|at| format!("{at} ")).collect();
    StreamEvent::Chunk { offset, tokens, text }
}

fn final_refusal(outputs: &[RequestOutput]) -> Option<Refusal> {
    outputs.iter().find_map(|output| match output {
        RequestOutput::Deliver { event: StreamEvent::Refused(refusal), .. } => {
            Some(refusal.clone())
        }
        _ => None,
    })
}

/// Guards against the outcome `not-run` for a request that was started once and then expired in the
/// queue on a later attempt.
#[test]
fn request_that_may_have_run_is_never_refused_as_not_run() {
    let mut table = RequestTable::default();
    open(&mut table, Time(0));
    event(&mut table, 1, started(1));
    let refusal = Refusal::not_run(Reason::DeadlineExceeded, "expired in the queue");
    let outputs = event(&mut table, 1, StreamEvent::Refused(refusal));
    assert_eq!(final_refusal(&outputs).map(|refusal| refusal.outcome), Some(Outcome::Ran));
    assert!(table.is_empty());
}

/// Guards against a truncated answer, when the end arrives although a chunk before it was lost.
#[test]
fn end_beyond_the_position_is_not_passed_on() {
    let mut table = RequestTable::default();
    open(&mut table, Time(0));
    event(&mut table, 1, started(1));
    event(&mut table, 1, chunk(0, 2));
    let outputs = event(&mut table, 1, StreamEvent::Finished { end: 3 });
    assert!(!outputs.iter().any(|output| matches!(output, RequestOutput::Deliver { .. })));
    let outputs = table.step(Time(200_000), RequestInput::Tick);
    let starts = |output: &RequestOutput| {
        matches!(output, RequestOutput::StartLeg { offset: 2, placed: Some(_), .. })
    };
    assert!(outputs.iter().any(starts), "{outputs:?}");
}

/// Guards against lost, duplicated or reordered text, and against a second or missing final answer,
/// when events are dropped, repeated, delayed to later legs, or come from stale attempts.
#[test]
fn caller_gets_each_token_once_whatever_arrives() {
    arbtest::arbtest(|u| {
        let mut table = RequestTable::default();
        let mut outputs = open(&mut table, Time(0));
        let (mut now, mut leg, mut sent) = (Time(0), 0, Vec::new());
        let (mut text, mut finals) = (String::new(), 0);
        const END: u64 = 12;
        for step in 0..=60 {
            for output in outputs.drain(..) {
                match output {
                    RequestOutput::StartLeg { leg: next, offset, attempt, .. } => {
                        leg = next.0;
                        sent.extend(leg_events(leg, offset, attempt, END, u)?);
                    }
                    RequestOutput::Deliver { event, .. } => {
                        assert_eq!(finals, 0, "an event after the final one");
                        finals += u32::from(event.is_final());
                        if let StreamEvent::Chunk { text: part, .. } = &event {
                            text.push_str(part);
                        }
                        if matches!(event, StreamEvent::Finished { .. }) {
                            let whole: String = (0..END).map(|at| format!("{at} ")).collect();
                            assert_eq!(text, whole);
                        }
                    }
                    RequestOutput::EndLeg { .. } | RequestOutput::Closed(_) => {}
                }
            }
            if step == 60 {
                break;
            }
            now = now + Duration::from_millis(u.int_in_range(0..=300)?);
            let input = match u.int_in_range(0..=9)? {
                0 => RequestInput::LegFailed { request: REQUEST, leg: LegKey(leg) },
                1 => RequestInput::Tick,
                _ if sent.is_empty() => RequestInput::Tick,
                // Mostly in order; sometimes an event is repeated or overtaken.
                kind => {
                    let at = if kind == 2 { u.choose_index(sent.len())? } else { 0 };
                    let (leg, event) = sent[at].clone();
                    if kind != 3 {
                        sent.remove(at);
                    }
                    RequestInput::Event { request: REQUEST, leg, event }
                }
            };
            outputs = table.step(now, input);
        }
        outputs = table.step(Time(20_000_000), RequestInput::Tick);
        finals += outputs.iter().filter(|output| is_final(output)).count() as u32;
        assert_eq!(finals, 1, "not exactly one final answer");
        assert!(table.is_empty());
        Ok(())
    });
}

fn is_final(output: &RequestOutput) -> bool {
    matches!(output, RequestOutput::Deliver { event, .. } if event.is_final())
}

fn leg_events(
    leg: u32,
    offset: u64,
    attempt: u32,
    end: u64,
    u: &mut Unstructured<'_>,
) -> arbtest::arbitrary::Result<Vec<(LegKey, StreamEvent)>> {
    let attempt = attempt.saturating_sub(u32::from(u.ratio(1, 8)?)).max(1);
    let mut events = vec![started(attempt)];
    let mut at = offset;
    while at < end {
        let tokens = u.int_in_range(1..=3)?.min(end - at);
        events.push(chunk(at, tokens));
        at += tokens;
        if u.ratio(1, 10)? {
            events.push(StreamEvent::Retry { attempt: attempt + 1 });
        }
    }
    events.push(StreamEvent::Finished { end });
    Ok(events.into_iter().map(|event| (LegKey(leg), event)).collect())
}

fn receiver(attachment: u64, resume_count: u32) -> EventReceiver {
    EventReceiver { attachment, entry: format!("h{attachment}").into(), resume_count }
}

fn owner_with_stream() -> StreamTable {
    let mut table = StreamTable::default();
    let (receiver, deadline) = (receiver(1, 1), Time(60_000_000));
    table
        .step(Time(0), StreamInput::Open { work: WORK, receiver, offset: 0, attempt: 1, deadline });
    let stream = "s1".into();
    table.step(Time(0), StreamInput::Place { work: WORK, engine: ENGINE, stream, submit: true });
    table
}

/// Guards against an entry host that, after a pause, takes a request back from the host at which
/// its caller has since resumed it. When it then detaches, the stream would be cancelled.
#[test]
fn earlier_receiver_does_not_take_the_request_back() {
    let mut table = owner_with_stream();
    let attach = |receiver| StreamInput::Attach { work: WORK, receiver, offset: 0 };
    let outputs = table.step(Time(1), attach(receiver(2, 2)));
    assert!(outputs.contains(&StreamOutput::Attached(WORK)));
    assert_eq!(table.step(Time(2), attach(receiver(3, 1))), [StreamOutput::Denied(WORK)]);
    table.step(Time(3), StreamInput::Detach { work: WORK, attachment: 1 });
    assert_eq!(table.step(Time(30_000_000), StreamInput::Tick), []);
}

/// Guards against a stream that keeps its memory because the engine did not answer a cancellation.
#[test]
fn cancellation_is_repeated_until_the_engine_answers() {
    let mut table = owner_with_stream();
    let cancel = [StreamOutput::Cancel { engine: ENGINE, stream: "s1".into() }];
    assert_eq!(table.step(Time(1), StreamInput::Close(WORK)), cancel);
    assert_eq!(table.step(Time(2_000_000), StreamInput::Tick), cancel);
    assert_eq!(table.step(Time(4_000_000), StreamInput::Tick), cancel);
    table.step(
        Time(4_000_001),
        StreamInput::CancelConfirmed { engine: ENGINE, stream: "s1".into() },
    );
    assert_eq!(table.step(Time(6_000_000), StreamInput::Tick), []);
}

/// Guards against chunks relayed from a connection that was opened before the host was paused, and
/// against streams that are given up without being cancelled.
#[test]
fn stale_readers_are_ignored_and_every_stream_ends_or_is_cancelled() {
    arbtest::arbtest(|u| {
        let mut table = owner_with_stream();
        let (mut readers, mut relayed, mut is_placed) = (vec![1], 0, true);
        for step in 0..40_u64 {
            let now = Time(step * 100_000);
            let (work, reader) = (WORK, *u.choose(&readers)?);
            let newest = *readers.last().expect("never empty");
            let offset = u.int_in_range(0..=relayed + 1)?;
            let input = match u.int_in_range(0..=7)? {
                0 => StreamInput::ConnectionLost { work, reader },
                1 => StreamInput::ProcessResumed,
                2 => StreamInput::Ended { work, reader, complete: u.arbitrary()? },
                3 => StreamInput::Reply { work, reader, reply: EngineReply::Failed },
                4 => StreamInput::Tick,
                _ => StreamInput::Chunk { work, reader, offset, tokens: 1 },
            };
            for output in table.step(now, input) {
                match output {
                    StreamOutput::Follow { reader, .. } => readers.push(reader),
                    StreamOutput::Relay(_) => {
                        assert_eq!((reader, offset), (newest, relayed));
                        relayed += 1;
                    }
                    StreamOutput::Finish { end, .. } => {
                        assert_eq!((reader, end), (newest, relayed));
                        is_placed = false;
                    }
                    StreamOutput::Retry { .. } => is_placed = false,
                    _ => {}
                }
            }
        }
        assert_eq!(is_placed, table.placed(WORK).is_some());
        Ok(())
    });
}

/// Guards against memory held for a dead host, and against cancelling a stream that a live host is
/// attached to.
#[test]
fn only_unclaimed_streams_are_orphans() {
    let listed = |stream: &str, owner: &str, is_followed| ListedStream {
        stream: stream.into(),
        owner: owner.into(),
        is_overdue: false,
        is_followed,
    };
    let mut tracker = OrphanTracker::default();
    let mut cancelled = BTreeSet::new();
    for second in 0..=10 {
        let streams = vec![
            listed("dead", "gone", true),
            listed("left", "alive", false),
            listed("followed", "alive", true),
            listed("mine", "gone", false),
        ];
        let live_hosts = BTreeSet::from(["alive".into()]);
        let local_streams = BTreeSet::from(["mine".into()]);
        let input = OrphanInput::Listed { engine: ENGINE, streams, live_hosts, local_streams };
        for OrphanOutput::Cancel { stream, .. } in tracker.step(Time(second * 1_000_000), input) {
            assert_eq!(second, 10, "cancelled before the limit");
            cancelled.insert(stream);
        }
    }
    assert_eq!(cancelled, BTreeSet::<Arc<str>>::from(["dead".into(), "left".into()]));
}

/// Guards against a request that is answered with `Moved` again and again until its deadline,
/// because no host owns an engine for it.
#[test]
fn request_that_only_moves_is_refused_early() {
    let mut table = RequestTable::default();
    let mut now = Time(0);
    let mut outputs = open(&mut table, now);
    let refusal = loop {
        assert!(now < Time(5_000_000), "still moving after 5 s");
        let leg = outputs.iter().find_map(|output| match output {
            RequestOutput::StartLeg { leg, .. } => Some(*leg),
            _ => None,
        });
        if let Some(leg) = leg {
            let event = StreamEvent::Moved;
            outputs = table.step(now, RequestInput::Event { request: REQUEST, leg, event });
            // The failure of a leg that has already ended must not affect the request.
            table.step(now, RequestInput::LegFailed { request: REQUEST, leg });
        } else {
            now = now + LEG_RETRY_DELAY;
            outputs = table.step(now, RequestInput::Tick);
        }
        let refused = outputs.iter().find_map(|output| match output {
            RequestOutput::Deliver { event: StreamEvent::Refused(refusal), .. } => Some(refusal),
            _ => None,
        });
        if let Some(refusal) = refused {
            break refusal.clone();
        }
    };
    assert_eq!((refusal.reason, refusal.outcome), (Reason::NoEngine, Outcome::NotRun));
    assert!(refusal.retry_after.is_some());
}

/// Guards against the outcome `not-run` for a request that an owner may have started before its
/// connection was lost: the `Started` event can be lost with the connection.
#[test]
fn lost_connection_rules_out_not_run() {
    let mut table = RequestTable::default();
    open(&mut table, Time(0));
    let (request, leg) = (REQUEST, LegKey(1));
    table.step(Time(0), RequestInput::LegFailed { request, leg });
    table.step(Time(0) + LEG_RETRY_DELAY, RequestInput::Tick);
    let refusal = Refusal::not_run(Reason::Overloaded, "busy");
    let (leg, event) = (LegKey(2), StreamEvent::Refused(refusal));
    let outputs =
        table.step(Time(0) + LEG_RETRY_DELAY, RequestInput::Event { request, leg, event });
    let outcome = outputs.iter().find_map(|output| match output {
        RequestOutput::Deliver { event: StreamEvent::Refused(refusal), .. } => {
            Some(refusal.outcome)
        }
        _ => None,
    });
    assert_eq!(outcome, Some(Outcome::Unknown));
}
