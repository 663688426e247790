//! Rejects replayed datagrams by sequence number.

use std::{collections::BTreeMap, sync::Arc};

/// Size of the replay window in 64-bit words. A sender numbers its datagrams over all receivers and
/// sends a few hundred a second, so the window tolerates reordering by about a second.
const WINDOW_WORDS: usize = 4;
const WINDOW_BITS: u64 = WINDOW_WORDS as u64 * 64;

struct SenderWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `sequence % WINDOW_BITS` is set if that number within the window was received.
    received: [u64; WINDOW_WORDS],
}

/// A sliding window of the sequence numbers received from each sender in its current incarnation.
#[derive(Default)]
pub struct ReplayFilter {
    senders: BTreeMap<Arc<str>, SenderWindow>,
}

impl ReplayFilter {
    /// Records a sequence number and returns whether the datagram may be processed. It may not if
    /// it comes from an earlier incarnation of the sender, repeats a number or lies below the
    /// window.
    pub fn accept(&mut self, sender: &Arc<str>, incarnation: u64, sequence: u64) -> bool {
        let window = self.senders.entry(sender.clone()).or_insert(SenderWindow {
            incarnation,
            highest: sequence,
            received: [0; WINDOW_WORDS],
        });
        if incarnation < window.incarnation {
            return false;
        }
        if incarnation > window.incarnation {
            *window = SenderWindow { incarnation, highest: sequence, received: [0; WINDOW_WORDS] };
        }
        if sequence > window.highest {
            window.advance(sequence);
        }
        if window.highest - sequence >= WINDOW_BITS {
            return false;
        }
        let (word, bit) = slot(sequence);
        let is_new = window.received[word] & bit == 0;
        window.received[word] |= bit;
        is_new
    }

    /// Drops the windows of senders that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.senders.retain(|name, _| is_member(name));
    }
}

impl SenderWindow {
    fn advance(&mut self, sequence: u64) {
        if sequence - self.highest >= WINDOW_BITS {
            self.received = [0; WINDOW_WORDS];
        } else {
            for skipped in self.highest + 1..=sequence {
                let (word, bit) = slot(skipped);
                self.received[word] &= !bit;
            }
        }
        self.highest = sequence;
    }
}

/// The word and bit mask of a sequence number in the window.
fn slot(sequence: u64) -> (usize, u64) {
    let at = sequence % WINDOW_BITS;
    ((at / 64) as usize, 1 << (at % 64))
}
