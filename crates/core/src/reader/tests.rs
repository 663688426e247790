use std::time::Duration;

use super::{FILL_TIME, ReaderWatch, UNREAD_GRACE};
use crate::{fixed_cases, time::Time};

/// Guards against buffers that fill late and count as reading, and against callers that read and
/// are held to the short limit.
#[test]
fn only_writes_after_the_buffers_filled_show_a_reader() {
    fixed_cases(300, |u| {
        let millis = Duration::from_millis;
        let deadline = Time::ZERO + millis(u.int_in_range(0..=30_000)?);
        let idle_limit = millis(u.int_in_range(1..=60_000)?);
        let mut watch = ReaderWatch::new(deadline, idle_limit);
        let (mut now, mut first_blocked, mut reads) = (Time::ZERO, None, false);
        for _ in 0..u.int_in_range(0..=20)? {
            now = now + millis(u.int_in_range(0..=1_500)?);
            if u.arbitrary()? {
                assert_eq!(watch.record_blocked(now), first_blocked.is_none());
                first_blocked = first_blocked.or(Some(now));
            } else {
                let shows = first_blocked.is_some_and(|since| now > since + FILL_TIME);
                assert_eq!(watch.record_written(now), shows && !reads);
                reads |= shows;
            }
            let until_deadline = deadline.since(now) + UNREAD_GRACE;
            let limit = watch.unread_limit(now);
            match reads {
                true => assert_eq!(limit, until_deadline.max(idle_limit)),
                false => assert_eq!(limit, until_deadline),
            }
        }
        Ok(())
    });
}
