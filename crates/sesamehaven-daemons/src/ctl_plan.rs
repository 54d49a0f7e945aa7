//! `sesamectl plan`: shows what would change.

use std::path::Path;

use serde_json::json;

use sesamehaven::config::Configuration;
use sesamehaven::id::Generation;
use sesamehaven::parts::Head;
use sesamehaven::plan::{self, Change};

use crate::ctl::{Exit, Output, Result, read_configuration};
use crate::ctl_store::Store;

/// Compares a configuration file with the configuration in force.
pub(crate) async fn run(store: &Store, file: &Path) -> Result<Output> {
    let after = read_configuration(file)?;
    let head = store.head().await?.map(|in_force| in_force.head);
    let before = match &head {
        Some(head) => store.configuration(head).await?,
        None => Configuration::default(),
    };
    let changes = plan::plan(&before, &after);
    let base = head.as_ref().map_or(Generation(0), |h| h.generation);
    let text = format!(
        "Compared with {}:\n\n{}",
        describe(head.as_ref()),
        plan::format_changes(&changes)
    );
    let json = json!({ "base": base, "changes": changes });
    if changes.is_empty() {
        return Ok(Output::done(text, json));
    }
    let hint = format!(
        "\nTo put it in force: sesamectl apply {} --base {base} --note TEXT\n",
        file.display()
    );
    Ok(Output {
        text: text + &hint,
        json,
        exit: Exit::Difference,
    })
}

/// Returns a short description of a head.
pub(crate) fn describe(head: Option<&Head>) -> String {
    match head {
        None => "an empty configuration, since none is in force".into(),
        Some(head) => format!(
            "generation {}, applied by {}: {}",
            head.generation, head.author, head.note
        ),
    }
}

/// Reports a conflict: what changed since `base`, and what `ours` would still
/// change.
pub(crate) async fn conflict(
    store: &Store,
    base: Generation,
    ours: &Configuration,
) -> Result<Output> {
    let Some(in_force) = store.head().await? else {
        let text = format!(
            "Conflict: the change is based on generation {base}, but no configuration is in force.\n"
        );
        return Ok(Output {
            text,
            json: json!({ "conflict": { "base": base, "in_force": null } }),
            exit: Exit::Difference,
        });
    };
    let theirs = store.configuration(&in_force.head).await?;
    let since = match store.head_in_history(base).await? {
        Some(head) => plan::plan(&store.configuration(&head).await?, &theirs),
        None => Vec::new(),
    };
    let still = plan::plan(&theirs, ours);
    Ok(Output {
        text: conflict_text(base, &in_force.head, &since, &still),
        json: json!({ "conflict": {
            "base": base,
            "in_force": in_force.head,
            "changed_since_base": since,
            "yours_against_in_force": still,
        }}),
        exit: Exit::Difference,
    })
}

fn conflict_text(base: Generation, head: &Head, since: &[Change], still: &[Change]) -> String {
    let mut text = format!(
        "Conflict: the change is based on generation {base}, but in force is {}.\nNothing was changed.\n",
        describe(Some(head))
    );
    if !since.is_empty() {
        text += &format!(
            "\nWhat changed since generation {base}:\n\n{}",
            plan::format_changes(since)
        );
    }
    text += &format!(
        "\nWhat your change would still change:\n\n{}",
        plan::format_changes(still)
    );
    text += &format!(
        "\nReview the other change, then repeat the command with --base {}.\n",
        head.generation
    );
    text
}
