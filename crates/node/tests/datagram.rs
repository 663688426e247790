//! Datagrams that must not be believed.

use std::{net::SocketAddr, sync::Arc};

use parsley_core::config::Revision;
use parsley_node::peer::datagram::{DatagramSealer, DropReason, PeerDatagram};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn sealed(sealer: &mut DatagramSealer, incarnation: u64) -> Vec<u8> {
    let name: Arc<str> = "host-a".into();
    sealer.seal(address(1), &name, incarnation, PeerDatagram::ConfigPush(Revision(9)))
}

/// Guards against a datagram that is believed although it is repeated, cut short, changed, meant
/// for another host, or made without the key; and against one that is dropped without a count.
#[test]
fn damaged_foreign_and_repeated_datagrams_are_counted_and_dropped() {
    let mut sender = DatagramSealer::new("secret");
    let mut receiver = DatagramSealer::new("secret");
    let bytes = sealed(&mut sender, 5);
    assert_eq!(receiver.open(address(2), &bytes), Err(DropReason::InvalidTag));
    assert_eq!(receiver.open(address(1), &bytes[..7]), Err(DropReason::Truncated));
    for at in 0..bytes.len() {
        assert_eq!(receiver.open(address(1), &bytes[..at]).ok(), None);
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert_eq!(receiver.open(address(1), &changed), Err(DropReason::InvalidTag));
    }
    let foreign = sealed(&mut DatagramSealer::new("other"), 5);
    assert_eq!(receiver.open(address(1), &foreign), Err(DropReason::InvalidTag));
    let envelope = receiver.open(address(1), &bytes).unwrap();
    assert_eq!(envelope.datagram, PeerDatagram::ConfigPush(Revision(9)));
    assert_eq!(receiver.open(address(1), &bytes), Err(DropReason::Replayed));
    let earlier = sealed(&mut sender, 4);
    assert_eq!(receiver.open(address(1), &earlier), Err(DropReason::Replayed));
    assert_eq!(receiver.dropped()[&DropReason::Replayed], 2);
    // Wrong host, seven bytes, every cut and change, wrong key, two replays.
    assert_eq!(receiver.dropped().values().sum::<u64>(), 2 + 2 * bytes.len() as u64 + 1 + 2);
}
