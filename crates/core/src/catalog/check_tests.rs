use super::{ServingConfig, ServingService, check::*, tests::catalog};
use crate::fixed_cases;

fn valid() -> ServingConfig {
    let mut config = catalog().config;
    for name in ["one", "two"] {
        let service = ServingService {
            name: name.into(),
            max_connections: 8,
            latency_model: None,
            cold_start: None,
        };
        config.services.push(service);
    }
    config
}

type Mistake = (&'static str, &'static str, fn(&mut ServingConfig));

/// Entry and field of the finding, and the mistake. Each one changes other fields.
const MISTAKES: [Mistake; 13] = [
    ("route deep", "prefix", |it| it.routes[1].prefix = "/".into()),
    ("route open", "prefix", |it| it.routes[2].prefix = "open/".into()),
    ("route open", "host", |it| it.routes[2].host = "a.example:80".into()),
    ("route all", "first_event_target", |it| it.routes[0].first_event_target *= 11),
    ("route deep", "max_attempts", |it| it.routes[1].max_attempts = 11),
    ("route open", "max_attempts", |it| it.routes[2].max_attempts = 0),
    ("route open", "gap_target", |it| it.routes[2].gap_target = Some(it.routes[2].timeout * 2)),
    ("route all", "services", |it| it.routes[0].services[0].0 = "three".into()),
    ("route deep", "services", |it| it.routes[1].services.iter_mut().for_each(|it| it.1 = 0)),
    ("service four", "name", |it| {
        it.services.push(ServingService { name: "four".into(), ..it.services[0].clone() });
    }),
    ("service two", "max_connections", |it| it.services[1].max_connections = 0),
    ("account south", "api_keys", |it| {
        it.accounts.as_mut().unwrap()[1].api_keys[0] = "k1".into();
    }),
    ("account north", "name", |it| {
        let mut twin = it.accounts.as_ref().unwrap()[0].clone();
        twin.api_keys = vec!["k9".into()];
        it.accounts.as_mut().unwrap().push(twin);
    }),
];

/// Guards against a mistake that hides another one or is reported for a valid entry, against
/// differences that depend on the direction, and against API keys in the output.
#[test]
fn any_mistakes_are_found_and_shown_as_differences() {
    assert_eq!(check_config(&valid()), []);
    fixed_cases(300, |random| {
        let mut config = valid();
        let mut expected = Vec::new();
        for (entry, field, make) in MISTAKES {
            if random.arbitrary()? {
                make(&mut config);
                expected.push((entry.to_owned(), field));
            }
        }
        let findings = check_config(&config);
        let mut found: Vec<_> =
            findings.iter().map(|finding| (finding.entry.to_string(), finding.field)).collect();
        found.sort_unstable();
        expected.sort_unstable();
        assert_eq!(found, expected);

        let forth = compare_configs(&valid(), &config);
        let back = compare_configs(&config, &valid());
        assert_eq!(forth.is_empty() && back.is_empty(), config == valid());
        assert_eq!(forth.len(), back.len(), "{forth:?} {back:?}");
        let is_old = check_version(&valid(), &config).is_some();
        assert_eq!(is_old, !forth.is_empty(), "the version stayed the same");
        let shown = format!("{findings:?} {forth:?}");
        assert!(["\"k1\"", "\"k2\"", "k9"].iter().all(|key| !shown.contains(key)), "{shown}");
        Ok(())
    });
}

/// Guards against a cold time that nothing limits, and a limit that never applies.
#[test]
fn cold_times_need_a_rate() {
    let field = |start, per| check_cold_limits("model", start, per).map(|finding| finding.field);
    for limits in [(None, None), (Some(0.0), None), (Some(20.0), Some(26.0))] {
        assert_eq!(field(limits.0, limits.1), None, "{limits:?}");
    }
    assert_eq!(field(Some(20.0), Some(0.0)), Some("cold_start"));
    assert_eq!(field(Some(-1.0), Some(26.0)), Some("cold_start"));
    assert_eq!(field(None, Some(26.0)), Some("cold_rate"));
}
