//! Many member tables and configuration stores with a plain message queue in virtual time, for
//! measurements of control work at scale. It holds only these two duties and decides nothing.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use parsley_core::{
    config::{
        CONFIG_TICK, ConfigDelta, ConfigInput, ConfigItem, ConfigOutput, ConfigStore, PUSH_FANOUT,
        Revision, is_watcher, resource_key,
    },
    member::{
        MEMBER_TICK, MemberInput, MemberKind, MemberMessage, MemberOutput, MemberRecord,
        MemberState, MemberTable,
    },
    resource::ResourceKind,
    time::Time,
};
use parsley_node::peer::{
    datagram::{DatagramSealer, PeerDatagram},
    frame::PeerFrame,
};

/// Bytes of the IP and UDP headers of a datagram.
pub const UDP_HEADER_BYTES: u64 = 28;
/// Bytes of a new TCP connection with its first frame, both ways: three-way handshake, hello and
/// close, with their headers.
const TCP_CONNECTION_BYTES: u64 = 7 * 40 + 80;
const REGIONS: usize = 3;
const DOMAINS: usize = 9;
/// Time a watch of the key-value service takes to tell a change.
const WATCH_DELAY: Duration = Duration::from_millis(10);

/// What travels between hosts.
#[derive(Clone)]
enum Packet {
    Member(Rc<MemberMessage>),
    Push(usize, Revision),
    Pull(usize, Revision),
    Delta(Rc<ConfigDelta>),
    Watched(Rc<ConfigDelta>),
}

struct Flight {
    at: Time,
    number: u64,
    to: usize,
    packet: Packet,
}

impl PartialEq for Flight {
    fn eq(&self, other: &Flight) -> bool {
        self.number == other.number
    }
}

impl Eq for Flight {}

impl PartialOrd for Flight {
    fn partial_cmp(&self, other: &Flight) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Flight {
    fn cmp(&self, other: &Flight) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// One simulated host.
pub struct ScaleHost {
    /// Membership.
    pub members: MemberTable,
    /// Configuration.
    pub config: ConfigStore,
    /// Whether it runs.
    pub is_up: bool,
    /// Bytes sent and received, headers included.
    pub bytes: u64,
    /// Datagrams and frames sent.
    pub messages: u64,
    next_tick: Time,
    next_config: Time,
    /// When the host had everything up to the revision of the last change.
    pub reached: Option<Time>,
}

/// Hosts and the messages between them.
pub struct ScaleWorld {
    /// Now.
    pub now: Time,
    /// Hosts.
    pub hosts: Vec<ScaleHost>,
    /// The key-value service's content.
    pub truth: ConfigStore,
    /// Datagrams lost, in thousandths.
    pub loss: u16,
    /// Whether two regions are cut off from each other.
    pub cut: fn(usize, usize) -> bool,
    /// Processor time in steps, encoding, tagging and checking.
    pub busy: Duration,
    /// Steps made.
    pub steps: u64,
    /// Live hosts that some host took for dead.
    pub false_deaths: u64,
    /// Reads of the key-value service.
    pub store_reads: u64,
    queue: BinaryHeap<Reverse<Flight>>,
    sealer: DatagramSealer,
    sent: u64,
    rng: fastrand::Rng,
    index: BTreeMap<Arc<str>, usize>,
}

/// The region of a host.
pub fn region(index: usize) -> usize {
    index % DOMAINS / (DOMAINS / REGIONS)
}

/// The record of a host, with names and addresses of ordinary length.
pub fn record(index: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: format!("entry-host-{index:04}").into(),
        region: format!("region-{}", region(index)).into(),
        failure_domain: format!("region-{}-domain-{}", region(index), index % DOMAINS).into(),
        address: format!("10.{}.{}.{}:8080", index % DOMAINS, index / 250, index % 250).into(),
        peer_address: format!("10.{}.{}.{}:8081", index % DOMAINS, index / 250, index % 250).into(),
        capacity: 100,
        incarnation: 1_700_000_000_000 + incarnation,
        state: MemberState::Alive,
    }
}

impl ScaleWorld {
    /// Hosts that know each other.
    pub fn new(count: usize, seed: u64) -> ScaleWorld {
        let mut rng = fastrand::Rng::with_seed(seed);
        let records: Vec<_> = (0..count).map(|index| record(index, 0)).collect();
        let hosts = (0..count).map(|index| new_host(&records, index, &mut rng)).collect();
        let index = records.iter().enumerate().map(|(at, it)| (it.name.clone(), at)).collect();
        ScaleWorld {
            now: Time::ZERO,
            hosts,
            truth: ConfigStore::default(),
            loss: 0,
            cut: |_, _| false,
            busy: Duration::ZERO,
            steps: 0,
            false_deaths: 0,
            store_reads: 0,
            queue: BinaryHeap::new(),
            sealer: DatagramSealer::new("scale"),
            sent: 0,
            rng,
            index,
        }
    }

