use arbtest::arbtest;

use super::*;

/// The parser must not panic on arbitrary input, nor must a finding with an extreme position.
#[test]
fn no_file_panics() {
    let valid = r#"[{"kind": "Rank", "name": "a", "revision": 3, "spec": {"level": 1}}, // é
        {"kind": "Model"}]"#;
    let starts: Vec<_> = valid.char_indices().map(|(at, _)| at).collect();
    arbtest(|u| {
        let from = u.choose_index(starts.len())?;
        let to = from + u.choose_index(starts.len() - from)?;
        let (from, to) = (starts[from], starts[to]);
        let text = format!("{}{}{}", &valid[..from], u.arbitrary::<&str>()?, &valid[to..]);
        let (mut resources, mut findings) = (Vec::new(), Vec::new());
        parse("file", &text, &mut resources, &mut findings);
        for resource in &resources {
            resource
                .format_finding(&serde_json::json!({"line": 1, "column": u64::MAX, "field": "a"}));
        }
        Ok(())
    });
}
