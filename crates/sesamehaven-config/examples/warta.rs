//! The configuration of Warta Dagang Media Sdn Bhd, a publisher of trade journals.
//!
//! Editors summarise long supplier reports before the morning newsletter, so these
//! requests have the most urgent tier. Subscription changes and sponsor invoices run
//! at most once, and the nightly batch jobs are shed first. Long prompts make repeated
//! prefill expensive, so routing gives cached prefixes more weight.
//!
//! The API keys of this example are `example-key-of-ORGANISATION`; the
//! configuration contains only their digests.

use std::process::ExitCode;

use sesamehaven_config::{Builder, Repeat};

/// The data centres in KL Central, with the third octet of their IP addresses.
const DATA_CENTRES: [(&str, u8); 3] = [
    ("kl-central-1", 1),
    ("kl-central-2", 2),
    ("kl-central-3", 3),
];

/// The model replicas in each data centre, with their concurrency limits.
const DRAFTING: [(&str, u32); 3] = [("a", 16), ("b", 16), ("c", 8)];

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
        data_centre.agent(&format!("agent-{place}-office"));
        endpoints(b, place, number);
    }
}

fn endpoints(b: &mut Builder, place: &str, number: u8) {
    for (host, (replica, concurrency)) in (10..).zip(DRAFTING) {
        let name = format!("{place}-drafting-{replica}");
        let address = format!("10.60.{number}.{host}:8000");
        b.endpoint(&name, "drafting", &format!("agent-{name}"), &address)
            .concurrency(concurrency)
            .load("summary-writer")
            .load("subject-line-adapter");
    }
    // The subscriber and the billing applications share a VM and its agent.
    let agent = format!("agent-{place}-office");
    for (pool, port) in [("subscribers", 8080), ("billing", 8081)] {
        let address = format!("10.60.{number}.30:{port}");
        b.endpoint(&format!("{place}-{pool}"), pool, &agent, &address)
            .concurrency(16);
    }
}

fn pools(b: &mut Builder) {
    b.model_pool("drafting")
        .queue_requests(96)
        .reserve_percent(25)
        .prefix_weight(0.5);
    b.service_pool("subscribers").queue_requests(256);
    b.service_pool("billing").queue_requests(64);
}

fn classes(b: &mut Builder) {
    b.class("editor-summary", 0, Repeat::AtMostOnce, "1 min")
        .idle("10 s")
        .expected_output(400)
        .objective(95.0, "2 s", "66 ms");
    b.class("subscription-change", 1, Repeat::Claimed, "15 s")
        .expected_output(0)
        .objective(99.5, "2 s", "1 s");
    b.class("sponsor-invoice", 1, Repeat::Claimed, "30 s")
        .expected_output(0)
        .objective(99.5, "5 s", "1 s");
    b.class("subscriber-lookup", 2, Repeat::Idempotent, "3 s")
        .expected_output(0)
        .objective(99.0, "500 ms", "1 s");
    b.class("subject-lines", 3, Repeat::AtMostOnce, "30 min")
        .expected_output(40)
        .objective(90.0, "10 min", "200 ms");
    b.class("archive-tagging", 4, Repeat::AtMostOnce, "2 h")
        .expected_output(60)
        .objective(90.0, "1 h", "500 ms");
}

fn contracts(b: &mut Builder) {
    let journal = ["editor-summary", "subject-lines", "subscriber-lookup"];
    b.contract("journal", &journal, &["drafting", "subscribers"])
        .tokens_per_second(6_000.0)
        .concurrency(80)
        .weight(4)
        .body("2 MiB");
    let desk = [
        "subscriber-lookup",
        "subscription-change",
        "sponsor-invoice",
    ];
    b.contract("desk", &desk, &["subscribers", "billing"])
        .requests_per_second(100.0)
        .body("64 KiB");
    b.contract("archive", &["archive-tagging"], &["drafting"])
        .concurrency(40)
        .body("2 MiB");
}

fn organisations(b: &mut Builder) {
    b.organisation("plastics-monthly", "journal")
        .key_digest("dffa91b726c00c4c4fe177aeba6fe9f58c65abc916dd1395e2a35021a0153375");
    b.organisation("palm-oil-review", "journal")
        .key_digest("4b8d79eeab50fab46eb8b77374875b23b3fa02e92989c489d824cb3ad83b555c");
    b.organisation("logistics-weekly", "journal")
        .key_digest("2a41b244a172060e2ff864e162af2c9ed7e5104f37d80617ee0005bfa9e4fc3b");
    b.organisation("subscriber-desk", "desk")
        .key_digest("bf2501d7b580b6656299e02213fbe7d88a00b9d6cbb667b91c518aefc8c91e21");
    b.organisation("archive-team", "archive")
        .key_digest("d0eabfeeee4e692920b1d29fd6aeca9aaa2a44370406363fcbef3cca157aa5ee");
}
