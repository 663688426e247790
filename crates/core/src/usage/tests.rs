//! Tests of usage aggregation over a simulated network.

use super::*;

fn key() -> UsageKey {
    UsageKey { account: "archive".into(), rank: "standard".into() }
}

struct TestNetwork {
    ledgers: BTreeMap<Arc<str>, UsageLedger>,
    remote: BTreeMap<Arc<str>, u64>,
    held: BTreeMap<Arc<str>, u64>,
    sent: usize,
}

impl TestNetwork {
    fn new(count: usize) -> TestNetwork {
        let names: Vec<Arc<str>> = (0..count).map(|host| format!("host-{host}").into()).collect();
        let ledger = |name: &Arc<str>| {
            let mut ledger = UsageLedger::new(name.clone());
            ledger.step(Time::ZERO, UsageInput::Hosts(names.clone()));
            (name.clone(), ledger)
        };
        let ledgers = names.iter().map(ledger).collect();
        TestNetwork { ledgers, remote: BTreeMap::new(), held: BTreeMap::new(), sent: 0 }
    }

    fn step(&mut self, now: Time, host: &Arc<str>, input: UsageInput) {
        let outputs = self.ledgers.get_mut(host).unwrap().step(now, input);
        for output in outputs {
            match output {
                UsageOutput::Send { to, message } => {
                    self.sent += 1;
                    self.step(now, &to, UsageInput::Received(message));
                }
                UsageOutput::Remote(_, amount) => {
                    *self.remote.entry(host.clone()).or_default() += amount.cost;
                    self.held.insert(host.clone(), amount.held_tokens);
                }
            }
        }
    }

    fn round(&mut self, now: Time) {
        let hosts: Vec<_> = self.ledgers.keys().cloned().collect();
        hosts.iter().for_each(|host| self.step(now, host, UsageInput::Tick));
    }
}

fn spent(cost: u64, held_tokens: u64) -> UsageInput {
    UsageInput::Spent(key(), UsageAmount { cost, tokens: 0, held_tokens })
}

/// Guards against an account that multiplies its share by using several hosts, and against every
/// host reporting to the home host directly.
#[test]
fn every_host_learns_what_the_others_spent() {
    let mut network = TestNetwork::new(16);
    let hosts: Vec<_> = network.ledgers.keys().cloned().collect();
    for second in 0..6 {
        let now = Time(second * 1_000_000);
        hosts.iter().for_each(|host| network.step(now, host, spent(10, 5)));
        network.round(now);
    }
    for host in &hosts {
        // The first rounds set the baseline, and the last one is still in transit.
        let remote = network.remote[host];
        assert!((300..=750).contains(&remote), "{host}: {remote}");
        assert_eq!(network.held[host], 75, "{host}");
    }
    assert!(network.sent <= 6 * (16 + 4) * 2, "{} datagrams", network.sent);
}

/// Guards against usage that is charged twice when the home host changes.
#[test]
fn change_of_hosts_charges_nothing_twice() {
    let mut network = TestNetwork::new(5);
    let hosts: Vec<_> = network.ledgers.keys().cloned().collect();
    let user = [hosts[0].clone(), hosts[1].clone()];
    for second in 0..20 {
        let now = Time(second * 1_000_000);
        if second == 10 {
            // The remaining hosts choose new hosts for the sums.
            let left: Vec<_> = hosts[..2].to_vec();
            user.iter().for_each(|host| network.step(now, host, UsageInput::Hosts(left.clone())));
        }
        user.iter().for_each(|host| network.step(now, host, spent(10, 0)));
        network.round(now);
    }
    for host in &user {
        let remote = network.remote[host];
        assert!((120..=200).contains(&remote), "{host}: {remote}");
    }
}
