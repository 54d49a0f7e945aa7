//! `sesamectl history` and `show`: current and previous configurations.

use serde_json::json;

use sesamehaven::id::Generation;
use sesamehaven::parts::Head;
use sesamehaven_config::to_yaml;

use crate::ctl::{Output, Result};
use crate::ctl_store::Store;

/// Lists the latest generations.
pub(crate) async fn run(store: &Store, last: usize) -> Result<Output> {
    let in_force = store.head().await?.map(|f| f.head);
    let mut heads: Vec<Head> = in_force.iter().cloned().collect();
    let newest = in_force.as_ref().map(|h| h.generation);
    for generation in store.generations().await? {
        if heads.len() >= last {
            break;
        }
        if newest.is_none_or(|n| generation != n)
            && let Some(head) = store.head_in_history(generation).await?
        {
            heads.push(head);
        }
    }
    heads.sort_by_key(|h| std::cmp::Reverse(h.generation));
    heads.truncate(last);
    let line = |head: &Head| {
        let sign = if Some(head.generation) == newest {
            '*'
        } else {
            ' '
        };
        format!(
            "{sign} {}  {}  {}\n",
            head.generation, head.author, head.note
        )
    };
    let text = match heads.is_empty() {
        true => "No configuration was applied yet.\n".into(),
        false => heads.iter().map(line).collect::<String>() + "* in force\n",
    };
    Ok(Output::done(
        text,
        json!({ "in_force": newest, "generations": heads }),
    ))
}

/// Prints a configuration as YAML.
pub(crate) async fn show(store: &Store, generation: Option<Generation>) -> Result<Output> {
    let generation = match (generation, store.head().await?) {
        (Some(generation), _) => generation,
        (None, in_force) => in_force.map_or(Generation(0), |f| f.head.generation),
    };
    let head = store.head_of(generation).await?;
    let configuration = store.configuration(&head).await?;
    let text = to_yaml(&configuration)?;
    Ok(Output::done(
        text,
        json!({ "head": head, "configuration": configuration }),
    ))
}
