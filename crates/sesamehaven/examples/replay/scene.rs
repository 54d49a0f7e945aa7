//! What is asked, of what, and what goes wrong meanwhile.

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) rank: u8,
    pub(crate) prompt: u64,
    pub(crate) events: u64,
    pub(crate) per_s: f64,
    pub(crate) objective_ms: u64,
    pub(crate) pause_ms: u64,
    pub(crate) patience_ms: u64,
    /// The credit of an answer in time, and of a late one.
    pub(crate) credit: (f64, f64),
}

/// Briefs, roundups and guidance as crews ask for them.
pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        name: "brief",
        rank: 0,
        prompt: 2_950,
        events: 10,
        per_s: 251.0,
        objective_ms: 500,
        pause_ms: 250,
        patience_ms: 5_000,
        credit: (7.1, 2.2),
    },
    Kind {
        name: "roundup",
        rank: 1,
        prompt: 1_860,
        events: 5,
        per_s: 306.0,
        objective_ms: 800,
        pause_ms: 250,
        patience_ms: 3_000,
        credit: (1.0, 0.31),
    },
    Kind {
        name: "guidance",
        rank: 2,
        prompt: 603,
        events: 56,
        per_s: 99.0,
        objective_ms: 1_000,
        pause_ms: 250,
        patience_ms: 15_000,
        credit: (0.74, 0.22),
    },
];

/// What a scene does to the traffic or to the engines, for a while.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Trouble {
    /// So many times the traffic, of one kind or of all.
    Burst { kind: Option<usize>, x: f64 },
    /// One organisation of the most urgent tier asks for so many times its part.
    HotOrganisation { x: f64 },
    /// A share of the requests belongs to one session.
    HotSession { share: f64 },
    /// Callers come back at once, whatever they are told, and once more often.
    Impatient,
    /// A share of the callers leaves after some milliseconds.
    GiveUp { share: f64, after_ms: u64 },
    /// Prompts of one kind are so many times as long, for a share of its requests.
    LongPrompts { share: f64, x: u64 },
    /// A share of the engines is slower.
    Slow { share: f64, x: f64 },
    /// A share of the engines fails a part of its requests, and reports well.
    Grey { share: f64, failing: f64 },
    /// A share of the engines is gone, and comes back cold.
    Lost { share: f64 },
    /// The engines are replaced one after the other; the new ones are cold.
    Release { gap_ms: u64 },
    /// One front in four is gone.
    FrontsLost,
}

/// A trouble with the time during which it lasts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Phase {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) trouble: Trouble,
}

/// A load that is replayed.
#[derive(Debug, Clone)]
pub(crate) struct Scene {
    pub(crate) name: &'static str,
    pub(crate) seed: u64,
    pub(crate) span_ms: u64,
    pub(crate) fronts: usize,
    pub(crate) engines: usize,
    pub(crate) slots: usize,
    pub(crate) memory: u64,
    /// The traffic, against the kinds' own.
    pub(crate) load: f64,
    /// How old the counts of the other fronts are.
    pub(crate) digest_ms: u64,
    /// The tiers of the organisations, in equal parts.
    pub(crate) tiers: &'static [u8],
    pub(crate) phases: Vec<Phase>,
}

impl Scene {
    fn new(name: &'static str, load: f64, phases: &[Trouble]) -> Self {
        let phase = |trouble: &Trouble| Phase {
            from_ms: 5_000,
            to_ms: 15_000,
            trouble: *trouble,
        };
        Scene {
            name,
            seed: 1,
            span_ms: 20_000,
            fronts: 27,
            engines: 50,
            slots: 6,
            memory: 358_000,
            load,
            digest_ms: 100,
            tiers: &[1],
            phases: phases.iter().map(phase).collect(),
        }
    }
}

/// Returns the loads that issue and docs name, each with what is wrong in it.
pub(crate) fn scenes() -> Vec<Scene> {
    let burst = |x| Trouble::Burst { kind: None, x };
    let one = |kind, x| Trouble::Burst {
        kind: Some(kind),
        x,
    };
    let mut scenes = vec![
        Scene::new("quiet", 0.5, &[]),
        Scene::new("burst of all", 0.8, &[burst(2.5)]),
        Scene::new("burst of briefs", 0.8, &[one(0, 3.0)]),
        Scene::new("burst of roundups", 0.8, &[one(1, 3.0)]),
        Scene::new("burst of guidance", 0.8, &[one(2, 3.0)]),
        Scene::new("hot session", 1.0, &[Trouble::HotSession { share: 0.3 }]),
        Scene::new("impatient callers", 0.8, &[burst(2.0), Trouble::Impatient]),
        Scene::new(
            "callers leave",
            1.2,
            &[Trouble::GiveUp {
                share: 0.3,
                after_ms: 250,
            }],
        ),
        Scene::new(
            "long prompts",
            0.8,
            &[Trouble::LongPrompts { share: 0.1, x: 8 }],
        ),
        Scene::new("slow engines", 0.8, &[Trouble::Slow { share: 0.2, x: 4.0 }]),
        Scene::new(
            "grey engines",
            0.8,
            &[Trouble::Grey {
                share: 0.2,
                failing: 0.5,
            }],
        ),
        Scene::new("a third lost", 0.8, &[Trouble::Lost { share: 0.34 }]),
        Scene::new("release", 0.8, &[Trouble::Release { gap_ms: 500 }]),
        Scene::new(
            "front lost in a burst",
            0.8,
            &[burst(2.0), Trouble::FrontsLost],
        ),
        Scene::new("stale counts", 0.9, &[]),
        Scene::new("two tiers, burst of all", 1.0, &[burst(1.8)]),
        Scene::new(
            "hot organisation",
            0.8,
            &[Trouble::HotOrganisation { x: 6.0 }],
        ),
    ];
    for scene in &mut scenes {
        match scene.name {
            "stale counts" => scene.digest_ms = 1_000,
            "two tiers, burst of all" | "hot organisation" => scene.tiers = &[0, 1, 1],
            _ => {}
        }
    }
    scenes
}
