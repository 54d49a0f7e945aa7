//! Output and errors of programs that use the builder.

#![allow(clippy::unwrap_used)] // A test fails on any unexpected error.

use std::fs;

use rstest::rstest;

use sesamehaven_config::{Builder, Configuration, Repeat, digest_key, from_yaml, to_yaml};

#[allow(dead_code, unreachable_pub)]
#[path = "../examples/roegvagt.rs"]
mod roegvagt;
#[allow(dead_code, unreachable_pub)]
#[path = "../examples/warta.rs"]
mod warta;

#[rstest]
#[case("roegvagt", roegvagt::describe)]
#[case("warta", warta::describe)]
fn examples_print_the_committed_text(#[case] name: &str, #[case] describe: fn(&mut Builder)) {
    let mut builder = Builder::new();
    describe(&mut builder);
    let configuration = builder.finish().unwrap();
    let text = to_yaml(&configuration).unwrap();
    let path = format!("{}/../../examples/{name}.yaml", env!("CARGO_MANIFEST_DIR"));
    assert_eq!(
        text,
        fs::read_to_string(path).unwrap(),
        "the committed YAML is outdated; regenerate it with the example"
    );

    let parsed: Configuration = from_yaml(&text).unwrap();
    assert_eq!(parsed, configuration);
    assert_eq!(parsed.data_centres.len(), 3);
    assert_eq!(parsed.organisations.len(), 5);
    assert!(parsed.classes.iter().map(|c| c.tier).max() >= Some("3".parse().unwrap()));
}

#[test]
fn output_does_not_depend_on_the_order_of_calls() {
    let mut texts = Vec::new();
    for reverse in [false, true] {
        let mut b = Builder::new();
        let mut names = ["a", "b", "c"];
        if reverse {
            names.reverse();
        }
        for name in names {
            b.data_centre(name).entry(&format!("entry-{name}"));
            b.organisation(name, "all")
                .key_digest(&digest_key(&name.repeat(16)).unwrap().to_string());
        }
        b.data_centre("d").agent("agent");
        b.model_pool("pool");
        b.endpoint("e", "pool", "agent", "10.0.0.1:80");
        b.class("class", 0, Repeat::Idempotent, "5 s");
        b.contract("all", &["class"], &["pool"]);
        texts.push(to_yaml(&b.finish().unwrap()).unwrap());
    }
    assert_eq!(texts[0], texts[1]);
}

#[test]
fn finish_returns_all_errors() {
    let mut b = Builder::new();
    b.data_centre("not a name").entry("entry");
    b.model_pool("pool");
    b.endpoint("e", "pool", "agent", "localhost");
    b.class("class", 9, Repeat::Idempotent, "5 parsecs");
    b.contract("all", &["class"], &["pool"]).body("large");
    b.organisation("o", "all").key_digest("secret");
    let err = b.finish().unwrap_err();
    let paths: Vec<_> = err.findings().iter().map(|f| f.path.as_str()).collect();
    for path in [
        "data centre not a name",
        "endpoint e, address",
        "class class, tier",
        "class class, deadline",
        "contract all, body",
        "organisation o, key",
        "pools[0]",
        "contracts[0].classes[0]",
    ] {
        assert!(paths.contains(&path), "{path} is missing in {err}");
    }
}

#[rstest]
#[case("short")]
#[case("a key with an end of line\n")]
#[case("øøøøøøøøøøøøøøøø")]
fn invalid_keys_are_rejected(#[case] key: &str) {
    assert!(digest_key(key).is_err());
}
