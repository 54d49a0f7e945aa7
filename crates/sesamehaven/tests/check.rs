//! Validation reports every kind of configuration error, all at once.

#![allow(clippy::unwrap_used)] // Panicking is the intended failure mode of tests.

use rstest::rstest;
use serde_json::{Value, json};

use sesamehaven::check::{Finding, check};
use sesamehaven::config::Configuration;
use sesamehaven::id::Digest;

fn digest(key: &str) -> String {
    Digest::of(key.as_bytes()).to_string()
}

fn valid() -> Value {
    json!({
        "data_centres": ["aarhus"],
        "entries": [{"name": "entry-1", "data_centre": "aarhus"}],
        "agents": [{"name": "agent-1", "data_centre": "aarhus"}],
        "pools": [{"name": "drafting", "kind": "model"}, {"name": "booking", "kind": "service"}],
        "endpoints": [
            {"name": "draft-1", "pool": "drafting", "agent": "agent-1", "address": "127.0.0.1:4001"},
            {"name": "book-1", "pool": "booking", "agent": "agent-1", "address": "127.0.0.1:4002"},
        ],
        "classes": [
            {"name": "brief", "tier": 0, "repeat": "at_most_once", "deadline": "20 s"},
            {"name": "book", "tier": 1, "repeat": "claimed", "deadline": "10 s"},
        ],
        "contracts": [{"name": "full", "classes": ["brief", "book"], "pools": ["drafting", "booking"]}],
        "organisations": [
            {"name": "north", "contract": "full", "key_digests": [digest("n")]},
            {"name": "south", "contract": "full", "key_digests": [digest("s")]},
        ],
    })
}

fn findings(value: &Value) -> Vec<Finding> {
    let configuration: Configuration = serde_json::from_value(value.clone()).unwrap();
    check(&configuration)
}

/// Sets the value at a JSON pointer, or appends it to an array if the pointer ends in `-`.
fn edit(value: &mut Value, pointer: &str, new: Value) {
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    let parent = value.pointer_mut(parent).unwrap();
    match parent {
        Value::Array(list) if field == "-" => list.push(new),
        Value::Array(list) => list[field.parse::<usize>().unwrap()] = new,
        other => other[field] = new,
    }
}

#[test]
fn a_valid_configuration_has_no_findings() {
    assert_eq!(findings(&valid()), []);
}

