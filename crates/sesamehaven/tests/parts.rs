//! Splitting, joining and verifying the parts of a configuration.

#![allow(clippy::unwrap_used)] // Panicking is the intended failure mode of tests.

use std::collections::HashSet;

use rstest::rstest;

use sesamehaven::config::{Configuration, Organisation};
use sesamehaven::id::{Digest, Generation};
use sesamehaven::parts::{
    Error, Head, PART_MAX_BYTES, PART_SPLIT_BYTES, Part, Scope, digest_of, index, join, split,
};

fn organisation(i: usize) -> Organisation {
    Organisation {
        name: format!("organisation-{i:05}").parse().unwrap(),
        contract: "standard".parse().unwrap(),
        key_digests: vec![Digest::of(format!("key {i}").as_bytes())],
    }
}

fn configuration_of(count: usize) -> Configuration {
    Configuration {
        data_centres: vec!["aarhus".parse().unwrap()],
        organisations: (0..count).map(organisation).collect(),
        ..Configuration::default()
    }
}

fn join_all(parts: &[Part]) -> Configuration {
    join(parts.iter().map(|p| p.bytes.as_slice())).unwrap()
}

fn head(parts: &[Part]) -> Head {
    let parts: Vec<Digest> = parts.iter().map(|p| p.digest).collect();
    Head {
        generation: Generation(3),
        digest: digest_of(&parts),
        parts,
        change: "c".into(),
        author: "a".into(),
        note: "n".into(),
    }
}

#[rstest]
#[case(0)]
#[case(1)]
#[case(42_000)]
fn joined_parts_equal_the_configuration_and_are_small(#[case] count: usize) {
    let configuration = configuration_of(count);
    let parts = split(&configuration).unwrap();
    let largest = parts.iter().map(|p| p.bytes.len()).max().unwrap();
    println!(
        "{count} organisations: {} parts, the largest {largest} bytes",
        parts.len()
    );
    assert!(largest <= PART_SPLIT_BYTES + 1024);
    assert!(head(&parts).to_bytes().len() < PART_MAX_BYTES / 10);
    assert_eq!(join_all(&parts), configuration);
}

#[test]
fn a_change_to_one_organisation_replaces_one_part() {
    let configuration = configuration_of(42_000);
    let before: HashSet<_> = split(&configuration)
        .unwrap()
        .iter()
        .map(|p| p.digest)
        .collect();
    let mut changed = configuration.clone();
    changed.organisations[17]
        .key_digests
        .push(Digest::of(b"new"));
    changed.organisations.reverse();
    let after = split(&changed).unwrap();
    let replaced = after.iter().filter(|p| !before.contains(&p.digest)).count();
    assert_eq!(replaced, 1);

    // A new organisation splits at most its own leaf in two.
    changed.organisations.push(organisation(42_000));
    let known: HashSet<_> = after.iter().map(|p| p.digest).collect();
    let grown = split(&changed).unwrap();
    assert!(grown.iter().filter(|p| !known.contains(&p.digest)).count() <= 2);
}

#[test]
fn a_single_part_may_contain_a_complete_configuration() {
    let configuration = configuration_of(5);
    let whole = serde_json::to_vec(&configuration).unwrap();
    let part = Part::new(whole);
    let head = head(std::slice::from_ref(&part));
    let index = index(&head, Scope::Whole, [part.bytes.as_slice()]).unwrap();
    assert_eq!(index.configuration, configuration);
    assert_eq!(index.generation, Generation(3));
    assert!(index.organisation_by_key("key 4").is_some());
}

#[test]
fn the_core_scope_omits_the_organisations() {
    let configuration = configuration_of(1_000);
    let parts = split(&configuration).unwrap();
    let bytes = parts.iter().map(|p| p.bytes.as_slice());
    let core = index(&head(&parts), Scope::Core, bytes).unwrap();
    let expected = Configuration {
        organisations: Vec::new(),
        ..configuration
    };
    assert_eq!(core.configuration, expected);
}

#[test]
fn digest_mismatches_are_rejected() {
    let parts = split(&configuration_of(3)).unwrap();
    let head = head(&parts);
    let reversed = parts.iter().rev().map(|p| p.bytes.as_slice());
    assert!(
        index(&head, Scope::Whole, reversed)
            .unwrap_err()
            .is_mismatch()
    );
    let missing = index(&head, Scope::Whole, [parts[0].bytes.as_slice()]).unwrap_err();
    assert!(
        matches!(
            missing,
            Error::Count {
                expected: 2,
                found: 1
            }
        ),
        "{missing}"
    );

    assert_eq!(Head::from_slice(&head.to_bytes()).unwrap(), head);
    let mut forged = head;
    forged.parts.pop();
    assert!(
        Head::from_slice(&forged.to_bytes())
            .unwrap_err()
            .is_mismatch()
    );
    assert!(
        Head::from_slice(b"{}")
            .unwrap_err()
            .to_string()
            .contains("head is malformed")
    );
}

#[test]
fn an_oversized_organisation_is_rejected() {
    let mut configuration = configuration_of(1);
    configuration.organisations[0].key_digests = vec![Digest::of(b"k"); 20_000];
    let err = split(&configuration).unwrap_err();
    assert!(matches!(err, Error::Oversized { .. }), "{err}");
}
