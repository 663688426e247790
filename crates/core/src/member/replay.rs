//! Rejects datagrams that were received before.

use std::{collections::BTreeMap, sync::Arc};

/// Sequence numbers below the highest one that are still told apart. A sender counts over all
/// receivers and sends some hundred datagrams a second, so this tolerates reordering by a second.
const WINDOW_WORDS: usize = 4;
const WINDOW_BITS: u64 = WINDOW_WORDS as u64 * 64;

struct SenderWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `sequence % WINDOW_BITS` is set if that number of the window was received.
    seen: [u64; WINDOW_WORDS],
}

/// The sequence numbers received from each sender in its current incarnation.
#[derive(Default)]
pub struct ReplayFilter {
    senders: BTreeMap<Arc<str>, SenderWindow>,
}

impl ReplayFilter {
    /// Whether a datagram is new. An earlier incarnation of the sender, a repeated number and one
    /// that fell out of the window are not.
    pub fn accept(&mut self, sender: &Arc<str>, incarnation: u64, sequence: u64) -> bool {
        let window = self.senders.entry(sender.clone()).or_insert(SenderWindow {
            incarnation,
            highest: sequence,
            seen: [0; WINDOW_WORDS],
        });
        if incarnation < window.incarnation {
            return false;
        }
        if incarnation > window.incarnation {
            *window = SenderWindow { incarnation, highest: sequence, seen: [0; WINDOW_WORDS] };
        }
        if sequence > window.highest {
            window.advance(sequence);
        }
        if window.highest - sequence >= WINDOW_BITS {
            return false;
        }
        let (word, bit) = slot(sequence);
        let is_new = window.seen[word] & bit == 0;
        window.seen[word] |= bit;
        is_new
    }

    /// Forgets senders that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.senders.retain(|name, _| is_member(name));
    }
}

impl SenderWindow {
    fn advance(&mut self, sequence: u64) {
        if sequence - self.highest >= WINDOW_BITS {
            self.seen = [0; WINDOW_WORDS];
        } else {
            for passed in self.highest + 1..=sequence {
                let (word, bit) = slot(passed);
                self.seen[word] &= !bit;
            }
        }
        self.highest = sequence;
    }
}

fn slot(sequence: u64) -> (usize, u64) {
    let at = sequence % WINDOW_BITS;
    ((at / 64) as usize, 1 << (at % 64))
}
