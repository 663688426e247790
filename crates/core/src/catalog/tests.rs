use super::*;

fn route(name: &str, host: &str, prefix: &str, is_anonymous: bool) -> ServingRoute {
    ServingRoute {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        execution: ExecutionPolicy::Idempotent,
        is_stream: false,
        timeout: Duration::from_secs(1),
        first_event_target: Duration::from_millis(100),
        gap_target: None,
        priority: 2,
        max_attempts: 2,
        allows_anonymous: is_anonymous,
        services: vec![("one".into(), 9), ("two".into(), 1)],
    }
}

pub(super) fn catalog() -> RouteCatalog {
    let account = |name: &str, key: &str, priority| AccountConfig {
        name: name.into(),
        api_keys: vec![key.into()],
        priority,
    };
    RouteCatalog::new(ServingConfig {
        version: 3,
        routes: vec![
            route("all", "a.example", "/", false),
            route("deep", "a.example", "/x/y/", false),
            route("open", "a.example", "/open/", true),
        ],
        services: Vec::new(),
        accounts: Some(vec![account("north", "k1", None), account("south", "k2", Some(0))]),
        limits: ReceiveLimits {
            max_head_bytes: 16_384,
            max_body_bytes: 4_096,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    })
}

fn served(host: &str, path: &str, key: Option<&str>) -> (String, Option<String>, u8) {
    match catalog().resolve(host, path, key) {
        RouteDecision::Serve { route, account, priority } => {
            (route.name.to_string(), account.map(|name| name.to_string()), priority)
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against headroom for the wrong rank: an account with a rank of its own counts, routes
/// without streams do not.
#[test]
fn most_urgent_rank_of_a_service_covers_accounts_and_streams() {
    let mut config = catalog().config;
    for (name, priority, aim) in [("quick", 1, 250), ("slow", 2, 6_000)] {
        let (first_aim, gap) = (Duration::from_millis(aim), Duration::from_millis(200));
        config.routes.push(ServingRoute {
            is_stream: true,
            first_event_target: first_aim,
            gap_target: Some(gap),
            priority,
            services: vec![("model".into(), 1)],
            ..route(name, "a.example", "/s/", false)
        });
    }
    let urgent = |config| RouteCatalog::new(config).urgent_targets();
    let aim = |priority| UrgentTarget { priority, first_event_target_ms: 250, gap_target_ms: 200 };
    assert_eq!(urgent(config.clone()), BTreeMap::from([("model".into(), aim(0))]));
    config.accounts = None;
    assert_eq!(urgent(config), BTreeMap::from([("model".into(), aim(1))]));
}

#[test]
fn longest_prefix_of_the_host_wins() {
    assert_eq!(served("a.example", "/x/y/z", Some("k1")).0, "deep");
    assert_eq!(served("a.example:8080", "/x/yz", Some("k1")).0, "all");
    assert_eq!(catalog().resolve("b.example", "/", Some("k1")), RouteDecision::NotFound);
}

#[test]
fn key_names_the_account_and_its_rank() {
    assert_eq!(served("a.example", "/", Some("k1")), ("all".into(), Some("north".into()), 2));
    assert_eq!(served("a.example", "/", Some("k2")), ("all".into(), Some("south".into()), 0));
    assert_eq!(catalog().resolve("a.example", "/", Some("k3")), RouteDecision::Unauthenticated);
    assert_eq!(catalog().resolve("a.example", "/", None), RouteDecision::Unauthenticated);
    assert_eq!(served("a.example", "/open/", None), ("open".into(), None, 2));
}

#[test]
fn services_are_drawn_by_weight() {
    let route = route("all", "a.example", "/", false);
    let mut rng = fastrand::Rng::with_seed(7);
    let ones = (0..1_000).filter(|_| &**route.draw_service(&mut rng).unwrap() == "one").count();
    assert!((860..940).contains(&ones), "{ones}");
}
