//! The platform client distinguishes writes that failed from writes that may have taken effect.

#![allow(clippy::unwrap_used)] // Tests panic on unexpected results.

use bytes::Bytes;
use serde_json::{Value, json};

use sesamehaven::unit::Millis;
use sesamehaven_daemons::platform::{Condition, Fetch, Platform, Version};
use sesamehaven_system_tests::Fleet;

const ABSENT: Condition = Condition::Version(Version::ABSENT);

async fn start_platform() -> (Fleet, Platform) {
    let fleet = Fleet::new().await.unwrap();
    let platform = Platform::new(fleet.platform(), Millis(1_000));
    (fleet, platform)
}

async fn set_faults(fleet: &Fleet, faults: Value) {
    let address = fleet.platform();
    fleet
        .http
        .post_json(address, "/control/faults", &faults)
        .await
        .unwrap();
}

#[actix_rt::test]
async fn writes_depend_on_the_version_of_the_object() {
    let (_fleet, platform) = start_platform().await;
    assert_eq!(platform.get("a/b").await.unwrap(), None);
    let first = platform.put("a/b", Bytes::from("1"), ABSENT).await.unwrap();
    let conflict = platform
        .put("a/b", Bytes::from("2"), ABSENT)
        .await
        .unwrap_err();
    assert!(conflict.is_conflict(), "{conflict}");
    let second = platform
        .put("a/b", Bytes::from("2"), Condition::Version(first))
        .await
        .unwrap();
    let object = platform.get("a/b").await.unwrap().unwrap();
    assert_eq!((object.version, object.value), (second, Bytes::from("2")));

    let watched = platform.watch("a/b", first, Millis(1_000)).await.unwrap();
    assert_eq!(watched.unwrap().version, second);
    assert_eq!(
        platform.watch("a/b", second, Millis(10)).await.unwrap(),
        None
    );

    let listed = platform.list("a/").await.unwrap();
    assert_eq!(
        (listed[0].path.as_str(), listed[0].version()),
        ("a/b", second)
    );
    let stale = platform
        .delete("a/b", Condition::Version(first))
        .await
        .unwrap_err();
    assert!(stale.is_conflict(), "{stale}");
    assert!(platform.delete("a/b", Condition::Always).await.unwrap());
    assert!(!platform.delete("a/b", Condition::Always).await.unwrap());
    assert_eq!(platform.vms().await.unwrap(), []);
    assert_eq!(
        platform.request_weight_fetch("m").await.unwrap(),
        Fetch::Granted
    );
    let large = platform
        .put("large", vec![0; 2 << 20].into(), ABSENT)
        .await
        .unwrap_err();
    assert!(
        !large.is_unavailable() && !large.is_answer_lost(),
        "{large}"
    );
}

#[actix_rt::test]
async fn a_write_with_a_lost_response_is_distinguished_from_a_failed_one() {
    let (mut fleet, platform) = start_platform().await;
    set_faults(&fleet, json!({ "lose_answers": 2 })).await;
    let lost = platform
        .put("a", Bytes::from("1"), ABSENT)
        .await
        .unwrap_err();
    assert!(lost.is_answer_lost(), "{lost}");
    let lost = platform.delete("a", Condition::Always).await.unwrap_err();
    assert!(lost.is_answer_lost(), "{lost}");

    set_faults(&fleet, json!({ "down": true })).await;
    let down = platform
        .put("a", Bytes::from("1"), ABSENT)
        .await
        .unwrap_err();
    assert!(down.is_unavailable() && !down.is_answer_lost(), "{down}");
    assert!(platform.get("a").await.unwrap_err().is_unavailable());

    // Without a response, a write may have taken effect, while a read counts as unavailable.
    set_faults(&fleet, json!({ "down": false, "silent": true })).await;
    let silent = platform
        .put("a", Bytes::from("1"), ABSENT)
        .await
        .unwrap_err();
    assert!(silent.is_answer_lost(), "{silent}");
    assert!(
        platform
            .watch("a", Version(9), Millis(10))
            .await
            .unwrap_err()
            .is_unavailable()
    );

    fleet.standin_mut("platform").process.kill().unwrap();
    let platform = Platform::new(fleet.platform(), Millis(1_000));
    let gone = platform
        .put("a", Bytes::from("1"), ABSENT)
        .await
        .unwrap_err();
    assert!(gone.is_unavailable(), "{gone}");
}
