use super::*;

fn token() -> ContinuationToken {
    ContinuationToken {
        request: "r1".into(),
        account: "acme".into(),
        model: "m".into(),
        engine: "e1".into(),
        stream: "s1".into(),
        attempt: 1,
        resume: 1,
        expires_ms: 1000,
    }
}

/// Guards against a caller that alters the account or stream in its token.
#[test]
fn damaged_tokens_are_refused() {
    let signer = TokenSigner::new("secret");
    let text = signer.sign(&token());
    assert_eq!(signer.check(&text, 999), Some(token()));
    assert_eq!(signer.check(&text, 1000), None);
    assert_eq!(TokenSigner::new("other").check(&text, 0), None);
    arbtest::arbtest(|u| {
        let mut bytes = text.clone().into_bytes();
        let at = u.choose_index(bytes.len())?;
        let digit = *u.choose(b"0123456789abcdef")?;
        let same = bytes[at] == digit;
        bytes[at] = digit;
        let damaged = String::from_utf8(bytes).expect("digits are ASCII");
        assert_eq!(signer.check(&damaged, 0).is_some(), same);
        Ok(())
    });
}

/// Guards against a panic on text that is not a token.
#[test]
fn foreign_text_is_refused() {
    let signer = TokenSigner::new("secret");
    arbtest::arbtest(|u| {
        let text: String = u.arbitrary()?;
        assert_eq!(signer.check(&text, 0), None);
        Ok(())
    });
}
