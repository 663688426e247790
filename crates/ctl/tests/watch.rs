//! Tests of `parsleyctl watch` against a host process.

mod fixture;

use std::thread;

use fixture::{apply, check_usage, ctl, host, resources};

/// Invalid arguments must exit with code 2.
#[test]
fn usage() {
    check_usage("watch", &[&[], &["ranks", "--count", "many"], &["ranks", "standard"]]);
}

/// A watch must not miss a change or report one twice.
#[test]
fn prints_each_change_once() {
    let host = host();
    apply(&host);
    thread::scope(|scope| {
        let watch =
            scope.spawn(|| ctl(&host, &["watch", "ranks", "--count", "2", "-o", "json"], ""));
        let changed = resources().replace("5000", "4000");
        ctl(&host, &["apply", "-f", "-"], &changed);
        // The watch may have started after the first change, so keep changing the resource.
        while !watch.is_finished() {
            ctl(&host, &["apply", "-f", "-"], &resources());
            ctl(&host, &["apply", "-f", "-"], &changed);
        }
        let run = watch.join().unwrap();
        assert_eq!(run.code, Some(0), "{run:?}");
        let lines: Vec<serde_json::Value> =
            run.stdout.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
        assert_eq!(lines.len(), 2);
        assert!(lines[0]["revision"].as_u64() < lines[1]["revision"].as_u64(), "{lines:?}");
    });
}
