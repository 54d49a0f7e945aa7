//! Parsing of idempotency keys.

use rstest::rstest;

use sesamehaven::key::{Key, WallTime};

#[rstest]
#[case("x", None)]
#[case("booking:4711/æ", None)]
#[case("0193884e-5a00-7abc-8def-0123456789ab", Some(0x0193_884e_5a00))]
#[case("0193884E-5A00-7ABC-BDEF-0123456789AB", Some(0x0193_884e_5a00))]
#[case("0193884e-5a00-4abc-8def-0123456789ab", None)]
#[case("0193884e-5a00-7abc-cdef-0123456789ab", None)]
#[case("0193884e5a007abc8def0123456789ab", None)]
#[case("0193884e-5a00-7abc-8def-0123456789ag", None)]
fn only_uuid_version_7_keys_carry_a_time(#[case] text: &str, #[case] time: Option<u64>) {
    match text.parse::<Key>() {
        Ok(key) => assert_eq!(key.time(), time.map(WallTime)),
        Err(err) => assert!(!text.is_ascii(), "{err}"),
    }
}

#[rstest]
#[case(String::new(), "idempotency key `` is out of range")]
#[case("k".repeat(256), "is out of range: send 1 to 255 visible ASCII characters")]
#[case("two words".into(), "idempotency key `two words` is not valid: send 1 to 255")]
#[case("line\nbreak".into(), "is not valid: send 1 to 255 visible ASCII")]
fn an_invalid_key_is_rejected_with_a_remedy(#[case] text: String, #[case] expected: &str) {
    let err = text.parse::<Key>().expect_err("the key is bad");
    assert!(err.to_string().contains(expected), "{err}");
}

#[test]
fn a_key_of_255_characters_is_accepted() {
    let text = "~".repeat(255);
    assert!(text.parse::<Key>().is_ok_and(|key| key.as_str() == text));
}
