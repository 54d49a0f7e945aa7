//! The configuration of Røgvagt Samlet ApS, a vent inspection and service firm.
//!
//! Crews on site wait for briefs, so these have the most urgent tier. Bookings and
//! sign-offs run at most once, and the nightly compliance roundup is shed first.
//! The three former firms share the pools under one contract and so have equal limits.
//!
//! The API keys of this example are `example-key-of-ORGANISATION`; the
//! configuration contains only their digests.

use std::process::ExitCode;

use sesamehaven_config::{Builder, Repeat};

/// The data centres in Jylland, with the third octet of their IP addresses.
const DATA_CENTRES: [(&str, u8); 3] = [("aalborg", 1), ("viborg", 2), ("aarhus", 3)];

/// The model replicas in each data centre, with their concurrency limits.
const DRAFTING: [(&str, u32); 4] = [("a", 24), ("b", 24), ("c", 12), ("d", 6)];

fn main() -> ExitCode {
    sesamehaven_config::print(describe)
}

/// Adds the fleet and the grants to the builder.
pub fn describe(b: &mut Builder) {
    data_centres(b);
    pools(b);
    classes(b);
    contracts(b);
    organisations(b);
}

fn data_centres(b: &mut Builder) {
    for (place, number) in DATA_CENTRES {
        let mut data_centre = b.data_centre(place).entry(&format!("entry-{place}"));
        for (replica, _) in DRAFTING {
            data_centre = data_centre.agent(&format!("agent-{place}-drafting-{replica}"));
        }
        data_centre.agent(&format!("agent-{place}-booking"));
        endpoints(b, place, number);
    }
}

fn endpoints(b: &mut Builder, place: &str, number: u8) {
    for (host, (replica, concurrency)) in (10..).zip(DRAFTING) {
        let name = format!("{place}-drafting-{replica}");
        let address = format!("10.20.{number}.{host}:8000");
        b.endpoint(&name, "drafting", &format!("agent-{name}"), &address)
            .concurrency(concurrency)
            .load("brief-drafter")
            .checks_fencing();
    }
    let name = format!("{place}-booking");
    let address = format!("10.20.{number}.30:8080");
    b.endpoint(&name, "booking", &format!("agent-{name}"), &address)
        .concurrency(32);
}

fn pools(b: &mut Builder) {
    b.model_pool("drafting")
        .queue_requests(128)
        .reserve_percent(20)
        .preempt();
    b.service_pool("booking").queue_requests(256);
}

fn classes(b: &mut Builder) {
    b.class("crew-brief", 0, Repeat::AtMostOnce, "20 s")
        .idle("5 s")
        .expected_output(180)
        .objective(95.0, "500 ms", "66 ms");
    b.class("booking", 1, Repeat::Claimed, "15 s")
        .expected_output(0)
        .objective(99.5, "2 s", "1 s");
    b.class("sign-off", 1, Repeat::Claimed, "15 s")
        .expected_output(0)
        .objective(99.5, "2 s", "1 s");
    b.class("job-list", 2, Repeat::Idempotent, "5 s")
        .expected_output(0)
        .objective(99.0, "1 s", "1 s");
    b.class("night-roundup", 3, Repeat::AtMostOnce, "30 min")
        .expected_output(1_200)
        .objective(90.0, "10 min", "200 ms");
}

fn contracts(b: &mut Builder) {
    let field = ["crew-brief", "booking", "sign-off", "job-list"];
    b.contract("field", &field, &["drafting", "booking"])
        .tokens_per_second(4_000.0)
        .concurrency(200)
        .weight(4)
        .body("256 KiB");
    b.contract("portal", &["booking", "job-list"], &["booking"])
        .requests_per_second(50.0)
        .body("64 KiB");
    b.contract(
        "office",
        &["night-roundup", "sign-off"],
        &["drafting", "booking"],
    )
    .concurrency(60)
    .body("1 MiB");
}

fn organisations(b: &mut Builder) {
    b.organisation("nordjysk-ildsyn", "field")
        .key_digest("f5b544202ff7d92476905b41ab1b98fb04e27871ddb12d1c9d22419cbe5fac3b");
    b.organisation("midtjysk-ventilation", "field")
        .key_digest("1f19fd9c35ba1eac1c1afdc6ed8f8ac24ec8d81354c6c38172f3e5833ee5e494");
    b.organisation("vestkystens-skorstensfejere", "field")
        .key_digest("5f1976a4946bad45f233a8d02360d8641fa0031047f184aa2af3662ca8afa291");
    b.organisation("myndighedskontoret", "office")
        .key_digest("daaa1b863c85826e32b746c06e37a2bd9ac8535e11ee68612f5bb0b5ef23851c");
    b.organisation("kundeportalen", "portal")
        .key_digest("1dc68cc4e207137bcc59f404b96f308576fb9c47d820ad8d7cf9937c3f583a96");
}
