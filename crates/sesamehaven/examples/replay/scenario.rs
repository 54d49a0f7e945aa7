//! The simulated scenarios: request classes, load and disturbances.

/// A class of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestClass {
    pub(crate) name: &'static str,
    pub(crate) rank: u8,
    pub(crate) prompt: u64,
    pub(crate) events: u64,
    pub(crate) per_s: f64,
    pub(crate) objective_ms: u64,
    pub(crate) max_gap_ms: u64,
    pub(crate) timeout_ms: u64,
    /// The credit of a response in time, and of a late one.
    pub(crate) credit: (f64, f64),
}

/// Briefs, roundups and guidance, as crews request them.
pub(crate) const CLASSES: [RequestClass; 3] = [
    RequestClass {
        name: "brief",
        rank: 0,
        prompt: 2_950,
        events: 10,
        per_s: 251.0,
        objective_ms: 500,
        max_gap_ms: 250,
        timeout_ms: 5_000,
        credit: (7.1, 2.2),
    },
    RequestClass {
        name: "roundup",
        rank: 1,
        prompt: 1_860,
        events: 5,
        per_s: 306.0,
        objective_ms: 800,
        max_gap_ms: 250,
        timeout_ms: 3_000,
        credit: (1.0, 0.31),
    },
    RequestClass {
        name: "guidance",
        rank: 2,
        prompt: 603,
        events: 56,
        per_s: 99.0,
        objective_ms: 1_000,
        max_gap_ms: 250,
        timeout_ms: 15_000,
        credit: (0.74, 0.22),
    },
];

/// A temporary disturbance of the traffic or of the engines.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Disturbance {
    /// The traffic of one class, or of all, is multiplied by `factor`.
    Burst { class: Option<usize>, factor: f64 },
    /// One organisation of the most urgent tier sends `factor` times its share.
    HotOrganisation { factor: f64 },
    /// A share of the requests belongs to one session.
    HotSession { share: f64 },
    /// Callers retry at once regardless of the retry delay, and more often.
    Impatient,
    /// A share of the callers disconnects after `after_ms` milliseconds.
    GiveUp { share: f64, after_ms: u64 },
    /// The prompts of a share of the requests are `factor` times as long.
    LongPrompts { share: f64, factor: u64 },
    /// A share of the engines is slower by `factor`.
    Slow { share: f64, factor: f64 },
    /// A share of the engines fails some of its requests while reporting healthy.
    Grey { share: f64, failing: f64 },
    /// A share of the engines is down, and restarts with a cold cache.
    Lost { share: f64 },
    /// The engines are restarted one after the other, each with a cold cache.
    Release { gap_ms: u64 },
    /// One front in four is down.
    FrontsLost,
    /// Fronts do not hear from each other.
    FrontsApart,
}

/// A disturbance and the time during which it lasts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Phase {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) disturbance: Disturbance,
}

/// A simulated scenario.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) seed: u64,
    pub(crate) duration_ms: u64,
    pub(crate) fronts: usize,
    pub(crate) engines: usize,
    pub(crate) slots: usize,
    /// The memory of an engine for running requests and cached prompts, in tokens.
    pub(crate) memory: u64,
    /// The traffic, relative to the default rates of the classes.
    pub(crate) load: f64,
    /// The interval at which fronts exchange their counts.
    pub(crate) digest_ms: u64,
    /// The tiers of the organisations, in equal parts.
    pub(crate) tiers: &'static [u8],
    pub(crate) phases: Vec<Phase>,
    /// How the engines report their load, if they do.
    pub(crate) reports: Option<Reports>,
}

/// How engines report their load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reports {
    /// How old a report is when it arrives.
    pub(crate) age_ms: u64,
    /// The share of the time during which an engine is slower by [`FLUCTUATION`].
    pub(crate) fluctuating: f64,
    /// The interval at which fluctuations begin or end.
    pub(crate) interval_ms: u64,
}

/// The step times of engines that report their load, in equal parts, relative to a typical engine.
pub(crate) const REPORTED_FACTORS: [f64; 5] = [0.6, 1.7, 1.0, 0.8, 1.3];
/// The factor by which a step takes longer during a fluctuation.
pub(crate) const FLUCTUATION: f64 = 2.5;

impl Scenario {
    fn new(name: &'static str, load: f64, phases: &[Disturbance]) -> Self {
        let phase = |disturbance: &Disturbance| Phase {
            from_ms: 5_000,
            to_ms: 15_000,
            disturbance: *disturbance,
        };
        Scenario {
            name,
            seed: 1,
            duration_ms: 20_000,
            fronts: 27,
            engines: 50,
            slots: 6,
            memory: 358_000,
            load,
            digest_ms: 100,
            tiers: &[1],
            phases: phases.iter().map(phase).collect(),
            reports: None,
        }
    }
}

