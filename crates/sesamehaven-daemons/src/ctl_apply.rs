//! `sesamectl apply` and `undo`: put a configuration in force.

use std::path::Path;

use serde_json::json;
use smol_str::SmolStr;

use sesamehaven::config::Configuration;
use sesamehaven::id::{Digest, Generation};
use sesamehaven::parts::{self, Head, Part, digest_of};

use crate::ctl::{Error, Output, Result, read_configuration};
use crate::ctl_options::ApplyOptions;
use crate::ctl_plan;
use crate::ctl_store::{HeadUpdate, InForce, Store};
use crate::platform::Version;

/// Puts a configuration file in force as a new generation.
pub(crate) async fn run(store: &Store, cfg: &ApplyOptions, file: &Path) -> Result<Output> {
    let configuration = read_configuration(file)?;
    let parts = parts::split(&configuration)?;
    let in_force = store.head().await?;
    if generation_of(in_force.as_ref()) != cfg.base {
        return ctl_plan::conflict(store, cfg.base, &configuration).await;
    }
    let digests: Vec<Digest> = parts.iter().map(|p| p.digest).collect();
    if let Some(in_force) = &in_force
        && in_force.head.parts == digests
        && cfg.above < in_force.head.generation
    {
        return Ok(unchanged(&in_force.head));
    }
    put(store, cfg, in_force, configuration, &parts).await
}

/// Puts an earlier generation in force again as a new generation.
pub(crate) async fn undo(
    store: &Store,
    cfg: &ApplyOptions,
    generation: Option<Generation>,
) -> Result<Output> {
    let in_force = store.head().await?;
    let generation = match generation {
        Some(generation) => generation,
        None => previous_generation(store, cfg.base).await?,
    };
    let earlier = store.head_of(generation).await?;
    let configuration = store.configuration(&earlier).await?;
    if generation_of(in_force.as_ref()) != cfg.base {
        return ctl_plan::conflict(store, cfg.base, &configuration).await;
    }
    let parts = parts::split(&configuration)?;
    put(store, cfg, in_force, configuration, &parts).await
}

/// Returns the latest generation before `base`.
async fn previous_generation(store: &Store, base: Generation) -> Result<Generation> {
    let generations = store.generations().await?;
    let found = generations.into_iter().find(|g| *g < base);
    found.ok_or(Error::NoGeneration {
        generation: Generation(base.0.saturating_sub(1)),
    })
}

fn generation_of(in_force: Option<&InForce>) -> Generation {
    in_force.map_or(Generation(0), |f| f.head.generation)
}

async fn put(
    store: &Store,
    cfg: &ApplyOptions,
    in_force: Option<InForce>,
    configuration: Configuration,
    parts: &[Part],
) -> Result<Output> {
    let head = new_head(cfg, parts);
    let (known, version) = match &in_force {
        Some(f) => (f.head.parts.as_slice(), f.version),
        None => (&[][..], Version::ABSENT),
    };
    let written = store.put_parts(parts, known, cfg.retry_timeout).await?;
    // A writer whose response is lost looks for its change in the history, so the
    // replaced head has to be there before.
    if let Some(f) = &in_force {
        store.add_to_history(&f.head, cfg.retry_timeout).await?;
    }
    match store.move_head(&head, version, cfg.retry_timeout).await? {
        HeadUpdate::Superseded => ctl_plan::conflict(store, cfg.base, &configuration).await,
        HeadUpdate::Written => {
            // If this fails, the next change adds the head to the history.
            let kept = store.add_to_history(&head, cfg.retry_timeout).await.is_ok();
            Ok(applied(&head, written, kept))
        }
    }
}

fn new_head(cfg: &ApplyOptions, parts: &[Part]) -> Head {
    let digests: Vec<Digest> = parts.iter().map(|p| p.digest).collect();
    Head {
        generation: cfg.base.max(cfg.above).next(),
        digest: digest_of(&digests),
        parts: digests,
        change: SmolStr::new(uuid::Uuid::now_v7().to_string()),
        author: cfg.author.clone(),
        note: cfg.note.clone(),
    }
}

fn applied(head: &Head, written: usize, kept: bool) -> Output {
    let mut text = format!(
        "Generation {} is in force (change {}, {written} of {} parts written).\n",
        head.generation,
        head.change,
        head.parts.len()
    );
    if !kept {
        text += "It is not in the history yet; the next change adds it.\n";
    }
    let json = json!({
        "generation": head.generation,
        "change": head.change,
        "parts_written": written,
        "in_history": kept,
    });
    Output::done(text, json)
}

fn unchanged(head: &Head) -> Output {
    let generation = head.generation;
    Output::done(
        format!("Generation {generation} is identical; nothing was changed.\n"),
        json!({ "generation": generation, "change": null }),
    )
}