#[rstest]
#[case::no_data_centre("/entries/0/data_centre", json!("oslo"), "entries[0].data_centre", "no data centre `oslo`")]
#[case::no_pool("/endpoints/0/pool", json!("gone"), "endpoints[0].pool", "no pool `gone`")]
#[case::no_agent("/endpoints/0/agent", json!("gone"), "endpoints[0].agent", "no agent `gone`")]
#[case::no_class("/contracts/0/classes/1", json!("gone"), "contracts[0].classes[1]", "no work class `gone`")]
#[case::no_granted_pool("/contracts/0/pools/1", json!("gone"), "contracts[0].pools[1]", "no pool `gone`")]
#[case::no_contract("/organisations/1/contract", json!("gone"), "organisations[1].contract", "no contract `gone`")]
#[case::two_of_one_name("/endpoints/1/name", json!("draft-1"), "endpoints[1].name", "`draft-1` is given twice")]
#[case::entry_and_agent("/agents/0/name", json!("entry-1"), "agents[0].name", "`entry-1` is given twice")]
#[case::class_twice("/contracts/0/classes/-", json!("brief"), "contracts[0].classes[2]", "given twice")]
#[case::data_centre_twice("/data_centres/-", json!("aarhus"), "data_centres[1]", "given twice")]
#[case::empty_pool("/pools/-", json!({"name": "spare", "kind": "model"}), "pools[2]", "`spare` is empty")]
#[case::one_address("/endpoints/1/address", json!("127.0.0.1:4001"), "endpoints[1].address", "another endpoint")]
#[case::no_port("/endpoints/1/address", json!("127.0.0.1:0"), "endpoints[1].address", "zero")]
#[case::nothing_runs("/endpoints/1/concurrency", json!(0), "endpoints[1].concurrency", "lets nothing run")]
#[case::service_loads("/endpoints/1/loads", json!(["m"]), "endpoints[1].loads", "no orders")]
#[case::all_reserved("/pools/0/reserve_percent", json!(100), "pools[0].reserve_percent", "leaves nothing")]
#[case::reserve_rounds("/pools/0/reserve_percent", json!(99), "endpoints[0].concurrency", "less than one request")]
#[case::no_queue("/pools/0/queue_requests", json!(0), "pools[0].queue_requests", "refuses everything")]
#[case::service_preempts("/pools/1/preempt", json!(true), "pools[1].preempt", "never cancelled")]
#[case::claimed_preempted("/pools/0/preempt", json!(true), "contracts[0].pools", "runs at most once")]
#[case::zero_deadline("/classes/0/deadline", json!("0 ms"), "classes[0].deadline", "refuses everything")]
#[case::deadline_of_a_year("/classes/0/deadline", json!("8760 h"), "classes[0].deadline", "over 24 h")]
#[case::zero_idle("/classes/0/idle", json!("0 ms"), "classes[0].idle", "breaks off")]
#[case::full_percent("/classes/0/objective", json!({"percent": 100.0}), "classes[0].objective.percent", "no room")]
#[case::late("/classes/0/objective", json!({"first_token": "1 min"}), "classes[0].objective.first_token", "later")]
#[case::no_grant("/contracts/0/pools", json!([]), "contracts[0].pools", "grants nothing")]
#[case::no_rate("/contracts/0/limits", json!({"requests_per_second": 0.0}), "contracts[0].limits.requests_per_second", "lets nothing through")]
#[case::negative("/contracts/0/limits", json!({"tokens_per_second": -1.0}), "contracts[0].limits.tokens_per_second", "lets nothing through")]
#[case::no_weight("/contracts/0/limits", json!({"weight": 0}), "contracts[0].limits.weight", "lets nothing through")]
#[case::rate_too_low("/contracts/0/limits", json!({"tokens_per_second": 2.0}), "contracts[0].limits.tokens_per_second", "`brief` expects 128 tokens")]
#[case::shared_key("/organisations/1/key_digests", json!([digest("n")]), "organisations[1].key_digests[0]", "also one of `north`")]
#[case::empty_key("/organisations/1/key_digests", json!([digest("")]), "organisations[1].key_digests[0]", "empty key")]
#[case::no_key("/organisations/1/key_digests", json!([]), "organisations[1].key_digests", "has 0 API keys")]
#[case::no_organisations("/organisations", json!([]), "organisations", "list is empty")]
fn a_single_error_is_reported(
    #[case] pointer: &str,
    #[case] new: Value,
    #[case] path: &str,
    #[case] problem: &str,
) {
    let mut value = valid();
    edit(&mut value, pointer, new);
    let reported = findings(&value);
    let matching = reported
        .iter()
        .find(|f| f.path == path && f.problem.contains(problem));
    assert!(
        matching.is_some_and(|f| !f.remedy.is_empty()),
        "{reported:#?}"
    );
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut value = valid();
    edit(&mut value, "/entries/0/data_centre", json!("oslo"));
    edit(
        &mut value,
        "/pools/-",
        json!({"name": "spare", "kind": "model"}),
    );
    edit(&mut value, "/endpoints/1/address", json!("127.0.0.1:4001"));
    edit(&mut value, "/classes/0/deadline", json!("0 ms"));
    edit(
        &mut value,
        "/organisations/1/key_digests",
        json!([digest("n")]),
    );
    let paths: Vec<_> = findings(&value).into_iter().map(|f| f.path).collect();
    for path in [
        "entries[0].data_centre",
        "pools[2]",
        "endpoints[1].address",
        "classes[0].deadline",
        "organisations[1].key_digests[0]",
    ] {
        assert!(
            paths.iter().any(|p| p == path),
            "{path} is missing in {paths:?}"
        );
    }
}
