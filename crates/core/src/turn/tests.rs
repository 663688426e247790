use super::*;

const SERVICE: u64 = 5;
const LARGE: AccountTag = AccountTag(1);
const SMALL: AccountTag = AccountTag(2);

#[test]
fn account_that_spent_less_goes_first() {
    let mut ledger = StartTagLedger::default();
    for _ in 0..10 {
        let start_tag = ledger.next_start_tag(SERVICE, LARGE);
        ledger.record_sent(SERVICE, LARGE, start_tag, 1_000);
    }
    assert!(ledger.next_start_tag(SERVICE, SMALL) < ledger.next_start_tag(SERVICE, LARGE));
    assert!(ledger.next_start_tag(SERVICE, SMALL) >= 9_000, "idle time earns no credit");
}

#[test]
fn account_that_was_served_waits_until_the_others_were() {
    let mut ledger = StartTagLedger::default();
    ledger.record_sent(SERVICE, LARGE, 0, 1_000);
    assert_eq!(
        (ledger.next_start_tag(SERVICE, LARGE), ledger.next_start_tag(SERVICE, SMALL)),
        (1_000, 0)
    );
    ledger.record_sent(SERVICE, SMALL, 1_200, 100);
    assert_eq!(
        (ledger.next_start_tag(SERVICE, LARGE), ledger.next_start_tag(SERVICE, SMALL)),
        (1_200, 1_300)
    );
}

/// Guards against hosts that disagree on start tags because they learned of the same work in
/// another order or several times.
#[test]
fn hosts_learn_the_same_from_the_same_work() {
    crate::fixed_cases(50, |input| {
        let mut works = Vec::new();
        for _ in 0..input.int_in_range(1..=20)? {
            let account = AccountTag(input.int_in_range(1..=4)?);
            works.push((account, input.int_in_range(0..=9_000_u64)?, input.int_in_range(0..=900)?));
        }
        let (mut first, mut second) = (StartTagLedger::default(), StartTagLedger::default());
        for (account, start_tag, cost) in &works {
            first.record_sent(SERVICE, *account, *start_tag, *cost);
        }
        for (account, start_tag, cost) in works.iter().rev().chain(&works) {
            second.record_sent(SERVICE, *account, *start_tag, *cost);
        }
        for account in (1..=4).map(AccountTag) {
            assert_eq!(
                first.next_start_tag(SERVICE, account),
                second.next_start_tag(SERVICE, account)
            );
        }
        Ok(())
    });
}