    /// Runs for a span of virtual time, or until `is_done`, looked at every 100 ms.
    pub fn run(&mut self, span: Duration, mut is_done: impl FnMut(&ScaleWorld) -> bool) -> bool {
        let end = self.now + span;
        while self.now < end {
            for _ in 0..10 {
                self.now = self.now + Duration::from_millis(10);
                self.deliver();
                self.tick();
            }
            if is_done(self) {
                return true;
            }
        }
        false
    }

    fn deliver(&mut self) {
        while let Some(Reverse(flight)) = self.queue.peek()
            && flight.at <= self.now
        {
            let Some(Reverse(Flight { at, to, packet, .. })) = self.queue.pop() else { return };
            if !self.hosts[to].is_up {
                continue;
            }
            match packet {
                Packet::Member(message) => {
                    self.member(at, to, MemberInput::Received(Rc::unwrap_or_clone(message)));
                }
                Packet::Push(from, revision) => {
                    let host = self.hosts[from].members.local().name.clone();
                    self.config(at, to, ConfigInput::PeerRevision { host, revision });
                }
                Packet::Pull(from, after) => {
                    let delta = self.hosts[to].config.delta(after);
                    let bytes = frame_bytes(&PeerFrame::ConfigDelta(delta.clone()));
                    self.post(at, to, from, bytes, Packet::Delta(Rc::new(delta)));
                }
                Packet::Delta(delta) | Packet::Watched(delta) => {
                    self.config(at, to, ConfigInput::Delta(Rc::unwrap_or_clone(delta)));
                }
            }
        }
    }

    fn tick(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if !host.is_up {
                continue;
            }
            if host.next_tick <= self.now {
                host.next_tick = host.next_tick + MEMBER_TICK;
                self.member(self.now, index, MemberInput::Tick);
            }
            if self.hosts[index].next_config <= self.now {
                self.hosts[index].next_config = self.now + CONFIG_TICK;
                self.config(self.now, index, ConfigInput::Tick);
            }
        }
    }

    fn member(&mut self, at: Time, index: usize, input: MemberInput) {
        let start = Instant::now();
        let outputs = self.hosts[index].members.step(at, input);
        self.busy += start.elapsed();
        self.steps += 1;
        for output in outputs {
            match output {
                MemberOutput::Send { to, message } => {
                    let to = self.by_address(&to);
                    let bytes = self.datagram_bytes(index, PeerDatagram::Member(message.clone()));
                    self.post(at, index, to, bytes, Packet::Member(Rc::new(message)));
                }
                MemberOutput::PeerConfigAhead { host, revision } => {
                    self.config(at, index, ConfigInput::PeerRevision { host, revision });
                }
                MemberOutput::DeclaredDead if self.hosts[index].is_up => self.false_deaths += 1,
                _ => {}
            }
        }
    }

    fn config(&mut self, at: Time, index: usize, input: ConfigInput) {
        let start = Instant::now();
        let outputs = self.hosts[index].config.step(at, input);
        self.busy += start.elapsed();
        self.steps += 1;
        for output in outputs {
            match output {
                ConfigOutput::Pull { host, after } => {
                    let bytes =
                        TCP_CONNECTION_BYTES + frame_bytes(&PeerFrame::ConfigPull { after });
                    let to = self.index[&host];
                    self.post(at, index, to, bytes, Packet::Pull(index, after));
                }
                ConfigOutput::Push(revision) => {
                    let count = self.hosts.len();
                    for _ in 0..PUSH_FANOUT {
                        let to = self.rng.usize(..count);
                        let bytes = self.datagram_bytes(index, PeerDatagram::ConfigPush(revision));
                        self.post(at, index, to, bytes, Packet::Push(index, revision));
                    }
                }
                ConfigOutput::Read { after } => {
                    self.store_reads += 1;
                    let delta = Rc::new(self.truth.delta(after));
                    self.enqueue(at + WATCH_DELAY, index, Packet::Watched(delta));
                }
                ConfigOutput::CompleteRevision(revision) => {
                    self.member(at, index, MemberInput::ConfigRevision(revision));
                    if revision >= self.truth.complete_revision() {
                        self.hosts[index].reached = Some(at);
                    }
                }
                ConfigOutput::Changed => {}
            }
        }
    }

    fn by_address(&self, address: &str) -> usize {
        let mut parts = address.split(['.', ':']).skip(2);
        let mut next = || parts.next().and_then(|part| part.parse::<usize>().ok()).unwrap_or(0);
        next() * 250 + next()
    }

    /// Size of a sealed datagram. The time of sealing, opening and decoding counts as busy.
    fn datagram_bytes(&mut self, from: usize, datagram: PeerDatagram) -> u64 {
        let me = self.hosts[from].members.local();
        let address = SocketAddr::from(([10, 0, 0, 1], 8081));
        let start = Instant::now();
        let bytes = self.sealer.seal(address, &me.name, me.incarnation, datagram);
        let is_good = self.sealer.open(address, &bytes).is_ok();
        self.busy += start.elapsed();
        assert!(is_good, "a datagram of this world must open");
        bytes.len() as u64 + UDP_HEADER_BYTES
    }

