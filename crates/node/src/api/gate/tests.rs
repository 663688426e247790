use super::*;

/// Guards against brackets in strings or escaped quotes that hide deep nesting, and against flat
/// text that is refused because its strings contain brackets.
#[test]
fn depth_ignores_strings() {
    assert_eq!(nesting_depth(br#"{"a":[1,{"b":2}]}"#), 3);
    assert_eq!(nesting_depth(br#"{"a":"[[[[\"[["}"#), 1);
    assert_eq!(nesting_depth(br#"["\\",[[]]]"#), 3);
    assert_eq!(nesting_depth(&[b'['; 1000]), 1000);
    assert_eq!(nesting_depth(b"]]][["), 2);
    assert_eq!(nesting_depth(br#"[["open \"#), 2);
}

/// Guards against a route that is reachable without the role it needs.
#[test]
fn routes_need_their_roles() {
    let role = |path: &str| {
        let url = http_types::Url::parse(&format!("http://host{path}")).unwrap();
        route_group(&Request::new(Method::Get, url)).role
    };
    for path in
        ["/v1/chat/completions", "//v1//chat", "/v1/models", "/v1/services/a", "/v1/requests/1"]
    {
        assert_eq!(role(path), Role::Caller, "{path}");
    }
    for path in ["/admin", "/admin/v1/status", "//admin/v1/ranks/a", "/metrics"] {
        assert_eq!(role(path), Role::Operator, "{path}");
    }
}