/// Returns the scenarios that the issue and the documentation name, each with its
/// disturbances.
pub(crate) fn scenarios() -> Vec<Scenario> {
    let burst = |factor| Disturbance::Burst {
        class: None,
        factor,
    };
    let one = |class, factor| Disturbance::Burst {
        class: Some(class),
        factor,
    };
    let mut scenarios = vec![
        Scenario::new("quiet", 0.5, &[]),
        Scenario::new("burst of all", 0.8, &[burst(2.5)]),
        Scenario::new("burst of briefs", 0.8, &[one(0, 3.0)]),
        Scenario::new("burst of roundups", 0.8, &[one(1, 3.0)]),
        Scenario::new("burst of guidance", 0.8, &[one(2, 3.0)]),
        Scenario::new(
            "hot session",
            1.0,
            &[Disturbance::HotSession { share: 0.3 }],
        ),
        Scenario::new(
            "impatient callers",
            0.8,
            &[burst(2.0), Disturbance::Impatient],
        ),
        Scenario::new(
            "callers leave",
            1.2,
            &[Disturbance::GiveUp {
                share: 0.3,
                after_ms: 250,
            }],
        ),
        Scenario::new(
            "long prompts",
            0.8,
            &[Disturbance::LongPrompts {
                share: 0.1,
                factor: 8,
            }],
        ),
        Scenario::new(
            "slow engines",
            0.8,
            &[Disturbance::Slow {
                share: 0.2,
                factor: 4.0,
            }],
        ),
        Scenario::new(
            "grey engines",
            0.8,
            &[Disturbance::Grey {
                share: 0.2,
                failing: 0.5,
            }],
        ),
        Scenario::new("a third lost", 0.8, &[Disturbance::Lost { share: 0.34 }]),
        Scenario::new("release", 0.8, &[Disturbance::Release { gap_ms: 500 }]),
        Scenario::new(
            "front lost in a burst",
            0.8,
            &[burst(2.0), Disturbance::FrontsLost],
        ),
        Scenario::new("stale counts", 0.9, &[]),
        Scenario::new("two tiers, burst of all", 1.0, &[burst(1.8)]),
        Scenario::new(
            "hot organisation",
            0.8,
            &[Disturbance::HotOrganisation { factor: 6.0 }],
        ),
    ];
    for scenario in &mut scenarios {
        match scenario.name {
            "stale counts" => scenario.digest_ms = 1_000,
            "two tiers, burst of all" | "hot organisation" => scenario.tiers = &[0, 1, 1],
            _ => {}
        }
    }
    scenarios.extend(reporting_scenarios(burst));
    scenarios
}

/// Returns scenarios with uneven engines that report their load.
fn reporting_scenarios(burst: impl Fn(f64) -> Disturbance) -> Vec<Scenario> {
    let reporting = |name, load, phases: &[Disturbance]| Scenario {
        reports: Some(Reports {
            age_ms: 20,
            fluctuating: 0.2,
            interval_ms: 100,
        }),
        ..Scenario::new(name, load, phases)
    };
    let slow = Disturbance::Slow {
        share: 0.2,
        factor: 4.0,
    };
    let few = |scenario: Scenario| Scenario {
        fronts: 4,
        engines: 12,
        load: scenario.load * 12.0 / 50.0,
        ..scenario
    };
    vec![
        reporting("reported, steady", 0.8, &[]),
        reporting("reported, burst", 0.8, &[burst(2.0)]),
        few(reporting("reported, few fronts", 1.0, &[])),
        few(reporting("reported, few fronts, burst", 0.8, &[burst(2.0)])),
        Scenario {
            digest_ms: 1_000,
            ..reporting("reported, stale counts", 1.0, &[])
        },
        Scenario {
            reports: Some(Reports {
                age_ms: 200,
                fluctuating: 0.4,
                interval_ms: 100,
            }),
            ..reporting("reported late", 1.0, &[])
        },
        few(Scenario {
            reports: Some(Reports {
                age_ms: 20,
                fluctuating: 0.3,
                interval_ms: 2_000,
            }),
            ..reporting("reported, long fluctuations", 0.8, &[])
        }),
        reporting("reported, slow engines", 0.8, &[slow]),
        few(reporting(
            "reported, few fronts, slow engines",
            0.8,
            &[slow],
        )),
        Scenario {
            fronts: 1,
            engines: 4,
            load: 0.9 * 4.0 / 50.0,
            ..reporting("reported, one front", 0.9, &[])
        },
        reporting("reported, fronts apart", 0.9, &[Disturbance::FrontsApart]),
        few(reporting(
            "reported, few fronts apart",
            0.9,
            &[Disturbance::FrontsApart],
        )),
    ]
}
