//! Measures the state machines of membership, configuration and placement at several sizes in
//! virtual time, and prints tables. See `docs/measurements/scale.md`.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use parsley_core::member::MemberState;
use parsley_standins::{
    sampling,
    scale_world::{self, ScaleWorld, record, region},
};

const USAGE: &str = "\
Measure control work at scale in virtual time.

Usage:
    scale [--seed N] [--sizes N,N,...] [PART...]

Parts: quiet, change, death, loss, rack, domain, partition, join, memory, config, placement,
sampling, load. All by default.
";

const PARTS: [&str; 13] = [
    "rack",
    "quiet",
    "change",
    "death",
    "loss",
    "domain",
    "partition",
    "join",
    "memory",
    "config",
    "placement",
    "sampling",
    "load",
];

struct Args {
    seed: u64,
    sizes: Vec<usize>,
    parts: Vec<String>,
}

fn main() -> ExitCode {
    let args = match parse() {
        Ok(args) => args,
        Err(message) => {
            eprintln!("{message}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    println!("seed {}, sizes {:?}", args.seed, args.sizes);
    for part in &args.parts {
        let start = Instant::now();
        match part.as_str() {
            "quiet" => quiet(&args),
            "change" => change(&args),
            "death" => death(&args),
            "loss" => loss(&args),
            "rack" => lose(&args, "20 hosts of a failure domain", 20),
            "domain" => lose(&args, "one of nine failure domains", usize::MAX),
            "partition" => partition(&args),
            "join" => join(&args),
            "memory" => sampling::memory(&args.sizes),
            "config" => sampling::config_size(),
            "placement" => sampling::placement_cost(args.seed),
            "sampling" => sampling::compare(args.seed),
            _ => sampling::load_bytes(),
        }
        println!("({part} took {:.0} s of real time)", start.elapsed().as_secs_f64());
    }
    ExitCode::SUCCESS
}

fn parse() -> Result<Args, String> {
    use lexopt::prelude::*;
    let mut args = Args { seed: 1, sizes: vec![50, 200, 800, 2_000], parts: Vec::new() };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().map_err(|err| err.to_string())? {
        match arg {
            Long("seed") => {
                args.seed =
                    parser.value().and_then(|v| v.parse()).map_err(|err| err.to_string())?;
            }
            Long("sizes") => {
                let text =
                    parser.value().and_then(|v| v.string()).map_err(|err| err.to_string())?;
                let sizes = text.split(',').map(str::parse).collect::<Result<_, _>>();
                args.sizes = sizes.map_err(|err| format!("--sizes: {err}"))?;
            }
            Value(part) => {
                let part = part.string().map_err(|err| err.to_string())?;
                if !PARTS.contains(&part.as_str()) {
                    return Err(format!("no such part: {part}"));
                }
                args.parts.push(part);
            }
            other => return Err(other.unexpected().to_string()),
        }
    }
    if args.parts.is_empty() {
        args.parts = PARTS.iter().map(|part| (*part).to_owned()).collect();
    }
    Ok(args)
}

fn never(_: &ScaleWorld) -> bool {
    false
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A world of a size after its first seconds, in which hosts compare views once.
fn settled(count: usize, seed: u64) -> ScaleWorld {
    let mut world = ScaleWorld::new(count, seed);
    world.run(seconds(15), never);
    world
}

/// Bytes in and out and messages out, a second and host, and the processor's share, over a span.
struct Load {
    bytes: f64,
    messages: f64,
    core: f64,
    step_us: f64,
}

fn measure(world: &mut ScaleWorld, span: u64) -> Load {
    let (bytes, messages) = world.traffic();
    let (busy, steps) = (world.busy, world.steps);
    world.run(seconds(span), never);
    let after = world.traffic();
    let host_seconds = world.hosts.len() as f64 * span as f64;
    let busy = (world.busy - busy).as_secs_f64();
    Load {
        bytes: (after.0 - bytes) as f64 / host_seconds,
        messages: (after.1 - messages) as f64 / host_seconds,
        core: busy / host_seconds * 100.0,
        step_us: busy * 1e6 / (world.steps - steps) as f64,
    }
}

fn quiet(args: &Args) {
    println!("\n### Quiet fleet, 30 s");
    println!("| hosts | bytes/s a host, in and out | messages/s a host | core % | us a step |");
    println!("|---|---|---|---|---|");
    for count in &args.sizes {
        let mut world = settled(*count, args.seed);
        let Load { bytes, messages, core, step_us } = measure(&mut world, 30);
        println!("| {count} | {bytes:.0} | {messages:.2} | {core:.3} | {step_us:.1} |");
    }
}

/// Median and worst of some times in milliseconds.
fn spread(mut times: Vec<f64>) -> String {
    times.sort_by(f64::total_cmp);
    match times.as_slice() {
        [] => "none".to_owned(),
        all => format!("{:.0} / {:.0}", all[all.len() / 2], all[all.len() - 1]),
    }
}

fn change(args: &Args) {
    println!("\n### Change of one resource, 20 changes; time over all hosts and changes");
    println!(
        "| hosts | loss % | in force, median / worst ms | not within 10 s | bytes a host and change |"
    );
    println!("|---|---|---|---|---|");
    for count in &args.sizes {
        for loss in [0, 10] {
            let mut world = settled(*count, args.seed);
            world.loss = loss;
            let quiet = measure(&mut world, 10).bytes;
            let (mut times, mut late) = (Vec::new(), 0);
            let (before, from) = (world.traffic().0, world.now);
            for _ in 0..20 {
                let start = world.now;
                world.change();
                let is_done =
                    |world: &ScaleWorld| world.hosts.iter().all(|host| host.reached.is_some());
                late += u32::from(!world.run(seconds(10), is_done));
                let reached = world.hosts.iter().filter_map(|host| host.reached);
                times.extend(reached.map(|at| at.since(start).as_secs_f64() * 1e3));
            }
            let span = world.now.since(from).as_secs_f64();
            let extra = (world.traffic().0 - before) as f64 / *count as f64 - quiet * span;
            let loss = f64::from(loss) / 10.0;
            println!("| {count} | {loss} | {} | {late} | {:.0} |", spread(times), extra / 20.0);
        }
    }
}

fn death(args: &Args) {
    println!("\n### Death of one host, 5 deaths in turn");
    println!(
        "| hosts | known dead by half / all hosts, median s | worst s | extra bytes a host and death |"
    );
    println!("|---|---|---|---|");
    for count in &args.sizes {
        let mut world = settled(*count, args.seed);
        let quiet = measure(&mut world, 10).bytes;
        let (mut half, mut all) = (Vec::new(), Vec::new());
        let (before, from) = (world.traffic().0, world.now);
        for victim in 1..=5 {
            world.hosts[victim * 7].is_up = false;
            let start = world.now;
            let is_gone = |state| state >= MemberState::Unreachable;
            world.run(seconds(60), |world| {
                let (up, known) = world.views(victim * 7, is_gone);
                if half.len() < victim && known * 2 >= up {
                    half.push(world.now.since(start).as_secs_f64());
                }
                known == up
            });
            all.push(world.now.since(start).as_secs_f64());
        }
        world.run(seconds(20), never);
        let span = world.now.since(from).as_secs_f64();
        let extra = (world.traffic().0 - before) as f64 / *count as f64 - quiet * span;
        [&mut half, &mut all].into_iter().for_each(|times| times.sort_by(f64::total_cmp));
        println!(
            "| {count} | {:.1} / {:.1} | {:.1} | {:.0} |",
            half[2],
            all[2],
            all[4],
            extra / 5.0
        );
    }
}

fn loss(args: &Args) {
    println!("\n### 1% of datagrams lost, 120 s");
    println!(
        "| hosts | live hosts taken for dead | views that hold a live host suspected, at the end | bytes/s a host |"
    );
    println!("|---|---|---|---|");
    for count in &args.sizes {
        let mut world = settled(*count, args.seed);
        world.loss = 10;
        let load = measure(&mut world, 120);
        let wrong = wrong_views(&world, |_, _| true);
        println!("| {count} | {} | {wrong} | {:.0} |", world.false_deaths, load.bytes);
    }
}

/// Number of running hosts' views that do not hold a running host, picked by the test, for alive.
fn wrong_views(world: &ScaleWorld, is_counted: impl Fn(usize, usize) -> bool) -> usize {
    let names: Vec<_> = (0..world.hosts.len()).map(|index| record(index, 0).name).collect();
    let up = |index: &usize| world.hosts[*index].is_up;
    let mut wrong = 0;
    for viewer in (0..names.len()).filter(up) {
        for subject in (0..names.len()).filter(up) {
            let state = world.hosts[viewer].members.get(&names[subject]).map(|it| it.state);
            wrong += usize::from(is_counted(viewer, subject) && state != Some(MemberState::Alive));
        }
    }
    wrong
}

fn lose(args: &Args, what: &str, most: usize) {
    println!("\n### Loss of {what}");
    println!(
        "| hosts | all known gone everywhere, s | bytes/s a host meanwhile | core % | live hosts taken for dead |"
    );
    println!("|---|---|---|---|---|");
    for count in &args.sizes {
        let mut world = settled(*count, args.seed);
        let lost: Vec<_> = (0..*count).filter(|index| index % 9 == 4).take(most).collect();
        lost.iter().for_each(|index| world.hosts[*index].is_up = false);
        let (start, bytes, busy) = (world.now, world.traffic().0, world.busy);
        let is_gone = |state| state >= MemberState::Unreachable;
        let is_done = |world: &ScaleWorld| {
            lost.iter().all(|index| {
                let (up, known) = world.views(*index, is_gone);
                known == up
            })
        };
        // Views are compared every 2 s, as that costs more than the run.
        for _ in 0..60 {
            world.run(seconds(2), never);
            if is_done(&world) {
                break;
            }
        }
        let span = world.now.since(start).as_secs_f64();
        let host_seconds = span * *count as f64;
        let rate = (world.traffic().0 - bytes) as f64 / host_seconds;
        let core = (world.busy - busy).as_secs_f64() / host_seconds * 100.0;
        println!("| {count} | {span:.0} | {rate:.0} | {core:.2} | {} |", world.false_deaths);
    }
}

fn partition(args: &Args) {
    println!("\n### Region 2 cut off from both others for 120 s (50 hosts: 1 h), then healed");
    println!(
        "| hosts | views across the cut: unreachable / dead / other | live hosts taken for dead | views right again after, s | changes everywhere after, s | bytes/s a host after |"
    );
    println!("|---|---|---|---|---|---|");
    for count in &args.sizes {
        let mut world = settled(*count, args.seed);
        world.cut = |from, to| (from == 2) != (to == 2);
        world.run(seconds(if *count == 50 { 3_600 } else { 120 }), never);
        let mut states = [0; 3];
        for viewer in (0..*count).filter(|index| region(*index) == 2) {
            for subject in (0..*count).filter(|index| region(*index) != 2) {
                let name = record(subject, 0).name;
                let state = world.hosts[viewer].members.get(&name).map(|it| it.state);
                states[match state {
                    Some(MemberState::Unreachable) => 0,
                    Some(MemberState::Dead) => 1,
                    _ => 2,
                }] += 1;
            }
        }
        world.change();
        world.cut = |_, _| false;
        let (start, bytes) = (world.now, world.traffic().0);
        let mut changed = None;
        for _ in 0..60 {
            world.run(seconds(2), never);
            if changed.is_none() && world.hosts.iter().all(|host| host.reached.is_some()) {
                changed = Some(world.now.since(start).as_secs());
            }
            if wrong_views(&world, |_, _| true) == 0 && changed.is_some() {
                break;
            }
        }
        let span = world.now.since(start).as_secs_f64();
        let rate = (world.traffic().0 - bytes) as f64 / span / *count as f64;
        let left = wrong_views(&world, |_, _| true);
        println!(
            "| {count} | {} / {} / {} | {} | {span:.0} ({left} wrong) | {changed:?} | {rate:.0} |",
            states[0], states[1], states[2], world.false_deaths
        );
    }
}

fn join(args: &Args) {
    println!("\n### Restart of one host that knows three seeds");
    println!("| hosts | its view is full, s | it is known everywhere, s | its bytes |");
    println!("|---|---|---|---|");
    for count in &args.sizes {
        let mut world = settled(*count, args.seed);
        world.hosts[10].is_up = false;
        world.run(seconds(1), never);
        world.restart(10, 5_000_000);
        let (start, bytes) = (world.now, world.hosts[10].bytes);
        let incarnation = world.hosts[10].members.local().incarnation;
        let name = record(10, 0).name;
        let (mut full, mut known) = (None, None);
        world.run(seconds(60), |world| {
            let since = world.now.since(start).as_secs_f64();
            if full.is_none() && world.hosts[10].members.live().count() == *count {
                full = Some(since);
            }
            let knows = |host: &scale_world::ScaleHost| {
                host.members.get(&name).is_some_and(|it| it.incarnation >= incarnation)
            };
            if known.is_none() && world.hosts.iter().all(knows) {
                known = Some(since);
            }
            full.is_some() && known.is_some()
        });
        let bytes = world.hosts[10].bytes - bytes;
        println!("| {count} | {full:?} | {known:?} | {bytes} |");
    }
}