    fn post(&mut self, at: Time, from: usize, to: usize, bytes: u64, packet: Packet) {
        self.hosts[from].bytes += bytes;
        self.hosts[from].messages += 1;
        let is_tcp = matches!(packet, Packet::Pull(..) | Packet::Delta(_));
        let is_lost = !is_tcp && self.rng.u16(..1000) < self.loss;
        if is_lost || (self.cut)(region(from), region(to)) {
            return;
        }
        self.hosts[to].bytes += bytes;
        let delay = match region(from) == region(to) {
            true => Duration::from_micros(self.rng.u64(500..2_000)),
            false => Duration::from_micros(self.rng.u64(30_000..60_000)),
        };
        // A pull needs the connection's round trip first.
        let trips = if matches!(packet, Packet::Pull(..)) { 3 } else { 1 };
        self.enqueue(at + delay * trips, to, packet);
    }

    fn enqueue(&mut self, at: Time, to: usize, packet: Packet) {
        self.sent += 1;
        self.queue.push(Reverse(Flight { at, number: self.sent, to, packet }));
    }

    /// An operator writes a resource; the watching hosts hear of it.
    pub fn change(&mut self) {
        let revision = Revision(self.truth.complete_revision().0 + 1);
        let name = format!("account-{:04}", self.rng.u32(..50));
        let spec = format!(
            r#"{{"credential_digests":["{:064x}"],"ranks":["standard"],"weight":{}}}"#,
            revision.0,
            revision.0 % 100 + 1
        );
        let item = ConfigItem {
            key: resource_key(ResourceKind::ClientAccount, &name),
            revision,
            value: Some(spec.into()),
        };
        let after = self.truth.complete_revision();
        let delta = ConfigDelta { after, complete: revision, items: vec![item] };
        self.truth.step(self.now, ConfigInput::Delta(delta.clone()));
        let delta = Rc::new(delta);
        for index in 0..self.hosts.len() {
            self.hosts[index].reached = None;
            if self.hosts[index].is_up && is_watcher(&self.hosts[index].members) {
                let packet = Packet::Watched(delta.clone());
                self.enqueue(self.now + WATCH_DELAY, index, packet);
            }
        }
    }

    /// Replaces a host by a new process that knows only a seed.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        let me = record(index, incarnation);
        let seeds =
            (0..3).map(|seed| record((index + 1 + seed) % self.hosts.len(), 0).peer_address);
        let rng = fastrand::Rng::with_seed(self.rng.u64(..));
        self.hosts[index].members = MemberTable::new(me, seeds.collect(), rng);
        self.hosts[index].config = ConfigStore::new(self.rng.fork());
        self.hosts[index].next_tick = self.now;
        self.hosts[index].is_up = true;
    }

    /// Number of running hosts, and how many of them hold a host in a state.
    pub fn views(&self, subject: usize, is_held: impl Fn(MemberState) -> bool) -> (usize, usize) {
        let name = record(subject, 0).name;
        let up = || self.hosts.iter().filter(|host| host.is_up);
        let holds =
            up().filter(|host| host.members.get(&name).is_some_and(|record| is_held(record.state)));
        (up().count(), holds.count())
    }

    /// Bytes and messages of all hosts so far.
    pub fn traffic(&self) -> (u64, u64) {
        let bytes = self.hosts.iter().map(|host| host.bytes).sum();
        (bytes, self.hosts.iter().map(|host| host.messages).sum())
    }
}

fn new_host(records: &[MemberRecord], index: usize, rng: &mut fastrand::Rng) -> ScaleHost {
    let mut members = MemberTable::new(records[index].clone(), Vec::new(), rng.fork());
    members.step(Time::ZERO, view(records, index));
    ScaleHost {
        members,
        config: ConfigStore::new(rng.fork()),
        is_up: true,
        bytes: 0,
        messages: 0,
        next_tick: Time(rng.u64(..100_000)),
        next_config: Time(rng.u64(..500_000)),
        reached: None,
    }
}

/// A message that tells a host of all others.
pub fn view(records: &[MemberRecord], index: usize) -> MemberInput {
    let from = records[(index + 1) % records.len()].clone();
    let records = records.to_vec();
    let kind = MemberKind::View;
    MemberInput::Received(MemberMessage {
        from,
        revision: Revision(0),
        kind,
        records,
        updates: vec![],
    })
}

fn frame_bytes(frame: &PeerFrame) -> u64 {
    let body = postcard::to_stdvec(frame).map_or(0, |bytes| bytes.len() as u64);
    // Segments of 1,448 bytes, each with headers and half an acknowledgement.
    4 + body + (body / 1_448 + 1) * 60
}
